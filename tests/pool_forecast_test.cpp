// The forecast behind admission and the announced wait: what a pool expects of its workers.

#include "pool/worker_pool.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace std::chrono_literals;

namespace
{

// A pool of workers of 16 cores that accept every start. The test drives the clock.
struct pool_fixture
{
    worker_pool pool{{}, 9};
    action_list out;
    std::uint64_t offers = 0;

    explicit pool_fixture(int workers)
    {
        for (int i = 0; i < workers; ++i)
        {
            worker_entry entry;
            entry.id = entry.address = "w" + std::to_string(100 + i);
            entry.service = "desk";
            entry.data_centre = "dc1";
            entry.capacity = {16000, 32768, 0};
            entry.labels = {"rack-" + entry.id};
            pool.acquire({at_ms(1), 1000ms}, entry, out);
        }
    }
    static worker_reply accepted(microseconds now)
    {
        worker_reply reply;
        reply.result = order_result::accepted;
        reply.clock_ms = 5000 + now.count() / 1000;
        reply.start_time_ms = 7;
        return reply;
    }
    // Lets all workers accept this pool as their holder.
    void answer_holds(microseconds now)
    {
        for (const auto& action : std::exchange(out, {}))
            if (const auto* hold = std::get_if<actions::hold_worker>(&action))
                pool.on_worker_reply(now, hold->request, accepted(now), out);
    }
    static job_request make_job(const std::string& id, std::uint32_t tasks, resources demand,
                                milliseconds time)
    {
        job_request job;
        job.id = id;
        job.terms = {"r", "desk", 0, 3, 1.6, 60ms, 1500ms};
        job.steps = {{tasks, demand, time, {}, {}, {}, 0}};
        return job;
    }
    // Submits a job and returns its result if it was answered at once.
    std::optional<pool_result> submit(microseconds now, const job_request& job)
    {
        pool.submit(now, job, {"h2", 1, ++offers}, 0ms, out);
        auto results = pool.take_results();
        return results.empty() ? std::nullopt : std::optional{results.front()};
    }
};

// Starts a job of one task of 100 ms and lists its end in a reply that is handled at `handled`. The
// worker lists it when its clock is at `listed_clock_ms`; the start was answered at 5003.
void end_run(pool_fixture& test, microseconds handled, std::int64_t listed_clock_ms)
{
    test.answer_holds(at_ms(2));
    test.submit(at_ms(3), pool_fixture::make_job("job", 1, usual_task, 100ms));
    std::uint64_t hold_request = 0;
    run_ref run;
    for (const auto& action : std::exchange(test.out, {}))
        if (const auto* start = std::get_if<actions::start_run>(&action))
        {
            run = start->run;
            test.pool.on_worker_reply(at_ms(4), start->request, pool_fixture::accepted(at_ms(3)),
                                      test.out);
        }
        else if (const auto* hold = std::get_if<actions::hold_worker>(&action))
            hold_request = hold->request;
    BOOST_REQUIRE(hold_request != 0);
    auto reply = pool_fixture::accepted(at_ms(listed_clock_ms - 5000));
    reply.ended.push_back({1, run, run_end::done});
    test.pool.on_worker_reply(handled, hold_request, reply, test.out);
    BOOST_REQUIRE(test.pool.counts().done == 1U);
}

// Half a core: 32 of them fit on a worker of 16 cores.
constexpr resources small_task{500, 64, 0};

} // namespace

// Guards against a pool that serves nothing after a restart of all hosts: before its first
// placement it counted each worker as one slot, so that 32 tasks of 100 ms on 4 idle workers seemed
// to take 800 ms. The load: 5 jobs a second of 32 tasks of half a core and 100 ms.
BOOST_AUTO_TEST_CASE(a_pool_that_has_placed_nothing_admits_a_wide_job)
{
    pool_fixture test(4);
    test.answer_holds(at_ms(2));
    BOOST_TEST(!test.submit(at_ms(3), test.make_job("wide", 32, small_task, 100ms)).has_value());
    BOOST_TEST(test.pool.counts().starts == 32U);
}

// Guards against an admission that counts on more than the workers have: the same idle pool
// needs 800 ms for 1024 such tasks, more than three times their objective of 220 ms.
BOOST_AUTO_TEST_CASE(a_pool_that_has_placed_nothing_refuses_a_job_beyond_its_capacity)
{
    pool_fixture test(4);
    test.answer_holds(at_ms(2));
    const auto result = test.submit(at_ms(3), test.make_job("wide", 1024, small_task, 100ms));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->answer.kind == answer_kind::over_capacity));
    BOOST_TEST(test.pool.counts().starts == 0U);
}

// Guards against callers' hosts that avoid a pool after a restart: until its first placement it
// announced that each waiting task takes a whole worker. The jobs wait here since their caller's
// host does not know yet that this host holds the workers.
BOOST_AUTO_TEST_CASE(a_pool_that_has_placed_nothing_announces_the_wait_for_its_actual_room)
{
    pool_fixture test(4);
    test.answer_holds(at_ms(2));
    test.pool.set_visibility([](const caller_ref&) { return std::uint64_t{0}; });
    for (int i = 0; i < 4; ++i)
        test.submit(at_ms(3), test.make_job("wide" + std::to_string(i), 24, small_task, 100ms));
    BOOST_TEST(test.pool.counts().starts == 0U);
    BOOST_TEST(test.pool.open_jobs() == 4U);
    BOOST_TEST(test.pool.expected_wait(at_ms(4)) == 0ms);
}

