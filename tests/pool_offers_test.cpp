// A caller's job at pools: a host may place it anew, or let its caller come back elsewhere, only
// once the pool that had it runs nothing of it any more.

#include "harness/pool_simulation.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace egretledge::harness;
using namespace std::chrono_literals;

namespace
{

// A job whose host does not hear its pool for a while, played for each place of that time between
// two heartbeats, and for callers' hosts that would and would not be the ones to take the pool's
// workers over.
struct silence_case
{
    milliseconds phase{0};
    milliseconds silence{0};
    std::uint32_t pool = 0;
    std::uint32_t caller = 0;
};

void for_each_silence(const std::function<void(pool_simulation&, const silence_case&)>& play)
{
    for (auto phase = 0ms; phase < 130ms; phase += 20ms)
        for (const auto silence : {470ms, 520ms, 570ms})
            for (std::uint32_t other = 1; other < 3; ++other)
            {
                pool_simulation_settings settings;
                settings.hosts_per_centre = 3;
                pool_simulation world(settings);
                world.run_until(at_ms(2500) + phase);
                silence_case about{phase, silence, 0, 0};
                while (world.host(about.pool)->workers().held().empty())
                    ++about.pool;
                about.caller = (about.pool + other) % 3;
                play(world, about);
                world.run_until(at_ms(9000));
                for (const auto& violation : world.violations())
                    BOOST_ERROR("phase " << phase.count() << ", silent for " << silence.count()
                                         << " ms, caller at " << about.caller << ": " << violation);
            }
}

void fall_silent(pool_simulation& world, const silence_case& about)
{
    world.cut_one_way(about.pool, about.caller, true);
    world.run_until(world.now() + about.silence);
    world.cut_one_way(about.pool, about.caller, false);
}

// An entry with its parts, fed with heartbeats and results by hand.
struct entry_by_hand
{
    membership peers;
    worker_pool own{{}, 1};
    started_jobs started{{}};
    call_router calls;
    action_list out;
    std::uint64_t beats = 0;
    const std::string first_pool = "h2";
    const std::string second_pool = "h3";

    entry_by_hand() : peers(settings()), calls({}, peers, own, started) {}

    static membership_settings settings()
    {
        membership_settings about;
        about.self = {"h1", 1};
        about.data_centre = "dc1";
        about.address = "h1";
        return about;
    }
    void beat(microseconds now, const std::string& host, const std::string& worker,
              milliseconds wait, std::uint64_t echoed = 0, bool leaving = false)
    {
        wire::PoolBeat text;
        text.set_sequence(++beats);
        text.set_data_centre("dc1");
        text.set_address(host);
        text.set_settled(true);
        text.set_leaving(leaving);
        text.set_held_version(1);
        text.set_with_held(true);
        text.add_held(worker);
        text.set_held_count(1);
        text.set_free_cpu(16000);
        text.set_total_cpu(16000);
        text.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
        text.set_echoed_sequence(echoed);
        text.set_echoed_incarnation(1);
        peers.on_heartbeat(now, {host, 1}, text, out);
    }
    void tick(microseconds now)
    {
        peers.tick(
            now, [] { return membership::announcement{}; }, out);
        calls.tick(now, out);
    }
    void submit(microseconds now, std::uint64_t call = 1)
    {
        job_request job;
        job.id = "job";
        job.steps.push_back({});
        job.steps.back().demand = a_task;
        job.steps.back().estimate = 900ms;
        job.terms = {"r", "desk", 0, 3, 1.6, 60ms, 6000ms};
        calls.submit({now, 0ms}, call, job, out);
    }
    // The offers of the job that were sent to a host.
    std::vector<wire::PoolJob> offers(const std::string& host) const
    {
        std::vector<wire::PoolJob> found;
        for (const auto& action : out)
            if (const auto* message = std::get_if<actions::send_peer>(&action);
                message != nullptr && message->host == host && message->message.has_pool_job())
                found.push_back(message->message.pool_job());
        return found;
    }
    void decline(microseconds now, const host_ref& host, const wire::PoolJob& offer)
    {
        wire::PoolResult result;
        result.set_offer(offer.offer());
        result.set_id(offer.id());
        result.set_kind(static_cast<std::uint32_t>(answer_kind::no_worker_fits));
        result.set_declined(true);
        calls.on_result(now, host, result, out);
    }
};

} // namespace

