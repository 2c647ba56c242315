// Hosts that are short of processor time.

#include "pool/pool_host.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace std::chrono_literals;

namespace
{

// Observes `delay` every `interval` from `begin` until `end`.
void observe(processing_delay& delays, microseconds begin, microseconds end, microseconds interval,
             microseconds delay)
{
    for (auto now = begin; now < end; now += interval)
        delays.observe(now, delay);
}

worker_registry make_registry(int count)
{
    worker_registry registry;
    for (int i = 0; i < count; ++i)
    {
        worker_entry entry;
        entry.id = entry.address = "w" + std::to_string(10 + i);
        entry.service = "desk";
        entry.data_centre = "dc1";
        entry.capacity = {16000, 32768, 0};
        registry.emplace(entry.id, entry);
    }
    return registry;
}

wire::PoolBeat make_heartbeat(std::uint64_t sequence, bool overloaded)
{
    wire::PoolBeat heartbeat;
    heartbeat.set_sequence(sequence);
    heartbeat.set_address("h2");
    heartbeat.set_settled(true);
    heartbeat.set_overloaded(overloaded);
    return heartbeat;
}

membership make_membership()
{
    membership_settings settings;
    settings.self = {"h1", 1};
    settings.address = "h1";
    return membership(settings);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_process_is_overloaded_only_while_its_delay_lasts)
{
    processing_delay delays({});
    observe(delays, 0ms, 1000ms, 20ms, 0ms);
    BOOST_TEST(delays.average() == 0ms);
    observe(delays, 1000ms, 2400ms, 100ms, 120ms);
    BOOST_TEST(!delays.overloaded());
    observe(delays, 2400ms, 4000ms, 100ms, 120ms);
    BOOST_TEST(delays.overloaded());
    BOOST_TEST(delays.average() > 100ms);
    observe(delays, 4000ms, 6000ms, 20ms, 0ms);
    BOOST_TEST(!delays.overloaded());
}

// Guards against a host that gives its workers away since its process was paused once.
BOOST_AUTO_TEST_CASE(a_pause_of_a_process_is_no_overload)
{
    processing_delay delays({});
    observe(delays, 0ms, 1000ms, 20ms, 0ms);
    delays.observe(5000ms, 4000ms);
    BOOST_TEST(delays.average() <= processing_delay_settings{}.max_sample);
    for (auto now = 5020ms; now < 9000ms; now += 20ms)
    {
        delays.observe(now, 0ms);
        BOOST_TEST(!delays.overloaded());
    }
}

// Guards against pools that stay on hosts which can't serve them, while their neighbours have
// processor time to spare.
BOOST_AUTO_TEST_CASE(a_host_short_of_processor_time_hands_workers_over_and_takes_none)
{
    const auto registry = make_registry(20);
    std::set<std::string> own;
    for (const auto& [id, entry] : registry)
        if (own.size() < 12)
            own.insert(id);
    std::vector<candidate_host> hosts{{"h1", "dc1", 12, false, true, false, true},
                                      {"h2", "dc1", 0, false, true, false, false}};
    const auto overloaded_plan = choose_workers({24, 6}, "h1", registry, hosts, {}, own);
    BOOST_TEST(overloaded_plan.acquire.empty());
    BOOST_TEST(overloaded_plan.hand_over.size() == 6U);
    BOOST_TEST(choose_workers({24, 6}, "h2", registry, hosts, own, {}).acquire.size() == 8U);
    // If all are overloaded, nothing moves, and each worker still has a host.
    hosts[1].overloaded = true;
    const auto first = choose_workers({24, 6}, "h1", registry, hosts, {}, own);
    const auto second = choose_workers({24, 6}, "h2", registry, hosts, own, {});
    BOOST_TEST(first.hand_over.empty());
    BOOST_TEST(first.acquire.size() + second.acquire.size() == 8U);
}

// Guards against a host that takes its own lateness for that of a worker: it counts orders as lost,
// opens new connections, and repeats holds, which makes it later.
BOOST_AUTO_TEST_CASE(orders_wait_longer_while_this_process_is_late)
{
    worker_entry entry = make_registry(1).begin()->second;
    held_worker worker({}, entry, 1000);
    std::uint64_t next = 1;
    action_list out;
    worker_events events;
    worker.tick(at_ms(1), next, out, events);
    const auto usual = std::get<actions::hold_worker>(out.back()).timeout;
    worker_reply accepted;
    accepted.result = order_result::accepted;
    accepted.clock_ms = 5000;
    worker.set_processing_delay(200ms);
    worker.on_reply(at_ms(2), std::get<actions::hold_worker>(out.back()).request, accepted, next,
                    out, events);
    worker.start(at_ms(3), {{"job", 0, 0, 0}, 1}, usual_task, "", next, out);
    const auto start = std::find_if(out.begin(), out.end(),
                                    [](const action& sent)
                                    { return std::holds_alternative<actions::start_run>(sent); });
    BOOST_REQUIRE((start != out.end()));
    BOOST_TEST(std::get<actions::start_run>(*start).timeout ==
               held_worker_settings{}.order_timeout + 200ms);
    BOOST_TEST(usual <= held_worker_settings{}.order_timeout + 10ms);
}

// Guards against a host that is behind and spends its time on stops: it repeated the stop of each
// run every few timers, although the answers to the first ones waited to be handled.
BOOST_AUTO_TEST_CASE(a_stop_is_not_repeated_before_its_answer_is_handled)
{
    held_worker worker({}, make_registry(1).begin()->second, 1000);
    std::uint64_t next = 1;
    action_list out;
    worker_events events;
    worker.tick(at_ms(1), next, out, events);
    worker_reply accepted;
    accepted.result = order_result::accepted;
    accepted.clock_ms = 5000;
    worker.on_reply(at_ms(2), std::get<actions::hold_worker>(out.back()).request, accepted, next,
                    out, events);
    const run_ref run{{"job", 0, 0, 0}, 1};
    worker.start(at_ms(3), run, usual_task, "", next, out);
    out.clear();
    worker.stop(at_ms(4), run, next, out);
    const auto stops = [&]
    {
        return std::count_if(out.begin(), out.end(),
                             [](const action& sent)
                             { return std::holds_alternative<actions::stop_run>(sent); });
    };
    for (std::int64_t ms = 20; ms <= 3000; ms += 20)
        worker.tick(at_ms(ms), next, out, events);
    BOOST_TEST(stops() == 1);
    // An answer that never came is reported as none, and the stop is repeated.
    worker.on_reply(at_ms(3010), std::get<actions::stop_run>(out.front()).request, {}, next, out,
                    events);
    for (std::int64_t ms = 3020; ms <= 3200; ms += 20)
        worker.tick(at_ms(ms), next, out, events);
    BOOST_TEST(stops() == 2);
}

// Guards against a late host that announces suspicions of runs on live workers, whose answers wait
// to be handled: peers do not accept a second suspicion of a run once the first was cleared.
BOOST_AUTO_TEST_CASE(a_late_process_suspects_the_runs_of_a_silent_worker_later)
{
    worker_pool pool({}, 9);
    pool.set_processing_delay(100ms);
    action_list out;
    pool.acquire({at_ms(1), 1000ms}, make_registry(1).begin()->second, out);
    worker_reply accepted;
    accepted.result = order_result::accepted;
    accepted.clock_ms = 5000;
    accepted.start_time_ms = 7;
    pool.on_worker_reply(at_ms(2), std::get<actions::hold_worker>(out.at(0)).request, accepted,
                         out);
    job_request job;
    job.id = "job";
    job.terms = {"r", "desk", 0, 3, 8.0, 2000ms, 9000ms};
    job.steps.resize(1);
    job.steps[0] = {1, usual_task, 900ms, {}, {}, {}, 0};
    pool.submit(at_ms(3), job, {{}, 0, 1}, 0ms, out);
    bool started = false;
    std::uint64_t hold = 0;
    for (const auto& action : std::exchange(out, {}))
    {
        if (const auto* start = std::get_if<actions::start_run>(&action))
            started = pool.on_worker_reply(at_ms(4), start->request, accepted, out);
        if (const auto* sent = std::get_if<actions::hold_worker>(&action))
            hold = sent->request;
    }
    BOOST_REQUIRE(started);
    pool.on_worker_reply(at_ms(100), hold, {}, out); // no answer
    const auto suspicions = [&]
    {
        return std::count_if(out.begin(), out.end(),
                             [](const action& logged)
                             {
                                 const auto* line = std::get_if<actions::log_event>(&logged);
                                 return line != nullptr &&
                                        line->text.starts_with("event=runs_suspected");
                             });
    };
    const auto delay = worker_pool_settings{}.suspicion_delay + 100ms;
    pool.tick(at_ms(100) + delay - 1ms, out);
    BOOST_TEST(suspicions() == 0);
    pool.tick(at_ms(100) + delay, out);
    BOOST_TEST(suspicions() == 1);
}

// Guards against a pool that is preferred by callers' hosts although it handles their jobs late.
BOOST_AUTO_TEST_CASE(the_announced_wait_includes_the_delay_of_the_process)
{
    worker_pool pool({}, 9);
    action_list out;
    pool.acquire({at_ms(1), 1000ms}, make_registry(1).begin()->second, out);
    worker_reply accepted;
    accepted.result = order_result::accepted;
    accepted.clock_ms = 5000;
    pool.on_worker_reply(at_ms(2), std::get<actions::hold_worker>(out.at(0)).request, accepted,
                         out);
    BOOST_TEST(pool.expected_wait(at_ms(3)) == 0ms);
    pool.set_processing_delay(150ms);
    BOOST_TEST(pool.expected_wait(at_ms(3)) == 150ms);
}

// Guards against jobs that all go to the pool whose host is a millisecond less late than the
// others.
BOOST_AUTO_TEST_CASE(the_delay_of_a_calm_host_is_not_announced)
{
    pool_host_settings settings;
    settings.membership.self = {"h1", 1};
    pool_host host(settings);
    const auto usual = host.workers().expected_wait(at_ms(0));
    for (std::int64_t ms = 0; ms < 3000; ms += 20)
        host.observe_delay({at_ms(ms), milliseconds{ms}}, 10ms);
    BOOST_TEST(host.delay().average() > 0ms);
    BOOST_TEST(host.workers().processing_delay() == 0ms);
    BOOST_TEST(host.workers().expected_wait(at_ms(3000)) == usual);
    for (std::int64_t ms = 3000; ms < 6000; ms += 100)
        host.observe_delay({at_ms(ms), milliseconds{ms}}, 150ms);
    BOOST_TEST(host.workers().processing_delay() > 100ms);
}

// Guards against a host that is behind, takes the heartbeats which wait in its inbox for missing
// ones, and takes over the workers of hosts that live.
BOOST_AUTO_TEST_CASE(a_late_host_does_not_take_others_for_dead)
{
    auto hosts = make_membership();
    action_list out;
    hosts.tick(
        at_ms(0), [] { return membership::announcement{}; }, out);
    hosts.on_heartbeat(at_ms(1000), {"h2", 1}, make_heartbeat(1, false), out);
    BOOST_TEST(hosts.may_be_alive("h2", at_ms(1400)));
    BOOST_TEST(!hosts.may_be_alive("h2", at_ms(1500)));
    hosts.set_handling_delay(600ms);
    BOOST_TEST(hosts.may_be_alive("h2", at_ms(2000)));
    BOOST_TEST(!hosts.may_be_alive("h2", at_ms(2100)));
    BOOST_TEST(!hosts.alive("h2", at_ms(1500))); // what is said to callers stays as strict
    // A host that said it was overloaded may be late itself.
    hosts.set_handling_delay(0ms);
    hosts.on_heartbeat(at_ms(3000), {"h2", 1}, make_heartbeat(2, true), out);
    BOOST_TEST(hosts.may_be_alive("h2", at_ms(3800)));
    BOOST_TEST(!hosts.may_be_alive("h2", at_ms(3950)));
    BOOST_TEST(!hosts.may_be_alive("h3", at_ms(3000)));
}

// Guards against early rounds of heartbeats that make a host which is late later: each host that is
// heard again caused one.
BOOST_AUTO_TEST_CASE(a_late_host_sends_no_early_heartbeats)
{
    for (const bool late : {false, true})
    {
        auto hosts = make_membership();
        action_list out;
        if (late)
            hosts.set_handling_delay(100ms);
        for (std::int64_t ms = 0; ms < 1000; ms += 20)
        {
            hosts.expedite_heartbeats();
            hosts.tick(
                at_ms(1000 + ms), [] { return membership::announcement{}; }, out);
        }
        const auto rounds = hosts.counts().heartbeat_rounds;
        BOOST_TEST((late ? rounds <= 9U : rounds == 50U));
    }
}
