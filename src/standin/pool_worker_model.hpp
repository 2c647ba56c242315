#ifndef EGRETLEDGE_STANDIN_POOL_WORKER_MODEL_HPP
#define EGRETLEDGE_STANDIN_POOL_WORKER_MODEL_HPP

// A model of a pooled worker in virtual time, for tests and simulations. It checks fencing tokens
// and leases, starts every task that it is ordered to start without checking its capacity, and
// lists its running and ended runs.

#include "pool/pool_types.hpp"
#include <functional>

namespace egretledge::standin
{

// The behaviour of a task after its start.
struct task_behaviour
{
    microseconds time{0};
    bool fails = false;
    pool::resources demand;
    microseconds crashes_after{-1}; // terminates the worker this long after the start; -1: never
};

class pool_worker_model
{
public:
    using behaviour_function = std::function<task_behaviour(const pool::task_name&)>;
    // Callbacks for the history checker.
    struct observer
    {
        std::function<void(microseconds, const std::string& worker, const pool::run_ref&)> started;
        std::function<void(microseconds, const std::string& worker, const pool::run_ref&,
                           pool::run_end)>
            ended;
        // A task has terminated its worker. Called with the run of that task after `ended` was
        // called for all runs. May be empty.
        std::function<void(microseconds, const std::string& worker, const pool::run_ref&)> crashed =
            nullptr;
    };

    // `clock_rate` is the speed of the worker's clock relative to virtual time.
    pool_worker_model(pool::worker_entry entry, double clock_rate,
                      behaviour_function behaviour_of_task, observer callbacks);

    const pool::worker_entry& entry() const { return m_entry; }
    // Changes the capacity that the worker states in its registry entry. Runs continue.
    void set_capacity(const pool::resources& capacity) { m_entry.capacity = capacity; }
    std::uint64_t start_time_ms() const { return m_start_time_ms; }
    bool up() const { return m_up; }
    // Ends all runs as broken. The worker stays down until restart().
    void crash(microseconds now);
    // Starts a new incarnation with an empty state: no fencing token, lease or ended runs.
    void restart(microseconds now);
    // Tasks that start from now on take `factor` times as long.
    void set_slow_factor(double factor) { m_slow_factor = factor; }
    // Tasks that start from now on fail if `failing` is set.
    void set_failing(bool failing) { m_failing = failing; }

    // Executes all events that are due up to `now`. Callers pass non-decreasing times.
    void advance(microseconds now);
    // Returns the time of the next event: the end of a run, the lease expiry or a crash.
    std::optional<microseconds> next_due() const;

    // Handles a hold order: extends the lease and drops the ended runs that the host has seen.
    pool::worker_reply hold(microseconds now, const pool::actions::hold_worker& order);
    // Returns whether a run has ended that a host with this `ends_seen` does not know of.
    bool has_update(std::uint64_t ends_seen) const;
    pool::worker_reply start(microseconds now, const pool::actions::start_run& order);
    pool::worker_reply stop(microseconds now, const pool::actions::stop_run& order);
    // Returns a reply that lists all running runs and the ended runs that were not dropped.
    pool::worker_reply current_reply(microseconds now) const;
    const pool::resources& used() const { return m_used; }
    std::size_t running() const { return m_running.size(); }

private:
    struct running_task
    {
        microseconds started_at{0};
        microseconds ends_at{0};
        microseconds stops_at{-1};   // -1 without a stop order
        microseconds crashes_at{-1}; // -1: never
        task_behaviour behaviour;
    };
    // Returns the reading of the worker's own clock.
    std::int64_t clock_ms(microseconds now) const;
    // Extends the lease, to at most 1000 ms from now.
    void extend_lease(std::int64_t lease_until_ms, microseconds now);
    void end_run(microseconds now, pool::run_ref run, pool::run_end run_outcome);
    // Returns true, and sets the reply's result, if the order's fencing token is stale.
    bool reject_if_fenced(std::uint64_t fence, pool::worker_reply& reply);

    pool::worker_entry m_entry;
    double m_clock_rate;
    behaviour_function m_behaviour_of_task;
    observer m_observer;
    bool m_up = true;
    double m_slow_factor = 1;
    bool m_failing = false;
    std::uint64_t m_start_time_ms = 1;
    microseconds m_started_at{0};
    std::uint64_t m_fence = 0;
    std::int64_t m_lease_until_ms = 0;
    std::map<pool::run_ref, running_task> m_running;
    // The highest run number of each task that ended or was ordered to stop. Start orders up to it
    // are refused as stale.
    std::map<pool::task_name, std::uint64_t> m_max_ended_run;
    std::vector<pool::ended_entry> m_ended;
    std::uint64_t m_next_end = 1;
    pool::resources m_used;
};

} // namespace egretledge::standin

#endif
