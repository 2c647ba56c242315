// The longer interval of heartbeats between hosts that hold no workers.

#include "core/wire.hpp"
#include "harness/pool_simulation.hpp"
#include "pool/pool_host.hpp"
#include "tests/pool_helpers.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t announced_workers = 24;

// Hosts that exchange heartbeats without delay. The test sets what they hold, what is lost and who
// is dead.
class heartbeat_model
{
public:
    struct host
    {
        std::unique_ptr<membership> hosts;
        membership::announcement state;
        bool dead = false;
        std::uint64_t sent = 0;
        std::size_t peers_silent = 0; // reports of silent peers
        microseconds first_silent{-1};
    };

    explicit heartbeat_model(std::uint32_t host_count, std::uint32_t max_workers)
    {
        for (std::uint32_t i = 0; i < host_count; ++i)
        {
            auto added = std::make_unique<host>();
            membership_settings settings;
            settings.self = {name(i), 1};
            settings.address = name(i);
            added->hosts = std::make_unique<membership>(settings);
            added->state.max_workers = max_workers;
            added->state.held_version = 1;
            m_hosts.push_back(std::move(added));
        }
        action_list out;
        for (auto& each : m_hosts)
            for (std::uint32_t i = 0; i < host_count; ++i)
                each->hosts->introduce(m_now, name(i), name(i), out);
    }

    static std::string name(std::uint32_t i) { return "h" + std::to_string(1000 + i); }
    host& at(std::uint32_t i) { return *m_hosts[i]; }
    const peer& seen(std::uint32_t viewer, std::uint32_t i)
    {
        return *at(viewer).hosts->find(name(i));
    }
    microseconds now() const { return m_now; }
    void hold(std::uint32_t i, std::vector<std::string> workers)
    {
        auto& changed = at(i);
        changed.state.held = std::move(workers);
        ++changed.state.held_version;
        changed.hosts->expedite_heartbeats();
    }
    // Decides whether a heartbeat from one host to another is lost.
    std::function<bool(std::uint32_t, std::uint32_t)> lost = [](auto, auto) { return false; };
    // Called for each heartbeat that arrives.
    std::function<void(std::uint32_t, std::uint32_t, const wire::PoolBeat&)> observe =
        [](auto, auto, const auto&) {};

    // The timers run every 20 ms, as in the daemon, at another moment for each host.
    void run(milliseconds period)
    {
        for (const auto end = m_now + period; m_now < end; m_now += 1ms)
            for (std::uint32_t i = 0; i < m_hosts.size(); ++i)
                if ((m_now / 1ms + i) % 20 == 0)
                    tick(i);
    }
    std::size_t reports_of_silence() const
    {
        std::size_t reports = 0;
        for (const auto& each : m_hosts)
            reports += each->peers_silent;
        return reports;
    }

private:
    void tick(std::uint32_t i)
    {
        if (at(i).dead)
            return;
        action_list out;
        at(i).hosts->tick(
            m_now, [&] { return at(i).state; }, out);
        deliver(i, out);
    }
    void deliver(std::uint32_t from, action_list& out)
    {
        auto& sender = at(from);
        for (auto& action : out)
        {
            if (const auto* event = std::get_if<actions::log_event>(&action);
                event != nullptr && event->text.starts_with("event=peer_silent"))
            {
                ++sender.peers_silent;
                if (sender.first_silent.count() < 0)
                    sender.first_silent = m_now;
            }
            const auto* message = std::get_if<actions::send_peer>(&action);
            if (message == nullptr)
                continue;
            ++sender.sent;
            const auto to = static_cast<std::uint32_t>(std::stoul(message->host.substr(1)) - 1000);
            auto& receiver = at(to);
            if (receiver.dead || lost(from, to))
                continue;
            const auto& heartbeat = message->message.pool_beat();
            observe(from, to, heartbeat);
            action_list answers;
            receiver.hosts->on_heartbeat(m_now, {name(from), 1}, heartbeat, answers);
            receiver.hosts->answer(
                m_now, name(from), [&] { return receiver.state; }, answers);
            deliver(to, answers);
        }
    }

    microseconds m_now{1000000};
    std::vector<std::unique_ptr<host>> m_hosts;
};

