// Schedules in which callers estimate run times badly. All tasks of one schedule take about the
// same time, up to two thirds of what their callers wait. A share of the callers is always wrong;
// in bursts all of them are. Beside the bursts, hosts are restarted or paused and workers are slow,
// so that the runs themselves tell a wrong time. In the end only callers with sound estimates are
// left, with room for all of them.

#include "harness/pool_schedule.hpp"
#include <array>
#include <cmath>

namespace egretledge::harness
{

using namespace pool;
using std::chrono::milliseconds;

namespace
{

constexpr microseconds startup_time{2500000};
constexpr microseconds calm_time{4000000}; // before the first burst
// From the last burst or fault to the end of the load. The first part is for recovery.
constexpr microseconds recovery_time{15000000};
constexpr microseconds measured_time{6000000};
constexpr microseconds quiet_time{4000000};
constexpr double required_share = 0.9; // of the sound calls served before the first burst
constexpr std::uint64_t seed_salt = 0xe571a7e5ULL;

// How a caller's estimate relates to the run time: `min` to `max` times. 0: no estimate.
struct estimate_kind
{
    double min = 1;
    double max = 1;
};
constexpr estimate_kind sound_estimate{0.9, 1.1};
constexpr std::array bad_estimates{estimate_kind{0.4, 0.7}, estimate_kind{0.05, 0.2},
                                   estimate_kind{0.001, 0.001}, estimate_kind{0, 0},
                                   estimate_kind{1.5, 4}};

class estimates_scheduler
{
public:
    estimates_scheduler(std::uint64_t seed, bool draw_only)
        : m_draw_only(draw_only), m_random(seed ^ seed_salt)
    {
    }

    pool_simulation_settings draw_settings(std::uint64_t seed)
    {
        pool_simulation_settings settings;
        settings.seed = seed;
        settings.draw_only = m_draw_only;
        settings.data_centres = static_cast<std::uint32_t>(random_integer(1, 3));
        settings.hosts_per_centre = static_cast<std::uint32_t>(random_integer(1, 3));
        settings.workers_per_centre = static_cast<std::uint32_t>(random_integer(8, 16));
        settings.caller_wait = milliseconds{1500};
        settings.platform_callers = true;
        settings.max_calls = 3;
        m_task_time_ms = random_integer(100, 1000);
        // A fifth of the capacity: two tasks run on a worker at a time.
        const double slots = 2.0 * settings.data_centres * settings.workers_per_centre;
        m_jobs_per_s = slots / 5 * 1000 / static_cast<double>(m_task_time_ms) / mean_width;
        m_bad_share = random_real(0, 0.2);
        return settings;
    }

    void schedule_run(pool_simulation& simulation)
    {
        m_simulation = &simulation;
        auto when = startup_time + calm_time;
        for (auto events = random_integer(1, 4); events > 0; --events)
        {
            simulation.at(when, [this] { disturb(); });
            // Faults last up to 3 s, bursts up to 6 s.
            m_disturbed_until = when + microseconds{6000000};
            when += milliseconds{random_integer(500, 6000)};
        }
        auto arrival = startup_time;
        for (int i = 0; arrival < load_end(); ++i)
        {
            simulation.at(arrival, [this, i] { submit("job" + std::to_string(i)); });
            arrival += microseconds{std::llround(1e6 / m_jobs_per_s)};
        }
    }

    microseconds end() const { return load_end() + quiet_time; }

    void evaluate(pool_schedule_result& result) const
    {
        result.served_before =
            served_share(startup_time + milliseconds{1000}, startup_time + calm_time);
        result.served_after = served_share(load_end() - measured_time, load_end());
        if (result.served_after < required_share * result.served_before)
            result.violations.push_back("callers with sound estimates are not served: " +
                                        std::to_string(result.served_after) +
                                        " of the calls at the end, " +
                                        std::to_string(result.served_before) + " before");
    }

private:
    static constexpr double mean_width = 2;

    std::int64_t random_integer(std::int64_t min_value, std::int64_t max_value)
    {
        return std::uniform_int_distribution<std::int64_t>(min_value, max_value)(m_random);
    }
    double random_real(double min_value, double max_value)
    {
        return std::uniform_real_distribution<double>(min_value, max_value)(m_random);
    }
    microseconds load_end() const { return m_disturbed_until + recovery_time + measured_time; }

