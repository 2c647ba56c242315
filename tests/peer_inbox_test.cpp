// The messages of other hosts that wait to be handled.

#include "core/wire.hpp"
#include "pool/peer_inbox.hpp"
#include "pool/pool_host.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace egretledge;
using namespace egretledge::pool;
using namespace std::chrono_literals;

namespace
{

const host_ref reader_ref{"reader", 7};

wire::PeerMessage make_message(const host_ref& from)
{
    wire::PeerMessage message;
    egretledge::to_wire(from, *message.mutable_from());
    return message;
}

wire::PeerMessage make_heartbeat(const host_ref& from, std::uint64_t sequence)
{
    auto message = make_message(from);
    message.mutable_pool_beat()->set_sequence(sequence);
    message.mutable_pool_beat()->set_address("tcp://" + from.name);
    return message;
}

wire::PeerMessage make_offer(const host_ref& from, std::uint64_t offer, std::uint64_t sequence)
{
    auto message = make_message(from);
    message.mutable_pool_job()->set_offer(offer);
    message.mutable_pool_job()->set_beat_sequence(sequence);
    return message;
}

// Returns sequence numbers of heartbeats, and numbers of offers as negative values, in the order in
// which the inbox gives them out.
std::vector<std::int64_t> take_all(peer_inbox& inbox)
{
    std::vector<std::int64_t> order;
    while (const auto message = inbox.take())
        order.push_back(message->has_pool_beat()
                            ? static_cast<std::int64_t>(message->pool_beat().sequence())
                            : -static_cast<std::int64_t>(message->pool_job().offer()));
    return order;
}

// A host without workers that receives messages from others.
membership make_reader()
{
    membership_settings settings;
    settings.self = reader_ref;
    settings.address = "tcp://reader";
    return membership(settings);
}

// The heartbeat that a host sends to the reader in this round, if one is due.
std::optional<wire::PeerMessage> tick_for_reader(membership& sender, microseconds now,
                                                 const membership::announcement& state)
{
    action_list out;
    sender.tick(
        now, [&] { return state; }, out);
    for (auto& action : out)
        if (auto* sent = std::get_if<actions::send_peer>(&action); sent && sent->host == "reader")
        {
            egretledge::to_wire(sender.settings().self, *sent->message.mutable_from());
            return std::move(sent->message);
        }
    return std::nullopt;
}

// A host that receives messages, and what it did with the offers among them.
struct reader
{
    membership hosts = make_reader();
    started_jobs started{{}};
    // (sender, offer, heard, overtaken), and offers withdrawn by heartbeats, by sender
    std::vector<std::tuple<std::string, std::uint64_t, bool, bool>> offers;
    std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> withdrawn;

    void handle(microseconds now, const wire::PeerMessage& message)
    {
        const auto from = egretledge::from_wire(message.from());
        action_list out;
        if (message.has_pool_job())
        {
            offers.emplace_back(from.name, message.pool_job().offer(),
                                hosts.receives_heartbeats(from, now),
                                hosts.overtaken(from, message.pool_job().beat_sequence()));
            return;
        }
        started.record_announced(now, message.pool_beat().started());
        if (hosts.on_heartbeat(now, from, message.pool_beat(), out) != nullptr)
            for (const auto offer : message.pool_beat().withdrawn())
                withdrawn.emplace(from.name, from.incarnation, offer);
    }
    // All that heartbeats can change, as text, except for the time of the next heartbeat to a peer.
    std::string state(microseconds now) const
    {
        std::ostringstream text;
        const auto add = [&](const auto&... values) { ((text << values << ' '), ...); };
        for (const auto& [name, host] : hosts.all())
        {
            add("\n", name, host.ref.name, host.ref.incarnation, host.data_centre, host.address,
                host.leaving, host.config_version, host.load.free_cpu, host.load.total_cpu,
                host.load.wait.count(), host.load_at.count(), host.held_version,
                host.announced_version, host.held_count, host.settled, host.introduced_at.count(),
                host.last_heard.count(), host.alive_since.count(), host.echo_sent.count(),
                host.seen_sequence, host.echoed_held, host.interval.count(), hosts.alive(name, now),
                hosts.may_be_alive(name, now));
            for (const auto& worker : host.held)
                add(worker);
            add("unread");
            for (const auto& worker : host.unread)
                add(worker);
        }
        for (const auto& silent : hosts.find_silent_hosts(now))
            add("\nsilent", silent.ref.name, silent.ref.incarnation, silent.held->size());
        add("\nstarted", started.known(), "withdrawn", withdrawn.size());
        return text.str();
    }
};

} // namespace