// Time after which the longer interval is in use: both hosts are settled and alive for 3 s, and the
// announcement has been echoed.
constexpr milliseconds settled_period{6000};

// One host without workers beside scripted peers, of which the first `holder_count` hold a worker
// each. A peer echoes what has been sent to it.
class idle_host
{
public:
    idle_host(std::uint32_t host_count, std::uint32_t holder_count, std::uint32_t max_workers)
        : m_holder_count(holder_count), m_max_workers(max_workers), m_echoed(host_count - 1)
    {
        for (std::uint32_t i = 0; i < m_echoed.size(); ++i)
            m_hosts.introduce(m_now, heartbeat_model::name(i), heartbeat_model::name(i), m_out);
    }
    void run(milliseconds period)
    {
        for (const auto end = m_now + period; m_now < end; m_now += 20ms)
        {
            if (m_now / 20ms % 7 == 0)
                hear_all();
            m_out.clear();
            membership::announcement state;
            state.held_version = 1;
            state.max_workers = m_max_workers;
            m_hosts.tick(
                m_now, [&] { return state; }, m_out);
            std::size_t count = 0;
            for (const auto& action : m_out)
            {
                const auto* message = std::get_if<actions::send_peer>(&action);
                if (message == nullptr)
                    continue;
                ++count;
                m_echoed[std::stoul(message->host.substr(1)) - 1000] =
                    message->message.pool_beat().sequence();
            }
            sent += count;
            largest_round = std::max(largest_round, count);
        }
    }
    const membership& hosts() const { return m_hosts; }
    std::size_t sent = 0;
    std::size_t largest_round = 0;

private:
    void hear_all()
    {
        ++m_sequence;
        for (std::uint32_t i = 0; i < m_echoed.size(); ++i)
        {
            const auto name = heartbeat_model::name(i);
            wire::PoolBeat heartbeat;
            heartbeat.set_sequence(m_sequence);
            heartbeat.set_address(name);
            heartbeat.set_settled(true);
            heartbeat.set_max_workers(m_max_workers);
            heartbeat.set_held_version(1);
            heartbeat.set_with_held(true);
            if (i < m_holder_count)
                heartbeat.add_held("w" + std::to_string(i));
            else if (m_max_workers > 0)
                heartbeat.set_interval_ms(500);
            heartbeat.set_held_count(static_cast<std::uint32_t>(heartbeat.held_size()));
            heartbeat.set_echoed_incarnation(1);
            heartbeat.set_echoed_sequence(m_echoed[i]);
            heartbeat.set_echoed_held_version(1);
            m_hosts.on_heartbeat(m_now, {name, 1}, heartbeat, m_out);
        }
    }

    std::uint32_t m_holder_count;
    std::uint32_t m_max_workers;
    std::vector<std::uint64_t> m_echoed;
    std::uint64_t m_sequence = 0;
    microseconds m_now{1000000};
    action_list m_out;
    membership m_hosts{[]
                       {
                           membership_settings settings;
                           settings.self = {"h0", 1};
                           settings.address = "h0";
                           return settings;
                       }()};
};

// Heartbeats a second that a host without workers sends, measured over 8 s.
double messages_per_second(std::uint32_t host_count, std::uint32_t holder_count,
                           std::uint32_t max_workers)
{
    idle_host model(host_count, holder_count, max_workers);
    model.run(settled_period);
    const auto before = model.sent;
    constexpr std::chrono::seconds measured{8};
    model.run(measured);
    return static_cast<double>(model.sent - before) / static_cast<double>(measured.count());
}

} // namespace

// Guards against weak hosts that spend their processors on heartbeats: a host sent some 280
// messages a second to 36 others, whether they held workers or not. Three data centres, in each of
// which six hosts hold workers.
BOOST_AUTO_TEST_CASE(hosts_without_workers_exchange_a_quarter_of_the_heartbeats)
{
    constexpr std::uint32_t holders = 18;
    for (const std::uint32_t hosts : {40, 100, 300})
    {
        const auto before = messages_per_second(hosts, holders, 0);
        const auto after = messages_per_second(hosts, holders, announced_workers);
        BOOST_TEST_MESSAGE(hosts << " hosts: " << before << " messages a second, with announced "
                                 << "capacities " << after);
        // The default interval to holders, a quarter of that to the others.
        const auto expected = before * (holders + (hosts - 1 - holders) / 4.0) / (hosts - 1);
        BOOST_TEST(after > 0.95 * expected);
        BOOST_TEST(after < 1.05 * expected);
    }
}

