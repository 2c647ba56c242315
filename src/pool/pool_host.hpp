#ifndef EGRETLEDGE_POOL_POOL_HOST_HPP
#define EGRETLEDGE_POOL_POOL_HOST_HPP

// The decision logic of one entry host on a platform of pooled workers. Its inputs are the time and
// messages, its outputs are actions; it does no I/O, reads no clock and starts no thread.
//
//     pool_host host(settings);
//     host.set_config(now, config, out);        // from the platform or a peer
//     host.set_registry(now, workers, out);
//     host.tick(now, out);                      // every 10 to 25 ms
//     host.on_job(now, call, job, out);         // a caller's job, after routing
//     for (auto& action : out) carry_out(action);

#include "pool/call_router.hpp"
#include "pool/config_fetcher.hpp"
#include "pool/host_capacity.hpp"
#include "pool/job_queries.hpp"
#include "pool/processing_delay.hpp"
#include "pool/routes.hpp"
#include "pool/unread_workers.hpp"
#include "pool/worker_assignment.hpp"

namespace egretledge::pool
{

struct pool_host_settings
{
    membership_settings membership;
    worker_pool_settings workers;
    call_router_settings calls; // data_centre is set from `membership`
    worker_assignment_settings assignment;
    host_capacity_settings capacity;
    started_jobs_settings started;
    config_fetcher_settings config;
    job_queries_settings queries;
    processing_delay_settings delay;
    // A group of workers that is handed over has this long to become idle; then another group is
    // chosen, after a pause in which the effect of the last one shows.
    milliseconds handover_timeout{3000};
    milliseconds handover_pause{1000};
    milliseconds assignment_interval{40}; // between two rounds of choose_workers()
    // Longest time between two ticks while a backlog of events is processed: half of a heartbeat
    // interval. A later event runs the timers first.
    milliseconds max_tick_delay{60};
    // A worker of another data centre is acquired only after it has been reachable for this long
    // while no host announced it: when a partition ends, its holder's heartbeats arrive within that
    // time.
    milliseconds remote_acquire_delay{1200};
    // A partitioned host acquires the workers of a silent holder one by one, `trial_interval`
    // apart, once the holder has been silent for `trial_delay`. If such a worker still has runs,
    // although their leases have expired by then, its holder is alive: the worker is released, and
    // no other worker is tried for `trial_pause`. After `required_empty_trials` workers without
    // runs the holder counts as dead.
    milliseconds trial_delay{900};
    milliseconds trial_interval{100};
    milliseconds trial_pause{3000};
    std::uint32_t required_empty_trials = 4;
    // A worker that was lost to an unknown host is not acquired again for this long, or until a
    // host announces it: otherwise a partitioned host and the holder would acquire it from each
    // other repeatedly. The same holds for a worker whose incarnation has terminated, until its
    // registry entry shows a new one.
    milliseconds lost_retry_delay{5000};
    // A worker that is missing from the registry still counts as listed for this long: after an
    // outage of the store, entries may be missing for about 2 s.
    milliseconds unlisted_grace_period{2500};
    // Maximum duration of a planned stop. The process ends after it even if work is left.
    milliseconds stop_timeout{5500};
    // Time for which the load balancer continues to send callers after this host has reported that
    // it is not ready: two missed checks, one second apart, and a margin.
    milliseconds balancer_lag{2500};
    // Reserved at the end of `stop_timeout` for sending the last answers.
    milliseconds answer_flush_period{300};
    // No host of the deployment ran before this process, so no earlier job can have started.
    bool first_start = false;
};

// Progress of a planned stop.
enum class stop_stage : std::uint8_t
{
    serving, // no stop was requested
    ending,  // accepted jobs are being completed; new callers are served by other hosts' pools
    done,    // no work is left, and no more callers are expected
    overdue  // the limit has passed and work is left
};
BOOST_DESCRIBE_ENUM(stop_stage, serving, ending, done, overdue)

class pool_host
{
public:
    explicit pool_host(pool_host_settings settings);

    // Adds a host; see membership::introduce().
    bool introduce(instant now, const std::string& name, const std::string& address,
                   action_list& out);
    // Returns false and ignores the configuration if its version is not newer than the one in
    // force.
    bool set_config(instant now, route_config_ptr config, action_list& out);
    void set_registry(instant now, worker_registry registry, action_list& out);
    // Merges the state of the evacuations that the store gives.
    void set_evacuations(instant now, const evacuation_state& state, action_list& out);
    void tick(instant now, action_list& out);
    // Reports that this process handles an event now that was due `delay` ago. Called with each
    // timer, for the longest of such delays.
    void observe_delay(instant now, microseconds delay);

    // Processes a caller's job. `call` identifies the call in its answer_call action.
    void on_job(instant now, std::uint64_t call, job_request job, action_list& out);
    void on_caller_disconnected(instant now, std::uint64_t call, action_list& out);
    // Processes a caller's question whether the job is open, or its request to cancel the job. The
    // call is answered by an answer_query action, at once if this host has the job, else by what
    // the other hosts say.
    void on_job_query(instant now, std::uint64_t call, const std::string& job, bool cancel,
                      action_list& out);
    // Processes a worker's answer to the order `request`.
    void on_worker(instant now, std::uint64_t request, const worker_reply& reply, action_list& out);
    // Processes a message from a peer. If it contains a published configuration newer than the one
    // in force, returns that configuration; the adapter decodes it and calls set_config().
    std::optional<std::string> on_peer(instant now, const wire::PeerMessage& message,
                                       action_list& out);

