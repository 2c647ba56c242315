#define BOOST_TEST_MODULE pool
#include "pool/pool_host.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace egretledge;
using namespace egretledge::pool;
using namespace std::chrono_literals;

namespace
{

worker_entry make_worker_entry(const std::string& id, const std::string& data_centre = "dc1")
{
    worker_entry entry;
    entry.id = id;
    entry.service = "desk";
    entry.address = id;
    entry.data_centre = data_centre;
    entry.capacity = {16000, 32768, 0};
    return entry;
}

// One held worker. The test drives its clock and supplies its replies.
struct worker_fixture
{
    held_worker worker{{}, make_worker_entry("w1"), 1000};
    std::uint64_t next = 1;
    action_list out;
    worker_events events;

    template <class Order>
    Order last() const
    {
        for (auto action = out.rbegin(); action != out.rend(); ++action)
            if (const auto* order = std::get_if<Order>(&*action))
                return *order;
        BOOST_FAIL("no order of the expected type was sent");
        return {};
    }
    template <class Order>
    std::size_t sent() const
    {
        return static_cast<std::size_t>(std::count_if(
            out.begin(), out.end(),
            [](const action& action) { return std::holds_alternative<Order>(action); }));
    }
    void reply(microseconds now, std::uint64_t request, worker_reply answer)
    {
        events.clear();
        worker.on_reply(now, request, answer, next, out, events);
    }
    static worker_reply accepted(std::int64_t clock_ms)
    {
        worker_reply answer;
        answer.result = order_result::accepted;
        answer.clock_ms = clock_ms;
        answer.start_time_ms = 7;
        return answer;
    }
    void take()
    {
        worker.tick(at_ms(1), next, out, events);
        reply(at_ms(2), last<actions::hold_worker>().request, accepted(5000));
    }
};

const run_ref first_run{{"job", 0, 0, 0}, 1};

} // namespace

BOOST_AUTO_TEST_CASE(a_worker_is_unusable_until_its_first_hold_is_accepted)
{
    worker_fixture test;
    BOOST_TEST(!test.worker.usable());
    test.take();
    BOOST_TEST(test.worker.usable());
    BOOST_TEST((test.events.at(0).kind == worker_event_kind::taken));
    BOOST_TEST((test.worker.free() == resources{16000, 32768, 0}));
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_keeps_its_resources_until_a_higher_fence_resolves_it)
{
    worker_fixture test;
    test.take();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    const auto start = test.last<actions::start_run>();
    BOOST_TEST(start.lease_until_ms > 5000);
    test.reply(at_ms(160), start.request, {});
    BOOST_TEST(!test.worker.usable());
    BOOST_TEST(test.worker.free().cpu == 16000 - 6800);
    const auto hold = test.last<actions::hold_worker>();
    BOOST_TEST(hold.fence > start.fence);
    test.reply(at_ms(163), hold.request, worker_fixture::accepted(5160));
    BOOST_REQUIRE(test.events.size() == 1U);
    BOOST_TEST((test.events[0].kind == worker_event_kind::not_started));
    BOOST_TEST(test.worker.usable());
    BOOST_TEST(test.worker.free().cpu == 16000);
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_is_kept_when_the_worker_lists_its_run)
{
    worker_fixture test;
    test.take();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    test.reply(at_ms(160), test.last<actions::start_run>().request, {});
    auto answer = worker_fixture::accepted(5160);
    answer.running.push_back({first_run, 10});
    test.reply(at_ms(163), test.last<actions::hold_worker>().request, answer);
    BOOST_TEST(test.events.empty());
    BOOST_TEST(test.worker.free().cpu == 16000 - 6800);
    BOOST_TEST(test.worker.usable());
}

BOOST_AUTO_TEST_CASE(a_reply_to_a_hold_sent_before_a_start_does_not_end_that_run)
{
    worker_fixture test;
    test.take();
    const auto early_hold = test.last<actions::hold_worker>();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    test.reply(at_ms(12), test.last<actions::start_run>().request, worker_fixture::accepted(5010));
    test.reply(at_ms(13), early_hold.request, worker_fixture::accepted(5009));
    BOOST_TEST(test.events.empty());
    BOOST_TEST(test.worker.free().cpu == 16000 - 6800);
}

BOOST_AUTO_TEST_CASE(runs_of_a_former_holder_are_stopped_and_occupy_the_worker_until_they_end)
{
    worker_fixture test;
    test.worker.tick(at_ms(1), test.next, test.out, test.events);
    auto answer = worker_fixture::accepted(5000);
    answer.running.push_back({{{"other", 0, 0, 3}, 4}, 10});
    test.reply(at_ms(2), test.last<actions::hold_worker>().request, answer);
    BOOST_TEST(test.worker.free().cpu == 0);
    BOOST_TEST(test.last<actions::stop_run>().run.task.job == "other");
    auto ended = worker_fixture::accepted(5040);
    ended.ended.push_back({1, {{"other", 0, 0, 3}, 4}, run_end::stopped});
    test.reply(at_ms(40), test.last<actions::hold_worker>().request, ended);
    BOOST_TEST(test.worker.free().cpu == 16000);
}

