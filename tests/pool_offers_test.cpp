// Offers of a caller's job to pools. A host may offer the job to another pool, or let its caller
// retry at another host, only after the pool that had the job has ended all of its runs.

#include "harness/pool_simulation.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace egretledge::harness;
using namespace std::chrono_literals;

namespace
{

// A period in which the caller's host receives nothing from the pool. The tests vary its start
// between two heartbeats, its length and the caller's host, which would or would not be the one
// that acquires the pool's workers.
struct silence_case
{
    milliseconds phase{0};
    milliseconds silence{0};
    std::uint32_t pool = 0;
    std::uint32_t caller = 0;
};

void for_each_silence(const std::function<void(pool_simulation&, const silence_case&)>& run_case)
{
    for (auto phase = 0ms; phase < 130ms; phase += 20ms)
        for (const auto silence : {470ms, 520ms, 570ms})
            for (std::uint32_t other = 1; other < 3; ++other)
            {
                pool_simulation_settings settings;
                settings.hosts_per_centre = 3;
                pool_simulation sim(settings);
                sim.run_until(at_ms(2500) + phase);
                silence_case scenario{phase, silence, 0, 0};
                while (sim.host(scenario.pool)->workers().held().empty())
                    ++scenario.pool;
                scenario.caller = (scenario.pool + other) % 3;
                run_case(sim, scenario);
                sim.run_until(at_ms(9000));
                for (const auto& violation : sim.violations())
                    BOOST_ERROR("phase " << phase.count() << ", silent for " << silence.count()
                                         << " ms, caller at " << scenario.caller << ": "
                                         << violation);
            }
}

void silence_pool(pool_simulation& sim, const silence_case& scenario)
{
    sim.cut_one_way(scenario.pool, scenario.caller, true);
    sim.run_until(sim.now() + scenario.silence);
    sim.cut_one_way(scenario.pool, scenario.caller, false);
}

// The component that offers callers' jobs to pools, with its dependencies. The test supplies
// heartbeats and results.
struct router_fixture
{
    membership peers;
    worker_pool own{{}, 1};
    started_jobs started{{}};
    call_router calls;
    action_list out;
    std::uint64_t heartbeat_count = 0;
    const std::string first_pool = "h2";
    const std::string second_pool = "h3";

    router_fixture() : peers(settings()), calls({}, peers, own, started) {}

    static membership_settings settings()
    {
        membership_settings result;
        result.self = {"h1", 1};
        result.data_centre = "dc1";
        result.address = "h1";
        return result;
    }
    void heartbeat(microseconds now, const std::string& host, const std::string& worker,
                   milliseconds wait, std::uint64_t echoed = 0, bool leaving = false,
                   std::uint64_t free_cpu = 16000)
    {
        wire::PoolBeat contents;
        contents.set_sequence(++heartbeat_count);
        contents.set_data_centre("dc1");
        contents.set_address(host);
        contents.set_settled(true);
        contents.set_leaving(leaving);
        contents.set_held_version(1);
        contents.set_with_held(true);
        contents.add_held(worker);
        contents.set_held_count(1);
        contents.set_free_cpu(free_cpu);
        contents.set_total_cpu(16000);
        contents.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
        contents.set_echoed_sequence(echoed);
        contents.set_echoed_incarnation(1);
        peers.on_heartbeat(now, {host, 1}, contents, out);
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
        job.steps.back().demand = usual_task;
        job.steps.back().estimate = 900ms;
        job.terms = {"r", "desk", 0, 3, 1.6, 60ms, 6000ms};
        calls.submit({now, 0ms}, call, job, out);
    }
    // Returns the offers of the job that were sent to `host`.
    std::vector<wire::PoolJob> offers(const std::string& host) const
    {
        std::vector<wire::PoolJob> found;
        for (const auto& action : out)
            if (const auto* message = std::get_if<actions::send_peer>(&action);
                message != nullptr && message->host == host && message->message.has_pool_job())
                found.push_back(message->message.pool_job());
        return found;
    }
    void decline(microseconds now, const host_ref& host, const wire::PoolJob& offer,
                 answer_kind kind = answer_kind::no_worker_fits)
    {
        wire::PoolResult result;
        result.set_offer(offer.offer());
        result.set_id(offer.id());
        result.set_kind(static_cast<std::uint32_t>(kind));
        result.set_declined(true);
        calls.on_result(now, host, result, out);
    }
};

} // namespace