    // Begins a planned stop. Further calls have no effect.
    void begin_stop(instant now, action_list& out);
    stop_stage stop_progress(microseconds now) const;
    // Answers the calls that are still open when a stop is overdue. The process then ends.
    void end_calls(instant now, action_list& out);
    // Returns false if a job accepted now might not end before the process has to: after half of
    // `stop_timeout`.
    bool accepts_jobs(microseconds now) const;
    // Returns true if a stop was begun and no work is left for any caller or on any worker.
    bool stopped() const;
    bool leaving() const { return m_leaving; }
    // Returns true if this host can serve callers: it is not leaving, has a configuration, and can
    // place jobs.
    bool ready(instant now) const;
    const route_config_ptr& config() const { return m_config; }
    const worker_pool& workers() const { return m_pool; }
    const call_router& calls() const { return m_call_router; }
    const membership& hosts() const { return m_membership; }
    const started_jobs& started() const { return m_started; }
    const job_queries& queries() const { return m_queries; }
    const processing_delay& delay() const { return m_delay; }
    // Number of workers that this host can serve; the default maximum if no limit is known.
    std::uint32_t max_workers() const;
    // Number of workers that the last assignment allowed this host; see worker_assignment.
    std::uint32_t quota() const { return m_quota; }
    // Returns true if a registered worker or a live host is in the data centre.
    bool data_centre_exists(const std::string& data_centre, microseconds now) const;
    // Returns the evacuated data centres that exist.
    std::vector<std::string> evacuated_data_centres(microseconds now) const;

private:
    // Runs the timers if the last tick is more than `max_tick_delay` ago.
    void run_overdue_timers(instant now, action_list& out);
    void acquire_and_release(instant now, action_list& out);
    void update_capacity(instant now, action_list& out);
    // Hands over the group of workers that is being handed over, or begins with `planned`.
    void hand_over(instant now, std::vector<std::string> planned, action_list& out);
    // Returns true if workers of the job's service are listed and none of them is large enough for
    // some step.
    bool too_large(const job_request& job) const;
    // Returns true if a partitioned host may acquire this worker now; see `trial_delay`.
    bool may_start_trial(const std::string& worker, instant now);
    void evaluate_trials(instant now);
    // Returns true if this host may acquire a worker assigned to it now; else may send a probe.
    // `partitioned` is membership::partitioned().
    bool may_acquire(const worker_entry& entry, bool partitioned, instant now, action_list& out);
    void record_starts(instant now);
    void merge_evacuations(instant now, const evacuation_state& state, action_list& out);
    void log_evacuations(instant now, action_list& out);
    // Returns true if workers of the service are listed and all of them are in evacuated data
    // centres. An empty service stands for all workers.
    bool all_evacuated(const std::string& service) const;
    // Returns true if a listed worker is in an evacuated data centre.
    bool some_evacuated() const;
    // Evaluates whether "not run" answers have to wait for the lists of a silent host's workers.
    void update_awaited_lists(instant now, action_list& out);
    void forward_results(instant now, action_list& out);
    // The state that heartbeats announce.
    membership::announcement announcement(instant now) const;
    // Cancels the jobs of hosts that may count this one as disconnected.
    void cancel_silent_callers(instant now, action_list& out);
    void on_pool_job(instant now, const host_ref& from, const wire::PoolJob& message,
                     action_list& out);
    // Cancels the job of a caller of this host. Also stops what this host's pool has of the job for
    // another host's caller, and prevents that the job is accepted here again. Returns true if the
    // caller's job was cancelled, now or lately.
    bool cancel_job(instant now, const std::string& job, action_list& out);
    // Answers a peer's query for a job.
    void on_peer_query(instant now, const host_ref& from, const wire::PoolJobQuery& message,
                       action_list& out);
    // Requests a newer configuration from a peer if one is due; see config_fetcher.
    void request_config(instant now, action_list& out);
    // Answers a peer's request if this host's configuration is newer.
    void on_config_request(instant now, const host_ref& from,
                           const wire::PoolConfigRequest& message, action_list& out);
    // Returns the published configuration of a peer if it is newer than the one in force.
    std::optional<std::string> on_peer_config(instant now, const wire::PoolConfig& message);
    // Sets the sender of all messages to peers.
    void set_senders(action_list& out) const;

    pool_host_settings m_settings;
    route_config_ptr m_config;
    worker_registry m_registry;
    std::map<std::string, microseconds> m_unlisted_since; // workers missing from the registry
    std::map<std::string, microseconds> m_lost_at;        // lost workers
    // State of the trials while this host is partitioned; see `trial_delay`.
    std::set<std::string> m_trials;          // workers being acquired on trial
    std::set<std::string> m_pending_release; // workers to release, since they had runs
    std::uint32_t m_empty_trials = 0;        // consecutive trials that found no runs
    microseconds m_next_trial{0};
    membership m_membership;
    worker_pool m_pool;
    started_jobs m_started;
    call_router m_call_router;
    unread_workers m_unread;
    config_fetcher m_config_fetcher;
    job_queries m_queries;
    processing_delay m_delay;
    host_capacity m_capacity;
    std::uint32_t m_quota = 0;
    std::vector<std::string> m_handover; // the workers that are being handed over
    microseconds m_handover_until{0};
    microseconds m_next_handover{0};
    microseconds m_next_assignment{0};
    microseconds m_last_tick{-1};          // -1: none yet
    std::uint64_t m_announced_version = 0; // held_version() at the last acquire_and_release()
    std::uint64_t m_announced_crashes = 0; // crash_record::own_changes() at the last tick
    bool m_leaving = false;
    microseconds m_leaving_since{0};
};

} // namespace egretledge::pool

#endif
