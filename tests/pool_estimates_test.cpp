// Run times that callers estimate badly, and what a pool learns from them.

#include "harness/pool_schedule.hpp"
#include "harness/seeds.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace egretledge::harness;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds task_time{1050};
constexpr milliseconds low_estimate{630};

// One data centre with two hosts. Callers wait 1.5 s.
pool_simulation_settings one_centre()
{
    pool_simulation_settings settings;
    settings.data_centres = 1;
    settings.workers_per_centre = 8;
    settings.caller_wait = 1500ms;
    return settings;
}

// Submits one task every 250 ms in this period. `estimate_of` gets the number of the job.
template <class Estimate>
void submit_jobs(pool_simulation& world, microseconds begin, microseconds end,
                 const Estimate& estimate_of, microseconds time = task_time)
{
    int i = 0;
    for (auto when = begin; when < end; when += 250ms, ++i)
        world.at(when,
                 [&world, i, when, time, estimate = milliseconds{estimate_of(i)}]
                 {
                     world.submit(static_cast<std::uint32_t>(i) % world.host_count(),
                                  "at" + std::to_string(when.count() / 1000), 1, usual_task, time,
                                  false, estimate);
                 });
}

// Returns the share of the calls sent in this period that were answered as complete.
double served_share(const pool_simulation& world, microseconds begin, microseconds end)
{
    double calls = 0;
    double served = 0;
    for (const auto& call : world.calls())
        if (call.sent >= begin && call.sent < end)
        {
            ++calls;
            served += call.answered.count() >= 0 && call.answer.kind == answer_kind::ok ? 1 : 0;
        }
    return calls == 0 ? 0 : served / calls;
}

milliseconds sound(int)
{
    return task_time;
}

} // namespace

// Guards against a queue that stays closed after all hosts returned: the first job that was served
// then had a low estimate, and its ratio counted whole, so that all other callers were refused.
BOOST_AUTO_TEST_CASE(one_low_estimate_after_a_restart_of_all_hosts_closes_no_route)
{
    pool_simulation world(one_centre());
    submit_jobs(world, 3s, 12s, sound);
    world.at(12s, [&] { world.restart_all_hosts(1s); });
    submit_jobs(world, 15s, 33s, [](int i) { return i % 8 == 0 ? low_estimate : task_time; });
    world.run_until(37s);
    for (const auto& violation : world.violations())
        BOOST_ERROR(violation);
    BOOST_TEST(served_share(world, 3s, 10s) == 1.0);
    BOOST_TEST(served_share(world, 15s, 33s) == 1.0);
}

// Guards against a queue that is closed for good by callers who are gone: a burst of low estimates
// teaches the pool a run time above the wait of all other callers.
BOOST_AUTO_TEST_CASE(a_burst_of_low_estimates_closes_a_route_for_seconds_only)
{
    pool_simulation world(one_centre());
    submit_jobs(world, 3s, 9s, sound);
    submit_jobs(world, 9s, 25s, [](int) { return low_estimate; });
    submit_jobs(world, 25s, 45s, sound);
    world.run_until(49s);
    for (const auto& violation : world.violations())
        BOOST_ERROR(violation);
    BOOST_TEST(served_share(world, 30s, 45s) == 1.0);
}

// Guards against tasks without an estimate that teach the pool a ratio of 100 for all others.
BOOST_AUTO_TEST_CASE(callers_without_an_estimate_close_no_route)
{
    pool_simulation world(one_centre());
    submit_jobs(
        world, 3s, 9s, [](int) { return 0ms; }, 140ms);
    submit_jobs(world, 9s, 20s, sound);
    world.run_until(24s);
    for (const auto& violation : world.violations())
        BOOST_ERROR(violation);
    BOOST_TEST(served_share(world, 9s, 20s) == 1.0);
}

// Guards against a queue in which no task ever ends: without an estimate a run was expected to end
// after 1 ms and stopped as stuck after 153 ms, and stopped runs teach nothing.
BOOST_AUTO_TEST_CASE(a_task_without_an_estimate_is_not_stopped_as_stuck)
{
    pool_simulation world(one_centre());
    submit_jobs(world, 3s, 9s, [](int) { return 0ms; });
    world.run_until(13s);
    for (const auto& violation : world.violations())
        BOOST_ERROR(violation);
    BOOST_TEST(served_share(world, 3s, 9s) == 1.0);
}

// Guards against the same after callers whose estimates were far too high: the pool expects a
// twentieth of each declared run time.
BOOST_AUTO_TEST_CASE(a_low_learned_run_time_stops_no_run_within_its_declared_time)
{
    pool_simulation world(one_centre());
    submit_jobs(
        world, 3s, 33s, [](int) { return 1400ms; }, 70ms);
    submit_jobs(world, 33s, 39s, sound);
    world.run_until(43s);
    for (const auto& violation : world.violations())
        BOOST_ERROR(violation);
    BOOST_TEST(served_share(world, 33s, 39s) == 1.0);
}

// Guards against trials that waste the room of a queue whose tasks do take too long: from 4 s on at
// most one job is started in each of the longest delays, and all others are refused at once.
BOOST_AUTO_TEST_CASE(a_route_whose_tasks_take_too_long_refuses_all_but_a_few_trials)
{
    auto settings = one_centre();
    settings.hosts_per_centre = 1;
    pool_simulation world(settings);
    constexpr milliseconds too_long{1900};
    submit_jobs(
        world, 3s, 15s, [](int) { return 700ms; }, 1300ms);
    submit_jobs(world, 15s, 45s, sound, too_long);
    world.run_until(19s);
    const auto starts = world.starts();
    world.run_until(49s);
    // 26 s with 4 s and a run of 1.5 s for each trial.
    BOOST_TEST(world.starts() - starts <= 26 / 5 + 1U);
    std::size_t refused_late = 0;
    for (const auto& call : world.calls())
        if (call.sent >= 15s && row_of(call.answer.kind).result == outcome::not_run)
            refused_late += call.answered - call.sent > 20ms ? 1 : 0;
    BOOST_TEST(refused_late == 0U);
}

// Random schedules with bad estimates, restarts, pauses and slow workers.
BOOST_AUTO_TEST_CASE(random_estimates_keep_every_rule)
{
    for (std::uint64_t seed = 1; seed <= EGRETLEDGE_POOL_SCHEDULES; ++seed)
        for (const auto& violation : run_estimates_pool_schedule(seed).violations)
            BOOST_ERROR("estimates seed " << seed << ": " << violation);
}