// Pattern: overload of a large deployment. Each refused job was offered to every pool, so that the
// hosts spent their time on offers that other hosts declined.
BOOST_AUTO_TEST_CASE(a_job_that_three_pools_have_no_room_for_is_refused_without_asking_the_others)
{
    router_fixture test;
    const std::vector<std::string> pools{"h2", "h3", "h4", "h5", "h6", "h7"};
    test.tick(at_ms(1000));
    for (std::size_t i = 0; i < pools.size(); ++i)
        test.heartbeat(at_ms(1000), pools[i], "w" + std::to_string(i), milliseconds{10 * i});
    test.submit(at_ms(1010));
    std::size_t offers = 0;
    for (bool offered = true; offered;)
    {
        offered = false;
        for (const auto& pool : pools)
            if (test.offers(pool).size() == 1 && offers < pools.size())
            {
                const auto offer = test.offers(pool).front();
                test.out.clear();
                ++offers;
                test.decline(at_ms(1011), {pool, 1}, offer, answer_kind::over_capacity);
                offered = true;
                break;
            }
    }
    BOOST_TEST(offers == 3U);
    BOOST_TEST(test.calls.idle());
}

// A pool without workers for the job says nothing about the others' room.
BOOST_AUTO_TEST_CASE(a_job_is_offered_on_to_the_only_pool_that_has_a_fitting_worker)
{
    router_fixture test;
    const std::vector<std::string> pools{"h2", "h3", "h4", "h5", "h6"};
    test.tick(at_ms(1000));
    for (std::size_t i = 0; i < pools.size(); ++i)
        test.heartbeat(at_ms(1000), pools[i], "w" + std::to_string(i), milliseconds{10 * i});
    test.submit(at_ms(1010));
    for (std::size_t i = 0; i + 1 < pools.size(); ++i)
    {
        BOOST_REQUIRE(test.offers(pools[i]).size() == 1U);
        test.decline(at_ms(1011), {pools[i], 1}, test.offers(pools[i]).front());
    }
    BOOST_TEST(test.offers(pools.back()).size() == 1U);
}

// Guards against two runs of one task (incident TWICE): a refusal of the first offer arrived after
// the second offer to the same pool.
BOOST_AUTO_TEST_CASE(a_late_refusal_of_an_earlier_offer_does_not_release_the_job_to_another_pool)
{
    router_fixture test;
    test.tick(at_ms(1000));
    test.heartbeat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.heartbeat(at_ms(1000), test.second_pool, "w2", 5ms);
    test.submit(at_ms(1010));
    BOOST_REQUIRE(test.offers(test.first_pool).size() == 1U);
    // The messages of the first pool are delayed, including a refusal.
    for (auto ms = 1020; ms <= 2360; ms += 20)
    {
        test.heartbeat(at_ms(ms), test.second_pool, "w2", 5ms);
        test.tick(at_ms(ms));
    }
    test.heartbeat(at_ms(2370), test.first_pool, "w1", 50ms);
    test.tick(at_ms(2380));
    BOOST_REQUIRE(test.offers(test.first_pool).size() == 2U);
    test.decline(at_ms(2385), {test.first_pool, 1}, test.offers(test.first_pool).front());
    // From here on the first pool has the job by the second offer, and its heartbeats keep
    // arriving.
    for (auto ms = 2400; ms <= 4000; ms += 20)
    {
        test.heartbeat(at_ms(ms), test.first_pool, "w1", 50ms);
        test.heartbeat(at_ms(ms), test.second_pool, "w2", 5ms);
        test.tick(at_ms(ms));
    }
    BOOST_TEST(test.offers(test.second_pool).empty());
}

// Guards against two runs of one task (incident TWICE): the caller received "unknown" and retried,
// while the pool, which had only been silent for half a second, went on with the job.
BOOST_AUTO_TEST_CASE(a_pool_heard_again_stops_a_job_whose_caller_was_answered_unknown)
{
    std::size_t answered_calls = 0;
    for_each_silence(
        [&](pool_simulation& sim, const silence_case& scenario)
        {
            sim.submit(scenario.caller, "order", 2, usual_task, 2500ms);
            sim.run_until(sim.now() + 100ms);
            silence_pool(sim, scenario);
            sim.run_until(sim.now() + 500ms);
            const auto* call = sim.last_call("order");
            if (call->answered.count() < 0)
                return; // the silence was too short to be detected
            ++answered_calls;
            sim.run_until(call->answered + 1300ms);
            sim.submit(4, "order", 2, usual_task, 2500ms);
        });
    BOOST_TEST(answered_calls > 0U);
}