// Guards against a pool that serves nothing but large tasks: it counted each worker as one slot of
// the size of the last placed task, so that it refused every wide job of small tasks and never
// placed one of them.
BOOST_AUTO_TEST_CASE(a_pool_that_has_placed_a_large_task_admits_a_wide_job_of_small_ones)
{
    pool_fixture test(4);
    test.answer_holds(at_ms(2));
    test.submit(at_ms(3), test.make_job("large", 1, {16000, 64, 0}, 100ms));
    BOOST_REQUIRE(test.pool.counts().starts == 1U);
    BOOST_TEST(!test.submit(at_ms(4), test.make_job("wide", 32, small_task, 100ms)).has_value());
    BOOST_TEST(test.pool.counts().starts == 33U);
}

// Guards against callers' hosts that avoid the same pool: it announced that each waiting task takes
// a whole worker.
BOOST_AUTO_TEST_CASE(a_pool_that_has_placed_a_large_task_announces_the_wait_for_its_actual_room)
{
    pool_fixture test(4);
    test.answer_holds(at_ms(2));
    auto large = test.make_job("large", 1, {16000, 64, 0}, 100ms);
    test.pool.submit(at_ms(3), large, {{}, 0, 1}, 0ms, test.out);
    BOOST_REQUIRE(test.pool.counts().starts == 1U);
    test.pool.set_visibility([](const caller_ref&) { return std::uint64_t{0}; });
    test.submit(at_ms(3), test.make_job("wide", 24, small_task, 100ms));
    BOOST_TEST(test.pool.open_jobs() == 2U);
    BOOST_TEST(test.pool.expected_wait(at_ms(4)) == 0ms);
}

// Guards against a worker that is passed over for half a minute since one caller declared 1 ms: the
// run seemed to be 300 times as slow as expected.
BOOST_AUTO_TEST_CASE(an_absurd_estimate_makes_no_worker_slow_for_long)
{
    pool_fixture test(2);
    test.answer_holds(at_ms(2));
    test.submit(at_ms(3), pool_fixture::make_job("absurd", 1, usual_task, 1ms));
    std::string used;
    run_ref run;
    for (const auto& action : std::exchange(test.out, {}))
        if (const auto* start = std::get_if<actions::start_run>(&action))
        {
            used = start->worker;
            run = start->run;
            test.pool.on_worker_reply(at_ms(4), start->request, pool_fixture::accepted(at_ms(3)),
                                      test.out);
        }
    BOOST_REQUIRE(!used.empty());
    for (std::int64_t ms = 20; ms <= 10300; ms += 20)
    {
        test.pool.tick(at_ms(ms), test.out);
        for (const auto& action : std::exchange(test.out, {}))
            if (const auto* hold = std::get_if<actions::hold_worker>(&action))
            {
                auto reply = pool_fixture::accepted(at_ms(ms));
                if (hold->worker == used && ms < 300)
                    reply.running.push_back({run, 50});
                else if (hold->worker == used)
                    reply.ended.push_back({1, run, run_end::done});
                test.pool.on_worker_reply(at_ms(ms), hold->request, reply, test.out);
            }
    }
    BOOST_REQUIRE(test.pool.counts().done == 1U);
    // Outside its rack the job would take twice as long.
    auto job = pool_fixture::make_job("next", 1, usual_task, 100ms);
    job.steps[0].preferred_rack = "rack-" + used;
    test.submit(at_ms(10301), job);
    std::string next;
    for (const auto& action : test.out)
        if (const auto* start = std::get_if<actions::start_run>(&action))
            next = start->worker;
    BOOST_TEST(next == used);
}

// Guards against trials for jobs that were too old when they arrived, and routes that are told to
// be closed by them: the learned run time is shorter than the declared one.
BOOST_AUTO_TEST_CASE(a_job_that_is_too_old_closes_no_route)
{
    pool_fixture test(1);
    end_run(test, at_ms(63), 5063);
    const auto learned = test.pool.highest_run_time_ratio(at_ms(64));
    BOOST_REQUIRE(learned.has_value());
    BOOST_TEST(learned->ratio < 1);
    test.pool.submit(at_ms(64), test.make_job("old", 1, usual_task, 100ms), {"h2", 1, 99}, 560ms,
                     test.out);
    const auto results = test.pool.take_results();
    BOOST_REQUIRE(!results.empty());
    BOOST_TEST((results.back().answer.kind == answer_kind::over_capacity));
    BOOST_TEST(test.pool.counts().refused_for_run_time == 0U);
    BOOST_TEST(test.pool.closed_routes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_run_whose_end_is_read_at_once_teaches_its_run_time)
{
    pool_fixture test(1);
    end_run(test, at_ms(203), 5203);
    const auto learned = test.pool.highest_run_time_ratio(at_ms(204));
    BOOST_REQUIRE(learned.has_value());
    BOOST_TEST(learned->samples == 1U);
}

// Guards against run times learned from a pause of this process: the reply of the worker had waited
// here.
BOOST_AUTO_TEST_CASE(a_reply_that_waited_here_teaches_no_run_time)
{
    pool_fixture test(1);
    end_run(test, at_ms(3203), 5103);
    BOOST_TEST(!test.pool.highest_run_time_ratio(at_ms(3204)).has_value());
}

// Guards against the same if the worker could not tell of the end: no hold was open for seconds.
BOOST_AUTO_TEST_CASE(an_end_that_is_listed_seconds_later_teaches_no_run_time)
{
    pool_fixture test(1);
    end_run(test, at_ms(3203), 8203);
    BOOST_TEST(!test.pool.highest_run_time_ratio(at_ms(3204)).has_value());
}
