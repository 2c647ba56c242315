#ifndef EGRETLEDGE_POOL_CALL_ROUTER_HPP
#define EGRETLEDGE_POOL_CALL_ROUTER_HPP

// Routes the calls that reached this host: chooses the pool for each job, and answers its caller.

#include "pool/membership.hpp"
#include "pool/worker_pool.hpp"

namespace egretledge::pool
{

struct call_router_settings
{
    std::string data_centre;
    // A pool of another data centre is used only if that saves more than this: its capacity is
    // for its own callers first, and traffic between data centres costs.
    milliseconds remote_penalty{15};
    // The typical time until a busy worker has free capacity again; scales a job's missing
    // capacity to an expected wait.
    milliseconds turnover{120};
    // Counted for a pool without free capacity, and in proportion for others: of two pools that
    // could start a job at once, the emptier one has more of its fast workers left. Less than
    // `remote_penalty`, so that it draws no job to another data centre.
    milliseconds full_pool_penalty{10};
    // After this time without a heartbeat from a pool's host none of its runs exists: the host
    // cancels callers' jobs after 700 ms without an echo, and the runs that it cannot stop end with
    // their leases 714 ms later.
    milliseconds silent_pool_timeout{1450};
    // The same for a job whose pool reported that it lost a worker: the time for stops and leases.
    milliseconds lost_worker_timeout{800};
    // No call waits longer than this many times its job's objective.
    double late_factor = 3;
    // Once this host knows which host holds which workers, unheld workers are acquired within this
    // time; until then a call without a pool waits for as long as an answer is of use.
    milliseconds initial_takeover_period{1000};
    // Outcomes are kept for this long, for a resubmission that was sent before the answer arrived.
    milliseconds answer_retention{10000};
    std::size_t max_retained_answers = 4000;
    // A job that this many pools have declined for want of capacity is refused. The pools with the
    // shortest announced waits are asked first, and each offer costs messages and an admission
    // decision when the hosts are busiest.
    std::uint32_t max_capacity_declines = 3;
    // An orphaned job that a new pool declined is offered again after this time, in which a few
    // tasks end.
    milliseconds orphan_retry_delay{100};
};

class call_router
{
public:
    call_router(call_router_settings settings, membership& peers, worker_pool& local_pool,
                started_jobs& started);

    // Tell whether workers are in evacuated data centres: all listed ones of a service, or any.
    struct evacuation_checks
    {
        std::function<bool(const std::string& service)> all_evacuated;
        std::function<bool()> some_evacuated;
    };
    void set_evacuation_checks(evacuation_checks checks) { m_evacuation = std::move(checks); }

    // Accepts a job from a caller. The call is answered once, by an answer_call action.
    void submit(instant now, std::uint64_t call, job_request job, action_list& out);
    // Ends a call whose caller has disconnected, and withdraws its job.
    void on_caller_disconnected(microseconds now, std::uint64_t call, action_list& out);
    // Cancels a job at its caller's request. Returns false if the job is not known here.
    bool cancel(microseconds now, const std::string& job, action_list& out);
    // Processes the result of an offer to another host's pool.
    void on_result(microseconds now, const host_ref& host, const wire::PoolResult& result,
                   action_list& out);
    // The same for a result of this host's own pool.
    void on_local_result(microseconds now, const pool_result& result, action_list& out);
    void tick(microseconds now, action_list& out);
    // Answers all open calls before this process ends: as not run if that is known, else as
    // unknown. Their offers are withdrawn.
    void end_calls(microseconds now, action_list& out);

    // Returns the answer that may be given to the caller. A "not run" answer is replaced by
    // worker_lost unless the job has not started anywhere recently and this host would know if it
    // had.
    call_answer checked_answer(microseconds now, const std::string& job, bool may_have_run,
                               call_answer answer) const;
    // Returns true if a reachable pool has workers.
    bool can_place(microseconds now) const;
    // Sends jobs only to other hosts' pools from now on.
    void close_local_pool() { m_local_pool_closed = true; }
    bool idle() const { return m_calls.empty(); }
    std::size_t open_calls() const { return m_calls.size(); }
    // Returns the names of the other hosts to whose pools open calls were offered last.
    std::set<std::string> pools_in_use() const;
    bool has_job(const std::string& job) const { return m_by_job.contains(job); }

