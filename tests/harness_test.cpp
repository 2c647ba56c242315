#define BOOST_TEST_MODULE harness
#include "core/wire.hpp"
#include "harness/scenario.hpp"
#include "harness/schedule.hpp"
#include "harness/seeds.hpp"
#include "harness/simulation.hpp"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <mutex>
#include <set>
#include <thread>

using namespace egretledge;
using namespace egretledge::harness;

BOOST_AUTO_TEST_CASE(every_scenario_meets_its_expectations)
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry :
         std::filesystem::directory_iterator(std::string(EGRETLEDGE_SOURCE_DIR) + "/scenarios"))
        files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    BOOST_REQUIRE_GE(files.size(), 24U);
    for (const auto& file : files)
    {
        const auto result = run_scenario(file.string());
        for (const auto& failure : result.failures)
            BOOST_ERROR(file.filename().string() << ": " << result.name << ": " << failure);
    }
}

BOOST_AUTO_TEST_CASE(random_key_schedules_keep_every_rule_and_recover)
{
    constexpr std::uint64_t schedules = EGRETLEDGE_KEY_SCHEDULES;
    std::atomic<std::uint64_t> next{1};
    std::mutex guard;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::vector<std::string> faults;
    std::vector<std::thread> threads;
    for (unsigned t = 0; t < std::max(1U, std::thread::hardware_concurrency()); ++t)
        threads.emplace_back(
            [&]
            {
                for (auto seed = next++; seed <= schedules; seed = next++)
                {
                    const auto run = run_schedule(seed);
                    const std::lock_guard lock(guard);
                    complete += run.complete;
                    refused += run.not_run;
                    if (!run.violation.empty() || !run.stuck.empty())
                        faults.push_back("seed " + std::to_string(seed) + ": " + run.violation +
                                         run.stuck);
                }
            });
    for (auto& thread : threads)
        thread.join();
    for (const auto& fault : faults)
        BOOST_ERROR(fault);
    // The schedules exercise both outcomes: most calls complete, and some are refused.
    BOOST_TEST(complete > schedules * 20);
    BOOST_TEST(refused > schedules);
}

BOOST_AUTO_TEST_CASE(key_schedules_that_once_failed_keep_every_rule)
{
    const auto seeds = failed_seeds("keys");
    BOOST_REQUIRE(!seeds.empty());
    for (const auto seed : seeds)
    {
        const auto run = run_schedule(seed);
        BOOST_TEST(run.violation.empty(), "seed " << seed << ": " << run.violation);
        BOOST_TEST(run.stuck.empty(), "seed " << seed << ": " << run.stuck);
    }
}

// Guards against a seed that names different schedules on different machines; see the test of the
// same name in pool_world_test.cpp.
BOOST_AUTO_TEST_CASE(a_seed_names_the_same_key_schedule_on_every_machine)
{
    const std::pair<std::uint64_t, std::uint64_t> digests[] = {{1, 1501906786091113818U},
                                                               {14325, 1405763309149160153U},
                                                               {1234503407, 1155415888615172397U}};
    for (const auto& [seed, digest] : digests)
    {
        const auto run = run_schedule(seed);
        BOOST_TEST(run.digest == digest, "seed " << seed << ": " << run.digest);
    }
}

BOOST_AUTO_TEST_CASE(the_checker_detects_workers_that_ignore_fences)
{
    std::size_t seen = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        seen +=
            run_schedule(seed, injected_defect::workers_ignore_fences).violation.empty() ? 0 : 1;
    BOOST_TEST(seen > 0U);
}