// Guards against rounds in which all slow heartbeats go out: the messages of a round would take a
// weak host as long as before.
BOOST_AUTO_TEST_CASE(slow_heartbeats_are_spread_over_the_rounds)
{
    idle_host model(100, 0, announced_workers);
    model.run(settled_period);
    BOOST_TEST(model.hosts().count_slow_peers() == 99U);
    model.largest_round = 0;
    model.run(5000ms);
    // A quarter is 25; 40 is more than three standard deviations above it.
    BOOST_TEST(model.largest_round < 40U);
    BOOST_TEST(model.largest_round > 0U);
}

// Guards against a change for deployments that announce no capacity, wholly or in part.
BOOST_AUTO_TEST_CASE(hosts_that_announce_no_capacity_keep_the_default_interval)
{
    heartbeat_model model(4, announced_workers);
    model.at(0).state.max_workers = 0;
    model.observe = [&](std::uint32_t from, std::uint32_t to, const wire::PoolBeat& heartbeat)
    { BOOST_TEST((heartbeat.interval_ms() == 0 || (from != 0 && to != 0))); };
    model.run(settled_period);
    BOOST_TEST(model.at(0).hosts->count_slow_peers() == 0U);
    BOOST_TEST(model.at(1).hosts->count_slow_peers() == 2U);
    const auto before = model.at(0).sent;
    model.run(2800ms);
    // 20 rounds of 140 ms, as the timers run every 20 ms.
    BOOST_TEST(model.at(0).sent - before == 60U);
}

// Guards against a longer interval that begins before both hosts know each other for 3 s, and
// against one between hosts of which one is overloaded, not settled or has jobs.
BOOST_AUTO_TEST_CASE(the_longer_interval_has_conditions_on_both_sides)
{
    {
        heartbeat_model model(2, announced_workers);
        model.run(3000ms);
        BOOST_TEST(model.at(0).hosts->count_slow_peers() == 0U);
        model.run(1000ms);
        BOOST_TEST(model.at(0).hosts->count_slow_peers() == 1U);
        BOOST_TEST(model.at(1).hosts->count_slow_peers() == 1U);
    }
    const std::vector<std::function<void(membership::announcement&)>> changes{[](auto& state) { state.overloaded = true; },
                                                                              [](auto& state) { state.leaving = true; },
                                                                              [](auto& state) { state.open_jobs = 1; },
                                                                              [](auto& state) { state.pools_in_use = {"h1001"}; },
                                                                              [](auto& state) { state.max_workers = 0; },
                                                                              [](auto& state) { state.held = {"w1"}; }};
    for (const auto& change : changes)
    {
        heartbeat_model model(2, announced_workers);
        change(model.at(0).state);
        model.run(settled_period);
        BOOST_TEST(model.at(0).hosts->count_slow_peers() == 0U);
        BOOST_TEST(model.at(1).hosts->count_slow_peers() == 0U);
        // The same change ends the interval where it is in use.
        heartbeat_model later(2, announced_workers);
        later.run(settled_period);
        BOOST_TEST(later.at(1).hosts->count_slow_peers() == 1U);
        change(later.at(0).state);
        // At the latest in the next round, of 140 ms.
        later.run(160ms);
        BOOST_TEST(later.at(0).hosts->count_slow_peers() == 0U);
        BOOST_TEST(later.at(1).hosts->count_slow_peers() == 0U);
    }
}