// A process that is short of processor time must not work through heartbeats that are out of date.
BOOST_AUTO_TEST_CASE(waiting_heartbeats_do_not_pile_up)
{
    peer_inbox inbox({});
    for (std::uint64_t sequence = 1; sequence <= 16; ++sequence)
        for (int host = 0; host < 96; ++host)
            inbox.push(make_heartbeat({"h" + std::to_string(host), 1}, sequence));
    BOOST_TEST(inbox.waiting() == 96U);
    BOOST_TEST(inbox.superseded() == 15U * 96U);
    BOOST_TEST(!inbox.full());
    for (const auto sequence : take_all(inbox))
        BOOST_TEST(sequence == 16);
    BOOST_TEST(inbox.waiting_bytes() == 0U);
}

// An offer must be handled before the heartbeats sent after it: it would be declined as overtaken.
BOOST_AUTO_TEST_CASE(an_offer_keeps_its_place_among_heartbeats)
{
    peer_inbox inbox({});
    const host_ref from{"h1", 1};
    for (const std::uint64_t sequence : {1, 2})
        inbox.push(make_heartbeat(from, sequence));
    inbox.push(make_offer(from, 1, 2));
    for (const std::uint64_t sequence : {3, 4})
        inbox.push(make_heartbeat(from, sequence));
    const std::vector<std::int64_t> expected{2, -1, 4};
    BOOST_TEST(take_all(inbox) == expected, boost::test_tools::per_element());
}

// What a heartbeat says once must not be lost with it.
BOOST_AUTO_TEST_CASE(a_heartbeat_that_carries_more_than_the_next_one_is_kept)
{
    const std::size_t max_announced = 3;
    const auto next = make_heartbeat({"h1", 1}, 2).pool_beat();
    const auto check = [&](bool replaced, const std::function<void(wire::PoolBeat&)>& change)
    {
        auto earlier = make_heartbeat({"h1", 1}, 1).pool_beat();
        change(earlier);
        BOOST_TEST(supersedes(next, earlier, max_announced) == replaced);
        auto same = earlier;
        same.set_sequence(2);
        if (earlier.started_size() < static_cast<int>(max_announced))
            BOOST_TEST(supersedes(same, earlier, max_announced));
    };
    check(true, [](auto&) {});
    check(true, [](auto& beat) { beat.set_settled(true); });
    check(true, [](auto& beat) { beat.add_unread("w1"); });
    check(true, [](auto& beat) { beat.add_started(5); });
    check(false, [](auto& beat) { beat.add_known("h2"); });
    check(false, [](auto& beat) { beat.add_withdrawn(9); });
    check(false, [](auto& beat) { beat.set_with_held(true); });
    check(false, [](auto& beat) { beat.set_echoed_incarnation(4); });
    check(false, [](auto& beat) { beat.set_echoed_sequence(4); });
    check(false, [](auto& beat) { beat.set_address("tcp://elsewhere"); });
    check(false,
          [](auto& beat)
          {
              for (const std::uint64_t job : {1, 2, 3})
                  beat.add_started(job);
          });
    // A late heartbeat of a former connection, and one of a former incarnation.
    BOOST_TEST(!supersedes(make_heartbeat({"h1", 1}, 1).pool_beat(), next, max_announced));
    peer_inbox inbox({});
    inbox.push(make_heartbeat({"h1", 1}, 1));
    inbox.push(make_heartbeat({"h1", 2}, 2));
    BOOST_TEST(inbox.waiting() == 2U);
    // A crash that only the earlier heartbeat lists must not be lost with it.
    auto with_crash = make_heartbeat({"h1", 1}, 1).pool_beat();
    auto later = make_heartbeat({"h1", 1}, 2).pool_beat();
    with_crash.add_crashes()->set_job(5);
    BOOST_TEST(!supersedes(later, with_crash, max_announced));
    later.add_crashes()->set_job(5);
    BOOST_TEST(supersedes(later, with_crash, max_announced));
    later.mutable_crashes(0)->set_state(1);
    BOOST_TEST(!supersedes(later, with_crash, max_announced));
}

