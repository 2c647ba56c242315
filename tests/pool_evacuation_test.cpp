// Evacuation of data centres: the merged state, one pool, one host, and simulations of whole
// deployments.

#include "harness/pool_schedule.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace egretledge::harness;
using namespace std::chrono_literals;

namespace
{

worker_entry make_entry(const std::string& id, const std::string& data_centre)
{
    return {id, "desk", id, data_centre, {16000, 32768, 0}, {}, false, 0};
}

std::size_t count_lines(const action_list& out, const std::string& text)
{
    return static_cast<std::size_t>(
        std::count_if(out.begin(), out.end(),
                      [&](const action& action)
                      {
                          const auto* line = std::get_if<actions::log_event>(&action);
                          return line != nullptr && line->text.find(text) != std::string::npos;
                      }));
}

template <class Order>
std::vector<Order> take_orders(action_list& out)
{
    std::vector<Order> orders;
    for (const auto& action : std::exchange(out, {}))
        if (const auto* order = std::get_if<Order>(&action))
            orders.push_back(*order);
    return orders;
}

worker_reply accepted_reply(std::int64_t ms)
{
    worker_reply reply;
    reply.result = order_result::accepted;
    reply.clock_ms = 5000 + ms;
    reply.start_time_ms = 7;
    return reply;
}

// A pool with one worker in each of the given data centres; the worker's id is the data centre's
// name. Starts are accepted and never end.
struct pool_fixture
{
    worker_pool pool{{}, 9};
    action_list out;
    std::uint64_t offers = 0;
    std::vector<actions::start_run> started;

    explicit pool_fixture(const std::vector<std::string>& data_centres)
    {
        for (const auto& name : data_centres)
            pool.acquire({at_ms(1), 1000ms}, make_entry(name, name), out);
        run(2, 60);
    }
    void answer(std::int64_t ms)
    {
        for (const auto& action : std::exchange(out, {}))
        {
            if (const auto* hold = std::get_if<actions::hold_worker>(&action))
            {
                auto reply = accepted_reply(ms);
                for (const auto& start : started)
                    if (start.worker == hold->worker)
                        reply.running.push_back({start.run, 60});
                pool.on_worker_reply(at_ms(ms), hold->request, reply, out);
            }
            if (const auto* start = std::get_if<actions::start_run>(&action))
            {
                started.push_back(*start);
                pool.on_worker_reply(at_ms(ms), start->request, accepted_reply(ms), out);
            }
        }
    }
    void run(std::int64_t from_ms, std::int64_t until_ms)
    {
        for (auto ms = from_ms; ms < until_ms; ms += 10)
        {
            answer(ms);
            pool.tick(at_ms(ms), out);
        }
        answer(until_ms);
    }
    void submit(std::int64_t ms, const std::string& id, std::uint32_t tasks,
                milliseconds time = 900ms)
    {
        job_request job;
        job.id = id;
        job.terms = {"r", "desk", 0, 3, 8.0, 2000ms, 9000ms};
        job.steps.resize(1);
        job.steps[0] = {tasks, usual_task, time, {}, {}, {}, 0};
        pool.submit(at_ms(ms), job, {{}, 0, ++offers}, 0ms, out);
        answer(ms);
    }
    void evacuate(std::int64_t ms, std::uint64_t revision, std::set<std::string> data_centres)
    {
        pool.merge_evacuations(at_ms(ms), {revision, std::move(data_centres)}, out);
        answer(ms);
    }
    std::size_t starts_in(const std::string& data_centre) const
    {
        return static_cast<std::size_t>(std::count_if(started.begin(), started.end(),
                                                      [&](const auto& start)
                                                      { return start.worker == data_centre; }));
    }
};

pool_simulation_settings with_evacuations()
{
    pool_simulation_settings settings;
    settings.host.workers.evacuations.bound = 5000ms;
    settings.evacuation_read_delay = 50ms;
    return settings;
}

std::string data_centre_of(const std::string& worker)
{
    return worker.substr(0, worker.find('-'));
}

// Returns how many runs are on workers of the data centre.
std::size_t runs_in(pool_simulation& sim, const std::string& data_centre)
{
    std::size_t runs = 0;
    for (std::uint32_t worker = 0; worker < sim.worker_count(); ++worker)
        if (data_centre_of(sim.worker(worker).entry().id) == data_centre &&
            sim.worker(worker).used().cpu > 0)
            ++runs;
    return runs;
}

void submit_jobs(pool_simulation& sim, std::int64_t from_ms, std::int64_t until_ms)
{
    std::uint32_t next = 0;
    for (auto ms = from_ms; ms < until_ms; ms += 20)
        sim.at(at_ms(ms),
               [&sim, ms, host = next++ % sim.host_count()]
               {
                   if (sim.host(host) != nullptr)
                       sim.submit(host, "job" + std::to_string(ms), 2, usual_task, 100ms);
               });
}

} // namespace

