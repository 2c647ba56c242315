#include "harness/pool_schedule.hpp"

namespace egretledge::harness
{

using namespace pool;
using std::chrono::milliseconds;

namespace
{

constexpr microseconds startup_time{2500000};
constexpr microseconds load_time{10000000};
// The time after the load. Longer than the maximum delay of an order (12 s).
constexpr microseconds quiet_time{16000000};

// Draws the jobs and faults of a schedule. The order of the random draws is part of the schedule:
// each number is drawn in a statement of its own, since compilers evaluate the arguments of a call
// in different orders. It is the order in which g++ on x86-64 evaluated them.
class scheduler
{
public:
    scheduler(pool_simulation& simulation, std::uint64_t seed)
        : m_simulation(simulation), m_random(seed ^ 0x5eedULL)
    {
    }

    void schedule_jobs()
    {
        const auto jobs = random_integer(20, 120);
        for (std::int64_t i = 0; i < jobs; ++i)
            m_simulation.at(random_load_time(), [this, i] { submit("job" + std::to_string(i)); });
    }

    void schedule_faults()
    {
        const auto count = random_integer(0, 8);
        for (std::int64_t i = 0; i < count; ++i)
            m_simulation.at(random_load_time(), [this] { inject_fault(); });
        if (random_bool(0.4))
        {
            const double share = std::uniform_real_distribution<double>(0.01, 0.2)(m_random);
            m_simulation.at(random_load_time(),
                            [this, share] { m_simulation.set_unanswered_share(share); });
            m_simulation.at(startup_time + load_time,
                            [this] { m_simulation.set_unanswered_share(0); });
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
    std::uint32_t random_host()
    {
        return static_cast<std::uint32_t>(random_integer(0, m_simulation.host_count() - 1));
    }
    std::uint32_t random_worker()
    {
        return static_cast<std::uint32_t>(random_integer(0, m_simulation.worker_count() - 1));
    }

    // Submits a job of tasks that each take about 60, 200 or 900 ms.
    void submit(const std::string& id)
    {
        constexpr std::int64_t times[] = {60, 200, 900};
        const resources demand{random_integer(3000, 10000), 64, 0};
        const auto usual_time = times[random_integer(0, 2)];
        const microseconds time{usual_time * random_integer(500, 1500)};
        const bool retries = random_bool(0.8);
        const auto count = static_cast<std::uint32_t>(random_integer(1, 12));
        const auto host = random_host();
        m_simulation.submit(host, id, count, demand, time, retries);
        if (random_bool(0.05))
            m_simulation.make_job_fail(id);
        if (random_bool(0.1))
            m_simulation.at(m_simulation.now() + microseconds{random_integer(1000, 400000)},
                            [this, id] { m_simulation.disconnect_caller(id); });
    }

    void schedule_after(microseconds time, std::function<void()> callback)
    {
        m_simulation.at(m_simulation.now() + time, std::move(callback));
    }

    void inject_fault()
    {
        const microseconds time{random_integer(100000, 4000000)};
        switch (random_integer(0, 7))
        {
        case 0:
        case 1:
        {
            const auto host = random_host();
            m_simulation.kill_host(host);
            return schedule_after(time, [this, host] { m_simulation.start_host(host); });
        }
        case 2:
            return m_simulation.freeze_host(random_host(), time);
        case 3:
        {
            const auto host = random_host();
            m_simulation.stop_host(host);
            return schedule_after(std::chrono::seconds{5},
                                  [this, host]
                                  {
                                      m_simulation.kill_host(host);
                                      m_simulation.start_host(host);
                                  });
        }
        case 4:
        {
            const auto host = random_host();
            for (std::uint32_t peer = 0; peer < m_simulation.host_count(); ++peer)
                m_simulation.cut_hosts(host, peer, true);
            return schedule_after(time,
                                  [this, host]
                                  {
                                      for (std::uint32_t peer = 0; peer < m_simulation.host_count();
                                           ++peer)
                                          m_simulation.cut_hosts(host, peer, false);
                                  });
        }
        case 5:
        {
            const auto host = random_host();
            const auto worker = random_worker();
            m_simulation.cut_worker(host, worker, true);
            return schedule_after(time, [this, host, worker]
                                  { m_simulation.cut_worker(host, worker, false); });
        }
        case 6:
        {
            const auto worker = random_worker();
            m_simulation.crash_worker(worker);
            return schedule_after(time, [this, worker] { m_simulation.restart_worker(worker); });
        }
        default:
        {
            const auto worker = random_worker();
            const bool failing = random_bool(0.5);
            m_simulation.disturb_worker(worker, failing ? 1 : 6, failing);
            return schedule_after(time, [this, worker]
                                  { m_simulation.disturb_worker(worker, 1, false); });
        }
        }
    }

    pool_simulation& m_simulation;
    std::mt19937_64 m_random;
};

} // namespace

pool_schedule_result collect_result(pool_simulation& simulation)
{
    pool_schedule_result result;
    result.violations = simulation.violations();
    result.calls = simulation.calls().size();
    for (const auto& call : simulation.calls())
        result.complete +=
            call.answered.count() >= 0 && call.answer.kind == answer_kind::ok ? 1 : 0;
    result.starts = simulation.starts();
    result.longest_refusal = simulation.longest_refusal_with_room();
    result.max_crashes_by_task = simulation.max_crashes_by_task();
    result.digest = simulation.digest();
    return result;
}

pool_schedule_result run_pool_schedule(std::uint64_t seed, const pool_schedule_options& options)
{
    pool_simulation_settings settings;
    settings.seed = seed;
    settings.draw_only = options.draw_only;
    settings.late_leases = seed % 2 == 1;
    pool_simulation simulation(settings);
    simulation.trace = options.trace;
    scheduler schedule(simulation, seed);
    schedule.schedule_jobs();
    schedule.schedule_faults();
    simulation.run_until(startup_time + load_time + quiet_time);
    return collect_result(simulation);
}

} // namespace egretledge::harness