// The memory for waiting messages must have a bound in messages and in bytes.
BOOST_AUTO_TEST_CASE(a_full_inbox_asks_its_owner_to_stop_reading_until_half_is_handled)
{
    peer_inbox by_count({10, 1'000'000, 4096});
    for (std::uint64_t offer = 1; offer <= 10; ++offer)
    {
        BOOST_TEST(!by_count.full());
        by_count.push(make_offer({"h1", 1}, offer, 1));
    }
    BOOST_TEST(by_count.full());
    for (int handled = 0; handled < 5; ++handled)
    {
        BOOST_TEST(!by_count.may_resume());
        by_count.take();
    }
    BOOST_TEST(by_count.may_resume());

    peer_inbox by_bytes({10, 1000, 4096});
    auto large = make_offer({"h1", 1}, 1, 1);
    large.mutable_pool_job()->set_payload(std::string(2000, 'x'));
    by_bytes.push(large);
    BOOST_TEST(by_bytes.full());
    BOOST_TEST(by_bytes.take().has_value());
    BOOST_TEST(by_bytes.may_resume());
    BOOST_TEST(by_bytes.empty());
}

// Guards against a host that is behind and starts jobs whose callers have given up: an offer that
// waits must not look as young as when it was sent.
BOOST_AUTO_TEST_CASE(the_age_of_an_offered_job_includes_its_wait_in_the_inbox)
{
    peer_inbox inbox({});
    auto offer = make_offer({"h1", 1}, 1, 1);
    offer.mutable_pool_job()->set_age_ms(30);
    inbox.push(offer, 1000ms);
    inbox.push(make_offer({"h1", 1}, 2, 1), 1200ms);
    BOOST_TEST(inbox.take(1700ms)->pool_job().age_ms() == 730U);
    BOOST_TEST(inbox.take(1700ms)->pool_job().age_ms() == 500U);
}

// One noisy host must not delay the heartbeats of the others.
BOOST_AUTO_TEST_CASE(hosts_take_turns)
{
    peer_inbox inbox({});
    for (std::uint64_t offer = 1; offer <= 300; ++offer)
        inbox.push(make_offer({"noisy", 1}, offer, 1));
    for (int host = 0; host < 20; ++host)
        inbox.push(make_heartbeat({"h" + std::to_string(host), 1}, 1));
    int heartbeats = 0;
    std::uint64_t last_offer = 0;
    for (int i = 0; i < 21; ++i)
    {
        const auto message = inbox.take();
        BOOST_REQUIRE(message.has_value());
        heartbeats += message->has_pool_beat() ? 1 : 0;
        if (message->has_pool_job())
            BOOST_TEST(message->pool_job().offer() == ++last_offer);
    }
    BOOST_TEST(heartbeats == 20);
}

