#ifndef EGRETLEDGE_POOL_HELD_WORKER_HPP
#define EGRETLEDGE_POOL_HELD_WORKER_HPP

// One worker that this host holds: its fencing token, lease, clock, room and runs. It knows nothing
// of jobs. Orders go out as actions; what they meant comes back as worker events.

#include "pool/pool_types.hpp"

namespace egretledge::pool
{

struct held_worker_settings
{
    // How long a run may go on without word from its holder. Workers allow at most 1 s; a caller
    // comes back 1.3 s after a broken connection, so that a dead holder's runs are over by then.
    milliseconds lease{700};
    // A hold is renewed after this time at the latest, so that two may be lost within a lease.
    milliseconds renew_interval{250};
    // The same while orders get lost on their way, since a lost hold hides the ends of runs.
    milliseconds lossy_renew_interval{50};
    // A worker on which nothing runs is asked this often whether it is still there and ours. A hold
    // that was lost hides the ends of runs that began meanwhile for as long.
    milliseconds idle_check_interval{400};
    // An order without an answer for this long is in doubt. A round trip takes 1 to 3 ms; a task
    // that is placed again after this time still ends within the tightest objective of 170 ms.
    milliseconds order_timeout{50};
    // Pause before a silent worker is asked again.
    milliseconds retry_delay{60};
    // Workers' clocks run slower than ours by up to this share.
    double clock_drift = 0.02;
};

// What happened to a run or to the worker itself.
enum class worker_event_kind : std::uint8_t
{
    taken,       // the worker accepted this host as its holder
    not_started, // this run has not started and never will
    ended,
    found, // a run that this host did not start runs, or has ended, on the worker
    lost   // another host holds the worker, or its lifetime is over; its runs are not ours any more
};
BOOST_DESCRIBE_ENUM(worker_event_kind, taken, not_started, ended, found, lost)

struct worker_event
{
    worker_event_kind kind = worker_event_kind::taken;
    std::string worker;
    run_ref run;
    run_end end = run_end::done;                  // for ended
    order_result reason = order_result::accepted; // for not_started and lost
    microseconds ran{0};                          // for ended: since the start was sent
};
using worker_events = std::vector<worker_event>;

class held_worker
{
public:
    held_worker(const held_worker_settings& settings, worker_entry entry, std::uint64_t fence);

    struct run_view
    {
        run_ref run;
        resources demand;
        microseconds sent{0};
        std::uint32_t percent = 0;
        microseconds percent_at{0};
        bool stopping = false;
    };

    const worker_entry& entry() const { return m_entry; }
    // The registry changed; id and address stay.
    void set_entry(const worker_entry& entry) { m_entry = entry; }
    std::uint64_t fence() const { return m_fence; }
    bool acquired() const { return m_acquired; }
    // True if a start may be sent now: taken, answering, and no order in doubt.
    bool usable() const;
    // Orders to workers have been getting lost lately.
    void set_lossy(bool lossy) { m_lossy = lossy; }
    bool idle() const { return m_runs.empty(); }
    // True if a former holder's runs are still there, or were when this host took the worker.
    bool has_foreign_runs() const;
    bool found_runs() const { return m_found_runs; }
    // Unanswered since; 0 while the worker answers.
    microseconds silent_since() const { return m_silent_since; }
    // Capacity less all runs that run, may run, or are being stopped.
    resources free() const;
    std::vector<run_view> runs() const;
    const run_view* find(const run_ref& run) const;

    // Sends a start. `usable()` and `demand.fits(free())` must hold.
    void start(microseconds now, const run_ref& run, const resources& demand, const std::string& payload,
               std::uint64_t& next_request, action_list& out);
    // Sends a stop for a run; its room counts until its end is listed.
    void stop(microseconds now, const run_ref& run, std::uint64_t& next_request, action_list& out);

    void tick(microseconds now, std::uint64_t& next_request, action_list& out,
              worker_events& events);
    // Takes an answer; false if the request is not one of this worker's.
    bool on_reply(microseconds now, std::uint64_t request, const worker_reply& reply,
                  std::uint64_t& next_request, action_list& out, worker_events& events);

    // Raises the token above one that was refused. Steps grow, since clocks may differ by seconds.
    void raise_fence();

private:
    enum class stage : std::uint8_t
    {
        starting,
        running
    };
    struct run_state
    {
        run_view view;
        stage at = stage::starting;
        bool foreign = false;
        std::uint64_t fence = 0;   // of the start
        microseconds confirmed_at{0}; // when this host knew that it runs
        microseconds stop_sent{0};
        bool stop_accepted = false; // the worker has accepted the stop
    };
    enum class order_kind : std::uint8_t
    {
        hold,
        start,
        stop
    };
    struct open_order
    {
        order_kind kind = order_kind::hold;
        run_ref run;
        std::uint64_t fence = 0;
        microseconds sent{0};
    };

    milliseconds renew_interval() const { return m_lossy ? m_settings.lossy_renew_interval : m_settings.renew_interval; }
    std::int64_t clock_estimate(microseconds now) const;
    bool lease_certainly_expired(microseconds now) const;
    // True while a stop may have been lost. The lease is not extended meanwhile: it is that of all
    // runs, and is what ends the run if no stop arrives.
    bool stop_in_doubt() const;
    std::int64_t extend_lease(microseconds now);
    void send_hold(microseconds now, milliseconds wait, std::uint64_t& next_request,
                   action_list& out);
    void on_hold(microseconds now, const open_order& order, const worker_reply& reply,
                 worker_events& events);
    void on_start(microseconds now, const open_order& order, const worker_reply& reply,
                  worker_events& events);
    void record_running(microseconds now, const running_entry& line, worker_events& events);
    void record_ended(const ended_entry& line, microseconds now, worker_events& events);
    void resolve_unlisted_runs(microseconds now, const open_order& order, const worker_reply& reply,
                       worker_events& events);
    void end_all_runs(microseconds now, run_end end, worker_events& events);
    void remove_run(std::map<run_ref, run_state>::iterator entry);
    void mark_lost(order_result reason, worker_events& events);
    void on_worker_restart(microseconds now, const worker_reply& reply);
    void record_silence(microseconds now);

    held_worker_settings m_settings;
    worker_entry m_entry;
    std::uint64_t m_fence = 0;
    std::uint64_t m_fence_step;
    bool m_acquired = false;
    bool m_lost = false;
    bool m_lossy = false;
    bool m_found_runs = false;
    bool m_fence_unconfirmed = false; // the token must be accepted anew before anything else starts
    std::uint64_t m_start_time_ms = 0;

    bool m_clock_known = false;
    std::int64_t m_clock_ms = 0;
    microseconds m_clock_at{0};
    std::int64_t m_lease_sent_ms = 0; // the latest lease end in any order

    std::map<run_ref, run_state> m_runs;
    resources m_used;
    std::uint64_t m_ends_seen = 0;
    std::map<std::uint64_t, open_order> m_orders;
    std::uint32_t m_open_holds = 0;
    bool m_lists_fresh = false; // the last hold that answered was sent under the present token
    microseconds m_next_hold{0};
    microseconds m_silent_since{0};
};

} // namespace egretledge::pool

#endif