// Guards against a request that a late state of a peer undoes, and a removal that one undoes.
BOOST_AUTO_TEST_CASE(the_state_with_the_higher_revision_is_in_force)
{
    evacuations state({});
    BOOST_TEST(state.state() == nullptr);
    BOOST_TEST(state.merge(at_ms(1), {5, {"dc1"}}));
    BOOST_TEST(!state.merge(at_ms(2), {4, {}}));
    BOOST_TEST(state.contains("dc1"));
    BOOST_TEST(!state.merge(at_ms(3), {6, {"dc1"}}));
    BOOST_TEST(state.merge(at_ms(4), {7, {}}));
    BOOST_TEST(!state.merge(at_ms(5), {6, {"dc1"}}));
    BOOST_TEST(state.empty());
    // Of two states of one revision each evacuation counts, whichever comes first.
    BOOST_TEST(state.merge(at_ms(6), {7, {"dc2"}}));
    BOOST_TEST(!state.merge(at_ms(7), {7, {}}));
    BOOST_TEST(state.contains("dc2"));
}

// Guards against starts after the bound: the time for jobs that have begun is cut to a fifth of it.
BOOST_AUTO_TEST_CASE(jobs_that_have_begun_may_start_tasks_for_a_fifth_of_the_bound)
{
    evacuation_settings settings;
    for (const auto& [bound, grace] :
         {std::pair{0ms, 1000ms}, {5000ms, 1000ms}, {60000ms, 1000ms}, {1000ms, 200ms}})
    {
        settings.bound = bound;
        evacuations state(settings);
        state.merge(at_ms(100), {1, {"dc1"}});
        BOOST_TEST(!state.allows_start("dc1", false, at_ms(100)));
        BOOST_TEST(state.allows_start("dc2", false, at_ms(100)));
        BOOST_TEST(state.allows_start("dc1", true, at_ms(99 + grace.count())));
        BOOST_TEST(!state.allows_start("dc1", true, at_ms(100 + grace.count())));
        // A later revision with the same request does not begin the time anew.
        state.merge(at_ms(100 + grace.count()), {2, {"dc1"}});
        BOOST_TEST(!state.allows_start("dc1", true, at_ms(100 + grace.count())));
    }
}

// Guards against log lines that are missing, repeated, or written for a data centre that does not
// exist; such a record is kept, since its workers may register later.
BOOST_AUTO_TEST_CASE(each_change_of_an_evacuation_is_logged_once)
{
    evacuations state({});
    bool exists = false;
    action_list out;
    const auto log = [&](std::int64_t ms)
    {
        out.clear();
        state.log_changes(
            at_ms(ms), [&](const std::string&) { return exists; }, out);
    };
    state.merge(at_ms(0), {3, {"dc9"}});
    log(10);
    BOOST_TEST(count_lines(out, "state=unknown data_centre=dc9 revision=3") == 1U);
    log(2000);
    BOOST_TEST(out.empty());
    exists = true;
    log(2010);
    BOOST_TEST(count_lines(out, "state=requested data_centre=dc9") == 1U);
    BOOST_TEST(count_lines(out, "state=in_force data_centre=dc9") == 1U);
    log(2020);
    BOOST_TEST(out.empty());
    state.merge(at_ms(3000), {4, {}});
    log(3010);
    BOOST_TEST(count_lines(out, "state=taken_back data_centre=dc9 revision=4 age_ms=3010") == 1U);
    // A request and its removal between two reports: only the newest state counts.
    state.merge(at_ms(4000), {5, {"dc9"}});
    state.merge(at_ms(4001), {6, {}});
    log(4010);
    BOOST_TEST(out.empty());
}