// Guards against a wrong "not run": a host that refuses one of these jobs later must not state that
// it has not run.
BOOST_AUTO_TEST_CASE(jobs_found_on_an_acquired_worker_are_reported_as_started)
{
    worker_pool pool({}, 9);
    action_list out;
    pool.acquire({at_ms(1), milliseconds{1000}}, make_worker_entry("w1"), out);
    std::uint64_t request = 0;
    for (const auto& action : out)
        if (const auto* hold = std::get_if<actions::hold_worker>(&action))
            request = hold->request;
    BOOST_REQUIRE(request != 0U);
    auto answer = worker_fixture::accepted(5000);
    answer.running.push_back({{{"still runs", 0, 0, 3}, 4}, 10});
    answer.ended.push_back({1, {{"has ended", 0, 0, 0}, 1}, run_end::done});
    pool.on_worker_reply(at_ms(3), request, answer, out);
    const auto notes = pool.take_start_changes();
    const std::vector<std::string> expected{"still runs", "has ended"};
    BOOST_TEST(notes.started == expected, boost::test_tools::per_element());
    BOOST_TEST(notes.not_started.empty());
}

// Guards against a task on a worker of the wrong kind: the worker had started again as another one,
// and the entry of its former process decided until the list was read again.
BOOST_AUTO_TEST_CASE(a_restarted_worker_gets_no_task_by_the_entry_of_its_former_process)
{
    worker_pool pool({}, 9);
    action_list out;
    auto entry = make_worker_entry("w1");
    entry.labels = {"a"};
    entry.start_time_ms = 7;
    pool.acquire({at_ms(1), milliseconds{1000}}, entry, out);
    const auto reply_to_holds = [&](microseconds now, std::uint64_t start_time_ms)
    {
        action_list sent;
        std::swap(sent, out);
        for (const auto& action : sent)
            if (const auto* hold = std::get_if<actions::hold_worker>(&action))
            {
                auto answer = worker_fixture::accepted(now.count() / 1000);
                answer.start_time_ms = start_time_ms;
                pool.on_worker_reply(now, hold->request, answer, out);
            }
    };
    const auto submit = [&](microseconds now, const std::string& id, const std::string& label)
    {
        job_request job;
        job.id = id;
        job_step step;
        step.count = 1;
        step.demand = usual_task;
        step.estimate = milliseconds{50};
        step.required_label = label;
        job.steps = {step};
        job.terms = {"r",
                     make_worker_entry("w1").service,
                     0,
                     3,
                     1.6,
                     milliseconds{2000},
                     milliseconds{5000}};
        pool.submit(now, job, {{}, 0, static_cast<std::uint64_t>(now.count())}, milliseconds{0},
                    out);
    };
    const auto starts = [&]
    {
        return std::count_if(out.begin(), out.end(),
                             [](const action& action)
                             { return std::holds_alternative<actions::start_run>(action); });
    };
    reply_to_holds(at_ms(3), 8); // a new process
    pool.tick(at_ms(10), out);
    reply_to_holds(at_ms(12), 8); // accepts the raised token
    submit(at_ms(14), "former", "a");
    pool.tick(at_ms(20), out);
    BOOST_TEST(starts() == 0);
    entry.labels = {"b"};
    entry.start_time_ms = 8;
    pool.on_registry({{"w1", entry}});
    submit(at_ms(22), "present", "b");
    pool.tick(at_ms(30), out);
    BOOST_TEST(starts() == 1);
}

// Guards against a process that ends by a division by zero: a registry entry without processors was
// held before any task had been placed. One with an absurd capacity must not use up the memory.
BOOST_AUTO_TEST_CASE(a_worker_of_absurd_capacity_does_not_end_the_process)
{
    for (const std::int64_t cpu : {std::int64_t{0}, std::int64_t{1'000'000'000'000}})
    {
        worker_pool pool({}, 9);
        action_list out;
        auto entry = make_worker_entry("w1");
        entry.capacity.cpu = cpu;
        pool.acquire({at_ms(1), milliseconds{1000}}, entry, out);
        const auto* hold = std::get_if<actions::hold_worker>(&out.at(0));
        BOOST_REQUIRE(hold != nullptr);
        pool.on_worker_reply(at_ms(3), hold->request, worker_fixture::accepted(5000), out);
        BOOST_TEST(pool.expected_wait(at_ms(4)).count() == (cpu == 0 ? 1000 : 0));
    }
}

// A caller disconnects and submits the same id with fewer steps while the former runs are being
// stopped. The runs of the missing step must still be counted.
BOOST_AUTO_TEST_CASE(former_runs_of_a_job_resubmitted_with_fewer_steps_use_resources_until_they_end)
{
    worker_pool pool({}, 9);
    action_list out;
    pool.acquire({at_ms(1), milliseconds{1000}}, make_worker_entry("w1"), out);
    pool.on_worker_reply(at_ms(3), std::get<actions::hold_worker>(out.front()).request,
                         worker_fixture::accepted(5000), out);
    job_request job;
    job.id = "again";
    job.terms = {"r", "desk", 0, 3, 1.6, 60ms, 3000ms};
    job.steps.resize(2);
    for (auto& step : job.steps)
    {
        step.count = 1;
        step.demand = usual_task;
        step.estimate = 100ms;
    }
    const caller_ref first{{}, 0, 1};
    pool.submit(at_ms(4), job, first, 0ms, out);
    BOOST_REQUIRE(pool.counts().starts == 2U);
    pool.cancel(at_ms(10), first, out);
    job.steps.resize(1);
    pool.submit(at_ms(11), job, {{}, 0, 2}, 0ms, out);
    BOOST_TEST(pool.open_jobs() == 1U);
    BOOST_TEST(pool.expected_wait(at_ms(12)).count() < 200);
    BOOST_TEST(pool.counts().starts == 2U); // no task of it starts while the former runs go on
}

