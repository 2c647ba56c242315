#ifndef EGRETLEDGE_POOL_WORKER_POOL_HPP
#define EGRETLEDGE_POOL_WORKER_POOL_HPP

// The workers that this host holds, and the jobs that it runs on them. A job is submitted together
// with a reference to the call that waits for it; its outcome is reported once, as a pool_result.

#include "core/run_time_trials.hpp"
#include "core/run_times.hpp"
#include "pool/crash_record.hpp"
#include "pool/evacuations.hpp"
#include "pool/held_worker.hpp"
#include "pool/slot_schedule.hpp"
#include <functional>
#include <set>

namespace egretledge::pool
{

struct worker_pool_settings
{
    held_worker_settings workers;
    crash_record_settings crashes;
    evacuation_settings evacuations;
    // A job that cannot end within this many times its objective is refused: its caller does not
    // wait longer.
    double late_factor = 3;
    // A job is admitted if it is expected to end within this many times its objective.
    double admission_factor = 1;
    // Late jobs that have found no free capacity for this long count as starved by the jobs that
    // are on time: in a busy pool a task ends every 5 to 15 ms.
    milliseconds starvation_timeout{50};
    // A task counts as stuck if it has made less than half of its progress after `stuck_factor`
    // times its expected or its declared run time, whichever is longer, plus `stuck_slack`. One
    // that declares none never does: stopped runs teach no run time.
    double stuck_factor = 3;
    milliseconds stuck_slack{150};
    // A worker is quarantined after this many consecutive failures of tasks that had not failed
    // before.
    std::uint32_t max_consecutive_failures = 2;
    milliseconds initial_quarantine{500};
    milliseconds max_quarantine{8000};
    // A run on a worker that another host has acquired has ended after this time: the lease,
    // measured by the slowest permitted clock, and a margin.
    milliseconds lost_run_timeout{740};
    // A worker that does not answer is logged after this time.
    milliseconds silence_log_delay{500};
    // The runs on a worker that has not answered for this long are announced as suspicions. Their
    // leases end half a second later; a host that is paused or dies by then would take along what
    // it saw. A live worker answers the hold that is repeated after 60 ms within 3 ms. A process
    // that is late handles that answer later by its delay, which is added.
    milliseconds suspicion_delay{70};
    // No task is started for this long on a worker that has reported itself unhealthy.
    milliseconds unhealthy_pause{300};
    // After an unanswered order, holds are renewed more often for this long.
    milliseconds lossy_period{2000};
    // The shortest Retry-After sent to callers: the unit of the header is a second.
    milliseconds min_retry_after{1000};
    // Unproven trials of run times (run_time_trials) that may run for each worker, but one in any
    // case.
    double max_trials_per_worker = 0.125;
    // At most this share of the workers, but one of them in any case, is reserved for tasks that
    // have to run alone: a crash makes as many such tasks as the worker had runs, 2 to 8.
    double max_reserved_share = 0.25;
};

// The call router that waits for a job, and the offer by which it submitted the job. The host name
// is empty for this host's own call router. A result answers this offer only.
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
    bool declined = false; // nothing was started; the job may be offered to another pool
};

class worker_pool
{
public:
    worker_pool(worker_pool_settings settings, std::uint64_t identity);