// Incident TWICE: a refusal of the first offer arrived after the second offer to the same pool.
BOOST_AUTO_TEST_CASE(a_late_refusal_of_an_earlier_offer_does_not_free_the_job_for_another_pool)
{
    entry_by_hand test;
    test.tick(at_ms(1000));
    test.beat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.beat(at_ms(1000), test.second_pool, "w2", 5ms);
    test.submit(at_ms(1010));
    BOOST_REQUIRE(test.offers(test.first_pool).size() == 1U);
    // The first pool's messages wait to be read, a refusal among them.
    for (auto ms = 1020; ms <= 2360; ms += 20)
    {
        test.beat(at_ms(ms), test.second_pool, "w2", 5ms);
        test.tick(at_ms(ms));
    }
    test.beat(at_ms(2370), test.first_pool, "w1", 50ms);
    test.tick(at_ms(2380));
    BOOST_REQUIRE(test.offers(test.first_pool).size() == 2U);
    test.decline(at_ms(2385), {test.first_pool, 1}, test.offers(test.first_pool).front());
    // From here on the first pool has the job by the second offer, and is heard all the time.
    for (auto ms = 2400; ms <= 4000; ms += 20)
    {
        test.beat(at_ms(ms), test.first_pool, "w1", 50ms);
        test.beat(at_ms(ms), test.second_pool, "w2", 5ms);
        test.tick(at_ms(ms));
    }
    BOOST_TEST(test.offers(test.second_pool).empty());
}

// Incident TWICE: the caller was told "unknown" and came back, while the pool, which had only not
// been heard for half a second, went on with the job.
BOOST_AUTO_TEST_CASE(a_pool_that_is_heard_again_stops_what_its_caller_was_told_unknown_of)
{
    std::size_t told = 0;
    for_each_silence(
        [&](pool_simulation& world, const silence_case& about)
        {
            world.submit(about.caller, "order", 2, a_task, 2500ms);
            world.run_until(world.now() + 100ms);
            fall_silent(world, about);
            world.run_until(world.now() + 500ms);
            const auto* call = world.last_call("order");
            if (call->answered.count() < 0)
                return; // the silence was too short to be noticed
            ++told;
            world.run_until(call->answered + 1300ms);
            world.submit(4, "order", 2, a_task, 2500ms);
        });
    BOOST_TEST(told > 0U);
}

// The same for a job that its caller's host places anew: the pool is stopping, so that it is not
// asked again.
BOOST_AUTO_TEST_CASE(a_stopping_pool_that_is_heard_again_keeps_its_job_or_stops_it)
{
    for_each_silence(
        [](pool_simulation& world, const silence_case& about)
        {
            world.submit(about.caller, "order", 2, a_task, 2000ms);
            world.run_until(world.now() + 100ms);
            world.stop_host(about.pool);
            fall_silent(world, about);
        });
}

// A cancellation is lost with the connection that carries it, and the caller comes back elsewhere.
BOOST_AUTO_TEST_CASE(a_cancellation_that_is_lost_on_its_way_still_reaches_the_pool)
{
    for_each_silence(
        [](pool_simulation& world, const silence_case& about)
        {
            constexpr milliseconds reconnect{20};
            world.submit(about.caller, "order", 2, a_task, 2500ms);
            world.run_until(world.now() + 200ms);
            world.cut_hosts(about.pool, about.caller, true);
            world.disconnect_caller("order");
            world.run_until(world.now() + reconnect);
            world.cut_hosts(about.pool, about.caller, false);
            world.run_until(world.now() + 1280ms);
            world.submit(4, "order", 2, a_task, 2500ms);
        });
}

// A pool that is heard again in time may still have the job, also while it is stopping: the job
// goes to no other pool before this one has answered.
BOOST_AUTO_TEST_CASE(a_job_stays_with_a_pool_that_is_heard_again_until_the_pool_declines_it)
{
    entry_by_hand test;
    const auto run = [&](std::int64_t from_ms, std::int64_t until_ms, bool first_heard)
    {
        for (auto ms = from_ms; ms <= until_ms; ms += 20)
        {
            if (first_heard)
                test.beat(at_ms(ms), test.first_pool, "w1", 0ms, 0, true);
            test.beat(at_ms(ms), test.second_pool, "w2", 5ms);
            test.tick(at_ms(ms));
        }
    };
    test.tick(at_ms(1000));
    test.beat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.beat(at_ms(1000), test.second_pool, "w2", 5ms);
    test.submit(at_ms(1010));
    run(1020, 1500, false);
    run(1520, 3500, true);
    BOOST_TEST(test.offers(test.first_pool).size() == 2U);
    BOOST_TEST(test.offers(test.second_pool).empty());
    test.decline(at_ms(3510), {test.first_pool, 1}, test.offers(test.first_pool).back());
    run(3520, 3700, true);
    BOOST_TEST(test.offers(test.second_pool).size() == 1U);
}

