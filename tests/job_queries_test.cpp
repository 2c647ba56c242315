// GETs and DELETEs of jobs that arrive at another host than the one that serves the job's caller.

#include "harness/pool_simulation.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace egretledge::harness;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t server = 0; // the host that serves the caller
constexpr std::uint32_t other = 1;

pool_simulation_settings three_hosts(std::uint32_t data_centres)
{
    pool_simulation_settings settings;
    settings.data_centres = data_centres;
    settings.hosts_per_centre = 3;
    return settings;
}

// A deployment that runs a job of more tasks than its workers have slots, so that some of them
// would start later.
struct running_job
{
    pool_simulation sim;
    const std::string id = "job";

    explicit running_job(std::uint32_t data_centres = 1) : sim(three_hosts(data_centres))
    {
        sim.run_until(at_ms(3000));
        sim.submit(server, id, 20, usual_task, 300ms);
        sim.run_until(at_ms(3100));
        BOOST_REQUIRE(sim.starts() > 0U);
        BOOST_REQUIRE(sim.starts() < 20U);
    }
    bool is_open() const
    {
        for (std::uint32_t host = 0; host < sim.host_count(); ++host)
            if (sim.host(host) != nullptr &&
                (sim.host(host)->calls().has_job(id) || sim.host(host)->workers().has_job(id)))
                return true;
        return false;
    }
    // Returns the answer of the latest query, or nothing if it is not answered by now.
    std::optional<job_query_result> answer(std::size_t number = 1) const
    {
        const auto& answers = sim.answered_queries();
        return answers.size() < number ? std::nullopt : std::optional{answers[number - 1].result};
    }
    void check_violations()
    {
        for (const auto& violation : sim.violations())
            BOOST_ERROR(violation);
    }
};

// The component that asks other hosts. The test supplies their heartbeats and answers.
struct query_fixture
{
    membership peers;
    job_queries queries{{}, 100};
    action_list out;

    query_fixture() : peers(settings())
    {
        tick(at_ms(1000));
        tick(at_ms(1200));
        for (const auto* host : {"h2", "h3"})
        {
            wire::PoolBeat heartbeat;
            heartbeat.set_sequence(1);
            heartbeat.set_address(host);
            peers.on_heartbeat(at_ms(1200), {host, 1}, heartbeat, out);
        }
        tick(at_ms(1220));
        out.clear();
    }
    static membership_settings settings()
    {
        membership_settings result;
        result.self = {"h1", 1};
        result.address = "h1";
        return result;
    }
    void tick(microseconds now)
    {
        peers.tick(
            now, [] { return membership::announcement{}; }, out);
        queries.tick(now, out);
    }
    void reply(const std::string& host, std::uint64_t query, std::uint32_t state)
    {
        wire::PoolJobState message;
        message.set_query(query);
        message.set_state(state);
        queries.on_state({host, 1}, message, out);
    }
    // Returns how many queries were sent to the host.
    std::size_t sent_to(const std::string& host) const
    {
        return static_cast<std::size_t>(
            std::count_if(out.begin(), out.end(),
                          [&](const action& item)
                          {
                              const auto* message = std::get_if<actions::send_peer>(&item);
                              return message != nullptr && message->host == host &&
                                     message->message.has_pool_job_query();
                          }));
    }
    std::vector<actions::answer_query> answers() const
    {
        std::vector<actions::answer_query> found;
        for (const auto& item : out)
            if (const auto* answer = std::get_if<actions::answer_query>(&item))
                found.push_back(*answer);
        return found;
    }
};

} // namespace

// Guards against a cancel that has no effect (review/4): the DELETE arrived at another host than
// the job, was answered 410 there, and the job's later tasks still started.
BOOST_AUTO_TEST_CASE(a_cancel_at_another_host_stops_the_job)
{
    running_job test;
    test.sim.query_job(other, test.id, true);
    test.sim.run_until(at_ms(3200));
    BOOST_TEST((test.answer() == job_query_result::found));
    BOOST_TEST(!test.is_open());
    const auto starts = test.sim.starts();
    test.sim.run_until(at_ms(8000));
    BOOST_TEST(test.sim.starts() == starts);
    BOOST_TEST((test.sim.last_call(test.id)->answer.kind == answer_kind::cancelled));
    test.check_violations();
}