// Guards against jobs that wait in an evacuated pool, or are refused as if no other had room.
BOOST_AUTO_TEST_CASE(jobs_that_have_not_begun_are_declined_at_once)
{
    pool_fixture one({"dc1"});
    one.submit(100, "begun", 2);
    one.submit(101, "waiting", 1);
    BOOST_REQUIRE(one.started.size() == 2U);
    BOOST_REQUIRE(one.pool.open_jobs() == 2U);
    one.evacuate(110, 1, {"dc1"});
    auto results = one.pool.take_results();
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].job == "waiting");
    BOOST_TEST(results[0].declined);
    BOOST_TEST((results[0].answer.kind == answer_kind::no_worker_fits));
    BOOST_TEST(one.pool.total_cpu(at_ms(110)) == 0);
    BOOST_TEST(one.pool.free_cpu(at_ms(110)) == 0);
    // An offer that was under way.
    one.submit(111, "late", 1);
    results = one.pool.take_results();
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].declined);
    BOOST_TEST((results[0].answer.kind == answer_kind::no_worker_fits));
    // The tasks that run end where they are, and the worker stays held.
    one.run(120, 1500);
    BOOST_TEST(one.pool.open_jobs() == 1U);
    BOOST_TEST(one.pool.holds("dc1"));
    BOOST_TEST(one.started.size() == 2U);
}

// Guards against jobs that are broken off although they could end in time, and against starts after
// that time.
BOOST_AUTO_TEST_CASE(remaining_tasks_of_begun_jobs_start_for_a_while_and_are_then_lost)
{
    for (const bool in_time : {true, false})
    {
        pool_fixture one({"dc1"});
        one.submit(100, "begun", 4); // two of its tasks fit at a time
        BOOST_REQUIRE(one.started.size() == 2U);
        one.evacuate(110, 1, {"dc1"});
        one.run(120, in_time ? 700 : 1150);
        BOOST_TEST(one.pool.open_jobs() == (in_time ? 1U : 0U));
        if (!in_time)
        {
            const auto results = one.pool.take_results();
            BOOST_REQUIRE(results.size() == 1U);
            BOOST_TEST((results[0].answer.kind == answer_kind::worker_lost));
            BOOST_TEST(!results[0].declined);
        }
        BOOST_TEST(one.started.size() == 2U);
        if (!in_time)
            continue;
        // The first two end.
        const auto first = std::exchange(one.started, {});
        one.pool.tick(at_ms(1000), one.out);
        bool ended = false;
        for (std::int64_t ms = 1000; ms < 1100; ms += 5)
        {
            for (const auto& hold : take_orders<actions::hold_worker>(one.out))
            {
                auto reply = accepted_reply(ms);
                if (!std::exchange(ended, true))
                    for (std::size_t i = 0; i < first.size(); ++i)
                        reply.ended.push_back({i + 1, first[i].run, run_end::done});
                action_list next;
                one.pool.on_worker_reply(at_ms(ms), hold.request, reply, next);
                one.out.insert(one.out.end(), next.begin(), next.end());
                if (ended)
                    break;
            }
            if (ended)
                break;
            one.pool.tick(at_ms(ms), one.out);
        }
        BOOST_REQUIRE(ended);
        BOOST_TEST(take_orders<actions::start_run>(one.out).size() == 2U);
    }
}

// Guards against a job that waits for an evacuated worker beside one that is handed over, and
// against a hand-over that an evacuation ends.
BOOST_AUTO_TEST_CASE(an_evacuation_during_a_hand_over_leaves_both_in_effect)
{
    pool_fixture two({"dc1", "dc2"});
    two.submit(100, "begun", 6);
    BOOST_REQUIRE(two.started.size() == 4U);
    two.pool.hand_over({"dc2"});
    two.evacuate(110, 1, {"dc1"});
    two.submit(111, "new", 1);
    const auto results = two.pool.take_results();
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].job == "new");
    BOOST_TEST(results[0].declined);
    BOOST_TEST(two.pool.total_cpu(at_ms(112)) == 0);
    two.run(120, 1150);
    BOOST_TEST(two.pool.open_jobs() == 0U);
    BOOST_TEST(two.started.size() == 4U);
    two.pool.hand_over({});
    BOOST_TEST(two.pool.total_cpu(at_ms(1160)) == 16000);
    BOOST_TEST(two.pool.holds("dc1"));
}