// The same for a job that the caller's host reschedules: the pool is stopping, so that it gets no
// further offer.
BOOST_AUTO_TEST_CASE(a_stopping_pool_heard_again_keeps_or_stops_a_rescheduled_job)
{
    for_each_silence(
        [](pool_simulation& sim, const silence_case& scenario)
        {
            sim.submit(scenario.caller, "order", 2, usual_task, 2000ms);
            sim.run_until(sim.now() + 100ms);
            sim.stop_host(scenario.pool);
            silence_pool(sim, scenario);
        });
}

// Guards against two runs of one task: a cancellation is lost with its connection, and the caller
// retries at another host.
BOOST_AUTO_TEST_CASE(a_cancellation_lost_with_its_connection_still_reaches_the_pool)
{
    for_each_silence(
        [](pool_simulation& sim, const silence_case& scenario)
        {
            constexpr milliseconds reconnect{20};
            sim.submit(scenario.caller, "order", 2, usual_task, 2500ms);
            sim.run_until(sim.now() + 200ms);
            sim.cut_hosts(scenario.pool, scenario.caller, true);
            sim.disconnect_caller("order");
            sim.run_until(sim.now() + reconnect);
            sim.cut_hosts(scenario.pool, scenario.caller, false);
            sim.run_until(sim.now() + 1280ms);
            sim.submit(4, "order", 2, usual_task, 2500ms);
        });
}

// Guards against two runs of one task: a cancellation is lost in a cut, or while the pool is
// paused, that lasts until heartbeats no longer list the withdrawn offer.
BOOST_AUTO_TEST_CASE(a_pool_that_heard_no_withdrawal_in_time_has_cancelled_the_job_by_itself)
{
    for (const bool paused : {false, true})
        for_each_silence(
            [&](pool_simulation& sim, const silence_case& scenario)
            {
                const auto retry_delay = 1300ms;
                const auto cut =
                    membership_settings{}.max_withdrawal_age + scenario.silence - 450ms;
                sim.submit(scenario.caller, "order", 2, usual_task, 2500ms);
                sim.run_until(sim.now() + 200ms);
                sim.cut_hosts(scenario.pool, scenario.caller, true);
                if (paused)
                    sim.freeze_host(scenario.pool, cut);
                sim.disconnect_caller("order");
                sim.run_until(sim.now() + retry_delay);
                sim.submit(4, "order", 2, usual_task, 2500ms);
                sim.run_until(sim.now() + cut - retry_delay);
                sim.cut_hosts(scenario.pool, scenario.caller, false);
            });
}

// A pool whose heartbeats resume in time may still have the job, even while it is stopping. The job
// is offered to no other pool before this one has answered.
BOOST_AUTO_TEST_CASE(a_job_stays_with_a_pool_heard_again_until_that_pool_declines_it)
{
    router_fixture test;
    const auto run = [&](std::int64_t from_ms, std::int64_t until_ms, bool first_heard)
    {
        for (auto ms = from_ms; ms <= until_ms; ms += 20)
        {
            if (first_heard)
                test.heartbeat(at_ms(ms), test.first_pool, "w1", 0ms, 0, true);
            test.heartbeat(at_ms(ms), test.second_pool, "w2", 5ms);
            test.tick(at_ms(ms));
        }
    };
    test.tick(at_ms(1000));
    test.heartbeat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.heartbeat(at_ms(1000), test.second_pool, "w2", 5ms);
    test.submit(at_ms(1010));
    run(1020, 1500, false);
    run(1520, 3500, true);
    BOOST_TEST(test.offers(test.first_pool).size() == 2U);
    BOOST_TEST(test.offers(test.second_pool).empty());
    test.decline(at_ms(3510), {test.first_pool, 1}, test.offers(test.first_pool).back());
    run(3520, 3700, true);
    BOOST_TEST(test.offers(test.second_pool).size() == 1U);
}

// Every heartbeat to a silent pool lists a withdrawn offer until the pool has echoed such a
// heartbeat.
BOOST_AUTO_TEST_CASE(a_withdrawn_offer_is_repeated_in_heartbeats_until_one_is_echoed)
{
    router_fixture test;
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
    test.heartbeat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.submit(at_ms(1010));
    test.calls.on_caller_disconnected(at_ms(1020), 1, test.out);
    withdrawn();
    for (auto ms = 1040; ms < 1500; ms += 20)
        test.tick(at_ms(ms));
    const auto before = withdrawn();
    BOOST_REQUIRE(before.size() >= 3U);
    BOOST_TEST(std::count(before.begin(), before.end(), 1U) ==
               static_cast<std::ptrdiff_t>(before.size()));
    // The first heartbeat was sent before the offer was made, so that its echo proves nothing.
    test.heartbeat(at_ms(1500), test.first_pool, "w1", 0ms, 1);
    test.tick(at_ms(1600));
    BOOST_TEST(withdrawn().back() == 1U);
    test.heartbeat(at_ms(1610), test.first_pool, "w1", 0ms, 3);
    test.tick(at_ms(1740));
    BOOST_TEST(withdrawn().back() == 0U);
}

