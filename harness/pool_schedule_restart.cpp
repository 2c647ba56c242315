// Schedules in which all hosts of a deployment end at once and return, on processors that have
// little time to spare. The kind of end, its moment and the faults beside it vary. All faults are
// over 3 s after the last return.

#include "harness/pool_schedule.hpp"
#include <cmath>

namespace egretledge::harness
{

using namespace pool;
using std::chrono::milliseconds;

namespace
{

constexpr microseconds startup_time{2500000};
constexpr std::int64_t min_restart_ms = 6000;
constexpr std::int64_t max_restart_ms = 10000;
constexpr microseconds recovery_limit{15000000}; // the platform's bound after the last return
constexpr microseconds measured_time{4000000};
constexpr microseconds quiet_time{6000000}; // for retries and for the end of the longest jobs
constexpr double required_share = 0.25;     // by the platform's rule, of the calls served
// Makes the random draws of the schedule differ from those of the simulation with the same seed.
constexpr std::uint64_t seed_salt = 0x7e57a27ULL;

class restart_scheduler
{
public:
    restart_scheduler(std::uint64_t seed, bool draw_only)
        : m_draw_only(draw_only), m_random(seed ^ seed_salt)
    {
    }

    pool_simulation_settings draw_settings(std::uint64_t seed)
    {
        pool_simulation_settings settings;
        settings.seed = seed;
        settings.draw_only = m_draw_only;
        settings.late_leases = seed % 2 == 1;
        settings.data_centres = static_cast<std::uint32_t>(random_integer(2, 3));
        settings.hosts_per_centre = static_cast<std::uint32_t>(random_integer(3, 8));
        settings.workers_per_centre = settings.hosts_per_centre * 5;
        settings.caller_wait = milliseconds{1500};
        settings.platform_callers = true;
        settings.ordered_messages = true;
        settings.max_calls = 3;

        // Heartbeats take 0.5 ms of a whole core per second and peer, and a job of the load below
        // takes about 2 ms.
        const auto hosts = settings.data_centres * settings.hosts_per_centre;
        m_jobs_per_s = random_real(2.0, 3.2) * hosts;
        settings.processor.share =
            0.0005 * hosts + m_jobs_per_s / hosts * 0.002 * random_real(2.5, 5.0);
        return settings;
    }

    void schedule_run(pool_simulation& simulation)
    {
        m_simulation = &simulation;
        m_first_restart = milliseconds{random_integer(min_restart_ms, max_restart_ms)};
        schedule_restarts();
        schedule_jobs();
        const auto faults = random_integer(0, 3);
        for (std::int64_t i = 0; i < faults; ++i)
            simulation.at(m_first_restart + random_duration(-2000, 1500),
                          [this] { inject_fault(); });
    }

    microseconds end() const { return load_end() + quiet_time; }