// Guards against a pool that stays closed after the request was taken back.
BOOST_AUTO_TEST_CASE(workers_serve_again_once_the_request_is_taken_back)
{
    pool_fixture two({"dc1", "dc2"});
    two.evacuate(100, 1, {"dc1"});
    two.submit(110, "one", 2);
    BOOST_TEST(two.starts_in("dc1") == 0U);
    BOOST_TEST(two.starts_in("dc2") == 2U);
    two.evacuate(200, 2, {});
    two.submit(210, "two", 2);
    BOOST_TEST(two.starts_in("dc1") == 2U);
    BOOST_TEST(two.pool.total_cpu(at_ms(220)) == 32000);
}

// Guards against starts by a host that does not know yet what is evacuated, and against one that
// waits for ever if nobody tells it.
BOOST_AUTO_TEST_CASE(a_host_that_has_just_started_waits_for_the_state)
{
    worker_pool_settings settings;
    settings.evacuations.bound = 5000ms;
    for (const bool told : {true, false})
    {
        worker_pool pool(settings, 1);
        action_list out;
        pool.acquire({at_ms(1000), 1000ms}, make_entry("w1", "dc1"), out);
        const auto tick = [&](std::int64_t ms)
        {
            pool.tick(at_ms(ms), out);
            for (const auto& hold : take_orders<actions::hold_worker>(out))
                pool.on_worker_reply(at_ms(ms), hold.request, accepted_reply(ms), out);
        };
        for (std::int64_t ms = 1000; ms < 2480; ms += 20)
            tick(ms);
        BOOST_TEST(pool.total_cpu(at_ms(2480)) == 0);
        if (told)
            pool.merge_evacuations(at_ms(2480), {0, {}}, out);
        else
        {
            BOOST_TEST(pool.total_cpu(at_ms(2499)) == 0);
            out.clear();
            for (const std::int64_t ms : {2500, 2600})
                pool.log_evacuations(
                    at_ms(ms), [](const std::string&) { return true; }, out);
            BOOST_TEST(count_lines(out, "event=evacuations_unknown waited_ms=1500") == 1U);
        }
        BOOST_TEST(pool.total_cpu(at_ms(told ? 2481 : 2500)) == 16000);
    }
    // Without a bound no host waits.
    evacuations unbounded({});
    BOOST_TEST(!unbounded.awaits_state(at_ms(0)));
}

// Guards against a host that goes on because the store does not serve it.
BOOST_AUTO_TEST_CASE(a_host_that_the_store_does_not_serve_learns_from_its_peers)
{
    pool_simulation sim(with_evacuations());
    for (std::uint32_t host = 1; host < sim.host_count(); ++host)
        sim.cut_store(host, true);
    submit_jobs(sim, 2500, 9000);
    sim.at(at_ms(3000), [&] { sim.evacuate(1, true); });
    sim.run_until(at_ms(2990));
    BOOST_TEST(runs_in(sim, "dc2") > 0U);
    sim.run_until(at_ms(3300));
    for (std::uint32_t host = 0; host < sim.host_count(); ++host)
        BOOST_TEST(sim.host(host)->workers().evacuated().contains("dc2"));
    for (std::int64_t ms = 4500; ms < 9000; ms += 50)
    {
        sim.run_until(at_ms(ms));
        BOOST_TEST(runs_in(sim, "dc2") == 0U);
    }
    sim.run_until(at_ms(12000));
    BOOST_TEST(sim.violations().empty());
    for (const auto& call : sim.calls())
        BOOST_TEST((call.answer.kind == answer_kind::ok), call.job);
}

// Guards against a host that forgets an evacuation with its process: the store does not serve it.
BOOST_AUTO_TEST_CASE(a_restarted_host_learns_the_evacuations_before_it_places_a_task)
{
    pool_simulation sim(with_evacuations());
    sim.run_until(at_ms(2500));
    sim.evacuate(0, true);
    sim.run_until(at_ms(3500));
    for (std::uint32_t host = 0; host < 2; ++host)
        sim.cut_store(host, true);
    submit_jobs(sim, 3500, 7000);
    sim.kill_host(0);
    sim.kill_host(1);
    sim.at(at_ms(4000),
           [&]
           {
               sim.start_host(0);
               sim.start_host(1);
           });
    for (std::int64_t ms = 3600; ms < 7000; ms += 20)
    {
        sim.run_until(at_ms(ms));
        BOOST_TEST(runs_in(sim, "dc1") == 0U);
    }
    for (std::uint32_t host = 0; host < 2; ++host)
        BOOST_TEST(sim.host(host)->workers().evacuated().contains("dc1"));
    sim.run_until(at_ms(10000));
    BOOST_TEST(sim.violations().empty());
}