// Guards against accepting a withdrawn offer: an offer that was delayed in a former connection
// arrives after heartbeats of the new connection, which may have withdrawn it.
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
    const auto heartbeat = [&](std::int64_t ms, std::uint64_t sequence)
    {
        host.tick({at_ms(ms), milliseconds{ms}}, out);
        wire::PeerMessage message;
        auto& contents = *message.mutable_pool_beat();
        contents.set_sequence(sequence);
        contents.set_data_centre("dc1");
        contents.set_address("h2");
        contents.set_echoed_sequence(host.hosts().sequence());
        contents.set_echoed_incarnation(1);
        receive(ms, message);
    };
    const auto offer = [&](std::int64_t ms, std::uint64_t sequence)
    {
        wire::PeerMessage message;
        auto& contents = *message.mutable_pool_job();
        contents.set_id("job" + std::to_string(sequence));
        contents.set_offer(sequence);
        contents.set_beat_sequence(sequence);
        contents.set_wait_ms(3000);
        contents.add_steps()->set_count(1);
        out.clear();
        receive(ms, message);
        for (const auto& action : out)
            if (const auto* reply = std::get_if<actions::send_peer>(&action))
                return reply->message.pool_result().detail();
        return std::string("no answer");
    };
    heartbeat(1000, 1);
    heartbeat(1200, 2);
    heartbeat(1400, 3);
    BOOST_TEST(offer(1401, 2) == "overtaken by a heartbeat");
    BOOST_TEST(offer(1402, 3) != "overtaken by a heartbeat");
    // A heartbeat of the former connection does not count as a sign of life either.
    heartbeat(1800, 2);
    BOOST_TEST((host.hosts().find("h2")->last_heard == microseconds{at_ms(1400)}));
}

// A restarted pool host knows nothing of an offer to its former incarnation, whose runs may go on.
BOOST_AUTO_TEST_CASE(a_refusal_by_a_restarted_pool_host_does_not_release_the_job)
{
    router_fixture test;
    test.tick(at_ms(1000));
    test.heartbeat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.heartbeat(at_ms(1000), test.second_pool, "w2", 5ms);
    test.submit(at_ms(1010));
    test.decline(at_ms(1020), {test.first_pool, 2}, test.offers(test.first_pool).front());
    BOOST_TEST(test.offers(test.second_pool).empty());
    test.decline(at_ms(1030), {test.first_pool, 1}, test.offers(test.first_pool).front());
    BOOST_TEST(test.offers(test.second_pool).size() == 1U);
}

// Guards against two runs of one task: a caller that reconnects while its job is held back for a
// silent pool must not shorten that wait.
BOOST_AUTO_TEST_CASE(a_reconnecting_caller_does_not_release_a_held_back_job)
{
    router_fixture test;
    const auto run = [&](std::int64_t from_ms, std::int64_t until_ms)
    {
        for (auto ms = from_ms; ms <= until_ms; ms += 20)
        {
            test.heartbeat(at_ms(ms), test.second_pool, "w2", 5ms);
            test.tick(at_ms(ms));
        }
    };
    test.tick(at_ms(1000));
    test.heartbeat(at_ms(1000), test.first_pool, "w1", 0ms);
    test.submit(at_ms(1010));
    run(1020, 1500);
    test.submit(at_ms(1510), 2);
    run(1520, 2400);
    BOOST_TEST(test.offers(test.first_pool).size() == 1U);
    BOOST_TEST(test.offers(test.second_pool).empty());
    run(2420, 2600); // all leases of the first pool have expired at 2450 ms
    BOOST_TEST(test.offers(test.second_pool).size() == 1U);
}

// Pattern: two hosts share the workers of a data centre. Guards against callers' hosts that fill
// the pool whose name comes first, on its slow workers too, while the other one is idle.
BOOST_AUTO_TEST_CASE(of_two_pools_with_room_the_emptier_one_gets_the_job)
{
    router_fixture test;
    test.heartbeat(at_ms(1), test.first_pool, "w1", 0ms, 0, false, 8000);
    test.heartbeat(at_ms(1), test.second_pool, "w2", 0ms);
    test.submit(at_ms(2));
    BOOST_TEST(test.offers(test.first_pool).empty());
    BOOST_TEST(test.offers(test.second_pool).size() == 1U);
}