    // Starts to hold a worker. The fencing token is derived from `now.wall`. Does nothing if the
    // worker is held already.
    void acquire(instant now, const worker_entry& entry, action_list& out);
    // Checks whether a worker can be reached, without taking it away from its present holder.
    void probe(microseconds now, const worker_entry& entry, action_list& out);
    // Returns true once all probes of the worker have been answered for at least this long.
    bool reachable_for(const std::string& worker, microseconds now, milliseconds time) const;
    // Applies a changed registry. No tasks are placed on workers that are leaving or no longer
    // registered; these are released once they are idle, the latter only if they do not answer.
    void on_registry(const worker_registry& registry);
    // Releases an idle worker, so that another host may acquire it. Returns false if the worker is
    // not held or not idle.
    bool release(const std::string& worker);
    // Places no more tasks on these workers, and releases those that are idle. The workers of the
    // previous call that are not among them accept tasks again.
    void hand_over(const std::vector<std::string>& workers);
    bool holds(const std::string& worker) const { return m_workers.contains(worker); }
    // Returns true if all these workers are held here, have accepted this host as their holder, and
    // run nothing of a former holder.
    bool cleared(const std::vector<std::string>& workers) const;
    // Sets the function that returns the latest held_version known to a caller's host. Its jobs run
    // only on workers held in that version, so that it knows where they may run if this host dies.
    void set_visibility(std::function<std::uint64_t(const caller_ref&)> visible_version)
    {
        m_visible_version = std::move(visible_version);
    }
    // Returns the worker, or null if it is not held here.
    const held_worker* find(const std::string& worker) const;
    std::vector<std::string> held() const;
    std::size_t held_count() const { return m_workers.size(); }
    std::vector<std::string> idle() const;
    // Returns the held workers that have not accepted a hold yet: their lists of runs have not been
    // read.
    std::vector<std::string> unread() const;
    // Increases whenever the set of held workers changes.
    std::uint64_t held_version() const { return m_held_version; }

    // Submits a job; `age` is the time since the caller submitted it. If a job of this id is open
    // already, its result goes to `caller` from now on, and the former caller is answered.
    void submit(microseconds now, job_request job, const caller_ref& caller, milliseconds age,
                action_list& out);
    // Cancels the job that this offer submitted and stops its runs. Has no effect if a later offer
    // has submitted the job again.
    void cancel(microseconds now, const caller_ref& caller, action_list& out);
    // Cancels the job, whichever offer submitted it, and stops its runs.
    void cancel_job(microseconds now, const std::string& job, action_list& out);
    // Cancels the job if it was submitted by an earlier offer of the same call router.
    void cancel_earlier(microseconds now, const std::string& job, const caller_ref& caller,
                        action_list& out);
    // Cancels the jobs of callers for which `is_disconnected` returns true.
    void cancel_callers(microseconds now,
                        const std::function<bool(const caller_ref&)>& is_disconnected,
                        action_list& out);
    // Declines all jobs of which nothing was started, so that they can be offered to other pools.
    void decline_unstarted_jobs(microseconds now, action_list& out);

    // Crashes of workers under tasks, here and, as announced, on other hosts.
    crash_record& crashes() { return m_crashes; }
    const crash_record& crashes() const { return m_crashes; }

    // The evacuated data centres, whose workers start no tasks.
    const evacuations& evacuated() const { return m_evacuations; }
    // Merges a state of the evacuations. Returns true if it became known or its set of data centres
    // changed. Jobs that cannot begin here any more are declined.
    bool merge_evacuations(microseconds now, const evacuation_state& state, action_list& out);
    void log_evacuations(microseconds now, const std::function<bool(const std::string&)>& exists,
                         action_list& out)
    {
        m_evacuations.log_changes(now, exists, out);
    }

    void tick(microseconds now, action_list& out);
    // Processes a worker's reply. Returns false if the request is not one of this pool's.
    bool on_worker_reply(microseconds now, std::uint64_t request, const worker_reply& reply,
                         action_list& out);
    // Returns the workers that were lost since the last call: another host has acquired them, or
    // their incarnation has ended.
    std::vector<std::string> take_losses() { return std::exchange(m_losses, {}); }
    // Changes since the last call: jobs of which the first start was sent or a run was found on a
    // worker, and jobs of which every start is proven to have had no effect.
    struct start_changes
    {
        std::vector<std::string> started;
        std::vector<std::string> not_started;
    };
    start_changes take_start_changes() { return std::exchange(m_start_changes, {}); }
    std::vector<pool_result> take_results() { return std::exchange(m_results, {}); }

    // Sets how late this process handles its events. What a new job waits for includes it, and
    // workers' answers are waited for longer by it.
    void set_processing_delay(milliseconds delay) { m_processing_delay = delay; }
    milliseconds processing_delay() const { return m_processing_delay; }