// Guards against hosts that live and are called silent, because heartbeats are lost: one of a
// hundred, but never two of one pair within a second.
BOOST_AUTO_TEST_CASE(lost_heartbeats_make_no_living_host_silent)
{
    heartbeat_model model(20, announced_workers);
    model.run(settled_period);
    std::mt19937 random(1);
    std::uint64_t lost = 0;
    std::map<std::pair<std::uint32_t, std::uint32_t>, microseconds> last_lost;
    model.lost = [&](std::uint32_t from, std::uint32_t to)
    {
        // Never two in a row of one pair.
        auto& last = last_lost[{from, to}];
        if (random() % 100 != 0 || model.now() - last < 1000ms)
            return false;
        last = model.now();
        ++lost;
        return true;
    };
    model.run(60000ms);
    BOOST_TEST(lost > 100U);
    BOOST_TEST(model.reports_of_silence() == 0U);
}

// Guards against an announcement that is lost: the peer would expect the default interval while
// heartbeats already arrive at the longer one.
BOOST_AUTO_TEST_CASE(the_longer_interval_is_used_only_after_its_announcement_was_echoed)
{
    heartbeat_model model(2, announced_workers);
    model.lost = [&](std::uint32_t from, std::uint32_t)
    { return from == 0 && model.now() > 3500ms && model.now() < 3900ms; };
    std::uint64_t sent = 0;
    for (int i = 0; i < 400; ++i)
    {
        sent = model.at(0).sent;
        model.run(20ms);
        if (model.at(0).hosts->count_slow_peers() > 0)
            BOOST_TEST(model.seen(1, 0).interval == 500ms);
    }
    BOOST_TEST(sent > 0U);
    BOOST_TEST(model.at(0).hosts->count_slow_peers() == 1U);
    BOOST_TEST(model.reports_of_silence() == 0U);
}

// Guards against a host that ends unnoticed: it is found within `dead_timeout` plus the difference
// of the intervals, and one round of timers.
BOOST_AUTO_TEST_CASE(a_dead_host_is_found_within_the_timeout_of_its_interval)
{
    const membership_settings settings;
    const auto timeout =
        settings.dead_timeout + settings.slow_heartbeat_interval - settings.heartbeat_interval;
    for (int offset = 0; offset < 600; offset += 20)
    {
        heartbeat_model model(4, announced_workers);
        model.run(settled_period + milliseconds{offset});
        model.at(0).dead = true;
        const auto died = model.now();
        BOOST_TEST(model.at(1).hosts->alive(heartbeat_model::name(0), died));
        model.run(timeout);
        for (std::uint32_t i = 1; i < 4; ++i)
        {
            BOOST_TEST(!model.at(i).hosts->alive(heartbeat_model::name(0), model.now()));
            BOOST_TEST(!model.at(i).hosts->may_be_alive(heartbeat_model::name(0), model.now()));
        }
        model.run(160ms);
        BOOST_TEST(model.reports_of_silence() == 3U);
        for (std::uint32_t i = 1; i < 4; ++i)
            BOOST_TEST(model.at(i).first_silent <= died + timeout + 160ms);
    }
}

// Guards against a pool that its peers hear rarely, or that declines the first offers because the
// echoes of its heartbeats are old.
BOOST_AUTO_TEST_CASE(a_host_with_its_first_worker_is_heard_and_echoed_at_once)
{
    for (int offset = 0; offset < 600; offset += 20)
    {
        heartbeat_model model(10, announced_workers);
        model.run(settled_period + milliseconds{offset});
        BOOST_REQUIRE(model.at(0).hosts->count_slow_peers() == 9U);
        model.hold(0, {"w1"});
        model.run(20ms);
        std::map<std::uint32_t, microseconds> last_heard;
        milliseconds longest{0};
        for (std::uint32_t i = 1; i < 10; ++i)
        {
            BOOST_TEST(model.seen(i, 0).held.contains("w1"));
            BOOST_TEST(model.seen(i, 0).interval == 125ms);
            const auto echo = model.seen(0, i).echo_sent;
            BOOST_TEST(model.now() - echo <= 20ms);
            BOOST_TEST(
                model.at(0).hosts->receives_heartbeats({heartbeat_model::name(i), 1}, model.now()));
            last_heard[i] = model.now();
        }
        model.observe = [&](std::uint32_t from, std::uint32_t to, const auto&)
        {
            if (from != 0)
                return;
            longest = std::max(
                longest, std::chrono::duration_cast<milliseconds>(model.now() - last_heard.at(to)));
            last_heard[to] = model.now();
        };
        model.run(2000ms);
        BOOST_TEST(longest <= 145ms); // the interval and one round of timers
        // The others go on as before among themselves.
        BOOST_TEST(model.at(1).hosts->count_slow_peers() == 8U);
        BOOST_TEST(model.reports_of_silence() == 0U);
        // The interval begins again once the host holds none.
        model.hold(0, {});
        model.run(2000ms);
        BOOST_TEST(model.at(0).hosts->count_slow_peers() == 9U);
    }
}