namespace
{

// Publishes `count` changes at once to 50 hosts in five data centres. Returns, in ascending order,
// the time from the first append until the last revision is in force on each host.
std::vector<egretledge::microseconds> times_in_force(std::uint64_t count, bool faults)
{
    using egretledge::microseconds;
    using egretledge::milliseconds;
    simulation_settings settings;
    for (int c = 1; c <= 5; ++c)
    {
        centre_plan centre;
        centre.name = "dc" + std::to_string(c);
        for (int h = 1; h <= 10; ++h)
            centre.hosts.push_back(centre.name + "-h" + std::to_string(h));
        centre.workers = 1;
        settings.centres.push_back(centre);
    }
    settings.list_lag = milliseconds{0};
    simulation sim(settings);
    sim.run_for(milliseconds{4000});
    std::set<std::string> restarted;
    if (faults)
    {
        sim.set_log_delay(milliseconds{500});
        // One host in ten restarts while the changes propagate.
        for (int c = 1; c <= 5; ++c)
        {
            const auto host = "dc" + std::to_string(c) + "-h" + std::to_string(c);
            sim.kill(host);
            sim.start(host);
            restarted.insert(host);
        }
    }
    const auto begun = sim.now();
    for (std::uint64_t i = 0; i < count; ++i)
        sim.publish("{kind: policy, name: p" + std::to_string(i) + ", retry_limit: 1}", 1 + i,
                    "burst" + std::to_string(i));
    std::vector<microseconds> times;
    std::set<std::string> reached;
    while (reached.size() < 50 && sim.now() - begun < microseconds{milliseconds{10000}})
    {
        sim.run_for(milliseconds{5});
        for (const auto& name : sim.host_names())
            if (sim.host(name)->revision() >= 1 + count && reached.insert(name).second)
                times.push_back(sim.now() - begun);
    }
    BOOST_TEST(reached.size() == 50U);
    return times;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_configuration_change_reaches_fifty_hosts_within_three_seconds)
{
    struct row
    {
        std::uint64_t changes;
        bool faults;
    };
    for (const auto& r : {row{1, false}, row{1, true}, row{50, true}})
    {
        const auto times = times_in_force(r.changes, r.faults);
        BOOST_REQUIRE_EQUAL(times.size(), 50U);
        const auto median = times[25].count() / 1000;
        const auto worst = times.back().count() / 1000;
        BOOST_TEST_MESSAGE(r.changes << " changes, faults " << r.faults << ": median " << median
                                     << " ms, worst " << worst << " ms");
        BOOST_TEST(median < 1000);
        BOOST_TEST(worst < 3000);
    }
}

BOOST_AUTO_TEST_CASE(a_schedule_is_reproduced_by_its_seed)
{
    const auto first = run_schedule(17);
    const auto second = run_schedule(17);
    BOOST_TEST(first.calls == second.calls);
    BOOST_TEST(first.complete == second.complete);
    BOOST_TEST(first.starts == second.starts);
    BOOST_TEST(first.counters.starts_sent == second.counters.starts_sent);
}

namespace
{

// Returns two data centres with one shard each: dc1 with `hosts` hosts named dc1-h1 and so on, and
// dc2 with one host.
simulation_settings small_simulation(std::uint32_t hosts)
{
    simulation_settings settings;
    settings.shards = 1;
    settings.host_list_lag = egretledge::milliseconds{5000};
    settings.constant_delay = true;
    centre_plan first{"dc1", {}, 2};
    for (std::uint32_t h = 1; h <= hosts; ++h)
        first.hosts.push_back("dc1-h" + std::to_string(h));
    settings.centres = {first, {"dc2", {"dc2-h1"}, 1}};
    return settings;
}

} // namespace

// Guards against two owners: the platform is unreachable, so that the last host list is old. New
// configuration revisions from another data centre make the host evaluate the old list again, which
// must not count as a new list.
BOOST_AUTO_TEST_CASE(an_old_host_list_is_not_renewed_by_configuration_revisions)
{
    using egretledge::milliseconds;
    simulation sim(small_simulation(2));
    sim.run_for(milliseconds{4000});
    const auto owners = sim.serving("dc1", 0);
    BOOST_REQUIRE_EQUAL(owners.size(), 1U);
    const std::string restarted_host = owners[0] == "dc1-h1" ? "dc1-h2" : "dc1-h1";
    sim.kill(restarted_host);
    sim.run_for(milliseconds{5000});
    sim.start(restarted_host); // listed 3 s later
    sim.run_for(milliseconds{2000});
    sim.cut("dc1", "log");
    sim.run_for(milliseconds{1500});
    sim.cut("dc1-h1", "dc1-h2");
    for (std::uint64_t i = 0; i < 12; ++i)
    {
        sim.publish("{kind: policy, name: p" + std::to_string(i) + ", retry_limit: 1}", 1 + i,
                    "late" + std::to_string(i));
        sim.run_for(milliseconds{1000});
        BOOST_REQUIRE_LE(sim.serving("dc1", 0).size(), 1U);
    }
    BOOST_TEST(sim.host(restarted_host)->revision() >= 8U);
}

// Guards against a lost job body: a takeover found a job half done, and a cancellation, which has
// no body, is ending it. A later call brought the body and must keep it when the shard is
// transferred.
BOOST_AUTO_TEST_CASE(a_call_keeps_its_body_when_its_job_was_opened_by_a_cancellation)
{
    using egretledge::milliseconds;
    auto settings = small_simulation(3);
    settings.centres[0].workers = 1;
    simulation sim(settings);
    sim.run_for(milliseconds{4000});
    const auto first = sim.serving("dc1", 0).at(0);
    wire::Job job;
    job.set_service("once");
    job.set_deadline_ms(20000);
    job.add_tasks()->set_payload("p");
    job.mutable_tasks(0)->set_size_ms(15000);
    const auto key = sim.make_key("dc1", "n");
    sim.submit(first, key, job);
    sim.run_for(milliseconds{500});
    sim.kill(first);
    while (sim.serving("dc1", 0).empty())
        sim.run_for(milliseconds{10});
    const auto second = sim.serving("dc1", 0).at(0);
    sim.run_for(milliseconds{200});
    // No worker can record the end of the job.
    sim.cut(second, "dc1-pool-1");
    sim.send_call(second, key, wire::CANCEL);
    sim.run_for(milliseconds{100});
    const auto call = sim.submit(second, key, job);
    sim.run_for(milliseconds{100});
    sim.stop(second);
    sim.run_for(milliseconds{6000});
    const auto* answer = sim.calls().find(call);
    BOOST_REQUIRE(answer->answered);
    BOOST_TEST(name_of(kind_of(answer->answer)) == "cancelled");
    BOOST_TEST(sim.check_history() == "");
}

// Guards against a service that a host refuses for good: it learned from a burst of low estimates
// that tasks take longer than their callers wait, and no refused job could correct that.
BOOST_AUTO_TEST_CASE(a_burst_of_low_estimates_closes_a_service_for_seconds_only)
{
    using egretledge::milliseconds;
    auto settings = small_simulation(2);
    settings.centres[0].workers = 1;
    simulation sim(settings);
    sim.run_for(milliseconds{4000});
    const auto owner = sim.serving("dc1", 0).at(0);
    const auto submit = [&](int number, std::uint32_t size_ms)
    {
        wire::Job job;
        job.set_service("once");
        job.set_deadline_ms(1500);
        job.add_tasks()->set_payload("p");
        job.mutable_tasks(0)->set_size_ms(size_ms);
        const auto call = sim.submit(owner, sim.make_key("dc1", "n" + std::to_string(number)), job);
        sim.run_for(milliseconds{500});
        return call;
    };
    int number = 0;
    sim.worker("dc1-pool-1")->set_slowness(1.75);
    for (int i = 0; i < 40; ++i)
        submit(++number, 600);
    sim.worker("dc1-pool-1")->set_slowness(1);
    std::vector<std::uint64_t> calls;
    for (int i = 0; i < 40; ++i)
        calls.push_back(submit(++number, 1050));
    sim.run_for(milliseconds{3000});
    int served = 0;
    for (std::size_t i = 10; i < calls.size(); ++i)
        served += kind_of(sim.calls().find(calls[i])->answer) == answer_kind::ok ? 1 : 0;
    BOOST_TEST(served == 30);
    const auto& counters = sim.host(owner)->counters();
    BOOST_TEST(counters.run_time_trials > 0U);
    BOOST_TEST(counters.run_time_trials_served > 0U);
    BOOST_TEST(counters.run_time_trials_served <= counters.run_time_trials);
    BOOST_TEST(sim.check_history() == "");
}

// Guards against tasks that run twice: an owner started tasks on a worker that the configuration
// had just added, and its grantor, which had not read that revision yet, took over without querying
// the worker.
BOOST_AUTO_TEST_CASE(a_takeover_queries_the_workers_of_the_latest_configuration)
{
    using egretledge::milliseconds;
    auto settings = small_simulation(2);
    settings.centres[0].workers = 2;
    simulation sim(settings);
    const auto pool = [](int count)
    {
        return "{kind: executor_pool, name: dc1-pool, data_centre: dc1, address: 127.0.0.1, "
               "first_port: 20000, memory: 32GiB, slots: 4, count: " +
               std::to_string(count) + "}";
    };
    sim.publish(pool(1), 1, "fewer");
    sim.run_for(milliseconds{4000});
    // Hosts that started since then know nothing of the removed worker.
    for (const auto& name : {"dc1-h1", "dc1-h2"})
    {
        sim.kill(name);
        sim.start(name);
        sim.run_for(milliseconds{8000});
    }
    const auto owners = sim.serving("dc1", 0);
    BOOST_REQUIRE_EQUAL(owners.size(), 1U);
    const auto owner = owners[0];
    const std::string other = owner == "dc1-h1" ? "dc1-h2" : "dc1-h1";
    BOOST_TEST(sim.host(owner)->revision() == 2U);
    // The owner reads the next revision. Its grantor is partitioned from it and from other data
    // centres.
    sim.cut("dc1-h1", "dc1-h2");
    sim.cut(other, "dc2");
    sim.publish(pool(2), 2, "more");
    sim.run_for(milliseconds{300});
    BOOST_REQUIRE(sim.host(owner)->revision() == 3U);
    BOOST_REQUIRE(sim.host(other)->revision() == 2U);
    wire::Job job;
    job.set_service("once");
    for (int i = 0; i < 8; ++i)
    {
        job.add_tasks()->set_payload("p" + std::to_string(i));
        job.mutable_tasks(i)->set_size_ms(3000);
    }
    const auto key = sim.make_key("dc1", "n");
    sim.submit(owner, key, job);
    sim.run_for(milliseconds{300});
    sim.kill(owner);
    while (sim.serving("dc1", 0).empty())
        sim.run_for(milliseconds{100});
    sim.submit(other, key, job);
    sim.run_for(milliseconds{8000});
    BOOST_TEST(sim.check_history() == "");
}