    // Load as announced to other hosts. A worker's free capacity is rounded down to a multiple of a
    // usual task's demand, since a smaller remainder cannot run a task.
    std::int64_t free_cpu(microseconds now) const;
    std::int64_t total_cpu(microseconds now) const;
    milliseconds expected_wait(microseconds now) const;
    std::size_t open_jobs() const { return m_jobs.size(); }
    bool has_job(const std::string& job) const { return m_jobs.contains(job); }
    // Returns true while runs of a job that has ended here may still be running.
    bool ending(const std::string& job) const { return m_former.contains(job); }
    std::size_t waiting_jobs(const std::string& route) const;
    bool quiet() const { return m_jobs.empty() && idle().size() == m_workers.size(); }

    struct totals
    {
        std::uint64_t starts = 0;
        std::uint64_t done = 0;
        std::uint64_t failed = 0;
        std::uint64_t wasted = 0;   // runs that were stopped, lapsed or broken
        std::uint64_t in_doubt = 0; // orders without an answer
        std::uint64_t lost_workers = 0;
        // Jobs refused because their learned run time is longer than their callers wait; jobs that
        // were admitted all the same to check it, and those of them that were complete in time.
        std::uint64_t refused_for_run_time = 0;
        std::uint64_t trials = 0;
        std::uint64_t trials_served = 0;
    };
    const totals& counts() const { return m_totals; }
    // Number of routes that refuse jobs because of their learned run time.
    std::size_t closed_routes() const { return m_trials.closed(); }
    // The highest learned ratio of actual to declared run time, of all routes.
    std::optional<run_times::figure> highest_run_time_ratio(microseconds now) const
    {
        return m_run_times.highest(now);
    }

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
        std::uint64_t next_run = 1; // the number of its next run
        std::string worker;
        std::vector<std::string> avoid; // workers on which a run of it failed or was cut short
    };
    struct open_job
    {
        job_request request;
        caller_ref caller;
        microseconds arrived{0};
        microseconds accepted_at{0};         // by this pool
        microseconds objective{0};           // on time if it ends by then
        microseconds deadline{0};            // the caller stops waiting
        std::vector<milliseconds> run_times; // expected of each step's tasks, at least 1 ms
        milliseconds critical_path{0};       // expected run time of its longest chain of steps
        bool on_trial = false;               // see run_time_trials
        std::vector<task_state> tasks;
        std::vector<std::uint32_t> step_left; // tasks of each step that are not done
        std::uint32_t waiting = 0;            // tasks that are not placed
        std::uint32_t left = 0;               // tasks that are not done
        std::int64_t starts = 0;         // starts sent, except those known to have had no effect
        bool awaits_former_runs = false; // runs of an earlier submission of this id have not ended
    };
    struct worker_record
    {
        held_worker worker;
        std::uint64_t first_held_version = 0; // the held_version that added it
        bool leaving = false;
        bool unregistered = false;  // not in the registry any more
        bool handed_over = false;   // to be released once it is idle
        double slowness = 1;        // moving average of actual over expected run time
        std::uint32_t failures = 0; // consecutive ones
        microseconds quarantined_until{0};
        milliseconds quarantine{0}; // length of the latest one; doubled by the next
        bool probation = false;     // runs one task at a time until one is done
        bool silence_logged = false;
        bool runs_suspected = false; // during the present silence
        // A task that runs here alone, or will once the worker is idle, since a worker crashed or
        // fell silent under it. Nothing else is placed here.
        std::optional<task_name> reserved_for{};
    };

    // Records, once a silence, a suspicion for each run on a worker that has been silent for
    // `suspicion_delay` and the delay of this process. The worker's next answer clears or confirms
    // it. On a worker that is leaving, only starts without an answer are suspected.
    void suspect_silent_runs(microseconds now, const std::string& worker, worker_record& record,
                             action_list& out);
    void log_silence(microseconds now, const std::string& worker, worker_record& record,
                     action_list& out) const;
    // Returns the learned run time of a task of this step, at least 1 ms.
    milliseconds expected_run_time(microseconds now, const job_request& job,
                                   const job_step& step) const;
    // Sets the run times of the job's steps, and its critical path and objective accordingly.
    static void set_run_times(open_job& job, std::vector<milliseconds> run_times);
    // Returns the run time of the job's longest chain of steps.
    static milliseconds critical_path_of(const job_request& job,
                                         const std::vector<milliseconds>& run_times);
    // Returns true if the job would end too late for its caller if all of its tasks that can start
    // did so now.
    bool cannot_end_in_time(const open_job& job, microseconds now) const
    {
        return now + job.critical_path > limit_of(job, m_settings.late_factor);
    }
    // Returns the job's expected run time and what it rests on, as key=value pairs.
    std::string describe_run_time(const open_job& job, microseconds now) const;
    // Returns true if all waiting tasks, those of this new job included, find free slots now.
    bool has_room_now(const open_job& job, microseconds now) const;
    // Returns the declared run time of each step's tasks, at least 1 ms.
    static std::vector<milliseconds> declared_run_times(const job_request& job);
    // Returns the job as it would run on trial, with its declared run times, if these allow it to
    // end in time and the learned ones do not.
    std::optional<open_job> trial_of(const open_job& job, microseconds now) const;
    // Returns true if there is room for the trial now, and another one of its route may begin.
    bool may_begin_trial(const open_job& trial, microseconds now) const;
    // Counts and logs that `job` runs as `trial`.
    void begin_trial(microseconds now, const open_job& job, const open_job& trial,
                     action_list& out);
    // Counts that the job is refused for its learned run time, and logs it if its route is closed
    // by that.
    void begin_closure(microseconds now, const open_job& job, const open_job& trial,
                       action_list& out);
    // Logs that a route admits again what it refused for its learned run time.
    void end_closure(microseconds now, const open_job& job, action_list& out);
    // Returns true if a task may be placed on the worker now, capacity aside. `begun`: an earlier
    // task of its job has started.
    bool accepts(const worker_record& record, microseconds now, bool begun = false) const;
    // Returns the best worker for the task, or null if none can run it now. Considers only workers
    // that were held in version `visible_version` already.
    worker_record* choose_worker(const open_job& job, const task_state& task,
                                 std::uint64_t visible_version, microseconds now);
    // Reserves a busy worker for a task that has to run alone, unless it has one or too many are
    // reserved.
    void reserve_worker(const open_job& job, const task_name& name, std::uint64_t visible_version,
                        microseconds now);
    // Ends the reservations of tasks that neither wait nor run here.
    void release_reservations(microseconds now);
    // Returns true if every step fits on some held worker of the service when that is idle, and a
    // job that has not begun may start there.
    bool fits_somewhere(const job_request& job, microseconds now) const;
    // Returns true if the workers that the step could run on are held, but all of them are in
    // evacuated data centres.
    bool evacuated_step(const job_request& job, const job_step& step, bool begun,
                        microseconds now) const;
    // Declines the jobs that have not begun and could do so only in evacuated data centres. Ends
    // those that have begun as lost, once their other tasks may not start there any more.
    void end_evacuated_jobs(microseconds now, action_list& out);
    void place(microseconds now, action_list& out);
    // Updates m_largest_free_cpu. A round of placement looks at up to 64 waiting jobs, and in an
    // overload none of them fits on any worker.
    void update_largest_free(microseconds now);
    bool place_tasks(microseconds now, open_job& job, action_list& out);
    // Returns true if all steps that the task's step depends on are done.
    bool eligible(const open_job& job, const task_state& task) const;
    // Returns the jobs with waiting tasks, the first to be placed first.
    std::vector<open_job*> placement_order(microseconds now);
    void handle_events(microseconds now, const worker_events& events, action_list& out);
    void on_event(microseconds now, const worker_event& event, action_list& out);
    // Records that the worker crashed or fell silent under the run, unless it was leaving.
    void record_crash(microseconds now, const worker_event& event, action_list& out);
    // Returns the answer to a job of which a task is not started again, since workers crashed or
    // fell silent under it; nothing if every task may start.
    static std::optional<call_answer> answer_to(crash_verdict verdict);
    // Ends the jobs that wait for such a task.
    void end_crashing_jobs(microseconds now, action_list& out);
    void on_ended(microseconds now, const worker_event& event, action_list& out);
    void on_lost(microseconds now, const worker_event& event, action_list& out);
    // Counts a failed attempt. `record` is the worker that failed, or null if none is to blame.
    void task_failed(microseconds now, worker_record* record, open_job& job, task_state& task,
                     action_list& out);
    // Updates the worker's slowness and the route's run times from a run that took `ran`.
    void learn(microseconds now, worker_record& record, const open_job& job, const task_state& task,
               microseconds ran);
    void expire_jobs(microseconds now, action_list& out);
    void stop_stuck_runs(microseconds now, action_list& out);
    void finish(microseconds now, open_job& job, call_answer answer, bool declined,
                action_list& out);
    // Stops the runs of a job that ends, and keeps them in m_former until they are over.
    void stop_runs(microseconds now, const open_job& job, action_list& out);
    void remove_worker(const std::string& worker);
    // Removes an ended run from m_former. Returns false if it is not in there.
    bool end_former(const run_ref& run);
    // Returns the open job of the task and sets `state` to the task; null if there is none.
    open_job* find(const task_name& task, task_state*& state);
    // Returns the size of a slot in thousandths of a core: the demand of the last placed task, or
    // the mean demand of the tasks that ask for room if that is smaller. These are the tasks of
    // `asking`, or without such a job those that wait. A larger slot would refuse them for ever, as
    // none of them would be placed. Returns 0 if nothing was placed and nothing waits.
    std::int64_t slot_cpu(const job_request* asking) const;
    // Returns the slots of the workers that accept tasks, and when each is expected to become free.
    slot_schedule worker_slots(microseconds now, std::int64_t slot_cpu) const;
    // Returns the time by which the job should have ended: `factor` times its objective after its
    // arrival, but no later than its deadline.
    static microseconds limit_of(const open_job& job, double factor);
    // Returns true if the job would miss its objective if its first task started now.
    static bool is_late(const open_job& job, microseconds now)
    {
        return job.objective - job.critical_path < now;
    }
    static scheduling_key scheduling_key_of(const open_job& job, microseconds now);
    pending_job pending_job_of(const open_job& job, microseconds now, std::int64_t slot_cpu) const;
    std::vector<pending_job> pending_jobs_with(const open_job& new_job, microseconds now,
                                               std::int64_t slot_cpu) const;
    // Returns the refusal if the job is not admitted, else nothing.
    std::optional<call_answer> evaluate_admission(microseconds now, const open_job& job) const;
    // Makes a refusal whose Retry-After is the expected wait.
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
        microseconds sent_at{0};
        microseconds reachable_since{
            -1}; // time of the first answer after the latest unanswered probe
        microseconds answered_at{-1};
    };
    std::function<std::uint64_t(const caller_ref&)> m_visible_version;
    std::map<std::string, probe_state> m_probes;
    std::vector<std::string> m_losses;
    start_changes m_start_changes;
    std::map<std::string, open_job> m_jobs;
    std::map<caller_ref, std::string> m_by_caller;
    // Runs of ended jobs that may still be running, by job: a new submission of the id waits for
    // them. The value is the time at which the run's lease has certainly expired if another host
    // has acquired the worker, else the maximum.
    std::map<std::string, std::map<run_ref, microseconds>> m_former;
    run_times m_run_times;
    run_time_trials m_trials;
    crash_record m_crashes;
    evacuations m_evacuations;
    resources m_usual_demand;            // of the most recently placed task
    std::int64_t m_largest_free_cpu = 0; // on one worker that accepts tasks, in place()
    std::vector<pool_result> m_results;
    microseconds m_late_jobs_served_at{0}; // when last no late job was left waiting for capacity
    microseconds m_next_check{0};
    microseconds m_lossy_until{0};
    milliseconds m_processing_delay{0};
    totals m_totals;
};

} // namespace egretledge::pool

#endif