// Guards against two runs of one task: a run on a worker that another host acquired goes on until
// it is stopped there or its lease expires.
BOOST_AUTO_TEST_CASE(a_resubmitted_job_waits_for_its_run_on_a_lost_worker)
{
    worker_pool pool({}, 1);
    action_list out;
    const auto answer = [&](std::int64_t ms, std::uint64_t request, order_result result)
    {
        worker_reply reply;
        reply.result = result;
        reply.clock_ms = 5000 + ms;
        reply.start_time_ms = 7;
        pool.on_worker_reply(at_ms(ms), request, reply, out);
    };
    const auto holds = [&](std::int64_t ms)
    {
        std::vector<std::uint64_t> requests;
        for (const auto& action : std::exchange(out, {}))
            if (const auto* hold = std::get_if<actions::hold_worker>(&action))
                requests.push_back(hold->request);
        for (const auto request : requests)
            answer(ms, request, order_result::accepted);
    };
    for (const auto* id : {"w1", "w2"})
        pool.acquire({at_ms(1), 1000ms}, make_worker_entry(id), out);
    holds(2);
    job_request job;
    job.id = "job";
    job.terms = {"r", "desk", 0, 3, 1.6, 60ms, 3000ms};
    job.steps.resize(1);
    job.steps[0] = {1, usual_task, 900ms, {}, {}, {}, 0};
    out.clear();
    pool.submit(at_ms(10), job, {{}, 0, 1}, 0ms, out);
    const auto* start = std::get_if<actions::start_run>(
        &*std::find_if(out.begin(), out.end(),
                       [](const action& sent_action)
                       { return std::holds_alternative<actions::start_run>(sent_action); }));
    BOOST_REQUIRE(start != nullptr);
    const auto request = start->request;
    const auto lost = start->worker;
    answer(12, request, order_result::accepted);
    // Another host acquires the worker: the next start there is refused.
    auto second = job;
    second.id = "second";
    out.clear();
    pool.submit(at_ms(20), second, {{}, 0, 2}, 0ms, out);
    for (const auto& action : action_list(out))
        if (const auto* other = std::get_if<actions::start_run>(&action))
            if (other->worker == lost)
                answer(22, other->request, order_result::stale_fence);
    BOOST_REQUIRE(!pool.holds(lost));
    const auto starts = [&]
    {
        return std::count_if(out.begin(), out.end(),
                             [](const action& sent_action)
                             {
                                 const auto* sent = std::get_if<actions::start_run>(&sent_action);
                                 return sent != nullptr && sent->run.task.job == "job";
                             });
    };
    out.clear();
    pool.submit(at_ms(40), job, {{}, 0, 3}, 0ms, out);
    BOOST_TEST(starts() == 0);
    BOOST_TEST(pool.ending("job"));
    for (std::int64_t ms = 60; ms <= 800; ms += 20)
    {
        pool.tick(at_ms(ms), out);
        if (ms == 700)
            BOOST_TEST(starts() == 0);
    }
    BOOST_TEST(!pool.ending("job"));
}

// Guards against two runs of one task: a pool without resources for a job whose former runs are
// still being stopped there must not let the job go to another pool as if nothing ran.
BOOST_AUTO_TEST_CASE(a_full_pool_does_not_decline_a_job_whose_former_runs_are_ending)
{
    worker_pool pool({}, 1);
    action_list out;
    pool.acquire({at_ms(1), 1000ms}, make_worker_entry("w1"), out);
    const auto hold = std::get<actions::hold_worker>(out.front()).request;
    worker_reply reply;
    reply.result = order_result::accepted;
    reply.clock_ms = 5000;
    reply.start_time_ms = 7;
    pool.on_worker_reply(at_ms(2), hold, reply, out);
    job_request job;
    job.id = "job";
    job.terms = {"r", "desk", 0, 3, 1.6, 60ms, 3000ms};
    job.steps.resize(1);
    job.steps[0] = {2, usual_task, 900ms, {}, {}, {}, 0};
    const caller_ref first{"h2", 1, 1};
    pool.submit(at_ms(10), job, first, 0ms, out);
    BOOST_REQUIRE(pool.counts().starts == 2U);
    pool.cancel(at_ms(20), first, out);
    pool.take_results();
    // The tasks are larger than the worker, so that the pool cannot accept them.
    job.steps[0].demand.cpu = 20000;
    pool.submit(at_ms(25), job, {"h3", 1, 1}, 0ms, out);
    const auto results = pool.take_results();
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(!results[0].declined);
    BOOST_TEST((results[0].answer.kind == answer_kind::worker_lost));
}

// Guards against a run that never ends: if its stop order is lost, the run would continue under the
// lease that is extended for other runs.
BOOST_AUTO_TEST_CASE(a_lease_is_not_extended_while_a_stop_may_be_lost)
{
    worker_fixture test;
    test.take();
    const run_ref second_run{{"other", 0, 0, 0}, 1};
    for (const auto& run : {first_run, second_run})
    {
        test.worker.start(at_ms(10), run, usual_task, "p", test.next, test.out);
        test.reply(at_ms(12), test.last<actions::start_run>().request,
                   worker_fixture::accepted(5010));
    }
    const auto lease = test.last<actions::start_run>().lease_until_ms;
    test.worker.stop(at_ms(100), first_run, test.next, test.out);
    const auto hold = [&](std::int64_t ms)
    {
        auto answer = worker_fixture::accepted(5000 + ms);
        answer.running = {{first_run, 10}, {second_run, 10}};
        test.reply(at_ms(ms), test.last<actions::hold_worker>().request, answer);
        return test.last<actions::hold_worker>().lease_until_ms;
    };
    BOOST_TEST(hold(260) == lease);
    const auto repeated_stop = test.last<actions::stop_run>();
    test.reply(at_ms(310), repeated_stop.request, {}); // no answer
    BOOST_TEST(hold(510) == lease);
    test.worker.tick(at_ms(520), test.next, test.out, test.events);
    test.reply(at_ms(530), test.last<actions::stop_run>().request, worker_fixture::accepted(5530));
    BOOST_TEST(hold(560) > lease);
}

