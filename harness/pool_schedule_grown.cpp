// Schedules for a grown deployment of the platform: larger data centres with more and longer jobs,
// and faults that overlap. Each schedule has one or two times around which its faults are
// clustered. Orders that are executed late occur in the schedules of pool_schedule.cpp only.

#include "harness/pool_schedule.hpp"

namespace egretledge::harness
{

using namespace pool;
using std::chrono::milliseconds;

namespace
{

constexpr microseconds startup_time{2500000};
constexpr microseconds load_time{9000000};
constexpr microseconds quiet_time{9000000}; // for retries and for the end of the longest jobs
constexpr std::int64_t min_caller_wait_ms = 3000;
constexpr std::int64_t max_caller_wait_ms = 8000;
// The same for the jobs of run_deadly_pool_schedule(), whose draws do not change those of the rest.
constexpr std::uint64_t deadly_seed_salt = 0xdeadULL;
constexpr std::uint64_t evacuation_seed_salt = 0xe7acULL;
// Makes the random draws of the schedule differ from those of the simulation with the same seed.
constexpr std::uint64_t seed_salt = 0x96047ULL;

class grown_scheduler
{
public:
    grown_scheduler(std::uint64_t seed, const pool_schedule_options& options)
        : m_options(options), m_random(seed ^ seed_salt)
    {
    }

    pool_simulation_settings draw_settings(std::uint64_t seed)
    {
        pool_simulation_settings settings;
        settings.seed = seed;
        settings.draw_only = m_options.draw_only;
        settings.data_centres = static_cast<std::uint32_t>(random_integer(2, 3));
        settings.hosts_per_centre = static_cast<std::uint32_t>(random_integer(2, 4));
        settings.workers_per_centre = static_cast<std::uint32_t>(random_integer(6, 16));
        settings.caller_wait = milliseconds{random_integer(min_caller_wait_ms, max_caller_wait_ms)};
        settings.platform_callers = true;
        settings.ordered_messages = true;
        return settings;
    }

    void schedule_run(pool_simulation& simulation)
    {
        m_simulation = &simulation;
        schedule_jobs();
        const auto fault_periods = random_integer(1, 2);
        for (std::int64_t i = 0; i < fault_periods; ++i)
        {
            const auto fault_time = random_load_time();
            const auto faults = random_integer(1, 5);
            for (std::int64_t fault = 0; fault < faults; ++fault)
                simulation.at(random_time_near(fault_time), [this] { inject_fault(); });
        }
    }

private:
    std::int64_t random_integer(std::int64_t min_value, std::int64_t max_value)
    {
        return std::uniform_int_distribution<std::int64_t>(min_value, max_value)(m_random);
    }
    bool random_bool(double share) { return std::bernoulli_distribution(share)(m_random); }
    microseconds random_load_time()
    {
        return startup_time + microseconds{random_integer(0, load_time.count())};
    }
    // Returns a time from 1 s before to 2 s after `fault_time`, but not before the load begins.
    microseconds random_time_near(microseconds fault_time)
    {
        return std::max(startup_time, fault_time + microseconds{random_integer(-1000000, 2000000)});
    }
    // The bounds are in milliseconds.
    microseconds random_duration(std::int64_t min_value, std::int64_t max_value)
    {
        return microseconds{random_integer(min_value * 1000, max_value * 1000)};
    }
    std::uint32_t random_host()
    {
        return static_cast<std::uint32_t>(random_integer(0, m_simulation->host_count() - 1));
    }
    std::uint32_t random_worker()
    {
        return static_cast<std::uint32_t>(random_integer(0, m_simulation->worker_count() - 1));
    }
    std::uint32_t random_peer_of(std::uint32_t host)
    {
        const auto peer =
            static_cast<std::uint32_t>(random_integer(0, m_simulation->host_count() - 2));
        return peer < host ? peer : peer + 1;
    }
    // Draws the host that a fault affects and the duration of the fault.
    std::pair<std::uint32_t, microseconds>
    random_host_fault(const std::function<microseconds()>& draw_duration)
    {
        if (m_options.order == draw_order::left_to_right)
        {
            const auto host = random_host();
            const auto duration = draw_duration();
            return {host, duration};
        }
        const auto duration = draw_duration();
        const auto host = random_host();
        return {host, duration};
    }
    std::pair<std::uint32_t, microseconds> random_host_fault(std::int64_t min_value,
                                                             std::int64_t max_value)
    {
        return random_host_fault([&] { return random_duration(min_value, max_value); });
    }
    void schedule_after(microseconds time, std::function<void()> callback)
    {
        m_simulation->at(m_simulation->now() + time, std::move(callback));
    }