// Guards against early news that a single lost heartbeat delays by the longer interval.
BOOST_AUTO_TEST_CASE(an_early_round_goes_to_all_and_is_repeated_until_it_is_echoed)
{
    heartbeat_model model(10, announced_workers);
    model.run(settled_period);
    BOOST_REQUIRE(model.at(0).hosts->count_slow_peers() == 9U);
    std::uint64_t dropped = 0;
    std::uint64_t arrived = 0;
    model.lost = [&](std::uint32_t from, std::uint32_t) { return from == 0 && ++dropped <= 9; };
    model.observe = [&](std::uint32_t from, std::uint32_t, const auto&)
    { arrived += from == 0 ? 1 : 0; };
    model.at(0).hosts->expedite_heartbeats();
    model.run(20ms);
    BOOST_TEST(dropped >= 9U);
    BOOST_TEST(arrived == 0U);
    model.run(140ms);
    BOOST_TEST(arrived >= 9U);
    // Peers that missed a due heartbeat keep the default interval for 3 s.
    model.run(5000ms);
    BOOST_TEST(model.at(0).hosts->count_slow_peers() == 9U);
    BOOST_TEST(model.reports_of_silence() == 0U);
}

// Guards against echoes that are no longer known: early rounds fill the list of own heartbeats
// while an echo at the longer interval is a second old.
BOOST_AUTO_TEST_CASE(old_echoes_are_known_after_many_early_rounds)
{
    heartbeat_model model(2, announced_workers);
    model.run(settled_period);
    wire::PoolBeat echo;
    echo.set_address("h1001");
    echo.set_echoed_incarnation(1);
    echo.set_echoed_sequence(model.at(0).hosts->sequence());
    const auto sent = model.now();
    model.lost = [](auto, auto) { return true; };
    for (int i = 0; i < 100; ++i)
    {
        model.at(0).hosts->expedite_heartbeats();
        model.run(20ms);
    }
    echo.set_sequence(1000000);
    action_list out;
    model.at(0).hosts->on_heartbeat(model.now(), {"h1001", 1}, echo, out);
    BOOST_TEST(model.seen(0, 1).echo_sent.count() > 0);
    BOOST_TEST(sent - model.seen(0, 1).echo_sent <= 145ms);
}

// Guards against a host that pauses and is not settled until slow heartbeats have arrived.
BOOST_AUTO_TEST_CASE(a_host_settles_after_a_pause_as_soon_as_at_the_default_interval)
{
    for (int offset = 0; offset < 600; offset += 60)
    {
        heartbeat_model model(6, announced_workers);
        model.run(settled_period + milliseconds{offset});
        auto& paused = model.at(0);
        paused.dead = true;
        model.run(400ms);
        paused.dead = false;
        model.run(20ms);
        BOOST_TEST(!paused.hosts->settled(model.now()));
        model.run(milliseconds{170}); // `min_settle_time` and one round of timers
        BOOST_TEST(paused.hosts->settled(model.now()));
        BOOST_TEST(paused.hosts->has_caught_up(model.now()));
        BOOST_TEST(!paused.hosts->partitioned(model.now()));
        BOOST_TEST(paused.hosts->hears_enough_hosts(model.now()));
    }
}