// Guards against callers that wait in vain, and against a balancer that finds no host ready: while
// all workers are evacuated, a refusal with a Retry-After is the answer.
BOOST_AUTO_TEST_CASE(jobs_are_refused_at_once_while_all_data_centres_are_evacuated)
{
    pool_simulation sim(with_evacuations());
    sim.run_until(at_ms(12500)); // from 10 s on refusals are known to be true
    for (std::uint32_t centre = 0; centre < sim.centre_count(); ++centre)
        sim.evacuate(centre, true);
    sim.run_until(at_ms(13000));
    for (std::uint32_t host = 0; host < sim.host_count(); ++host)
    {
        BOOST_TEST(sim.host(host)->ready({sim.now(), 0ms}));
        sim.submit(host, "refused" + std::to_string(host), 2, usual_task, 100ms);
    }
    sim.run_until(at_ms(13050));
    for (std::uint32_t host = 0; host < sim.host_count(); ++host)
    {
        const auto* call = sim.last_call("refused" + std::to_string(host));
        BOOST_REQUIRE(call->answered.count() >= 0);
        BOOST_TEST((row_of(call->answer.kind).result == outcome::not_run));
        BOOST_TEST((call->answer.retry_after >= 1000ms));
    }
    sim.evacuate(2, false);
    sim.run_until(at_ms(13500));
    sim.submit(0, "served", 2, usual_task, 100ms);
    sim.run_until(at_ms(14000));
    BOOST_TEST((sim.last_call("served")->answer.kind == answer_kind::ok));
    BOOST_TEST(sim.violations().empty());
}

// Guards against callers that wait for a pool that nobody expects: the only data centre that is not
// evacuated has lost its hosts, and its workers are not acquired yet.
BOOST_AUTO_TEST_CASE(jobs_are_refused_at_once_while_no_pool_outside_is_alive)
{
    pool_simulation sim(with_evacuations());
    sim.run_until(at_ms(12500));
    sim.evacuate(0, true);
    sim.evacuate(1, true);
    sim.run_until(at_ms(13500));
    sim.submit(0, "before", 2, usual_task, 100ms);
    sim.run_until(at_ms(14000));
    BOOST_TEST((sim.last_call("before")->answer.kind == answer_kind::ok));
    sim.kill_host(4);
    sim.kill_host(5);
    sim.run_until(at_ms(14600));
    for (std::uint32_t host = 0; host < 4; ++host)
        sim.submit(host, "none" + std::to_string(host), 2, usual_task, 100ms);
    sim.run_until(at_ms(14650));
    for (std::uint32_t host = 0; host < 4; ++host)
        BOOST_TEST(sim.last_call("none" + std::to_string(host))->answered.count() >= 0);
    // Hosts of the other data centres take the workers over.
    sim.run_until(at_ms(18000));
    sim.submit(0, "after", 2, usual_task, 100ms);
    sim.run_until(at_ms(19000));
    BOOST_TEST((sim.last_call("after")->answer.kind == answer_kind::ok));
    BOOST_TEST(runs_in(sim, "dc1") + runs_in(sim, "dc2") == 0U);
    BOOST_TEST(sim.violations().empty());
}