// A pool that is not heard is told of a withdrawn offer in every heartbeat until it has echoed one.
BOOST_AUTO_TEST_CASE(a_withdrawn_offer_is_repeated_in_heartbeats_until_one_is_echoed)
{
    entry_by_hand test;
    const auto withdrawn = [&]
    {
        std::vector<std::uint64_t> found;
        for (const auto& action : std::exchange(test.out, {}))
            if (const auto* message = std::get_if<actions::send_peer>(&action);
                message != nullptr && message->host == test.first_pool &&
                message->message.has_pool_beat())
                found.push_back(
                    static_cast<std::uint64_t>(message->message.pool_beat().withdrawn_size()));
        return found;
    };
    test.tick(at_ms(1000));
    test.beat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.submit(at_ms(1010));
    test.calls.on_caller_gone(at_ms(1020), 1, test.out);
    withdrawn();
    for (auto ms = 1040; ms < 1500; ms += 20)
        test.tick(at_ms(ms));
    const auto before = withdrawn();
    BOOST_REQUIRE(before.size() >= 3U);
    BOOST_TEST(std::count(before.begin(), before.end(), 1U) ==
               static_cast<std::ptrdiff_t>(before.size()));
    // The first heartbeat was sent before the offer was made: its echo tells nothing.
    test.beat(at_ms(1500), test.first_pool, "w1", 0ms, 1);
    test.tick(at_ms(1600));
    BOOST_TEST(withdrawn().back() == 1U);
    test.beat(at_ms(1610), test.first_pool, "w1", 0ms, 3);
    test.tick(at_ms(1740));
    BOOST_TEST(withdrawn().back() == 0U);
}

// An offer that was held up in a former connection comes after heartbeats of the new one, which may
// have withdrawn it.
BOOST_AUTO_TEST_CASE(an_offer_that_a_later_heartbeat_has_overtaken_is_declined)
{
    pool_host_settings settings;
    settings.membership.self = {"h1", 1};
    settings.membership.data_centre = "dc1";
    pool_host host(settings);
    action_list out;
    const auto receive = [&](std::int64_t ms, wire::PeerMessage message)
    {
        message.mutable_from()->set_name("h2");
        message.mutable_from()->set_incarnation(1);
        host.on_peer({at_ms(ms), milliseconds{ms}}, message, out);
    };
    const auto beat = [&](std::int64_t ms, std::uint64_t sequence)
    {
        host.tick({at_ms(ms), milliseconds{ms}}, out);
        wire::PeerMessage message;
        auto& text = *message.mutable_pool_beat();
        text.set_sequence(sequence);
        text.set_data_centre("dc1");
        text.set_address("h2");
        text.set_echoed_sequence(host.hosts().sequence());
        text.set_echoed_incarnation(1);
        receive(ms, message);
    };
    const auto offer = [&](std::int64_t ms, std::uint64_t sequence)
    {
        wire::PeerMessage message;
        auto& text = *message.mutable_pool_job();
        text.set_id("job" + std::to_string(sequence));
        text.set_offer(sequence);
        text.set_beat_sequence(sequence);
        text.set_wait_ms(3000);
        text.add_steps()->set_count(1);
        out.clear();
        receive(ms, message);
        for (const auto& action : out)
            if (const auto* reply = std::get_if<actions::send_peer>(&action))
                return reply->message.pool_result().detail();
        return std::string("no answer");
    };
    beat(1000, 1);
    beat(1200, 2);
    beat(1400, 3);
    BOOST_TEST(offer(1401, 2) == "overtaken by a heartbeat");
    BOOST_TEST(offer(1402, 3) != "overtaken by a heartbeat");
    // A heartbeat of the former connection is no sign of life either.
    beat(1800, 2);
    BOOST_TEST((host.hosts().find("h2")->last_heard == microseconds{at_ms(1400)}));
}

// A pool's host that began anew knows nothing of an offer to its former life, whose runs may go on.
BOOST_AUTO_TEST_CASE(a_refusal_by_the_next_life_of_a_pools_host_does_not_free_the_job)
{
    entry_by_hand test;
    test.tick(at_ms(1000));
    test.beat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.beat(at_ms(1000), test.second_pool, "w2", 5ms);
    test.submit(at_ms(1010));
    test.decline(at_ms(1020), {test.first_pool, 2}, test.offers(test.first_pool).front());
    BOOST_TEST(test.offers(test.second_pool).empty());
    test.decline(at_ms(1030), {test.first_pool, 1}, test.offers(test.first_pool).front());
    BOOST_TEST(test.offers(test.second_pool).size() == 1U);
}

// A caller that comes back on a new connection while its job waits for a silent pool changes
// nothing about that wait.
BOOST_AUTO_TEST_CASE(a_caller_that_comes_back_does_not_send_a_parked_job_out)
{
    entry_by_hand test;
    const auto run = [&](std::int64_t from_ms, std::int64_t until_ms)
    {
        for (auto ms = from_ms; ms <= until_ms; ms += 20)
        {
            test.beat(at_ms(ms), test.second_pool, "w2", 5ms);
            test.tick(at_ms(ms));
        }
    };
    test.tick(at_ms(1000));
    test.beat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.submit(at_ms(1010));
    run(1020, 1500);
    test.submit(at_ms(1510), 2);
    run(1520, 2400);
    BOOST_TEST(test.offers(test.first_pool).size() == 1U);
    BOOST_TEST(test.offers(test.second_pool).empty());
    run(2420, 2600); // all leases of the first pool are over at 2450 ms
    BOOST_TEST(test.offers(test.second_pool).size() == 1U);
}