    // Schedules jobs for 40 to 130 percent of the workers' capacity. Most tasks take several
    // hundred milliseconds.
    void schedule_jobs()
    {
        constexpr double slots_per_worker = 2;
        const double capacity = slots_per_worker * m_simulation->worker_count() *
                                static_cast<double>(load_time.count());
        double remaining_us = capacity * std::uniform_real_distribution<double>(0.4, 1.3)(m_random);
        for (int i = 0; remaining_us > 0; ++i)
        {
            constexpr std::int64_t times_ms[] = {60, 200, 400, 900, 900, 2000};
            const auto time_ms = times_ms[random_integer(0, 5)];
            const microseconds time{time_ms * random_integer(500, 1500)};
            const bool large = random_bool(0.2);
            const auto count = static_cast<std::uint32_t>(random_integer(1, large ? 16 : 6));
            remaining_us -= static_cast<double>(time.count() * count);
            m_simulation->at(random_load_time(), [this, id = "job" + std::to_string(i), count, time]
                             { submit(id, count, time); });
        }
    }

    void submit(const std::string& id, std::uint32_t count, microseconds time)
    {
        auto host = random_host();
        while (m_simulation->host(host) == nullptr && !random_bool(0.2))
            host = random_host();
        resources demand{0, 64, 0};
        if (m_options.order == draw_order::left_to_right)
            demand.cpu = random_integer(5000, 8000);
        const bool retries = random_bool(0.95);
        if (m_options.order == draw_order::right_to_left)
            demand.cpu = random_integer(5000, 8000);
        m_simulation->submit(host, id, count, demand, time, retries);
        if (random_bool(0.04))
            schedule_after(random_duration(1, 1500),
                           [this, id] { m_simulation->reset_caller_connection(id); });
        else if (random_bool(0.02))
            schedule_after(random_duration(1, 1500),
                           [this, id] { m_simulation->lose_caller_connection(id); });
        else if (random_bool(0.02))
            schedule_after(random_duration(1, 1500),
                           [this, id] { m_simulation->disconnect_caller(id); });
    }

    void restart(std::uint32_t host, microseconds downtime)
    {
        m_simulation->kill_host(host);
        schedule_after(downtime, [this, host] { m_simulation->start_host(host); });
    }

    // Polls a planned stop every 100 ms and restarts the host when the stop is done or overdue.
    // Does nothing if the host is down or was restarted meanwhile.
    void end_stop(std::uint32_t host, const pool_host* stopping, microseconds downtime)
    {
        const auto* present = m_simulation->host(host);
        if (present == nullptr || present != stopping)
            return;
        const auto stage = present->stop_progress(m_simulation->now());
        if (stage == stop_stage::done || stage == stop_stage::overdue)
        {
            m_simulation->finish_stop(host);
            return restart(host, downtime);
        }
        schedule_after(milliseconds{100},
                       [this, host, stopping, downtime] { end_stop(host, stopping, downtime); });
    }

    void stop(std::uint32_t host)
    {
        if (m_simulation->host(host) == nullptr)
            return;
        m_simulation->stop_host(host);
        end_stop(host, m_simulation->host(host), random_duration(100, 1500));
    }

    // Restarts two or more hosts one after another, 0.5 to 2 s apart, all by planned stops or all
    // by kills.
    void rolling_restart()
    {
        const bool planned = random_bool(0.5);
        const auto count = random_integer(2, m_simulation->host_count());
        const auto first = random_host();
        microseconds when{0};
        for (std::int64_t i = 0; i < count; ++i)
        {
            const auto host = static_cast<std::uint32_t>((first + i) % m_simulation->host_count());
            schedule_after(when, [this, host, planned]
                           { planned ? stop(host) : restart(host, random_duration(100, 1500)); });
            when += random_duration(500, 2000);
        }
    }

