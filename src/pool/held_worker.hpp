#ifndef EGRETLEDGE_POOL_HELD_WORKER_HPP
#define EGRETLEDGE_POOL_HELD_WORKER_HPP

// One worker that this host holds: its fencing token, lease, clock, resources and runs. Jobs are
// not known here. Orders leave as actions; the outcomes derived from their answers are reported as
// worker events.

#include "pool/pool_types.hpp"

namespace egretledge::pool
{

struct held_worker_settings
{
    // Lease of a run: how long it continues without a renewal by its holder. Workers allow at most
    // 1 s. A caller retries 1.3 s after a broken connection, by which time the runs of a failed
    // holder have ended.
    milliseconds lease{700};
    // The longest lease that a worker grants, whichever a holder asks for.
    milliseconds max_lease{1000};
    // Longest time between two holds. Two of them may be lost within one lease.
    milliseconds renew_interval{250};
    // The same while orders are being lost in the network: a lost hold delays the report of ended
    // runs.
    milliseconds lossy_renew_interval{50};
    // Interval of the holds on an idle worker, which check that it is alive and still held by this
    // host. If such a hold is lost, the ends of runs that start meanwhile are reported late by up
    // to this time.
    milliseconds idle_check_interval{400};
    // An order without an answer for this long is in doubt. A round trip takes 1 to 3 ms; a task
    // that is placed again after this time still ends within the tightest objective of 170 ms.
    milliseconds order_timeout{50};
    // Delay before the next hold is sent to a silent worker.
    milliseconds retry_delay{60};
    // Workers' clocks run slower than this host's by up to this fraction.
    double clock_drift = 0.02;
    // A start without an answer is no longer in doubt this long after it was sent. Workers carry
    // out late orders up to 12 s after they were sent.
    milliseconds unanswered_start_timeout{15000};
};

// What happened to a run or to the worker itself.
enum class worker_event_kind : std::uint8_t
{
    taken,       // the worker accepted this host as its holder
    not_started, // the run has not started and never will
    ended,       // the run has ended
    found,       // a run that this host did not start is running or has ended on the worker
    lost         // another host holds the worker, or its incarnation has terminated; this host no
                 // longer controls its runs
};
BOOST_DESCRIBE_ENUM(worker_event_kind, taken, not_started, ended, found, lost)

struct worker_event
{
    worker_event_kind kind = worker_event_kind::taken;
    std::string worker;
    run_ref run;
    run_end end = run_end::done;                  // for ended
    order_result reason = order_result::accepted; // for not_started and lost
    microseconds ran{0};                          // for ended: time since the start was sent
    // For ended: the start time of the worker's incarnation that had the run, 0 if unknown; and
    // whether the run lapsed because that worker fell silent, so that it may have crashed.
    std::uint64_t start_time_ms = 0;
    bool silent = false;
    bool in_doubt = false; // the worker had not answered the start
    // For ended: `ran` is not the run time, since the end was listed or read late.
    bool read_late = false;
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
        bool confirmed = false; // the worker has reported that it started
    };

    const worker_entry& entry() const { return m_entry; }
    // Updates the registry entry. Its id and address must not change.
    void set_entry(const worker_entry& entry) { m_entry = entry; }
    std::uint64_t fence() const { return m_fence; }
    bool acquired() const { return m_acquired; }
    // Returns true if a start may be sent now: the worker is acquired and answers, and no order is
    // in doubt.
    bool usable() const;
    // Selects `lossy_renew_interval`; set while orders to workers are being lost in the network.
    void set_lossy(bool lossy) { m_lossy = lossy; }
    // Sets how late this process handles the worker's answers; orders wait longer by it.
    void set_processing_delay(milliseconds delay) { m_processing_delay = delay; }
    // Returns false if the registry entry is known to be of another process than the one that
    // answers: its service, labels and capacity then say nothing about the latter.
    bool entry_is_current() const
    {
        return m_start_time_ms == 0 || m_entry.start_time_ms == 0 ||
               m_start_time_ms == m_entry.start_time_ms;
    }
    // Start time of the worker's process, by its latest reply; 0 if unknown.
    std::uint64_t start_time_ms() const { return m_start_time_ms; }
    bool idle() const { return m_runs.empty(); }
    // Returns true while runs of a former holder are listed on the worker.
    bool has_foreign_runs() const;
    // Returns true if runs of a former holder were listed when this host acquired the worker.
    bool found_runs() const { return m_found_runs; }
    // Time since which the worker has not answered; 0 while it answers.
    microseconds silent_since() const { return m_silent_since; }
    // Returns the capacity less the demand of all runs that are running, may be running or are
    // being stopped. Nothing is free while runs of a former holder are listed.
    resources free() const;
    std::vector<run_view> runs() const;
    // Returns, for each own run, the event by which it would end if its lease had expired now.
    std::vector<worker_event> silent_runs(microseconds now) const;
    const run_view* find(const run_ref& run) const;