// Guards against an interval out of range: a host that announces an hour would never be silent.
BOOST_AUTO_TEST_CASE(an_announced_interval_is_bounded)
{
    membership_settings settings;
    settings.self = {"h0", 1};
    const auto timeout_with = [&](std::uint32_t interval_ms)
    {
        membership hosts(settings);
        action_list out;
        hosts.tick(
            at_ms(1000), [] { return membership::announcement{}; }, out);
        wire::PoolBeat heartbeat;
        heartbeat.set_sequence(1);
        heartbeat.set_address("h1");
        heartbeat.set_interval_ms(interval_ms);
        hosts.on_heartbeat(at_ms(1000), {"h1", 1}, heartbeat, out);
        std::int64_t ms = 1000;
        while (hosts.alive("h1", at_ms(ms)))
            ++ms;
        return ms - 1000;
    };
    BOOST_TEST(timeout_with(0) == 450);
    BOOST_TEST(timeout_with(10) == 450);
    BOOST_TEST(timeout_with(125) == 450);
    BOOST_TEST(timeout_with(500) == 825);
    BOOST_TEST(timeout_with(1000) == 1325);
    BOOST_TEST(timeout_with(4000000000U) == 1325);
}

// Guards against a planned stop that peers hear of late, and send calls to the host meanwhile.
BOOST_AUTO_TEST_CASE(a_planned_stop_ends_the_longer_interval_at_once)
{
    harness::pool_simulation_settings settings;
    settings.data_centres = 1;
    settings.hosts_per_centre = 6;
    settings.workers_per_centre = 4;
    settings.processor.share = 0.25;
    settings.processor.first_shares = {0.5};
    for (int offset = 0; offset < 600; offset += 100)
    {
        harness::pool_simulation simulation(settings);
        simulation.run_until(8s + milliseconds{offset});
        // The first host holds the workers, the other five none.
        BOOST_REQUIRE(simulation.host(0)->workers().held().size() == 4U);
        BOOST_REQUIRE(simulation.host(5)->hosts().count_slow_peers() == 4U);
        simulation.stop_host(5);
        simulation.run_until(simulation.now() + 50ms); // a round of timers and the delays
        BOOST_TEST(simulation.host(5)->hosts().count_slow_peers() == 0U);
        for (std::uint32_t i = 0; i < 5; ++i)
        {
            const auto* leaving = simulation.host(i)->hosts().find("dc1-h6");
            BOOST_REQUIRE(leaving != nullptr);
            BOOST_TEST(leaving->leaving);
        }
    }
}

// Guards against calls that wait for the next slow heartbeats: the only pool ends, and a host that
// has exchanged slow heartbeats with the others acquires its workers. The same run at the default
// interval tells which calls the loss of the pool itself costs.
BOOST_AUTO_TEST_CASE(calls_are_served_by_a_pool_that_has_just_acquired_its_first_workers)
{
    constexpr int calls = 40;
    const auto served = [](milliseconds interval)
    {
        harness::pool_simulation_settings settings;
        settings.data_centres = 1;
        settings.hosts_per_centre = 6;
        settings.workers_per_centre = 4;
        settings.processor.share = 0.25;
        settings.processor.first_shares = {0.5};
        settings.host.membership.slow_heartbeat_interval = interval;
        harness::pool_simulation simulation(settings);
        simulation.run_until(8s);
        BOOST_REQUIRE(simulation.host(0)->workers().held().size() == 4U);
        BOOST_TEST(simulation.host(1)->hosts().count_slow_peers() == (interval > 125ms ? 4U : 0U));
        simulation.kill_host(0);
        for (int i = 0; i < calls; ++i)
            simulation.at(8s + 100ms * i,
                          [&simulation, i]
                          {
                              simulation.submit(1 + static_cast<std::uint32_t>(i % 5),
                                                "j" + std::to_string(i), 1, usual_task, 60ms, true);
                          });
        simulation.run_until(20s);
        std::set<int> complete;
        for (int i = 0; i < calls; ++i)
        {
            const auto* call = simulation.last_call("j" + std::to_string(i));
            if (call->answer.kind == answer_kind::ok)
                complete.insert(i);
            else
                BOOST_TEST_MESSAGE("interval " << interval.count() << " ms, call " << i << ": "
                                               << name_of(call->answer.kind) << ", "
                                               << call->answer.detail);
        }
        for (const auto& violation : simulation.violations())
            BOOST_ERROR(violation);
        return complete;
    };
    const auto slow = served(500ms);
    const auto usual = served(125ms);
    BOOST_TEST(std::includes(slow.begin(), slow.end(), usual.begin(), usual.end()));
}