BOOST_AUTO_TEST_CASE(a_running_job_is_found_from_another_host)
{
    running_job test;
    test.sim.query_job(other, test.id, false);
    test.sim.query_job(other, "another", false);
    test.sim.run_until(at_ms(3200));
    BOOST_REQUIRE(test.sim.answered_queries().size() == 2U);
    for (const auto& query : test.sim.answered_queries())
        BOOST_TEST((query.result ==
                    (query.job == test.id ? job_query_result::found : job_query_result::gone)));
    BOOST_TEST(test.is_open());
    test.sim.run_until(at_ms(8000));
    test.check_violations();
}

// Guards against "no such job" while the host that serves the job is frozen: its tasks run on, and
// once it wakes it starts the others.
BOOST_AUTO_TEST_CASE(a_cancel_that_a_frozen_host_has_not_confirmed_is_not_answered_as_gone)
{
    running_job test;
    test.sim.freeze_host(server, 2000ms);
    test.sim.query_job(other, test.id, true);
    test.sim.run_until(at_ms(4090));
    BOOST_TEST(!test.answer().has_value());
    test.sim.run_until(at_ms(4150));
    BOOST_TEST((test.answer() == job_query_result::unknown));
    // The host handles the cancel when it wakes.
    test.sim.run_until(at_ms(5200));
    BOOST_TEST(!test.is_open());
    const auto starts = test.sim.starts();
    test.sim.query_job(other, test.id, true);
    test.sim.run_until(at_ms(8000));
    BOOST_TEST(test.answer(2).has_value());
    BOOST_TEST((test.answer(2) != job_query_result::unknown));
    BOOST_TEST(test.sim.starts() == starts);
    test.check_violations();
}

// Guards against "no such job" while a host is known and silent: it may be cut off and serve the
// job.
BOOST_AUTO_TEST_CASE(a_job_is_not_answered_as_gone_while_a_known_host_is_silent)
{
    running_job test;
    test.sim.cut_hosts(server, other, true);
    test.sim.run_until(at_ms(4000)); // the host counts as dead by now
    BOOST_TEST(!test.sim.host(other)->hosts().alive("dc1-h1", test.sim.now()));
    test.sim.query_job(other, "another", false);
    test.sim.run_until(at_ms(4950));
    BOOST_TEST(!test.answer().has_value());
    test.sim.run_until(at_ms(5050));
    BOOST_TEST((test.answer() == job_query_result::unknown));
    test.sim.cut_hosts(server, other, false);
    test.sim.run_until(at_ms(8000));
    test.sim.query_job(other, "another", false);
    test.sim.run_until(at_ms(8100));
    BOOST_TEST((test.answer(2) == job_query_result::gone));
    test.check_violations();
}

// Guards against a job that runs on at the host of its first call: the caller's connection broke
// unnoticed, the caller retried at another host and cancelled the job there.
BOOST_AUTO_TEST_CASE(a_cancel_at_the_host_of_a_retry_reaches_the_host_of_the_first_call)
{
    running_job test(2);
    constexpr std::uint32_t retried_at = 3; // in the other data centre
    test.sim.submit(retried_at, test.id, 20, usual_task, 300ms);
    test.sim.run_until(at_ms(3120));
    BOOST_TEST(test.sim.host(server)->calls().has_job(test.id));
    BOOST_TEST(test.sim.host(retried_at)->calls().has_job(test.id));
    test.sim.query_job(retried_at, test.id, true);
    test.sim.run_until(at_ms(3220));
    BOOST_TEST((test.answer() == job_query_result::found));
    BOOST_TEST(!test.is_open());
    const auto starts = test.sim.starts();
    test.sim.run_until(at_ms(8000));
    BOOST_TEST(test.sim.starts() == starts);
}

// Guards against a task that starts after its job's cancel: a submission, sent before the cancel,
// arrives at a third host after it.
BOOST_AUTO_TEST_CASE(a_submission_that_a_cancel_has_overtaken_starts_nothing)
{
    running_job test;
    test.sim.query_job(other, test.id, true);
    test.sim.run_until(at_ms(3200));
    const auto starts = test.sim.starts();
    test.sim.submit(2, test.id, 20, usual_task, 300ms);
    test.sim.run_until(at_ms(8000));
    BOOST_TEST(test.sim.starts() == starts);
    BOOST_TEST((test.sim.last_call(test.id)->answer.kind == answer_kind::cancelled));
}