    // Sends a start. `usable()` and `demand.fits(free())` must hold.
    void start(microseconds now, const run_ref& run, const resources& demand,
               const std::string& payload, std::uint64_t& next_request, action_list& out);
    // Sends a stop for a run. Its demand counts as used until the worker lists its end.
    void stop(microseconds now, const run_ref& run, std::uint64_t& next_request, action_list& out);

    // Sends holds and repeats stops that are due. Reports runs whose lease has expired on a silent
    // worker as ended. A start in doubt has no lease yet; see `unanswered_start_timeout`.
    void tick(microseconds now, std::uint64_t& next_request, action_list& out,
              worker_events& events);
    // Processes the answer to an order. Returns false if the request was not sent to this worker.
    bool on_reply(microseconds now, std::uint64_t request, const worker_reply& reply,
                  std::uint64_t& next_request, action_list& out, worker_events& events);

    // Raises the fencing token above one that was refused. Each step is larger than the one before,
    // since the hosts' clocks, from which tokens are made, may differ by seconds.
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
        bool foreign = false;            // started by a former holder
        std::uint64_t fence = 0;         // fencing token of the start
        std::uint64_t start_time_ms = 0; // of the worker's incarnation that has the run
        microseconds confirmed_at{0};    // when this host learned that it is running
        // The worker's clock in its answer to the start, and in the latest list that has the run;
        // 0 if there is none.
        std::int64_t started_clock_ms = 0;
        std::int64_t listed_clock_ms = 0;
        microseconds stop_sent{0};
        bool stop_open = false;     // the answer to the latest stop has not been handled
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
        bool extends_lease = false;
    };

    milliseconds order_timeout() const { return m_settings.order_timeout + m_processing_delay; }
    milliseconds renew_interval() const
    {
        return m_lossy ? m_settings.lossy_renew_interval : m_settings.renew_interval;
    }
    // Returns the estimated time on the worker's clock, in milliseconds.
    std::int64_t clock_estimate(microseconds now) const;
    // Returns true if the lease in every order sent has expired even on the slowest clock assumed.
    bool lease_certainly_expired(microseconds now) const;
    // Returns true if the run has certainly ended although the silent worker has not listed its
    // end.
    bool certainly_ended(const run_state& state, microseconds now) const;
    // Returns true while a stop may have been lost. The lease is not extended meanwhile: all runs
    // of the worker share it, and its expiry is what ends the run if no stop arrives.
    bool stop_in_doubt() const;
    // Returns true if a stop that was sent for the run has to be repeated. A stop whose answer
    // waits here to be handled is not.
    bool stop_due(const run_state& state, microseconds now) const;
    // Returns the end of the lease for the next order, on the worker's clock; 0 if that clock is
    // not known yet.
    std::int64_t extend_lease(microseconds now);
    void send_hold(microseconds now, milliseconds wait, std::uint64_t& next_request,
                   action_list& out);
    void on_hold(microseconds now, const open_order& order, const worker_reply& reply,
                 worker_events& events);
    void on_start(microseconds now, const open_order& order, const worker_reply& reply,
                  worker_events& events);
    void record_running(microseconds now, const running_entry& line, std::int64_t clock_ms,
                        worker_events& events);
    // `clock_ms`: the worker's clock in the reply that lists the end.
    void record_ended(const ended_entry& line, microseconds now, std::int64_t clock_ms,
                      worker_events& events);
    // Returns true if the time from the start of the run to `now` says little about its run time:
    // the reply waited here, or the worker could not tell of the end before.
    bool read_late(const run_state& state, microseconds now, std::int64_t clock_ms) const;
    // Resolves runs that the hold's list does not contain: never started, or ended.
    void resolve_unlisted_runs(microseconds now, const open_order& order, const worker_reply& reply,
                               worker_events& events);
    worker_event make_end(microseconds now, const run_state& state, run_end end) const;
    // Removes the runs of a silent worker that have certainly ended, and reports the own ones.
    // Returns false if there is none.
    bool end_silent_runs(microseconds now, worker_events& events);
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
    milliseconds m_processing_delay{0};
    bool m_found_runs = false;
    // The worker must accept the token before anything else starts.
    bool m_fence_unconfirmed = false;
    std::uint64_t m_start_time_ms = 0; // of the worker's process; 0 if unknown

    bool m_clock_known = false;
    std::int64_t m_clock_ms = 0;      // the worker's clock in its latest answer
    microseconds m_clock_at{0};       // arrival of that answer
    std::int64_t m_lease_sent_ms = 0; // the latest lease end in any order

    std::map<run_ref, run_state> m_runs;
    resources m_used;
    std::uint64_t m_ends_seen = 0; // highest number of an ended run processed
    std::map<std::uint64_t, open_order> m_orders;
    std::uint32_t m_open_holds = 0;
    bool m_lists_fresh = false; // the last answered hold was sent under the current token
    microseconds m_next_hold{0};
    microseconds m_silent_since{0};
};

} // namespace egretledge::pool

#endif
