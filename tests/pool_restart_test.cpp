// All hosts of a deployment end at once and return, on processors that do little more than the
// load needs.

#include "harness/pool_schedule.hpp"
#include "harness/seeds.hpp"
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace egretledge;
using namespace egretledge::harness;
using namespace egretledge::pool;
using namespace std::chrono_literals;

namespace
{

constexpr microseconds load_begin{2500ms};
constexpr microseconds fault_time{8s};
constexpr microseconds downtime{1200ms};
constexpr microseconds recovery_limit{15s}; // the platform's bound after the hosts have returned
constexpr microseconds measured_time{4s};
constexpr microseconds load_end = fault_time + downtime + recovery_limit + measured_time;

// 24 hosts in three data centres with 120 workers, and callers that retry as on the platform.
pool_simulation_settings small_processor_deployment(double processor_share)
{
    pool_simulation_settings settings;
    settings.seed = 7;
    settings.data_centres = 3;
    settings.hosts_per_centre = 8;
    settings.workers_per_centre = 40;
    settings.caller_wait = 1500ms;
    settings.platform_callers = true;
    settings.ordered_messages = true;
    settings.max_calls = 3;
    settings.processor.share = processor_share;
    return settings;
}

// Schedules `rate` jobs a second of one to six short tasks, each at a random host.
void schedule_load(pool_simulation& simulation, double rate, std::mt19937_64& random)
{
    const auto count = static_cast<std::int64_t>(
        rate * std::chrono::duration<double>(load_end - load_begin).count());
    for (std::int64_t i = 0; i < count; ++i)
        simulation.at(load_begin + microseconds{std::llround(1e6 * static_cast<double>(i) / rate)},
                      [&simulation, &random, i]
                      {
                          const auto draw = [&](std::int64_t min_value, std::int64_t max_value) {
                              return std::uniform_int_distribution<std::int64_t>(min_value,
                                                                                 max_value)(random);
                          };
                          const auto host =
                              static_cast<std::uint32_t>(draw(0, simulation.host_count() - 1));
                          const milliseconds time{draw(40, 340)};
                          const auto tasks = static_cast<std::uint32_t>(draw(1, 6));
                          simulation.submit(host, "job" + std::to_string(i), tasks, {6400, 64, 0},
                                            time, true);
                      });
}

// Returns the share of calls sent from `begin` until `end` that were answered as complete.
double served_share(const pool_simulation& simulation, microseconds begin, microseconds end)
{
    double calls = 0;
    double served = 0;
    for (const auto& call : simulation.calls())
    {
        if (call.sent < begin || call.sent >= end)
            continue;
        ++calls;
        served += call.answered.count() >= 0 && call.answer.kind == answer_kind::ok ? 1 : 0;
    }
    return calls == 0 ? 0 : served / calls;
}

// Returns the largest number of workers that one host holds.
std::size_t largest_pool(const pool_simulation& simulation)
{
    std::size_t largest = 0;
    for (std::uint32_t host = 0; host < simulation.host_count(); ++host)
        if (simulation.host(host) != nullptr)
            largest = std::max(largest, simulation.host(host)->workers().held().size());
    return largest;
}

} // namespace

// Guards against a deployment that serves all calls, loses power at all hosts at once, and
// afterwards serves few of the same calls for as long as the load lasts.
BOOST_AUTO_TEST_CASE(service_is_back_after_all_hosts_lost_power_at_once)
{
    pool_simulation simulation(small_processor_deployment(0.04));
    std::mt19937_64 random(11);
    schedule_load(simulation, 75, random);
    simulation.at(fault_time, [&] { simulation.restart_all_hosts(downtime); });
    simulation.run_until(load_end + 2s);
    const auto before = served_share(simulation, load_begin + 1500ms, fault_time - 2s);
    const auto after = served_share(simulation, fault_time + downtime + recovery_limit, load_end);
    BOOST_TEST(before >= 0.95);
    BOOST_TEST(after >= 0.95);
    for (const auto& violation : simulation.violations())
        BOOST_ERROR(violation);
}

// Guards against the first host of a data centre that settles after all have restarted: it took
// all workers, more than its processor can serve, and kept them.
BOOST_AUTO_TEST_CASE(workers_are_shared_out_after_all_hosts_lost_power_at_once)
{
    pool_simulation simulation(small_processor_deployment(0.04));
    std::mt19937_64 random(11);
    schedule_load(simulation, 75, random);
    simulation.at(fault_time, [&] { simulation.restart_all_hosts(downtime); });
    simulation.run_until(fault_time + downtime + recovery_limit);
    BOOST_TEST(largest_pool(simulation) <= worker_assignment_settings{}.max_workers);
}