// Guards against memory and messages for as many queries as callers send.
BOOST_AUTO_TEST_CASE(at_most_256_queries_are_open)
{
    query_fixture test;
    for (std::uint64_t call = 0; call < 256; ++call)
        test.queries.begin(at_ms(1300), call, "job", false, test.peers, test.out);
    BOOST_TEST(test.answers().empty());
    BOOST_TEST(test.sent_to("h2") == 256U);
    test.queries.begin(at_ms(1300), 256, "job", false, test.peers, test.out);
    BOOST_TEST(test.sent_to("h2") == 256U);
    BOOST_REQUIRE(test.answers().size() == 1U);
    BOOST_TEST(test.answers()[0].call == 256U);
    BOOST_TEST((test.answers()[0].result == job_query_result::unknown));
    BOOST_TEST(test.answers()[0].retry_after.count() == 1000);
    // A caller that leaves makes room for another.
    test.queries.on_caller_disconnected(7);
    test.queries.begin(at_ms(1310), 257, "job", false, test.peers, test.out);
    BOOST_TEST(test.answers().size() == 1U);
    test.tick(at_ms(2299));
    BOOST_TEST(test.answers().size() == 1U);
    test.tick(at_ms(2300));
    BOOST_TEST(test.answers().size() == 256U);
    test.tick(at_ms(2310));
    BOOST_TEST(test.answers().size() == 257U);
    BOOST_TEST(test.queries.idle());
}

// Guards against a query that fails because one message is lost while a connection is replaced.
BOOST_AUTO_TEST_CASE(hosts_that_have_not_answered_are_asked_again)
{
    query_fixture test;
    test.queries.begin(at_ms(1300), 1, "job", true, test.peers, test.out);
    test.reply("h2", 100, 0);
    test.tick(at_ms(1550));
    BOOST_TEST(test.sent_to("h2") == 1U);
    BOOST_TEST(test.sent_to("h3") == 2U);
    test.reply("h3", 100, 0);
    BOOST_REQUIRE(test.answers().size() == 1U);
    BOOST_TEST((test.answers()[0].result == job_query_result::gone));
}

// "Here" confirms no cancel, and an answer to a former query or from an unknown host no query.
BOOST_AUTO_TEST_CASE(only_the_state_that_was_asked_for_answers_a_query)
{
    query_fixture test;
    test.queries.begin(at_ms(1300), 1, "job", true, test.peers, test.out);
    test.reply("h2", 100, 1);
    test.reply("h3", 100, 0);
    test.reply("h2", 99, 2);
    test.reply("h9", 100, 0);
    BOOST_TEST(test.answers().empty());
    test.reply("h2", 100, 2);
    BOOST_REQUIRE(test.answers().size() == 1U);
    BOOST_TEST((test.answers()[0].result == job_query_result::found));
}

// Guards against "no such job" of a host that has just started and does not know the others yet.
BOOST_AUTO_TEST_CASE(a_host_that_has_just_started_does_not_say_that_a_job_is_gone)
{
    query_fixture test;
    membership unsettled(query_fixture::settings());
    unsettled.tick(
        at_ms(1300), [] { return membership::announcement{}; }, test.out);
    test.queries.begin(at_ms(1300), 1, "job", false, unsettled, test.out);
    BOOST_REQUIRE(test.answers().size() == 1U);
    BOOST_TEST((test.answers()[0].result == job_query_result::unknown));
}

// Guards against memory for as many cancelled jobs as callers name.
BOOST_AUTO_TEST_CASE(cancelled_jobs_are_remembered_for_a_time_and_in_bounded_number)
{
    query_fixture test;
    test.queries.record_cancel(at_ms(1300), "a", false);
    test.queries.record_cancel(at_ms(1400), "a", true);
    BOOST_TEST(test.queries.cancel_requested(at_ms(11300), "a"));
    BOOST_TEST(test.queries.cancelled_here(at_ms(11300), "a"));
    BOOST_TEST(!test.queries.cancel_requested(at_ms(11301), "a"));
    for (int i = 0; i < 4000; ++i)
        test.queries.record_cancel(at_ms(1500), "b" + std::to_string(i), false);
    BOOST_TEST(!test.queries.cancel_requested(at_ms(1500), "a"));
    BOOST_TEST(test.queries.cancel_requested(at_ms(1500), "b0"));
}