    struct totals
    {
        std::uint64_t calls = 0;
        std::uint64_t complete = 0;
        std::uint64_t failed = 0;
        std::uint64_t refused = 0;
        std::uint64_t unknown = 0;
        std::uint64_t caller_disconnected = 0; // the caller disconnected before the answer
        std::uint64_t offers = 0;              // of jobs to pools, this host's own included
        std::uint64_t capacity_declines = 0;   // offers declined for want of capacity
        std::uint64_t other_declines = 0;      // offers declined for another reason
        std::uint64_t remote = 0;              // sent to another data centre
        std::uint64_t orphaned = 0;            // their pool's host became silent or lost a worker
        std::uint64_t orphan_offers = 0;       // offers of orphaned jobs to new pools
    };
    const totals& counts() const { return m_totals; }

private:
    struct open_call
    {
        std::uint64_t call = 0;
        job_request job;
        microseconds arrived{0};
        std::string pool; // the name of the pool's host; empty: this host
        host_ref pool_ref;
        // The latest offer of the job to a pool; 0 once the pool has answered it.
        std::uint64_t offer = 0;
        std::set<std::string> tried;         // pools that the job was offered to; see requeue()
        std::uint32_t capacity_declines = 0; // by pools in `tried`
        std::int64_t cpu = 0;                // demand of all its tasks, in thousandths of a core
        bool queued = false;                 // waits until a pool can be chosen
        bool start_recorded = false; // offered to another host's pool, which has not declined it
        // The job's pool has failed or lost a worker. `former` has the workers that a failed pool
        // held, and by `runs_expire_at` all of its runs have ended.
        bool orphan = false;
        // Tasks may have run in an earlier pool, or for an earlier call at this host: the call must
        // not be answered as "not run".
        bool may_have_run = false;
        std::vector<std::string> former;
        microseconds runs_expire_at{0};
        // Queues the call until a pool can be chosen; pools that declined it may be chosen again.
        void requeue()
        {
            tried.clear();
            capacity_declines = 0;
            queued = true;
        }
        microseconds retry_at{0}; // a declined orphan is not offered again before
    };

    // Returns the pool with the lowest cost of those that have not been tried, as the name of its
    // host ("" for this host), or nullopt if none is left or enough have declined.
    std::optional<std::string> choose_pool(microseconds now, const open_call& call) const;
    // Returns the expected time in ms until the pool could start a job that takes `cpu`.
    // `reserved` is the CPU of the jobs offered to the pool since its load report.
    double cost(const load_report& load, std::int64_t reserved, std::int64_t cpu) const;
    // Offers the job to `call.pool`.
    void send(microseconds now, open_call& call, action_list& out);
    // Offers the job to the best pool. If there is none, queues the call while its job could still
    // end in time, and else answers it.
    void dispatch(microseconds now, open_call& call, action_list& out);
    // Returns the time until which a call without a pool stays queued.
    microseconds wait_limit(microseconds now, const open_call& call) const;
    void dispatch_queued(microseconds now, action_list& out);
    // Returns true if a pool has workers that accept tasks.
    bool has_live_pool(microseconds now) const;
    // Returns true if evacuations have left no pool for the job. `pool_expected`: workers may be
    // acquired soon.
    bool all_pools_evacuated(microseconds now, const open_call& call, bool pool_expected) const;
    // Returns the pool for an orphaned job: its former pool if that host is alive again, else a
    // pool that holds all of its former workers, or any pool once their leases have expired.
    std::optional<std::string> choose_for_orphan(microseconds now, open_call& call) const;
    // Handles a job whose pool has failed or lost a worker: queues it for another pool, or gives
    // the caller `answer` if it could not end in time there.
    void orphan_or_resolve(microseconds now, std::uint64_t call, std::vector<std::string> former,
                           microseconds runs_expire_at, call_answer answer, action_list& out);
    // Answers the call, withdraws its open offer, and removes the call.
    void resolve(microseconds now, std::uint64_t call, call_answer answer, action_list& out);
    // Processes the result of one offer. The result of an earlier offer is ignored, unless it says
    // that the job is complete.
    void on_offer_result(microseconds now, const std::string& job, const host_ref& pool,
                         std::uint64_t offer, call_answer answer, bool declined, action_list& out);
    // Processes the result of the latest offer: offers the job to the next pool, queues the call,
    // or answers it.
    void on_latest_result(microseconds now, std::uint64_t call, call_answer answer, bool declined,
                          action_list& out);
    // Withdraws the latest offer if its pool has not answered it. The pool is notified at once, and
    // in every heartbeat until it has acknowledged one.
    void withdraw_offer(microseconds now, open_call& call, action_list& out);
    // Records a job that another host's pool may start, so that this host announces its start too.
    // withdraw_record() withdraws the record once the pool has reported that it started nothing.
    void record_offer(microseconds now, open_call& call);
    void withdraw_record(open_call& call);

    call_router_settings m_settings;
    membership& m_peers;
    worker_pool& m_local_pool;
    started_jobs& m_started;
    std::map<std::uint64_t, open_call> m_calls;
    std::map<std::string, std::uint64_t> m_by_job;
    std::uint64_t m_offers = 0; // made so far
    // CPU of the jobs offered to each peer since its last load report, and the time of that report.
    mutable std::map<std::string, std::pair<microseconds, std::int64_t>> m_reserved_cpu;
    // The outcome of an ended call whose job is complete or may have run.
    struct past_answer
    {
        microseconds when{0};
        bool complete = false;
    };
    void remember(microseconds now, const std::string& job, bool complete);
    std::map<std::string, past_answer> m_past;
    std::deque<std::pair<microseconds, std::string>> m_past_order;
    bool m_local_pool_closed = false;
    evacuation_checks m_evacuation;
    totals m_totals;
};

// Conversions between a job and its message.
void to_wire(const job_request& job, wire::PoolJob& out);
expected<job_request> from_wire(const wire::PoolJob& message);
// Returns why the job is malformed, or nothing if it is valid: a step depends on itself or a later
// step, the job has no tasks, or it has too many.
std::optional<std::string> find_fault(const job_request& job);

} // namespace egretledge::pool

#endif
