// What the platform plays on a grown deployment: larger data centres with more and longer jobs, and
// troubles that come together. Most schedules have one or two moments of trouble, around which the
// faults gather. Late orders are left to the other schedules.

#include "harness/pool_schedule.hpp"

namespace egretledge::harness
{

using namespace pool;
using std::chrono::milliseconds;

namespace
{

constexpr microseconds settle_time{2500000};
constexpr microseconds load_time{9000000};
constexpr microseconds quiet_time{9000000};     // callers come back, and the longest jobs end
constexpr std::int64_t shortest_wait_ms = 3000; // of callers
constexpr std::int64_t longest_wait_ms = 8000;
constexpr std::uint64_t seed_mark = 0x96047ULL; // other draws than the world's from the same seed

class grown_scheduler
{
public:
    explicit grown_scheduler(std::uint64_t seed) : m_random(seed ^ seed_mark) {}

    pool_world_settings settings(std::uint64_t seed)
    {
        pool_world_settings about;
        about.seed = seed;
        about.data_centres = static_cast<std::uint32_t>(whole(2, 3));
        about.hosts_per_centre = static_cast<std::uint32_t>(whole(2, 4));
        about.workers_per_centre = static_cast<std::uint32_t>(whole(6, 16));
        about.caller_wait = milliseconds{whole(shortest_wait_ms, longest_wait_ms)};
        about.platform_callers = true;
        about.ordered_messages = true;
        return about;
    }

    void plan(pool_world& world)
    {
        m_world = &world;
        load();
        const auto moments = whole(1, 2);
        for (std::int64_t i = 0; i < moments; ++i)
        {
            const auto centre = moment();
            const auto faults = whole(1, 5);
            for (std::int64_t fault = 0; fault < faults; ++fault)
                world.at(near(centre), [this] { trouble(); });
        }
    }

private:
    std::int64_t whole(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
    }
    bool chance(double share) { return std::bernoulli_distribution(share)(m_random); }
    microseconds moment() { return settle_time + microseconds{whole(0, load_time.count())}; }
    microseconds near(microseconds centre)
    {
        return std::max(settle_time, centre + microseconds{whole(-1000000, 2000000)});
    }
    microseconds between_ms(std::int64_t least, std::int64_t most)
    {
        return microseconds{whole(least * 1000, most * 1000)};
    }
    std::uint32_t a_host()
    {
        return static_cast<std::uint32_t>(whole(0, m_world->host_count() - 1));
    }
    std::uint32_t a_worker()
    {
        return static_cast<std::uint32_t>(whole(0, m_world->worker_count() - 1));
    }
    std::uint32_t other_than(std::uint32_t host)
    {
        const auto other = static_cast<std::uint32_t>(whole(0, m_world->host_count() - 2));
        return other < host ? other : other + 1;
    }
    void after(microseconds time, std::function<void()> what)
    {
        m_world->at(m_world->now() + time, std::move(what));
    }

    // Jobs for half to one and a half times the workers' capacity, mostly of several hundred
    // milliseconds.
    void load()
    {
        constexpr double places_per_worker = 2;
        const double capacity =
            places_per_worker * m_world->worker_count() * static_cast<double>(load_time.count());
        double left = capacity * std::uniform_real_distribution<double>(0.4, 1.3)(m_random);
        for (int i = 0; left > 0; ++i)
        {
            constexpr std::int64_t times_ms[] = {60, 200, 400, 900, 900, 2000};
            const auto time = microseconds{times_ms[whole(0, 5)] * whole(500, 1500)};
            const auto count = static_cast<std::uint32_t>(whole(1, chance(0.2) ? 16 : 6));
            left -= static_cast<double>(time.count() * count);
            m_world->at(moment(), [this, id = "job" + std::to_string(i), count, time]
                        { submit(id, count, time); });
        }
    }

    void submit(const std::string& id, std::uint32_t count, microseconds time)
    {
        auto host = a_host();
        while (m_world->host(host) == nullptr && !chance(0.2))
            host = a_host();
        m_world->submit(host, id, count, {whole(5000, 8000), 64, 0}, time, chance(0.95));
        if (chance(0.04))
            after(between_ms(1, 1500), [this, id] { m_world->reset_caller(id); });
        else if (chance(0.02))
            after(between_ms(1, 1500), [this, id] { m_world->lose_caller(id); });
        else if (chance(0.02))
            after(between_ms(1, 1500), [this, id] { m_world->caller_leaves(id); });
    }

    void restart(std::uint32_t host, microseconds away)
    {
        m_world->kill_host(host);
        after(away, [this, host] { m_world->start_host(host); });
    }