BOOST_AUTO_TEST_CASE(runs_on_a_silent_worker_end_only_after_their_lease_has_certainly_expired)
{
    worker_fixture test;
    test.take();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    test.reply(at_ms(12), test.last<actions::start_run>().request, worker_fixture::accepted(5010));
    std::int64_t ms = 12;
    microseconds ended_at{0};
    while (ended_at.count() == 0 && ms < 3000)
    {
        ms += 20;
        test.events.clear();
        test.worker.tick(at_ms(ms), test.next, test.out, test.events);
        for (std::uint64_t request = 1; request < test.next; ++request)
            test.worker.on_reply(at_ms(ms), request, {}, test.next, test.out, test.events);
        for (const auto& event : test.events)
            if (event.kind == worker_event_kind::ended)
                ended_at = at_ms(ms);
    }
    // The last lease was sent at 250 ms or later and lasts 700 ms on a clock that is 2% slow.
    BOOST_TEST(ended_at.count() > at_ms(12 + 700).count());
    BOOST_TEST(ended_at.count() < at_ms(2000).count());
}

// Guards against two runs of one task (review/6): a start without an answer counted as ended by the
// lease in it, and was carried out later under a lease that counted from then.
BOOST_AUTO_TEST_CASE(an_unanswered_start_outlasts_its_lease_on_a_silent_worker)
{
    worker_fixture test;
    test.take();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    const auto start = test.last<actions::start_run>();
    test.events.clear();
    for (std::int64_t ms = 70; ms < 14000; ms += 20)
    {
        for (std::uint64_t request = 1; request < test.next; ++request)
            test.worker.on_reply(at_ms(ms), request, {}, test.next, test.out, test.events);
        test.worker.tick(at_ms(ms), test.next, test.out, test.events);
        BOOST_REQUIRE(test.events.empty());
    }
    BOOST_TEST(test.worker.free().cpu == 16000 - 6800);
    test.worker.tick(at_ms(14100), test.next, test.out, test.events);
    const auto hold = test.last<actions::hold_worker>();
    BOOST_TEST(hold.fence > start.fence);
    test.reply(at_ms(14110), hold.request, worker_fixture::accepted(19000));
    BOOST_REQUIRE(test.events.size() == 1U);
    BOOST_TEST((test.events[0].kind == worker_event_kind::not_started));
    BOOST_TEST(test.worker.usable());
}

// Guards against a run that outlives the lease by which its holder counts it as ended: an earlier
// hold without an answer extended the lease when it was carried out.
BOOST_AUTO_TEST_CASE(a_hold_that_extends_the_lease_is_fenced_off_if_it_gets_no_answer)
{
    worker_fixture test;
    test.take();
    const auto early_hold = test.last<actions::hold_worker>();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    test.reply(at_ms(12), test.last<actions::start_run>().request, worker_fixture::accepted(5010));
    test.reply(at_ms(13), early_hold.request, worker_fixture::accepted(5011));
    const auto lost = test.last<actions::hold_worker>();
    BOOST_REQUIRE(lost.lease_until_ms > 0);
    test.reply(at_ms(330), lost.request, {});
    test.worker.tick(at_ms(400), test.next, test.out, test.events);
    BOOST_TEST(test.last<actions::hold_worker>().fence > lost.fence);
    BOOST_TEST(!test.worker.usable());
    auto answer = worker_fixture::accepted(5400);
    answer.running.push_back({first_run, 10});
    test.reply(at_ms(402), test.last<actions::hold_worker>().request, answer);
    BOOST_TEST(test.worker.usable());
}

// Guards against two runs of one task: this host never extended the lease of a former holder's run,
// so that the run counted as ended as soon as the worker fell silent.
BOOST_AUTO_TEST_CASE(a_former_holders_run_occupies_a_silent_worker_until_its_lease_has_expired)
{
    worker_fixture test;
    test.worker.tick(at_ms(1), test.next, test.out, test.events);
    auto answer = worker_fixture::accepted(5000);
    answer.running.push_back({{{"other", 0, 0, 3}, 4}, 10});
    test.reply(at_ms(2), test.last<actions::hold_worker>().request, answer);
    for (std::int64_t ms = 100; ms <= 1000; ms += 20)
    {
        for (std::uint64_t request = 1; request < test.next; ++request)
            test.worker.on_reply(at_ms(ms), request, {}, test.next, test.out, test.events);
        test.worker.tick(at_ms(ms), test.next, test.out, test.events);
        BOOST_REQUIRE(test.worker.has_foreign_runs());
    }
    // Workers grant at most 1 s, on clocks that are up to 2% slow.
    test.worker.tick(at_ms(1060), test.next, test.out, test.events);
    BOOST_TEST(!test.worker.has_foreign_runs());
}

// Guards against a bound of 1 s where the platform's workers grant longer leases.
BOOST_AUTO_TEST_CASE(a_former_holders_run_counts_for_the_longest_lease_of_the_settings)
{
    held_worker_settings settings;
    settings.max_lease = 3000ms;
    worker_fixture test;
    test.worker = held_worker(settings, make_worker_entry("w1"), 1000);
    test.worker.tick(at_ms(1), test.next, test.out, test.events);
    auto answer = worker_fixture::accepted(5000);
    answer.running.push_back({{{"other", 0, 0, 3}, 4}, 10});
    test.reply(at_ms(2), test.last<actions::hold_worker>().request, answer);
    for (std::uint64_t request = 1; request < test.next; ++request)
        test.worker.on_reply(at_ms(100), request, {}, test.next, test.out, test.events);
    test.worker.tick(at_ms(3000), test.next, test.out, test.events);
    BOOST_TEST(test.worker.has_foreign_runs());
    test.worker.tick(at_ms(3100), test.next, test.out, test.events);
    BOOST_TEST(!test.worker.has_foreign_runs());
}