// The same load on unequal hosts: two of 0.5 cores in each data centre, and six of 0.05, which can
// serve one worker each. Guards against weak hosts that hold pools beside strong ones, before or
// after all hosts lost power or those of one data centre were lost.
BOOST_AUTO_TEST_CASE(strong_hosts_hold_the_pools_before_and_after_all_lost_power)
{
    auto settings = small_processor_deployment(0.05);
    settings.processor.first_shares = {0.5, 0.5};
    pool_simulation simulation(settings);
    std::mt19937_64 random(11);
    schedule_load(simulation, 75, random);
    const auto held_by_weak_hosts = [&]
    {
        std::size_t held = 0;
        for (std::uint32_t host = 0; host < simulation.host_count(); ++host)
            if (host % settings.hosts_per_centre >= settings.processor.first_shares.size() &&
                simulation.host(host) != nullptr)
                held += simulation.host(host)->workers().held().size();
        return held;
    };
    simulation.at(fault_time, [&] { simulation.restart_all_hosts(downtime); });
    simulation.run_until(fault_time - 1s);
    BOOST_TEST(held_by_weak_hosts() == 0U);
    simulation.run_until(fault_time + downtime + recovery_limit);
    BOOST_TEST(held_by_weak_hosts() == 0U);
    simulation.run_until(load_end + 2s);
    BOOST_TEST(served_share(simulation, load_begin + 1500ms, fault_time - 2s) >= 0.95);
    BOOST_TEST(served_share(simulation, fault_time + downtime + recovery_limit, load_end) >= 0.95);
    for (const auto& violation : simulation.violations())
        BOOST_ERROR(violation);
}

// Guards against workers that stay without a holder, or with a weak one, after the strong hosts of
// a data centre were lost at once and have returned.
BOOST_AUTO_TEST_CASE(weak_hosts_hold_the_pools_only_while_the_strong_ones_are_lost)
{
    auto settings = small_processor_deployment(0.15);
    settings.processor.first_shares = {0.5, 0.5};
    pool_simulation simulation(settings);
    std::mt19937_64 random(11);
    schedule_load(simulation, 50, random);
    const auto held_by = [&](bool strong)
    {
        std::size_t held = 0;
        for (std::uint32_t host = 0; host < settings.hosts_per_centre; ++host)
            if ((host < settings.processor.first_shares.size()) == strong &&
                simulation.host(host) != nullptr)
                held += simulation.host(host)->workers().held().size();
        return held;
    };
    simulation.at(fault_time,
                  [&]
                  {
                      simulation.kill_host(0);
                      simulation.kill_host(1);
                  });
    simulation.at(fault_time + 5s,
                  [&]
                  {
                      simulation.start_host(0);
                      simulation.start_host(1);
                  });
    simulation.run_until(fault_time - 1s);
    BOOST_TEST(held_by(true) == settings.workers_per_centre);
    simulation.run_until(fault_time + 3s);
    BOOST_TEST(held_by(false) == settings.workers_per_centre);
    simulation.run_until(fault_time + 5s + recovery_limit);
    BOOST_TEST(held_by(true) == settings.workers_per_centre);
    simulation.run_until(load_end + 2s);
    BOOST_TEST(served_share(simulation, fault_time + 5s + recovery_limit, load_end) >= 0.95);
    for (const auto& violation : simulation.violations())
        BOOST_ERROR(violation);
}

// All hosts end at once and return, beside other faults and crowds; before them the schedules that
// once failed.
BOOST_AUTO_TEST_CASE(random_restarts_of_all_hosts_keep_every_rule)
{
    auto schedules = failed_seeds("pool-restart");
    BOOST_REQUIRE(!schedules.empty());
    // A schedule takes several times as long as one of pool_schedule.cpp.
    constexpr std::uint64_t relative_cost = 5;
    for (std::uint64_t seed = 1; seed <= EGRETLEDGE_POOL_SCHEDULES / relative_cost; ++seed)
        schedules.push_back(seed);
    for (const auto seed : schedules)
        for (const auto& violation : run_restart_pool_schedule(seed).violations)
            BOOST_ERROR("restart seed " << seed << ": " << violation);
}
