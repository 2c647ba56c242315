#ifndef EGRETLEDGE_POOL_POOL_HOST_HPP
#define EGRETLEDGE_POOL_POOL_HOST_HPP

// The whole decision logic of one entry host on a platform of pooled workers. Time and messages
// come in, actions go out; it does no I/O, reads no clock and starts no thread.
//
//     pool_host host(settings);
//     host.set_config(now, config, out);        // from the platform, or by a peer
//     host.set_registry(now, workers, out);
//     host.tick(now, out);                      // every 10 to 25 ms
//     host.on_job(now, call, job, out);         // a caller's job, already routed
//     for (auto& action : out) carry_out(action);

#include "pool/call_router.hpp"
#include "pool/routes.hpp"
#include "pool/steward.hpp"
#include "pool/unread_workers.hpp"

namespace egretledge::pool
{

struct pool_host_settings
{
    members_settings members;
    worker_pool_settings workers;
    call_router_settings entry; // data_centre is filled in
    steward_settings steward;
    started_jobs_settings started;
    milliseconds steward_every{40};
    // While events wait in a backlog timers run between them, at the latest after this time: half
    // of a heartbeat interval.
    milliseconds latest_tick{60};
    // A worker of another data centre is taken only after it could be reached for this long while
    // no host announced it: when a cut heals, its holder's heartbeats come within that time.
    milliseconds away_patience{1200};
    // Whether the workers of a silent host with no live neighbour can be reached is asked one of
    // them in turn, each for this long.
    milliseconds probe_turn{300};
    // A host that is cut off from the others takes a silent holder's workers one by one,
    // `trial_every` apart, after this silence. One that still runs something, although leases have
    // ended by then, shows that its holder lives; then nothing more is taken for `trial_pause`.
    // After `trials` workers with nothing on them the holder counts as dead.
    milliseconds trial_after{900};
    milliseconds trial_every{100};
    milliseconds trial_pause{3000};
    std::uint32_t trials = 4;
    // A worker that an unknown host took is left alone for this long, or until its holder was heard
    // of: a host that is cut off from the others would take it back and forth. So is one whose
    // lifetime is over, until its entry tells of a new one.
    milliseconds lost_patience{5000};
    // A vanished worker may be missing from the registry for about 2 s after an outage of the
    // store.
    milliseconds vanish_grace{2500};
    // A stop that takes longer than this ends all the same.
    milliseconds stop_limit{5500};
    // The balancer sends callers for this long after this host said that it is not ready: two
    // missed checks a second apart, and a margin.
    milliseconds balancer_lag{2500};
    // Before the limit of a stop, for the last answers to leave.
    milliseconds last_answers{300};
};

// How far a planned stop has come.
enum class stop_stage : std::uint8_t
{
    serving, // none was asked for
    ending,  // what was accepted is being ended; callers that still come are served by other pools
    done,    // nothing is left to do, and no caller comes any more
    overdue  // the limit has passed with work left
};
BOOST_DESCRIBE_ENUM(stop_stage, serving, ending, done, overdue)

class pool_host
{
public:
    explicit pool_host(pool_host_settings settings);

    void introduce(instant now, const std::string& name, const std::string& address,
                   action_list& out);
    // False if the version is not newer than the one in force.
    bool set_config(instant now, route_config_ptr config, action_list& out);
    void set_registry(instant now, worker_registry registry, action_list& out);
    void tick(instant now, action_list& out);

    void on_job(instant now, std::uint64_t call, job_request job, action_list& out);
    void on_caller_gone(instant now, std::uint64_t call, action_list& out);
    bool on_cancel(instant now, const std::string& job, action_list& out);
    void on_worker(instant now, std::uint64_t request, const worker_reply& reply, action_list& out);
    // Returns a published configuration that a peer knows and this host does not, if the message
    // brings one: the adapter decodes it and calls set_config.
    std::optional<std::string> on_peer(instant now, const wire::PeerMessage& message,
                                       action_list& out);

    void begin_stop(instant now, action_list& out);
    stop_stage stop_progress(microseconds now) const;
    // False if a job taken now might not end before the process has to.
    bool takes_jobs(microseconds now) const;
    // Nothing is left to do for a caller or on a worker.
    bool stopped() const;
    bool leaving() const { return m_leaving; }
    bool ready(instant now) const;
    const route_config_ptr& config() const { return m_config; }
    const worker_pool& workers() const { return m_pool; }
    const call_router& calls() const { return m_entry; }
    const members& hosts() const { return m_members; }
    const started_jobs& started() const { return m_started; }

private:
    // Runs the timers if they are overdue.
    void keep_time(instant now, action_list& out);
    void take_and_yield(instant now, action_list& out);
    bool too_large(const job_request& job) const;
    bool may_try(const std::string& worker, instant now);
    void judge_trials(instant now);
    bool may_take(const worker_entry& entry, instant now, action_list& out);
    void note_starts(instant now);
    // Whether "not run" has to wait for the lists of a silent host's workers.
    void await_lists(instant now, action_list& out);
    void pass_results(instant now, action_list& out);
    // Ends the jobs of hosts that may have given up on this one.
    void cancel_silent_callers(instant now, action_list& out);
    void on_pool_job(instant now, const host_ref& from, const wire::PoolJob& message,
                     action_list& out);
    void offer_config(const host_ref& to, action_list& out);
    void stamp(action_list& out) const;

    pool_host_settings m_settings;
    route_config_ptr m_config;
    worker_registry m_registry;
    std::map<std::string, microseconds> m_vanished;
    std::map<std::string, microseconds> m_lost; // workers that were lost, and when
    // While cut off: workers taken on trial, those to be given back, and what was found.
    std::set<std::string> m_trials;
    std::set<std::string> m_give_back;
    std::uint32_t m_empty_trials = 0;
    microseconds m_next_trial{0};
    members m_members;
    worker_pool m_pool;
    started_jobs m_started;
    call_router m_entry;
    unread_workers m_unread;
    std::uint64_t m_probe_seed; // so that hosts do not all probe the same worker
    microseconds m_next_steward{0};
    microseconds m_last_tick{0};
    std::uint64_t m_announced = 0; // the held_version at the last round of the steward
    bool m_leaving = false;
    microseconds m_leaving_since{0};
};

} // namespace egretledge::pool

#endif
