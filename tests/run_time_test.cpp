// Learned run times, and the trials that correct them.

#include "core/run_time_trials.hpp"
#include "core/run_times.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace std::chrono_literals;

namespace
{

const std::string service = "s";

// Records `count` runs, 100 ms apart, and returns the time after the last one.
microseconds learn(run_times& times, microseconds now, int count, milliseconds declared,
                   milliseconds actual)
{
    for (int i = 0; i < count; ++i, now += 100ms)
        times.learn(now, service, declared, actual);
    return now;
}

} // namespace

// Guards against a first run that counts whole.
BOOST_AUTO_TEST_CASE(one_run_moves_the_expected_time_by_a_fifth_at_most)
{
    for (const milliseconds actual : {1ms, 50ms, 200ms, 100000ms})
    {
        run_times times;
        times.learn(1s, service, 100ms, actual);
        const auto expected = times.expect(1s, service, 100ms);
        BOOST_TEST(expected >= 90ms);
        BOOST_TEST(expected <= 120ms);
    }
}

// Guards against an estimate of 1 ms that outweighs all others.
BOOST_AUTO_TEST_CASE(a_few_absurd_estimates_hardly_move_the_expected_time)
{
    run_times times;
    auto now = learn(times, 1s, 100, 1000ms, 1000ms);
    now = learn(times, now, 2, 1ms, 1000ms);
    BOOST_TEST(times.expect(now, service, 1000ms) <= 1110ms);
}

BOOST_AUTO_TEST_CASE(the_expected_time_follows_a_factor_that_all_runs_share)
{
    run_times times;
    const auto now = learn(times, 1s, 60, 100ms, 500ms);
    BOOST_TEST(times.expect(now, service, 100ms) > 450ms);
    BOOST_TEST(times.expect(now, service, 100ms) <= 500ms);
    BOOST_TEST(times.expect(now, "other", 100ms) == 100ms);
}

// Guards against tasks without an estimate that teach the others a ratio.
BOOST_AUTO_TEST_CASE(runs_without_a_declared_time_teach_the_time_of_such_runs_only)
{
    run_times times;
    const auto now = learn(times, 1s, 50, 0ms, 800ms);
    BOOST_TEST(times.expect(now, service, 100ms) == 100ms);
    BOOST_TEST(times.expect(now, service, 0ms) == 800ms);
}

// Guards against a figure that is trusted, and kept in memory, for ever.
BOOST_AUTO_TEST_CASE(a_figure_without_new_runs_is_forgotten)
{
    run_times times;
    const auto now = learn(times, 1s, 50, 100ms, 500ms);
    BOOST_TEST(times.find(now + run_times::max_age - 1s, service).has_value());
    BOOST_TEST(!times.find(now + run_times::max_age, service).has_value());
    BOOST_TEST(times.expect(now + run_times::max_age, service, 100ms) == 100ms);
    BOOST_TEST(!times.highest(now + run_times::max_age).has_value());
}

// Guards against a wrong figure that opens to its callers one by one only.
BOOST_AUTO_TEST_CASE(served_trials_double_how_many_may_run)
{
    run_time_trials trials;
    for (std::uint32_t expected = 1; expected <= 64; expected *= 2)
    {
        std::uint32_t begun = 0;
        for (; trials.may_begin(1s, service); ++begun)
            trials.begin(1s, service);
        BOOST_TEST(begun == expected);
        trials.end(1s, service, true);
        for (; begun > 1; --begun)
            trials.abandon(service);
    }
    BOOST_TEST(trials.unproven() == 0U);
}

// Guards against a right figure that wastes room: trials that are not served become rare.
BOOST_AUTO_TEST_CASE(unserved_trials_double_the_delay_until_the_next_one)
{
    run_time_trials trials;
    microseconds now = 1s;
    for (const milliseconds delay : {500ms, 1000ms, 2000ms, 4000ms, 4000ms})
    {
        BOOST_TEST(trials.may_begin(now, service));
        trials.begin(now, service);
        BOOST_TEST(trials.unproven() == 1U);
        BOOST_TEST(!trials.may_begin(now, service));
        trials.end(now, service, false);
        BOOST_TEST(!trials.may_begin(now + delay - 1ms, service));
        now += delay;
    }
    trials.begin(now, service);
    trials.end(now, service, true);
    trials.begin(now, service);
    trials.end(now, service, false);
    BOOST_TEST(trials.may_begin(now + 500ms, service));
}

// Guards against a bound over all services that counts trials of services which have proved that
// their figure is wrong.
BOOST_AUTO_TEST_CASE(only_trials_of_unproven_services_count)
{
    run_time_trials trials;
    trials.begin(1s, service);
    trials.begin(1s, "other");
    BOOST_TEST(trials.unproven() == 2U);
    trials.end(1s, service, true);
    BOOST_TEST(trials.unproven() == 1U);
    trials.begin(1s, service);
    trials.begin(1s, service);
    BOOST_TEST(trials.unproven() == 1U);
    trials.end(1s, service, false);
    BOOST_TEST(trials.unproven() == 2U);
}

BOOST_AUTO_TEST_CASE(a_closure_ends_with_a_job_of_the_same_declared_time)
{
    run_time_trials trials;
    BOOST_TEST(trials.refuse(1s, service, 900ms));
    BOOST_TEST(!trials.refuse(2s, service, 700ms));
    BOOST_TEST(trials.closed() == 1U);
    BOOST_TEST(!trials.admit(service, 600ms).has_value());
    const auto closure = trials.admit(service, 700ms);
    BOOST_REQUIRE(closure.has_value());
    BOOST_TEST(closure->refused == 2U);
    BOOST_TEST(closure->since.count() == microseconds{1s}.count());
    BOOST_TEST(trials.closed() == 0U);
}

// Guards against records of services that are gone.
BOOST_AUTO_TEST_CASE(records_of_unused_services_are_evicted)
{
    run_time_trials trials;
    trials.refuse(1s, service, 900ms);
    trials.refuse(400s, "other", 900ms);
    BOOST_TEST(trials.closed() == 1U);
}