    // Waits for the end of a planned stop, then starts the host again.
    void end_stop(std::uint32_t host, const pool_host* stopping, microseconds away)
    {
        const auto* present = m_world->host(host);
        if (present == nullptr || present != stopping)
            return;
        const auto stage = present->stop_progress(m_world->now());
        if (stage == stop_stage::done || stage == stop_stage::overdue)
            return restart(host, away);
        after(milliseconds{100}, [this, host, stopping, away] { end_stop(host, stopping, away); });
    }

    void stop(std::uint32_t host)
    {
        if (m_world->host(host) == nullptr)
            return;
        m_world->stop_host(host);
        end_stop(host, m_world->host(host), between_ms(100, 1500));
    }

    void restarts_in_turn()
    {
        const bool planned = chance(0.5);
        const auto count = whole(2, m_world->host_count());
        const auto first = a_host();
        microseconds when{0};
        for (std::int64_t i = 0; i < count; ++i)
        {
            const auto host = static_cast<std::uint32_t>((first + i) % m_world->host_count());
            after(when, [this, host, planned]
                  { planned ? stop(host) : restart(host, between_ms(100, 1500)); });
            when += between_ms(500, 2000);
        }
    }

    void cut_centre()
    {
        const auto centre = static_cast<std::uint32_t>(whole(0, m_world->centre_count() - 1));
        const bool waits = chance(0.6);
        m_world->cut_centre(centre, true, waits);
        after(chance(0.5) ? between_ms(200, 1500) : between_ms(1500, 6000),
              [this, centre, waits] { m_world->cut_centre(centre, false, waits); });
    }

    void cut_host()
    {
        const auto host = a_host();
        const bool waits = chance(0.6);
        const bool all = chance(0.6);
        std::vector<std::uint32_t> others;
        for (std::uint32_t other = 0; other < m_world->host_count(); ++other)
            if (other != host && (all || chance(0.3)))
                others.push_back(other);
        for (const auto other : others)
            m_world->cut_hosts(host, other, true, waits);
        after(between_ms(100, 2500),
              [this, host, others, waits]
              {
                  for (const auto other : others)
                      m_world->cut_hosts(host, other, false, waits);
              });
    }

    void resets()
    {
        const auto count = whole(1, 12);
        for (std::int64_t i = 0; i < count; ++i)
            after(between_ms(0, 1500),
                  [this]
                  {
                      const auto host = a_host();
                      const auto other = other_than(host);
                      const auto gap = between_ms(1, 150);
                      if (chance(0.5))
                          m_world->reset_hosts(host, other, gap);
                      else
                          m_world->reset_connection(host, other, gap);
                  });
    }

    // All connections of a host at once, those of its callers too.
    void reset_host()
    {
        const auto host = a_host();
        for (std::uint32_t other = 0; other < m_world->host_count(); ++other)
            if (other != host)
                m_world->reset_hosts(host, other, between_ms(50, 250));
        m_world->reset_callers(host);
    }

    // Hosts that are too busy to read their peers' messages, each for a moment.
    void deafen_hosts()
    {
        const auto count = whole(1, 3);
        for (std::int64_t i = 0; i < count; ++i)
            after(between_ms(0, 400), [this]
                  { m_world->deafen_host(a_host(), between_ms(200, chance(0.5) ? 700 : 1500)); });
    }

    void trouble_at_a_worker()
    {
        const auto worker = a_worker();
        const auto time = between_ms(100, 3000);
        switch (whole(0, 2))
        {
        case 0:
        {
            const auto host = a_host();
            m_world->cut_worker(host, worker, true);
            return after(time, [this, host, worker] { m_world->cut_worker(host, worker, false); });
        }
        case 1:
            m_world->crash_worker(worker);
            return after(time, [this, worker] { m_world->restart_worker(worker); });
        default:
            m_world->worker(worker).set_slow(4);
            return after(time, [this, worker] { m_world->worker(worker).set_slow(1); });
        }
    }

    void trouble()
    {
        switch (whole(0, 11))
        {
        case 0:
        case 1:
            return cut_centre();
        case 2:
            return restarts_in_turn();
        case 3:
            return resets();
        case 4:
            return reset_host();
        case 5:
        case 6:
            return deafen_hosts();
        case 7:
            return m_world->slow_host(a_host(), between_ms(100, 1500));
        case 8:
            return m_world->freeze_host(a_host(), between_ms(100, 2500));
        case 9:
            return cut_host();
        case 10:
            return restart(a_host(), between_ms(100, 3000));
        default:
            return trouble_at_a_worker();
        }
    }

    pool_world* m_world = nullptr;
    std::mt19937_64 m_random;
};

} // namespace

pool_schedule_result run_grown_pool_schedule(std::uint64_t seed, bool trace)
{
    grown_scheduler scheduler(seed);
    pool_world world(scheduler.settings(seed));
    world.trace = trace;
    scheduler.plan(world);
    world.run_until(settle_time + load_time + quiet_time);
    return result_of(world);
}

} // namespace egretledge::harness