// Guards against a worker that is held for ever: it is gone, and never answers about a start.
BOOST_AUTO_TEST_CASE(an_unanswered_start_on_an_unregistered_worker_is_given_up)
{
    worker_pool pool({}, 9);
    action_list out;
    pool.acquire({at_ms(1), 1000ms}, make_worker_entry("w1"), out);
    pool.on_worker_reply(at_ms(2), std::get<actions::hold_worker>(out.front()).request,
                         worker_fixture::accepted(5000), out);
    job_request job;
    job.id = "job";
    job.terms = {"r", "desk", 0, 3, 1.6, 60ms, 1500ms};
    job.steps.resize(1);
    job.steps[0] = {1, usual_task, 200ms, {}, {}, {}, 0};
    pool.submit(at_ms(10), job, {{}, 0, 1}, 0ms, out);
    BOOST_REQUIRE(pool.counts().starts == 1U);
    pool.on_registry({});
    for (std::int64_t ms = 70; ms <= 16000; ms += 20)
    {
        for (const auto& action : std::exchange(out, {}))
            if (const auto* hold = std::get_if<actions::hold_worker>(&action))
                pool.on_worker_reply(at_ms(ms), hold->request, {}, out);
            else if (const auto* start = std::get_if<actions::start_run>(&action))
                pool.on_worker_reply(at_ms(ms), start->request, {}, out);
        pool.tick(at_ms(ms), out);
        // The caller has been answered by 1.6 s.
        if (ms > 1600 && ms < 15000)
            BOOST_REQUIRE(pool.ending("job"));
    }
    BOOST_TEST(!pool.ending("job"));
    BOOST_TEST(!pool.holds("w1"));
}

BOOST_AUTO_TEST_CASE(a_higher_fence_of_another_holder_ends_the_hold)
{
    worker_fixture test;
    test.take();
    worker_reply refused;
    refused.result = order_result::stale_fence;
    test.reply(at_ms(20), test.last<actions::hold_worker>().request, refused);
    BOOST_REQUIRE(!test.events.empty());
    BOOST_TEST((test.events.back().kind == worker_event_kind::lost));
    BOOST_TEST(!test.worker.usable());
}

BOOST_AUTO_TEST_CASE(a_restarted_worker_has_no_runs_and_is_acquired_again)
{
    worker_fixture test;
    test.take();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    test.reply(at_ms(12), test.last<actions::start_run>().request, worker_fixture::accepted(5010));
    test.worker.tick(at_ms(400), test.next, test.out, test.events);
    auto answer = worker_fixture::accepted(3);
    answer.start_time_ms = 8;
    const auto hold = test.last<actions::hold_worker>();
    test.reply(at_ms(402), hold.request, answer);
    BOOST_REQUIRE(!test.events.empty());
    BOOST_TEST((test.events[0].end == run_end::crashed));
    BOOST_TEST(test.events[0].start_time_ms == 7U);
    BOOST_TEST(!test.worker.usable());
    BOOST_TEST(test.last<actions::hold_worker>().fence > hold.fence);
}

// Guards against a crash that looks like any lapse: the runs of a silent worker end with its
// incarnation, so that they can be told apart once it is heard again.
BOOST_AUTO_TEST_CASE(a_run_that_lapses_on_a_silent_worker_names_its_incarnation)
{
    worker_fixture test;
    test.take();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    test.reply(at_ms(12), test.last<actions::start_run>().request, worker_fixture::accepted(5010));
    for (int ms = 100; ms < 900 && test.events.empty(); ms += 20)
    {
        test.worker.tick(at_ms(ms), test.next, test.out, test.events);
        if (test.events.empty())
            test.reply(at_ms(ms + 1), test.last<actions::hold_worker>().request, {});
    }
    BOOST_REQUIRE(test.events.size() == 1U);
    BOOST_TEST((test.events[0].end == run_end::lapsed));
    BOOST_TEST(test.events[0].silent);
    BOOST_TEST(test.events[0].start_time_ms == 7U);
}

// Guards against "not run" for a start that crashed its worker before it was answered: the next
// incarnation does not list what the former one had started.
BOOST_AUTO_TEST_CASE(an_unanswered_start_on_a_worker_that_restarted_may_have_run)
{
    worker_fixture test;
    test.take();
    test.worker.start(at_ms(10), first_run, usual_task, "p", test.next, test.out);
    test.reply(at_ms(60), test.last<actions::start_run>().request, {});
    auto answer = worker_fixture::accepted(3);
    answer.start_time_ms = 8;
    test.reply(at_ms(62), test.last<actions::hold_worker>().request, answer);
    BOOST_REQUIRE(test.events.size() == 1U);
    BOOST_TEST((test.events[0].kind == worker_event_kind::ended));
    BOOST_TEST((test.events[0].end == run_end::crashed));
}

// Guards against counting a live run as ended (schedule seed 777422): the worker restarted while it
// was idle, and accepted a start before the first hold showed its new incarnation.
BOOST_AUTO_TEST_CASE(a_run_started_in_a_new_worker_incarnation_is_kept)
{
    worker_fixture test;
    test.take();
    test.worker.start(at_ms(500), first_run, usual_task, "p", test.next, test.out);
    test.reply(at_ms(502), test.last<actions::start_run>().request, worker_fixture::accepted(30));
    test.worker.tick(at_ms(760), test.next, test.out, test.events);
    auto answer = worker_fixture::accepted(290);
    answer.start_time_ms = 8;
    answer.running.push_back({first_run, 20});
    test.reply(at_ms(762), test.last<actions::hold_worker>().request, answer);
    BOOST_TEST(test.events.empty());
    BOOST_TEST(test.worker.find(first_run) != nullptr);
}