// Guards against a host that neither passes on what it knows nor believes its peers, or believes
// one that is behind.
BOOST_AUTO_TEST_CASE(heartbeats_carry_the_state_of_the_evacuations)
{
    pool_host_settings settings;
    settings.membership.self = {"h1", 1};
    settings.membership.data_centre = "dc1";
    settings.membership.address = "h1";
    pool_host host(settings);
    action_list out;
    std::int64_t ms = 1000;
    const auto now = [&] { return instant{at_ms(ms), milliseconds{1000000 + ms}}; };
    std::uint64_t sequence = 0;
    const auto hear = [&](const std::optional<evacuation_state>& state)
    {
        wire::PeerMessage message;
        message.mutable_from()->set_name("h2");
        message.mutable_from()->set_incarnation(1);
        auto& heartbeat = *message.mutable_pool_beat();
        heartbeat.set_sequence(++sequence);
        heartbeat.set_address("h2");
        if (state)
            to_wire(*state, *heartbeat.mutable_evacuations());
        host.on_peer(now(), message, out);
    };
    // Returns the state in the next heartbeat to the peer.
    const auto announced = [&]() -> std::optional<evacuation_state>
    {
        for (int i = 0; i < 20; ++i)
        {
            ms += 20;
            out.clear();
            host.tick(now(), out);
            for (const auto& action : out)
                if (const auto* sent = std::get_if<actions::send_peer>(&action))
                    if (sent->message.has_pool_beat())
                    {
                        const auto& beat = sent->message.pool_beat();
                        return beat.has_evacuations() ? std::optional{from_wire(beat.evacuations())}
                                                      : std::nullopt;
                    }
        }
        BOOST_FAIL("no heartbeat was sent");
        return std::nullopt;
    };
    hear(std::nullopt);
    BOOST_TEST(!announced().has_value());
    hear(evacuation_state{4, {"dc1"}});
    BOOST_TEST((announced() == evacuation_state{4, {"dc1"}}));
    host.set_evacuations(now(), {6, {}}, out);
    BOOST_TEST((announced() == evacuation_state{6, {}}));
    hear(evacuation_state{5, {"dc1", "dc2"}});
    hear(std::nullopt); // a host of an earlier release
    BOOST_TEST((announced() == evacuation_state{6, {}}));
    hear(evacuation_state{9, {"dc2"}});
    host.set_evacuations(now(), {7, {"dc1"}}, out); // the store's answer was late
    BOOST_TEST((announced() == evacuation_state{9, {"dc2"}}));
}

// Guards against effects of a request for a data centre that nobody knows.
BOOST_AUTO_TEST_CASE(a_request_for_an_unknown_data_centre_has_no_effect)
{
    pool_host_settings settings;
    settings.membership.self = {"h1", 1};
    settings.membership.data_centre = "dc1";
    settings.membership.address = "h1";
    pool_host host(settings);
    action_list out;
    const auto at = [](std::int64_t ms) { return instant{at_ms(ms), milliseconds{1000000 + ms}}; };
    worker_registry registry{{"w1", make_entry("w1", "dc1")}};
    host.set_registry(at(1), registry, out);
    host.set_evacuations(at(2), {4, {"dc7"}}, out);
    for (std::int64_t ms = 20; ms < 4000; ms += 20)
        host.tick(at(ms), out);
    BOOST_TEST(count_lines(out, "event=evacuation state=unknown data_centre=dc7") == 1U);
    BOOST_TEST(count_lines(out, "event=evacuation ") == 1U);
    BOOST_TEST(host.evacuated_data_centres(at_ms(4000)).empty());
    registry.emplace("w2", make_entry("w2", "dc7"));
    host.set_registry(at(4000), registry, out);
    host.tick(at(4040), out);
    BOOST_TEST(count_lines(out, "state=requested data_centre=dc7") == 1U);
    BOOST_TEST(host.evacuated_data_centres(at_ms(4040)) == std::vector<std::string>{"dc7"});
}

// Guards against a model whose check of evacuations cannot fail: hosts that are told nothing go on.
BOOST_AUTO_TEST_CASE(the_model_reports_starts_in_an_evacuated_data_centre)
{
    auto settings = with_evacuations();
    settings.evacuation_read_delay = 0ms; // hosts read nothing
    pool_simulation sim(settings);
    submit_jobs(sim, 4500, 12000);
    sim.at(at_ms(5000), [&] { sim.evacuate(0, true); });
    sim.run_until(at_ms(9990));
    BOOST_TEST(sim.violations().empty());
    sim.run_until(at_ms(12000));
    BOOST_TEST(!sim.violations().empty());
}

// Evacuations over partitions, kills, slow hosts and a store that does not serve every host.
BOOST_AUTO_TEST_CASE(random_evacuations_keep_every_rule)
{
    for (std::uint64_t seed = 1; seed <= EGRETLEDGE_POOL_SCHEDULES; ++seed)
        for (const auto& violation : run_evacuation_pool_schedule(seed).violations)
            BOOST_ERROR("evacuation seed " << seed << ": " << violation);
}
