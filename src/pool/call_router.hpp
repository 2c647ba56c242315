#ifndef EGRETLEDGE_POOL_CALL_ROUTER_HPP
#define EGRETLEDGE_POOL_CALL_ROUTER_HPP

// The calls that reached this host: to which pool each job goes, and what its caller is told.

#include "pool/members.hpp"
#include "pool/worker_pool.hpp"

namespace egretledge::pool
{

struct call_router_settings
{
    std::string data_centre;
    // A pool of another data centre is used when that saves more than this: its workers' own
    // callers come first, and bytes between data centres cost.
    milliseconds remote_penalty{15};
    // The typical time until a busy worker has room again; scales the shortage of room.
    milliseconds turnover{120};
    // After this time nothing runs for a pool's host that is silent: it gives up callers' jobs
    // after 700 ms without an echo, and what it cannot stop then ends with its lease 714 ms later.
    milliseconds silent_pool_timeout{1450};
    // The same for a job whose pool said that it lost a worker: stops and leases.
    milliseconds lost_worker_timeout{800};
    // Nobody waits longer than this many times a job's objective.
    double late_factor = 3;
    // After this host has found out who holds what, workers that nobody holds are taken within this
    // time; until then a call without a pool waits as long as an answer is of use.
    milliseconds initial_takeover_period{1000};
    // Answers are kept this long for a resubmission that crossed its answer.
    milliseconds answer_retention{10000};
    std::size_t max_retained_answers = 4000;
    // An orphan that its new pool declined is offered again after this time: a few tasks' ends.
    milliseconds orphan_retry_delay{100};
};

class call_router
{
public:
    call_router(call_router_settings settings, members& peers, worker_pool& own, started_jobs& started);

    // A job that a caller handed in; the answer comes once, as an action.
    void submit(instant now, std::uint64_t call, job_request job, action_list& out);
    // The caller's connection has ended.
    void on_caller_gone(microseconds now, std::uint64_t call, action_list& out);
    // A caller takes its job back; false if it is not known here.
    bool cancel(microseconds now, const std::string& job, action_list& out);
    void on_result(microseconds now, const host_ref& host, const wire::PoolResult& result,
                   action_list& out);
    // Own results of the own pool's calls.
    void on_local_result(microseconds now, const pool_result& result, action_list& out);
    void tick(microseconds now, action_list& out);

    // The answer as it may be given: "not run" only of a job that has started nowhere lately, and
    // only by a host that would have heard of it.
    call_answer checked_answer(microseconds now, const std::string& job, bool may_have_run,
                         call_answer answer) const;
    // True if some pool in reach has workers.
    bool can_place(microseconds now) const;
    // From now on jobs go to other pools, if there are any.
    void close_local_pool() { m_local_pool_closed = true; }
    bool idle() const { return m_calls.empty(); }
    std::size_t open_calls() const { return m_calls.size(); }
    bool has_job(const std::string& job) const { return m_by_job.contains(job); }

    struct totals
    {
        std::uint64_t calls = 0;
        std::uint64_t complete = 0;
        std::uint64_t failed = 0;
        std::uint64_t refused = 0;
        std::uint64_t unknown = 0;
        std::uint64_t caller_disconnected = 0;        // the caller left first
        std::uint64_t remote = 0;        // sent to another data centre
        std::uint64_t orphaned = 0;    // their pool's host fell silent, or it lost a worker
        std::uint64_t orphan_offers = 0; // offers of orphans
    };
    const totals& counts() const { return m_totals; }

private:
    struct open_call
    {
        std::uint64_t call = 0;
        job_request job;
        microseconds arrived{0};
        std::string pool; // empty: this host's own
        host_ref pool_ref;
        // The latest attempt to place the job; 0 once its pool has answered.
        std::uint64_t offer = 0;
        std::set<std::string> tried;
        std::int64_t cpu = 0;
        bool queued = false; // no pool is in reach yet
        bool noted = false;  // offered to another host's pool, which has not said that it declined
        // The pool's host has gone while it had the job: what it held, and when its runs are surely
        // over.
        bool orphan = false;
        // In an earlier pool, or for an earlier call at this host: no "not run" then.
        bool may_have_run = false;
        std::vector<std::string> former;
        microseconds runs_expire_at{0};
        // Waits for a pool; each may be asked again.
        void requeue()
        {
            tried.clear();
            queued = true;
        }
        microseconds retry_at{0}; // an orphan that was declined is not offered again before
    };

    // The pool to ask next, as a host's name ("" for the own one); nullopt if none is left.
    std::optional<std::string> choose_pool(microseconds now, const open_call& call) const;
    double cost(const load_report& load, std::int64_t reserved, std::int64_t cpu) const;
    void send(microseconds now, open_call& call, action_list& out);
    // Sends a call to a pool, or parks it while it could still end in time.
    void dispatch(microseconds now, open_call& call, action_list& out);
    // Until when a call without a pool is kept.
    microseconds wait_limit(microseconds now, const open_call& call) const;
    void dispatch_queued(microseconds now, action_list& out);
    // The orphan's former pool if it is heard again, the pool that has cleared its former workers,
    // or any once their leases are over.
    std::optional<std::string> choose_for_orphan(microseconds now, open_call& call) const;
    // Keeps a job whose pool has gone, to place it anew; tells the caller if that would be too
    // late.
    void orphan_or_resolve(microseconds now, std::uint64_t call, std::vector<std::string> former,
                         microseconds runs_expire_at, call_answer answer, action_list& out);
    void resolve(microseconds now, std::uint64_t call, call_answer answer, action_list& out);
    // Takes the result of one offer. That of an earlier offer says nothing about a later one,
    // except that a job which is complete stays so.
    void on_offer_result(microseconds now, const std::string& job, const host_ref& pool,
                         std::uint64_t offer, call_answer answer, bool declined, action_list& out);
    void on_latest_result(microseconds now, std::uint64_t call, call_answer answer, bool declined,
                action_list& out);
    // Gives up the latest offer, if its pool has not answered it: the pool is told at once, and in
    // every heartbeat until it knows.
    void withdraw_offer(microseconds now, open_call& call, action_list& out);
    // Notes a job that another host's pool may start, so that its start is announced from here too;
    // and takes the note back once that pool has said that it started nothing.
    void note_offer(microseconds now, open_call& call);
    void note_declined(open_call& call);

    call_router_settings m_settings;
    members& m_peers;
    worker_pool& m_local_pool;
    started_jobs& m_started;
    std::map<std::uint64_t, open_call> m_calls;
    std::map<std::string, std::uint64_t> m_by_job;
    std::uint64_t m_offers = 0; // made so far
    // Room promised away since a peer's last load report.
    mutable std::map<std::string, std::pair<microseconds, std::int64_t>> m_reserved_cpu;
    // Answered jobs: complete ones, and those of which something may have run.
    struct past_answer
    {
        microseconds when{0};
        bool complete = false;
    };
    void remember(microseconds now, const std::string& job, bool complete);
    std::map<std::string, past_answer> m_past;
    std::deque<std::pair<microseconds, std::string>> m_past_order;
    bool m_local_pool_closed = false;
    totals m_totals;
};

// Conversions between a job and its message.
void to_wire(const job_request& job, wire::PoolJob& out);
expected<job_request> from_wire(const wire::PoolJob& message);
// The fault of a job's shape, or nothing: steps that wait for later ones, no tasks, or too many.
std::optional<std::string> find_fault(const job_request& job);

} // namespace egretledge::pool

#endif