BOOST_AUTO_TEST_CASE(hosts_with_the_same_state_never_choose_the_same_worker)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 300; ++round)
    {
        worker_registry registry;
        for (std::uint64_t i = 0; i < random() % 60; ++i)
        {
            auto entry =
                make_worker_entry("w" + std::to_string(i), "dc" + std::to_string(random() % 4));
            entry.leaving = random() % 8 == 0;
            registry.emplace(entry.id, entry);
        }
        std::vector<candidate_host> hosts;
        for (std::uint64_t i = 0; i < 1 + random() % 8; ++i)
        {
            const auto centre = "dc" + std::to_string(random() % 4);
            const auto held = static_cast<std::uint32_t>(random() % 30);
            const bool leaving = random() % 6 == 0;
            const bool settled = random() % 5 != 0;
            hosts.push_back({"h" + std::to_string(i), centre, held, leaving, settled});
        }
        std::map<std::string, int> taken;
        for (const auto& host : hosts)
            for (const auto& id : choose_workers({24}, host.name, registry, hosts, {}, {}).acquire)
                ++taken[id];
        const bool someone =
            std::any_of(hosts.begin(), hosts.end(),
                        [](const candidate_host& host) { return !host.leaving && host.settled; });
        const bool all_settled = std::all_of(
            hosts.begin(), hosts.end(), [](const candidate_host& host) { return host.settled; });
        for (const auto& [id, entry] : registry)
        {
            BOOST_TEST(taken[id] <= 1);
            if (someone && all_settled && !entry.leaving)
                BOOST_TEST(taken[id] == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(workers_are_assigned_to_one_host_of_their_data_centre_up_to_its_limit)
{
    worker_registry registry;
    for (int i = 0; i < 30; ++i)
        registry.emplace("w" + std::to_string(i), make_worker_entry("w" + std::to_string(i)));
    const std::vector<candidate_host> hosts{{"h1", "dc1", 0, false, true},
                                            {"h2", "dc1", 0, false, true},
                                            {"h3", "dc2", 0, false, true}};
    const auto size = [&](const std::string& host)
    { return choose_workers({24}, host, registry, hosts, {}, {}).acquire.size(); };
    BOOST_TEST(size("h3") == 0U);
    BOOST_TEST(size("h1") + size("h2") == 30U);
    BOOST_TEST(std::max(size("h1"), size("h2")) == 24U);
}

// Guards against a restart of all hosts after which the first one to settle takes every worker of
// its data centre, while the others need some tenths of a second more.
BOOST_AUTO_TEST_CASE(the_first_host_to_settle_leaves_workers_to_those_about_to_settle)
{
    worker_registry registry;
    for (int i = 0; i < 60; ++i)
        registry.emplace("w" + std::to_string(i), make_worker_entry("w" + std::to_string(i)));
    std::vector<candidate_host> hosts{{"h1", "dc1", 0, false, true, false},
                                      {"h2", "dc1", 0, false, false, true},
                                      {"h3", "dc1", 0, false, false, true}};
    const auto size = [&](const std::string& host) {
        return choose_workers({24, 6}, host, registry, hosts, {}, {}).acquire.size();
    };
    BOOST_TEST(size("h1") == 24U);
    BOOST_TEST(size("h2") == 0U);
    // Hosts that stay unsettled do not keep workers from a host that can serve them.
    hosts[1].settling = hosts[2].settling = false;
    BOOST_TEST(size("h1") == 60U);
}

// Guards against a host that holds more workers than it should, since the others were away, and
// keeps them once the others are back.
BOOST_AUTO_TEST_CASE(a_host_with_too_many_workers_hands_them_over_in_small_groups)
{
    worker_registry registry;
    std::set<std::string> own;
    for (int i = 0; i < 40; ++i)
    {
        const auto entry = make_worker_entry("w" + std::to_string(i));
        registry.emplace(entry.id, entry);
        own.insert(entry.id);
    }
    std::vector<candidate_host> hosts{{"h1", "dc1", 40, false, true, false},
                                      {"h2", "dc1", 0, false, false, true},
                                      {"h3", "dc2", 0, false, true, false}};
    const auto handed_over = [&] {
        return choose_workers({24, 6}, "h1", registry, hosts, {}, own).hand_over.size();
    };
    BOOST_TEST(handed_over() == 0U);
    hosts[1].settled = true;
    BOOST_TEST(handed_over() == 6U);
    hosts[1].held = 22;
    BOOST_TEST(handed_over() == 2U);
    hosts[1].leaving = true;
    BOOST_TEST(handed_over() == 0U);
    hosts[1].leaving = false;
    while (own.size() > 24)
        own.erase(own.begin());
    BOOST_TEST(handed_over() == 0U);
}

BOOST_AUTO_TEST_CASE(routes_match_by_host_and_longest_prefix)
{
    route_config config;
    for (const auto& [host, prefix] :
         {std::pair{"a.example", "/x/"}, std::pair{"a.example", "/x/y/"},
          std::pair{"b.example", "/x/"}})
    {
        route row;
        row.name = std::string(host) + prefix;
        row.host = host;
        row.path_prefix = prefix;
        config.routes.push_back(row);
    }
    BOOST_TEST(match_route(config, "a.example:80", "/x/y/1")->name == "a.example/x/y/");
    BOOST_TEST(match_route(config, "a.example", "/x/1")->name == "a.example/x/");
    BOOST_TEST(match_route(config, "c.example", "/x/1") == nullptr);
    BOOST_TEST(match_route(config, "a.example", "/") == nullptr);
}

// Compares with a std::map from each job to the time when it was last recorded.
BOOST_AUTO_TEST_CASE(started_jobs_keeps_every_job_for_its_retention_period)
{
    started_jobs_settings settings;
    settings.retention_period = 1000ms;
    started_jobs jobs(settings);
    std::map<std::string, microseconds> recorded_at;
    std::mt19937_64 random(7);
    for (std::int64_t ms = 0; ms < 20000; ms += 3)
    {
        const auto name = "job" + std::to_string(random() % 4000);
        jobs.record(at_ms(ms), name);
        recorded_at[name] = at_ms(ms);
        const auto queried_job = "job" + std::to_string(random() % 4000);
        const auto known = recorded_at.find(queried_job);
        if (known != recorded_at.end() && at_ms(ms) - known->second < settings.retention_period)
            BOOST_TEST(jobs.may_have_started(queried_job));
        if (known == recorded_at.end() || at_ms(ms) - known->second > 3 * settings.retention_period)
            BOOST_TEST(!jobs.may_have_started(queried_job));
    }
    BOOST_TEST(jobs.known() < 2100U); // the records of two seconds at most, and a few repeats
}

BOOST_AUTO_TEST_CASE(started_jobs_announces_recent_starts_without_withdrawn_ones)
{
    started_jobs jobs({});
    started_jobs receiver({});
    jobs.record(at_ms(10), "early");
    jobs.record(at_ms(20), "refused by its worker");
    jobs.record(at_ms(30), "late");
    jobs.record(at_ms(31), "late"); // submitted again; that start had no effect
    jobs.withdraw("refused by its worker");
    jobs.withdraw("late");
    wire::PoolBeat heartbeat;
    jobs.announce(at_ms(20), *heartbeat.mutable_started());
    receiver.record_announced(at_ms(40), heartbeat.started());
    BOOST_TEST(!receiver.may_have_started("early"));
    BOOST_TEST(!receiver.may_have_started("refused by its worker"));
    BOOST_TEST(receiver.may_have_started("late"));
    BOOST_TEST(jobs.may_have_started("late"));
    BOOST_TEST(!jobs.may_have_started("refused by its worker"));
}

// A caller's host may offer a job whose start another host announced, and the pool may decline it.
BOOST_AUTO_TEST_CASE(started_jobs_keeps_remote_starts_when_a_local_note_is_withdrawn)
{
    started_jobs remote({});
    remote.record(at_ms(10), "before");
    remote.record(at_ms(10), "after");
    wire::PoolBeat heartbeat;
    remote.announce(at_ms(0), *heartbeat.mutable_started());
    started_jobs jobs({});
    jobs.record(at_ms(15), "after");
    jobs.record_announced(at_ms(20), heartbeat.started());
    jobs.record(at_ms(25), "before");
    jobs.withdraw("before");
    jobs.withdraw("after");
    BOOST_TEST(jobs.may_have_started("before"));
    BOOST_TEST(jobs.may_have_started("after"));
}

// The last starts of a silent host are known once all of its registered workers have been read,
// however long no host can reach them.
BOOST_AUTO_TEST_CASE(worker_lists_are_awaited_until_every_registered_worker_is_read)
{
    const std::set<std::string> held{"w1", "w2"};
    const std::vector<membership::silent_host> silent{{{"h1", 1}, &held}};
    std::set<std::string> read_workers;
    std::set<std::string> listed = held;
    const auto in = [](const std::set<std::string>& names)
    { return [&names](const std::string& name) { return names.contains(name); }; };
    const unread_workers::worker_predicates lookup{in(read_workers), in(listed)};
    unread_workers unread;
    const auto awaited = [&]
    {
        unread.update(silent, lookup);
        return unread.awaited();
    };

    BOOST_TEST(awaited());
    read_workers = {"w1"};
    BOOST_TEST(awaited());
    read_workers = {"w2"}; // a worker that was read once counts as read
    BOOST_TEST(!awaited());

    // A heartbeat of the host arrives, and then the host is silent again.
    unread.update({}, lookup);
    BOOST_TEST(!unread.awaited());
    BOOST_TEST(awaited());
    listed = {"w2"};
    BOOST_TEST(!awaited());
}

// Guards against a wrong "not run": the announcements of hosts that ended before this process
// started were received by no host that is left.
BOOST_AUTO_TEST_CASE(started_jobs_reaches_back_once_it_has_received_for_the_retention_period)
{
    started_jobs_settings settings;
    settings.retention_period = 10000ms;
    started_jobs jobs(settings);
    jobs.set_complete_since(at_ms(5000));
    BOOST_TEST(!jobs.reaches_back(at_ms(5000)));
    BOOST_TEST(!jobs.reaches_back(at_ms(14999)));
    BOOST_TEST(jobs.reaches_back(at_ms(15000)));
}

// Guards against acting on outdated announcements after a pause of the process.
BOOST_AUTO_TEST_CASE(a_paused_host_has_caught_up_once_it_has_heard_every_live_host)
{
    membership_settings settings;
    settings.self = {"h1", 1};
    membership hosts(settings);
    action_list out;
    const auto announce = [] { return membership::announcement{}; };
    std::uint64_t sequence = 0;
    const auto hear = [&](std::int64_t ms, const std::string& name)
    {
        wire::PoolBeat heartbeat;
        heartbeat.set_sequence(++sequence);
        heartbeat.set_address(name);
        hosts.on_heartbeat(at_ms(ms), {name, 1}, heartbeat, out);
    };
    hosts.tick(at_ms(1000), announce, out);
    hear(1010, "h2");
    hear(1010, "h3");
    BOOST_TEST(hosts.has_caught_up(at_ms(1020)));
    hosts.tick(at_ms(1200), announce, out);
    hosts.tick(at_ms(4000), announce, out);
    BOOST_TEST(!hosts.has_caught_up(at_ms(4010)));
    hear(4020, "h2");
    BOOST_TEST(!hosts.has_caught_up(at_ms(4030)));
    hear(4040, "h3");
    BOOST_TEST(hosts.has_caught_up(at_ms(4050)));
    // A host that has ended meanwhile counts as silent after `dead_timeout`.
    hosts.tick(at_ms(4060), announce, out);
    hosts.tick(at_ms(8000), announce, out);
    hear(8010, "h2");
    BOOST_TEST(!hosts.has_caught_up(at_ms(8400)));
    BOOST_TEST(hosts.has_caught_up(at_ms(8460)));
}

// Guards against heartbeats that grow while their receiver does not echo: withdrawn offers were
// listed for as long as it took.
BOOST_AUTO_TEST_CASE(a_heartbeat_stays_small_while_its_receiver_does_not_echo)
{
    constexpr std::size_t max_bytes = 40'000; // 4,096 hashes of 8 bytes, and all else
    membership_settings settings;
    settings.self = {"h1", 1};
    settings.address = "h1";
    membership hosts(settings);
    started_jobs started{{}};
    membership::announcement state;
    state.started = &started;
    for (int worker = 0; worker < 24; ++worker)
        state.held.push_back("i-0042bdca7" + std::to_string(worker));
    state.unread = state.held;
    std::uint64_t offers = 0;
    std::uint64_t heard = 0;
    std::size_t largest = 0;
    for (std::int64_t ms = 1000; ms < 30'000; ms += 20)
    {
        const auto now = at_ms(ms);
        action_list out;
        wire::PoolBeat heartbeat;
        heartbeat.set_sequence(++heard);
        heartbeat.set_address("h2");
        hosts.on_heartbeat(now, {"h2", 1}, heartbeat, out);
        for (int job = 0; job < 20; ++job)
            started.record(now, std::to_string(ms) + "." + std::to_string(job));
        for (int withdrawn = 0; withdrawn < 2; ++withdrawn)
            hosts.withdraw(now, {"h2", 1}, ++offers);
        hosts.tick(
            now, [&] { return state; }, out);
        for (const auto& action : out)
            if (const auto* sent = std::get_if<actions::send_peer>(&action))
            {
                const auto& beat = sent->message.pool_beat();
                largest = std::max(largest, sent->message.ByteSizeLong());
                // Those of the last `max_withdrawal_age` are all listed, the oldest first.
                const auto expected = std::min<std::uint64_t>(
                    offers, 2 * (settings.max_withdrawal_age / milliseconds{20} + 1));
                BOOST_REQUIRE(static_cast<std::uint64_t>(beat.withdrawn_size()) == expected);
                BOOST_TEST(beat.withdrawn(0) == offers - expected + 1);
            }
    }
    BOOST_TEST(largest > 32'000U);
    BOOST_TEST(largest < max_bytes);
}

// Guards against a retry loop, seen on trouble-1 of kalinaw-egret: the entries of crashed workers
// were acquired 25 times a second.
BOOST_AUTO_TEST_CASE(a_terminated_worker_is_not_acquired_until_it_restarts)
{
    pool_host_settings settings;
    settings.membership.self = {"h1", 1};
    settings.membership.data_centre = "dc1";
    settings.membership.address = "h1";
    pool_host host(settings);
    action_list out;
    worker_registry registry{{"w1", make_worker_entry("w1")}};
    std::size_t holds = 0;
    const auto run = [&](std::int64_t from_ms, std::int64_t until_ms)
    {
        for (auto ms = from_ms; ms < until_ms; ms += 20)
        {
            const instant now{at_ms(ms), milliseconds{1800000000000 + ms}};
            host.tick(now, out);
            for (const auto& action : std::exchange(out, {}))
                if (const auto* hold = std::get_if<actions::hold_worker>(&action))
                {
                    ++holds;
                    worker_reply expired_reply;
                    expired_reply.result = order_result::other_lifetime;
                    host.on_worker(now, hold->request, expired_reply, out);
                }
        }
    };
    host.set_registry({at_ms(1), milliseconds{1800000000000}}, registry, out);
    run(20, 4000);
    BOOST_TEST(holds == 1U);
    registry.at("w1").start_time_ms = 9;
    host.set_registry({at_ms(4000), milliseconds{1800000004000}}, registry, out);
    run(4020, 4200);
    BOOST_TEST(holds == 2U);
}

// Compares with the plain rule: each task waits for the `count` slots that become free first.
BOOST_AUTO_TEST_CASE(slot_schedule_agrees_with_a_sorted_list)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 200; ++round)
    {
        slot_schedule schedule;
        std::vector<microseconds> slots;
        for (auto left = 1 + random() % 12; left > 0; --left)
        {
            const auto free = at_ms(static_cast<std::int64_t>(random() % 100));
            schedule.add_slots(free, 1);
            slots.push_back(free);
        }
        for (int task = 0; task < 40; ++task)
        {
            const auto time = at_ms(static_cast<std::int64_t>(1 + random() % 50));
            const auto slot_count = static_cast<std::uint32_t>(1 + random() % 3);
            const auto count = std::min<std::size_t>(slot_count, slots.size());
            std::sort(slots.begin(), slots.end());
            BOOST_TEST((schedule.next_free() == slots.front()));
            const auto ends = slots[count - 1] + time;
            std::fill_n(slots.begin(), count, ends);
            BOOST_TEST((schedule.add(slot_count, time) == ends));
        }
    }
}