    // Adds the share of calls served before and after, and a violation if service stayed away.
    void evaluate(pool_schedule_result& result) const
    {
        result.served_before =
            served_share(startup_time + milliseconds{1000}, m_first_restart - milliseconds{3500});
        result.served_after = served_share(m_last_return + recovery_limit, load_end());
        if (result.served_before >= required_share && result.served_after < required_share)
            result.violations.push_back("service is not back after all hosts have returned: " +
                                        std::to_string(result.served_after) +
                                        " of the calls are served, " +
                                        std::to_string(result.served_before) + " before");
    }

private:
    std::int64_t random_integer(std::int64_t min_value, std::int64_t max_value)
    {
        return std::uniform_int_distribution<std::int64_t>(min_value, max_value)(m_random);
    }
    double random_real(double min_value, double max_value)
    {
        return std::uniform_real_distribution<double>(min_value, max_value)(m_random);
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
    microseconds load_end() const { return m_last_return + recovery_limit + measured_time; }

    // All hosts end once or twice; the second time, some of them have not settled yet.
    void schedule_restarts()
    {
        auto when = m_first_restart;
        const auto restarts = random_integer(1, 4) == 1 ? 2 : 1;
        for (std::int64_t i = 0; i < restarts; ++i)
        {
            const auto downtime = random_duration(300, 1600);
            m_simulation->at(when, [this, downtime] { m_simulation->restart_all_hosts(downtime); });
            m_last_return = when + downtime;
            when = m_last_return + random_duration(400, 3000);
        }
    }

    // Schedules jobs at a steady rate, and for some schedules a crowd around the restart.
    void schedule_jobs()
    {
        const bool crowd = random_integer(1, 3) == 1;
        const double crowd_factor = crowd ? random_real(1.3, 2.0) : 1.0;
        const auto crowd_begin = m_first_restart + random_duration(-2000, 500);
        const auto crowd_end = m_last_return + random_duration(0, 3000);
        auto when = startup_time;
        for (int i = 0; when < load_end(); ++i)
        {
            m_simulation->at(when, [this, i] { submit("job" + std::to_string(i)); });
            const bool in_crowd = when >= crowd_begin && when < crowd_end;
            when +=
                microseconds{std::llround(1e6 / (m_jobs_per_s * (in_crowd ? crowd_factor : 1)))};
        }
    }

    void submit(const std::string& id)
    {
        const auto time = random_duration(40, 340);
        const resources demand{random_integer(5000, 8000), 64, 0};
        const auto count = static_cast<std::uint32_t>(random_integer(1, 6));
        const auto host = random_host();
        m_simulation->submit(host, id, count, demand, time, true);
    }

    void inject_fault()
    {
        const auto until = [&](microseconds time)
        { return std::min(m_simulation->now() + time, m_last_return + milliseconds{3000}); };
        switch (random_integer(0, 5))
        {
        case 0:
        {
            const auto centre =
                static_cast<std::uint32_t>(random_integer(0, m_simulation->centre_count() - 1));
            m_simulation->cut_data_centre(centre, true, false);
            return m_simulation->at(until(random_duration(500, 5000)), [this, centre]
                                    { m_simulation->cut_data_centre(centre, false, false); });
        }
        case 1:
            for (std::int64_t i = random_integer(1, 5); i > 0; --i)
            {
                const auto worker =
                    static_cast<std::uint32_t>(random_integer(0, m_simulation->worker_count() - 1));
                m_simulation->crash_worker(worker);
                m_simulation->at(until(random_duration(500, 4000)),
                                 [this, worker] { m_simulation->restart_worker(worker); });
            }
            return;
        case 2:
            m_simulation->set_unanswered_share(random_real(0.05, 0.3));
            return m_simulation->at(until(random_duration(500, 5000)),
                                    [this] { m_simulation->set_unanswered_share(0); });
        case 3:
        {
            const auto host = random_host();
            m_simulation->kill_host(host);
            return m_simulation->at(until(random_duration(100, 3000)),
                                    [this, host] { m_simulation->start_host(host); });
        }
        case 4:
        {
            const auto duration = random_duration(100, 2500);
            const auto host = random_host();
            return m_simulation->freeze_host(host, duration);
        }
        default:
            return m_simulation->reset_caller_connections(random_host());
        }
    }

    double served_share(microseconds begin, microseconds end) const
    {
        double calls = 0;
        double served = 0;
        for (const auto& call : m_simulation->calls())
        {
            if (call.sent < begin || call.sent >= end)
                continue;
            ++calls;
            served += call.answered.count() >= 0 && call.answer.kind == answer_kind::ok ? 1 : 0;
        }
        return calls == 0 ? 0 : served / calls;
    }

    bool m_draw_only = false;
    pool_simulation* m_simulation = nullptr;
    std::mt19937_64 m_random;
    double m_jobs_per_s = 0;
    microseconds m_first_restart{0};
    microseconds m_last_return{0};
};

} // namespace

pool_schedule_result run_restart_pool_schedule(std::uint64_t seed,
                                               const pool_schedule_options& options)
{
    restart_scheduler scheduler(seed, options.draw_only);
    pool_simulation simulation(scheduler.draw_settings(seed));
    simulation.trace = options.trace;
    scheduler.schedule_run(simulation);
    simulation.run_until(scheduler.end());
    auto result = collect_result(simulation);
    scheduler.evaluate(result);
    return result;
}

} // namespace egretledge::harness