// Random hosts send to two readers that are busy for random times, one of which handles every
// message in order and the other one through an inbox. Messages are lost or arrive late, hosts
// restart, and hosts learn of the reader's answers late.
BOOST_AUTO_TEST_CASE(handling_through_the_inbox_leads_to_the_same_state_as_handling_in_order)
{
    std::uint64_t superseded = 0;
    std::uint64_t offers = 0;
    std::uint64_t lists_of_hosts = 0;
    for (std::uint32_t seed = 1; seed <= 300; ++seed)
    {
        std::mt19937 random(seed);
        const auto chance = [&](std::uint32_t percent) { return random() % 100 < percent; };
        struct sending_host
        {
            host_ref ref;
            std::unique_ptr<membership> hosts;
            membership::announcement state;
            started_jobs started{{}};
            std::uint64_t offers = 0;
        };
        std::vector<std::unique_ptr<sending_host>> senders;
        const auto start = [&](microseconds now, const host_ref& ref)
        {
            auto host = std::make_unique<sending_host>();
            host->ref = ref;
            membership_settings settings;
            settings.self = ref;
            settings.address = "tcp://" + ref.name;
            host->hosts = std::make_unique<membership>(settings);
            action_list out;
            host->hosts->introduce(now, "reader", "tcp://reader", out);
            return host;
        };
        for (int i = 0; i < 4; ++i)
            senders.push_back(start(at_ms(0), {"h" + std::to_string(i), 1}));
        reader in_order;
        reader by_inbox;
        peer_inbox inbox({});
        std::vector<wire::PeerMessage> waiting;
        std::vector<wire::PeerMessage> late;
        const auto deliver = [&](const wire::PeerMessage& message)
        {
            if (chance(4))
                return; // lost
            if (chance(4))
                return late.push_back(message);
            lists_of_hosts += message.pool_beat().known_size() > 0 ? 1 : 0;
            waiting.push_back(message);
            inbox.push(message);
        };
        for (int round = 1; round <= 60; ++round)
        {
            const auto now = at_ms(round * 125);
            for (auto& host : senders)
            {
                if (chance(1))
                    host = start(now, {host->ref.name, host->ref.incarnation + 1});
                auto& state = host->state;
                state.started = &host->started;
                state.leaving = state.leaving || chance(1);
                state.load.free_cpu = random() % 1000;
                if (chance(20))
                {
                    ++state.held_version;
                    state.held.push_back("w" + std::to_string(random() % 100));
                    state.unread = {state.held.back()};
                }
                if (chance(30))
                    host->started.record(now, std::to_string(random()));
                if (chance(20))
                    host->hosts->withdraw(now, reader_ref, random() % 1000);
                if (auto heartbeat = tick_for_reader(*host->hosts, now, state))
                {
                    if (chance(30))
                        heartbeat->mutable_pool_beat()->set_interval_ms(500);
                    deliver(*heartbeat);
                    // Hosts that hear each other tell the reader so once it becomes alive.
                    action_list unused;
                    for (auto& other : senders)
                        if (chance(30))
                            other->hosts->on_heartbeat(now, host->ref, heartbeat->pool_beat(),
                                                       unused);
                }
                if (chance(20))
                    deliver(make_offer(host->ref, ++host->offers, host->hosts->sequence()));
            }
            if (!late.empty() && chance(30))
            {
                waiting.push_back(late.front());
                inbox.push(late.front());
                late.erase(late.begin());
            }
            if (!chance(25))
                continue; // the readers are busy
            for (const auto& message : std::exchange(waiting, {}))
                in_order.handle(now, message);
            while (const auto message = inbox.take())
                by_inbox.handle(now, *message);
            BOOST_REQUIRE_MESSAGE(in_order.state(now) == by_inbox.state(now),
                                  "seed " << seed << ", round " << round << ": in order"
                                          << in_order.state(now) << "\nby the inbox"
                                          << by_inbox.state(now));
            // The readers answer, and some hosts receive it.
            action_list out;
            in_order.hosts.tick(
                now, [] { return membership::announcement{}; }, out);
            action_list same;
            by_inbox.hosts.tick(
                now, [] { return membership::announcement{}; }, same);
            for (auto& action : out)
                for (auto& host : senders)
                    if (auto* sent = std::get_if<actions::send_peer>(&action);
                        sent && sent->host == host->ref.name && chance(80))
                        host->hosts->on_heartbeat(now, reader_ref, sent->message.pool_beat(), same);
        }
        // Each host's offers were handled in order, and found the same heartbeats handled.
        std::stable_sort(in_order.offers.begin(), in_order.offers.end(),
                         [](const auto& a, const auto& b)
                         { return std::get<0>(a) < std::get<0>(b); });
        std::stable_sort(by_inbox.offers.begin(), by_inbox.offers.end(),
                         [](const auto& a, const auto& b)
                         { return std::get<0>(a) < std::get<0>(b); });
        BOOST_TEST((in_order.offers == by_inbox.offers), "seed " << seed);
        superseded += inbox.superseded();
        offers += in_order.offers.size();
    }
    BOOST_TEST(superseded > 1000U);
    BOOST_TEST(offers > 1000U);
    BOOST_TEST(lists_of_hosts > 100U);
}
