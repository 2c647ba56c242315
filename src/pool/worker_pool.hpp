#ifndef EGRETLEDGE_POOL_WORKER_POOL_HPP
#define EGRETLEDGE_POOL_WORKER_POOL_HPP

// The workers that this host holds, and the jobs that it runs on them. Jobs come in with the call
// that waits for them; what became of each comes out once, as a pool_result.

#include "core/run_times.hpp"
#include "pool/held_worker.hpp"
#include "pool/slot_schedule.hpp"
#include <functional>
#include <set>

namespace egretledge::pool
{

struct worker_pool_settings
{
    held_worker_settings workers;
    // A job that cannot end within this many times its objective is refused: nobody waits longer.
    double late_factor = 3;
    // A job is taken on if it is expected to end within this many times its objective.
    double admission_factor = 1;
    // Late jobs that found no room for this long are starved by those on time: in a busy pool a
    // task ends every 5 to 15 ms.
    milliseconds starvation_timeout{50};
    // A task counts as stuck when it has run for `stuck_factor` times its expected time and
    // `stuck_slack` more with less than half of its progress made.
    double stuck_factor = 3;
    milliseconds stuck_slack{150};
    // A worker that fails this many tasks in a row which others can run is left alone for a while.
    std::uint32_t max_consecutive_failures = 2;
    milliseconds initial_quarantine{500};
    milliseconds max_quarantine{8000};
    // A run on a worker that another host took is over after this time: the lease, at the slowest
    // clock, and a margin.
    milliseconds lost_run_timeout{740};
    // A worker's silence is logged after this time.
    milliseconds silence_log_delay{500};
    // A worker that answered that it is unhealthy gets no start for this long.
    milliseconds unhealthy_pause{300};
    // After an order without an answer, holds are renewed more often for this long.
    milliseconds lossy_period{2000};
    // The shortest Retry-After: the unit of the header is a second.
    milliseconds min_retry_after{1000};
};

// Who waits for a job: an entry, this host's own (empty name) or another one's, and which of its
// offers brought the job here. A result answers that offer and no other one.
struct caller_ref
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t offer = 0;
    auto operator<=>(const caller_ref&) const = default;
};

struct pool_result
{
    caller_ref caller;
    std::string job;
    call_answer answer;
    bool declined = false; // nothing was started; another pool may be asked
};

class worker_pool
{
public:
    worker_pool(worker_pool_settings settings, std::uint64_t identity);

    // Begins to hold a worker. `wall` makes its fencing token.
    void acquire(instant now, const worker_entry& entry, action_list& out);
    // Asks a worker whether it can be reached, without taking it from whoever holds it.
    void probe(microseconds now, const worker_entry& entry, action_list& out);
    // True once probes have been answered without a gap for this long.
    bool reachable_for(const std::string& worker, microseconds now, milliseconds time) const;
    // The registry changed: workers that leave get nothing new, vanished ones are let go when idle.
    void on_registry(const worker_registry& registry);
    // Lets an idle worker go, so that another host may take it; false if it is not idle.
    bool release(const std::string& worker);
    bool holds(const std::string& worker) const { return m_workers.contains(worker); }
    // True if all these workers are held here and nothing of a former holder runs on them.
    bool cleared(const std::vector<std::string>& workers) const;
    // Tells which of this pool's workers a caller's host knows of, as a held_version: only those
    // run its jobs, so that it knows where to look if this host dies.
    void set_visibility(std::function<std::uint64_t(const caller_ref&)> visible)
    {
        m_visible = std::move(visible);
    }
    // The worker if it is held here.
    const held_worker* find(const std::string& worker) const;
    std::vector<std::string> held() const;
    std::vector<std::string> idle() const;
    // Those held here that have not accepted a hold yet: what they list is not known.
    std::vector<std::string> unread() const;
    // Rises whenever the set of held workers changes.
    std::uint64_t held_version() const { return m_held_version; }

