#ifndef EGRETLEDGE_STANDIN_POOL_WORKER_MODEL_HPP
#define EGRETLEDGE_STANDIN_POOL_WORKER_MODEL_HPP

// A worker of the pooled kind, as a model in virtual time: it checks fencing tokens and leases,
// starts whatever it is told to, and lists what runs and what ended. Tests and scenarios use it.

#include "pool/pool_types.hpp"
#include <functional>

namespace egretledge::standin
{

// What a task does once it is started.
struct task_behaviour
{
    microseconds time{0};
    bool fails = false;
    pool::room demand;
};

class pool_worker_model
{
public:
    using behaviour = std::function<task_behaviour(const pool::task_name&)>;
    // What the history checker wants to see.
    struct observer
    {
        std::function<void(microseconds, const std::string& worker, const pool::run_ref&)> started;
        std::function<void(microseconds, const std::string& worker, const pool::run_ref&,
                           pool::run_end)>
            ended;
    };

    pool_worker_model(pool::worker_entry entry, double clock_rate, behaviour behaviour_of_task,
                      observer callbacks);

    const pool::worker_entry& entry() const { return m_entry; }
    bool up() const { return m_up; }
    // Everything that ran ends at once; nothing of it is remembered.
    void crash(microseconds now);
    void restart(microseconds now);
    // Tasks started from now on take `factor` times as long, or fail.
    void set_slow_factor(double factor) { m_slow_factor = factor; }
    void set_failing(bool failing) { m_failing = failing; }

    // Carries out what is due up to `now`; callers pass rising times.
    void advance(microseconds now);
    // The next time at which something is due.
    std::optional<microseconds> next_due() const;

    pool::worker_reply hold(microseconds now, const pool::actions::hold_worker& order);
    // True if a hold with this many ends seen has something new to tell.
    bool has_update(std::uint64_t ends_seen) const;
    pool::worker_reply start(microseconds now, const pool::actions::start_run& order);
    pool::worker_reply stop(microseconds now, const pool::actions::stop_run& order);
    pool::worker_reply current_reply(microseconds now) const;
    const pool::room& used() const { return m_used; }
    std::size_t running() const { return m_running.size(); }

private:
    struct running_task
    {
        microseconds started_at{0};
        microseconds ends_at{0};
        microseconds stops_at{-1};
        task_behaviour behaviour;
    };
    std::int64_t clock_ms(microseconds now) const;
    void extend_lease(std::int64_t lease_until_ms, microseconds now);
    void end_run(microseconds now, pool::run_ref run, pool::run_end run_outcome);
    bool reject_if_fenced(std::uint64_t fence, pool::worker_reply& reply);

    pool::worker_entry m_entry;
    double m_clock_rate;
    behaviour m_behaviour_of_task;
    observer m_observer;
    bool m_up = true;
    double m_slow_factor = 1;
    bool m_failing = false;
    std::uint64_t m_start_time_ms = 1;
    microseconds m_started_at{0};
    std::uint64_t m_fence = 0;
    std::int64_t m_lease_until_ms = 0;
    std::map<pool::run_ref, running_task> m_running;
    std::map<pool::task_name, std::uint64_t>
        m_max_ended_run; // the highest run that ended or was stopped
    std::vector<pool::ended_line> m_ended;
    std::uint64_t m_next_end = 1;
    pool::room m_used;
};

} // namespace egretledge::standin

#endif