    void submit(const std::string& id)
    {
        const auto now = m_simulation->now();
        const bool bad = std::bernoulli_distribution(m_bad_share)(m_random);
        const auto drawn = static_cast<std::size_t>(
            random_integer(0, static_cast<std::int64_t>(bad_estimates.size()) - 1));
        const bool undisturbed = now < startup_time + calm_time || now >= m_disturbed_until;
        const auto& kind = undisturbed         ? sound_estimate
                           : now < m_burst_end ? bad_estimates[m_burst_kind]
                           : bad               ? bad_estimates[drawn]
                                               : sound_estimate;
        const microseconds time{m_task_time_ms * random_integer(950, 1050)};
        const milliseconds estimate{
            std::llround(static_cast<double>(m_task_time_ms) * random_real(kind.min, kind.max))};
        const resources demand{random_integer(5000, 8000), 64, 0};
        const auto count = static_cast<std::uint32_t>(random_integer(1, 3));
        const auto host =
            static_cast<std::uint32_t>(random_integer(0, m_simulation->host_count() - 1));
        m_sound[id] = undisturbed;
        m_simulation->submit(host, id, count, demand, time, true, estimate);
    }

    // Begins a burst of bad estimates or a fault.
    void disturb()
    {
        const auto host =
            static_cast<std::uint32_t>(random_integer(0, m_simulation->host_count() - 1));
        switch (random_integer(0, 5))
        {
        case 0:
            return m_simulation->restart_all_hosts(milliseconds{random_integer(300, 1600)});
        case 1:
            return m_simulation->freeze_host(host, milliseconds{random_integer(300, 3000)});
        case 2:
        {
            // A pool whose workers are slow learns that run times are long.
            const double factor = random_real(1.5, 4);
            for (std::uint32_t worker = 0; worker < m_simulation->worker_count(); ++worker)
                m_simulation->disturb_worker(worker, factor, false);
            return m_simulation->at(m_simulation->now() + milliseconds{random_integer(500, 3000)},
                                    [this]
                                    {
                                        for (std::uint32_t worker = 0;
                                             worker < m_simulation->worker_count(); ++worker)
                                            m_simulation->disturb_worker(worker, 1, false);
                                    });
        }
        default:
            m_burst_kind = static_cast<std::size_t>(
                random_integer(0, static_cast<std::int64_t>(bad_estimates.size()) - 1));
            m_burst_end = m_simulation->now() + milliseconds{random_integer(500, 6000)};
        }
    }

    // Returns the share of the sound calls in this time that were served.
    double served_share(microseconds begin, microseconds end) const
    {
        double calls = 0;
        double served = 0;
        for (const auto& call : m_simulation->calls())
        {
            if (call.sent < begin || call.sent >= end || !m_sound.at(call.job))
                continue;
            ++calls;
            served += call.answered.count() >= 0 && call.answer.kind == answer_kind::ok ? 1 : 0;
        }
        return calls == 0 ? 0 : served / calls;
    }

    bool m_draw_only = false;
    pool_simulation* m_simulation = nullptr;
    std::mt19937_64 m_random;
    std::int64_t m_task_time_ms = 0;
    double m_jobs_per_s = 0;
    double m_bad_share = 0; // of the callers, between the bursts
    std::size_t m_burst_kind = 0;
    microseconds m_burst_end{0};
    microseconds m_disturbed_until{0}; // the end of the last burst or fault
    std::map<std::string, bool> m_sound;
};

} // namespace

pool_schedule_result run_estimates_pool_schedule(std::uint64_t seed,
                                                 const pool_schedule_options& options)
{
    estimates_scheduler scheduler(seed, options.draw_only);
    pool_simulation simulation(scheduler.draw_settings(seed));
    simulation.trace = options.trace;
    scheduler.schedule_run(simulation);
    simulation.run_until(scheduler.end());
    auto result = collect_result(simulation);
    scheduler.evaluate(result);
    return result;
}

} // namespace egretledge::harness