    // `age` is the time that has passed since the caller's submission.
    void submit(microseconds now, job_request job, const caller_ref& caller, milliseconds age,
                action_list& out);
    // Nobody waits for the job that this offer brought: it ends and its runs are stopped, unless a
    // later offer has brought it again.
    void cancel(microseconds now, const caller_ref& caller, action_list& out);
    // The same for an earlier offer of this job by the same entry.
    void cancel_earlier(microseconds now, const std::string& job, const caller_ref& caller,
                        action_list& out);
    // Cancels the jobs of callers for which `is_disconnected` holds.
    void cancel_callers(microseconds now, const std::function<bool(const caller_ref&)>& is_disconnected,
                        action_list& out);
    // Gives back all jobs of which nothing was started, for another pool.
    void decline_unstarted_jobs(microseconds now, action_list& out);

    void tick(microseconds now, action_list& out);
    bool on_worker_reply(microseconds now, std::uint64_t request, const worker_reply& reply,
                   action_list& out);
    // Workers that were lost since the last call: another host took them, or their lifetime is
    // over.
    std::vector<std::string> take_losses() { return std::exchange(m_losses, {}); }
    // Jobs of which a first start was sent, or a run was found on a worker, since the last call;
    // and those whose starts were all proven to have had no effect.
    struct start_notes
    {
        std::vector<std::string> started;
        std::vector<std::string> not_started;
    };
    start_notes take_start_notes() { return std::exchange(m_start_notes, {}); }
    std::vector<pool_result> take_results() { return std::exchange(m_results, {}); }

    // Load as announced to other hosts. Free room counts as far as usual tasks fit into it: what is
    // left over beside two large tasks helps nobody.
    std::int64_t free_cpu(microseconds now) const;
    std::int64_t total_cpu(microseconds now) const;
    milliseconds expected_wait(microseconds now) const;
    std::size_t open_jobs() const { return m_jobs.size(); }
    bool has_job(const std::string& job) const { return m_jobs.contains(job); }
    // True while runs of a job that has ended here are being stopped.
    bool ending(const std::string& job) const { return m_former.contains(job); }
    std::size_t waiting_jobs(const std::string& route) const;
    bool quiet() const { return m_jobs.empty() && idle().size() == m_workers.size(); }

    struct totals
    {
        std::uint64_t starts = 0;
        std::uint64_t done = 0;
        std::uint64_t failed = 0;
        std::uint64_t wasted = 0; // runs that were stopped, lapsed or broken
        std::uint64_t in_doubt = 0; // starts without an answer
        std::uint64_t lost_workers = 0;
    };
    const totals& counts() const { return m_totals; }

private:
    enum class task_stage : std::uint8_t
    {
        waiting,
        placed,
        done
    };
    struct task_state
    {
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        task_stage stage = task_stage::waiting;
        std::uint32_t failures = 0;
        std::uint64_t next_run = 1;
        std::string worker;
        std::vector<std::string> avoid;
    };
    struct open_job
    {
        job_request request;
        caller_ref caller;
        microseconds arrived{0};
        microseconds accepted_at{0};     // by this pool
        microseconds objective{0}; // in time until then
        microseconds deadline{0};   // nobody waits longer
        milliseconds critical_path{0};   // expected time of its longest chain
        std::vector<task_state> tasks;
        std::vector<std::uint32_t> step_left;
        std::uint32_t waiting = 0;
        std::uint32_t left = 0;
        std::int64_t starts = 0;   // sent and not known to have had no effect
        bool awaits_former_runs = false; // runs of an earlier submission of this id are still ending
    };
    struct worker_record
    {
        held_worker worker;
        std::uint64_t first_held_version = 0; // the held_version that first named it
        bool leaving = false;
        bool vanished = false;
        double slowness = 1; // actual over expected time, learned
        std::uint32_t failures = 0;
        microseconds quarantined_until{0};
        milliseconds quarantine{0};
        bool probation = false;
        bool silence_logged = false;
    };

