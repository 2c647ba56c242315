#include "harness/pool_schedule.hpp"

namespace egretledge::harness
{

using namespace pool;
using std::chrono::milliseconds;

namespace
{

constexpr microseconds settle_time{2500000};
constexpr microseconds load_time{10000000};
constexpr microseconds quiet_time{16000000}; // beyond the latest late order

class scheduler
{
public:
    scheduler(pool_world& world, std::uint64_t seed) : m_world(world), m_random(seed ^ 0x5eedULL) {}

    void load()
    {
        const auto jobs = whole(20, 120);
        for (std::int64_t i = 0; i < jobs; ++i)
            m_world.at(moment(), [this, i] { submit("job" + std::to_string(i)); });
    }

    void faults()
    {
        const auto count = whole(0, 8);
        for (std::int64_t i = 0; i < count; ++i)
            m_world.at(moment(), [this] { fault(); });
        if (chance(0.4))
        {
            const double share = std::uniform_real_distribution<double>(0.01, 0.2)(m_random);
            m_world.at(moment(), [this, share] { m_world.set_late_share(share); });
            m_world.at(settle_time + load_time, [this] { m_world.set_late_share(0); });
        }
    }

private:
    std::int64_t whole(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
    }
    bool chance(double share) { return std::bernoulli_distribution(share)(m_random); }
    microseconds moment() { return settle_time + microseconds{whole(0, load_time.count())}; }
    std::uint32_t a_host()
    {
        return static_cast<std::uint32_t>(whole(0, m_world.host_count() - 1));
    }
    std::uint32_t a_worker()
    {
        return static_cast<std::uint32_t>(whole(0, m_world.worker_count() - 1));
    }

    void submit(const std::string& id)
    {
        constexpr std::int64_t times[] = {60, 200, 900};
        const resources demand{whole(3000, 10000), 64, 0};
        const auto time = microseconds{times[whole(0, 2)] * whole(500, 1500)};
        m_world.submit(a_host(), id, static_cast<std::uint32_t>(whole(1, 12)), demand, time,
                       chance(0.8));
        if (chance(0.05))
            m_world.make_failing(id);
        if (chance(0.1))
            m_world.at(m_world.now() + microseconds{whole(1000, 400000)},
                       [this, id] { m_world.caller_leaves(id); });
    }

    void after(microseconds time, std::function<void()> what)
    {
        m_world.at(m_world.now() + time, std::move(what));
    }

    void fault()
    {
        const microseconds time{whole(100000, 4000000)};
        switch (whole(0, 7))
        {
        case 0:
        case 1:
        {
            const auto host = a_host();
            m_world.kill_host(host);
            return after(time, [this, host] { m_world.start_host(host); });
        }
        case 2:
            return m_world.freeze_host(a_host(), time);
        case 3:
        {
            const auto host = a_host();
            m_world.stop_host(host);
            return after(std::chrono::seconds{5},
                         [this, host]
                         {
                             m_world.kill_host(host);
                             m_world.start_host(host);
                         });
        }
        case 4:
        {
            const auto host = a_host();
            for (std::uint32_t other = 0; other < m_world.host_count(); ++other)
                m_world.cut_hosts(host, other, true);
            return after(time,
                         [this, host]
                         {
                             for (std::uint32_t other = 0; other < m_world.host_count(); ++other)
                                 m_world.cut_hosts(host, other, false);
                         });
        }
        case 5:
        {
            const auto host = a_host();
            const auto worker = a_worker();
            m_world.cut_worker(host, worker, true);
            return after(time, [this, host, worker] { m_world.cut_worker(host, worker, false); });
        }
        case 6:
        {
            const auto worker = a_worker();
            m_world.crash_worker(worker);
            return after(time, [this, worker] { m_world.restart_worker(worker); });
        }
        default:
        {
            const auto worker = a_worker();
            const bool failing = chance(0.5);
            m_world.worker(worker).set_failing(failing);
            m_world.worker(worker).set_slow(failing ? 1 : 6);
            return after(time,
                         [this, worker]
                         {
                             m_world.worker(worker).set_failing(false);
                             m_world.worker(worker).set_slow(1);
                         });
        }
        }
    }

    pool_world& m_world;
    std::mt19937_64 m_random;
};

} // namespace

pool_schedule_result result_of(pool_world& world)
{
    pool_schedule_result result;
    result.violations = world.violations();
    result.calls = world.calls().size();
    for (const auto& call : world.calls())
        result.complete +=
            call.answered.count() >= 0 && call.answer.kind == answer_kind::ok ? 1 : 0;
    result.starts = world.starts();
    return result;
}

pool_schedule_result run_pool_schedule(std::uint64_t seed, bool trace)
{
    pool_world_settings settings;
    settings.seed = seed;
    pool_world world(settings);
    world.trace = trace;
    scheduler plan(world, seed);
    plan.load();
    plan.faults();
    world.run_until(settle_time + load_time + quiet_time);
    return result_of(world);
}

} // namespace egretledge::harness