    void cut_data_centre()
    {
        const auto centre =
            static_cast<std::uint32_t>(random_integer(0, m_simulation->centre_count() - 1));
        const bool queue_messages = random_bool(0.6);
        m_simulation->cut_data_centre(centre, true, queue_messages);
        const bool brief = random_bool(0.5);
        schedule_after(brief ? random_duration(200, 1500) : random_duration(1500, 6000),
                       [this, centre, queue_messages]
                       { m_simulation->cut_data_centre(centre, false, queue_messages); });
    }

    void cut_host()
    {
        const auto host = random_host();
        const bool queue_messages = random_bool(0.6);
        const bool all = random_bool(0.6);
        std::vector<std::uint32_t> peers;
        for (std::uint32_t peer = 0; peer < m_simulation->host_count(); ++peer)
            if (peer != host && (all || random_bool(0.3)))
                peers.push_back(peer);
        for (const auto peer : peers)
            m_simulation->cut_hosts(host, peer, true, queue_messages);
        schedule_after(random_duration(100, 2500),
                       [this, host, peers, queue_messages]
                       {
                           for (const auto peer : peers)
                               m_simulation->cut_hosts(host, peer, false, queue_messages);
                       });
    }

    void reset_connections()
    {
        const auto count = random_integer(1, 12);
        for (std::int64_t i = 0; i < count; ++i)
            schedule_after(random_duration(0, 1500),
                           [this]
                           {
                               const auto host = random_host();
                               const auto peer = random_peer_of(host);
                               const auto gap = random_duration(1, 150);
                               if (random_bool(0.5))
                                   m_simulation->reset_hosts(host, peer, gap);
                               else
                                   m_simulation->reset_connection(host, peer, gap);
                           });
    }

    // Resets all connections of a host at once, including those of its callers.
    void reset_host()
    {
        const auto host = random_host();
        for (std::uint32_t peer = 0; peer < m_simulation->host_count(); ++peer)
            if (peer != host)
                m_simulation->reset_hosts(host, peer, random_duration(50, 250));
        m_simulation->reset_caller_connections(host);
    }

    // Simulates hosts that are too busy to read their peers' messages for 200 to 1500 ms.
    void block_some_hosts()
    {
        const auto count = random_integer(1, 3);
        for (std::int64_t i = 0; i < count; ++i)
            schedule_after(random_duration(0, 400),
                           [this]
                           {
                               const auto [host, duration] = random_host_fault(
                                   [this]
                                   {
                                       const bool brief = random_bool(0.5);
                                       return random_duration(200, brief ? 700 : 1500);
                                   });
                               m_simulation->block_peer_messages(host, duration);
                           });
    }

    void inject_worker_fault()
    {
        const auto worker = random_worker();
        const auto time = random_duration(100, 3000);
        switch (random_integer(0, 2))
        {
        case 0:
        {
            const auto host = random_host();
            m_simulation->cut_worker(host, worker, true);
            return schedule_after(time, [this, host, worker]
                                  { m_simulation->cut_worker(host, worker, false); });
        }
        case 1:
            m_simulation->crash_worker(worker);
            return schedule_after(time, [this, worker] { m_simulation->restart_worker(worker); });
        default:
            m_simulation->disturb_worker(worker, 4, false);
            return schedule_after(time, [this, worker]
                                  { m_simulation->disturb_worker(worker, 1, false); });
        }
    }

    void inject_fault()
    {
        switch (random_integer(0, 11))
        {
        case 0:
        case 1:
            return cut_data_centre();
        case 2:
            return rolling_restart();
        case 3:
            return reset_connections();
        case 4:
            return reset_host();
        case 5:
        case 6:
            return block_some_hosts();
        case 7:
        {
            const auto [host, duration] = random_host_fault(100, 1500);
            return m_simulation->slow_host(host, duration);
        }
        case 8:
        {
            const auto [host, duration] = random_host_fault(100, 2500);
            return m_simulation->freeze_host(host, duration);
        }
        case 9:
            return cut_host();
        case 10:
        {
            const auto [host, duration] = random_host_fault(100, 3000);
            return restart(host, duration);
        }
        default:
            return inject_worker_fault();
        }
    }