    void log_silence(microseconds now, const std::string& worker, worker_record& record,
                      action_list& out) const;
    milliseconds expected_run_time(const job_request& job, const job_step& step) const;
    bool accepts(const worker_record& record, microseconds now) const;
    worker_record* choose_worker(const open_job& job, const task_state& task, std::uint64_t visible,
                          microseconds now);
    bool fits_somewhere(const job_request& job) const;
    void place(microseconds now, action_list& out);
    bool place_tasks(microseconds now, open_job& job, action_list& out);
    bool eligible(const open_job& job, const task_state& task) const;
    std::vector<open_job*> placement_order(microseconds now);
    void handle_events(microseconds now, const worker_events& events, action_list& out);
    void on_event(microseconds now, const worker_event& event, action_list& out);
    void on_ended(microseconds now, const worker_event& event, action_list& out);
    void on_lost(microseconds now, const worker_event& event, action_list& out);
    void task_failed(microseconds now, worker_record* record, open_job& job, task_state& task,
                     action_list& out);
    void learn(worker_record& record, const open_job& job, const task_state& task,
               microseconds ran);
    void expire(microseconds now, action_list& out);
    void stop_stuck(microseconds now, action_list& out);
    void finish(microseconds now, open_job& job, call_answer answer, bool declined,
                action_list& out);
    void stop_runs(microseconds now, const open_job& job, action_list& out);
    void remove_worker(const std::string& worker);
    // A run of an ended job is over. False if it is none of those.
    bool end_former(const run_ref& run);
    open_job* find(const task_name& task, task_state*& state);
    // How many places of a usual task one with this need takes.
    std::uint32_t slots_of(const room& demand) const;
    // The places of the sound workers, and when their runs are expected to end.
    slot_schedule worker_slots(microseconds now) const;
    // Until when the job should have ended: this many times its objective, within its wait.
    static microseconds limit_of(const open_job& job, double factor);
    // Whether it cannot end within its objective any more, if nothing of it was started.
    static bool is_late(const open_job& job, microseconds now)
    {
        return job.objective - job.critical_path < now;
    }
    static scheduling_key scheduling_key_of(const open_job& job, microseconds now);
    pending_job pending_job_of(const open_job& job, microseconds now) const;
    std::vector<pending_job> pending_jobs_with(const open_job& new_job, microseconds now) const;
    // Why the job is not taken on; nothing if it is.
    std::optional<call_answer> evaluate_admission(microseconds now, const open_job& job) const;
    call_answer refusal(answer_kind kind, microseconds now, std::string detail) const;
    void log_job(const open_job& job, const call_answer& answer, microseconds now,
                 action_list& out) const;

    worker_pool_settings m_settings;
    std::uint64_t m_identity;
    std::uint64_t m_next_request = 1;
    std::map<std::string, worker_record> m_workers;
    std::uint64_t m_held_version = 1;
    struct probe_state
    {
        std::uint64_t request = 0; // 0: none is open
        microseconds asked{0};
        microseconds since{-1}; // of the first answer without a gap after it
        microseconds answered{-1};
    };
    std::function<std::uint64_t(const caller_ref&)> m_visible;
    std::map<std::string, probe_state> m_probes;
    std::vector<std::string> m_losses;
    start_notes m_start_notes;
    std::map<std::string, open_job> m_jobs;
    std::map<caller_ref, std::string> m_by_caller;
    // Runs of ended jobs that are not over yet, by job: a new submission of the id waits for them.
    // For a run on a worker that another host took: when its lease is surely over. Else the
    // maximum.
    std::map<std::string, std::map<run_ref, microseconds>> m_former;
    run_times m_run_times;
    room m_usual_demand; // of the task that was placed last
    std::vector<pool_result> m_results;
    microseconds m_late_jobs_served_at{0}; // when no late job was left waiting for room
    microseconds m_next_check{0};
    microseconds m_lossy_until{0};
    totals m_totals;
};

} // namespace egretledge::pool

#endif