    pool_schedule_options m_options;
    pool_simulation* m_simulation = nullptr;
    std::mt19937_64 m_random;
};

} // namespace

pool_schedule_result run_deadly_pool_schedule(std::uint64_t seed,
                                              const pool_schedule_options& options)
{
    grown_scheduler scheduler(seed, options);
    auto settings = scheduler.draw_settings(seed);
    // As on the platform: one submission sees at most two crashes.
    settings.caller_wait = milliseconds{1500};
    settings.max_calls = 12;
    pool_simulation simulation(settings);
    simulation.trace = options.trace;
    scheduler.schedule_run(simulation);
    std::mt19937_64 random(seed ^ deadly_seed_salt);
    const auto draw = [&](std::int64_t min_value, std::int64_t max_value)
    { return std::uniform_int_distribution<std::int64_t>(min_value, max_value)(random); };
    simulation.set_crashed_worker_downtime(milliseconds{draw(300, 8000)});
    const auto jobs = draw(1, 3);
    for (std::int64_t i = 0; i < jobs; ++i)
    {
        const auto id = "deadly" + std::to_string(i);
        const auto count = static_cast<std::uint32_t>(draw(1, 8));
        const auto host = static_cast<std::uint32_t>(draw(0, simulation.host_count() - 1));
        const auto time = milliseconds{draw(60, 900)};
        const auto deadly_task = static_cast<std::uint32_t>(draw(0, count - 1));
        simulation.make_task_deadly(id, deadly_task);
        simulation.at(startup_time + microseconds{draw(0, load_time.count())},
                      [&simulation, id, count, host, time] {
                          simulation.submit(host, id, count, {6400, 64, 0}, time, true);
                      });
    }
    simulation.run_until(startup_time + load_time + quiet_time + milliseconds{15000});
    return collect_result(simulation);
}

pool_schedule_result run_evacuation_pool_schedule(std::uint64_t seed,
                                                  const pool_schedule_options& options)
{
    grown_scheduler scheduler(seed, options);
    auto settings = scheduler.draw_settings(seed);
    settings.host.workers.evacuations.bound = milliseconds{5000};
    settings.evacuation_read_delay = milliseconds{400};
    pool_simulation simulation(settings);
    simulation.trace = options.trace;
    scheduler.schedule_run(simulation);
    std::mt19937_64 random(seed ^ evacuation_seed_salt);
    const auto draw = [&](std::int64_t min_value, std::int64_t max_value)
    { return std::uniform_int_distribution<std::int64_t>(min_value, max_value)(random); };
    // Requests come early, so that much of the load follows the bound.
    const auto requests = draw(1, 3);
    for (std::int64_t i = 0; i < requests; ++i)
    {
        const auto centre = static_cast<std::uint32_t>(draw(0, simulation.centre_count() - 1));
        const auto from = startup_time + milliseconds{draw(-2000, 3500)};
        const auto until = from + milliseconds{draw(0, 3) == 0 ? draw(1, 400) : draw(2000, 11000)};
        simulation.at(from, [&simulation, centre] { simulation.evacuate(centre, true); });
        simulation.at(until, [&simulation, centre] { simulation.evacuate(centre, false); });
    }
    const auto troubles = draw(0, 3);
    for (std::int64_t i = 0; i < troubles; ++i)
    {
        const auto from = startup_time + milliseconds{draw(-2000, 6000)};
        const auto until = from + milliseconds{draw(300, 6000)};
        const auto share = draw(20, 100);
        for (std::uint32_t host = 0; host < simulation.host_count(); ++host)
            if (draw(1, 100) <= share)
            {
                simulation.at(from, [&simulation, host] { simulation.cut_store(host, true); });
                simulation.at(until, [&simulation, host] { simulation.cut_store(host, false); });
            }
    }
    simulation.run_until(startup_time + load_time + quiet_time);
    return collect_result(simulation);
}

pool_schedule_result run_grown_pool_schedule(std::uint64_t seed,
                                             const pool_schedule_options& options)
{
    grown_scheduler scheduler(seed, options);
    pool_simulation simulation(scheduler.draw_settings(seed));
    simulation.trace = options.trace;
    scheduler.schedule_run(simulation);
    simulation.run_until(startup_time + load_time + quiet_time);
    return collect_result(simulation);
}

} // namespace egretledge::harness
