#ifndef EGRETLEDGE_CORE_JOB_OWNER_HPP
#define EGRETLEDGE_CORE_JOB_OWNER_HPP

// Runs the jobs whose keys belong to shards that this host owns. Each job runs once and has one
// final answer. The rules are at the top of job_owner.cpp.

#include "core/dispatcher.hpp"
#include "core/job_memory.hpp"
#include "core/ownership.hpp"
#include "core/recovery.hpp"
#include "core/run_time_trials.hpp"
#include <queue>

namespace egretledge
{

struct job_owner_settings
{
    std::string data_centre;
    // How long a key is valid, counted from the time inside it.
    milliseconds key_window{std::chrono::minutes{10}};
    // Maximum clock skew: how far the time inside a key may be ahead of this host's clock.
    milliseconds max_key_ahead{2000};
    std::uint32_t max_tasks = 2000; // per job
    // Maximum total size of the remembered answers, see job_memory.
    std::uint64_t answer_bytes = 64ULL << 20;
};

// Result of on_call().
enum class call_status : std::uint8_t
{
    answered, // `answer` holds the answer
    joined,   // the answer follows through take_answers()
    wait,     // the shard's history or a refusal bound is pending; the router retries shortly
    moved     // this host may not serve the key's shard now
};

// The answer to all calls that have joined one job.
struct job_answer
{
    std::vector<std::uint64_t> calls;
    wire::Answer answer;
};

// A call that is returned to the router, with its job's body, because this host lost the shard.
struct returned_call
{
    std::uint64_t call = 0;
    wire::Job job;
};

class job_owner : public start_gate
{
public:
    job_owner(job_owner_settings settings, ownership& owners, node_counters& counters,
              dispatcher_settings dispatch, std::uint64_t seed);

    void configure(configuration_ptr config);
    dispatcher& dispatch() { return m_dispatcher; }
    const dispatcher& dispatch() const { return m_dispatcher; }

    // Handles a call for a key that this host owns. `call` is the router's number for it. Sets
    // `answer` if the result is call_status::answered.
    call_status on_call(instant now, std::uint64_t call, const wire::Call& request,
                        const job_key& key, wire::Answer& answer, action_list& out);
    // Removes the call from its job's callers. The job goes on.
    void remove_caller(std::uint64_t call, const job_id& id);

    void on_tick(instant now, action_list& out);
    // Returns false if `request` is not pending here.
    bool on_worker_answer(instant now, std::uint64_t request, worker_answer& answer,
                          action_list& out);

    void on_shard_gained(instant now, const gained_shard& gained);
    void on_shard_lost(std::uint32_t shard);

    // Return the answers and returned calls since the previous call, and clear them.
    std::vector<job_answer> take_answers() { return std::exchange(m_answers, {}); }
    std::vector<returned_call> take_returned() { return std::exchange(m_returned, {}); }

    // Returns the remembered answers of one shard and its refusal bounds, for its next owner.
    wire::HandoverState export_memory(std::uint32_t shard) const;
    // Adds what a former owner has exported.
    void import_memory(const wire::HandoverState& state);

    bool permit(std::uint32_t shard, instant now, start_permit& granted) const override;

    std::size_t open_jobs() const { return m_jobs.size(); }
    const job_memory& memory() const { return m_memory; }
    const recovery& history() const { return m_recovery; }

private:
    using job_map = boost::unordered_flat_map<job_id, std::unique_ptr<open_job>, job_id_hash>;

    call_status on_submit(instant now, std::uint64_t call, const wire::Call& request,
                          const job_key& key, const job_id& id, wire::Answer& answer,
                          action_list& out);
    // Handles a call for a job that is still open.
    call_status on_open_job(open_job& job, std::uint64_t call, const wire::Call& request,
                            instant now, wire::Answer& answer, action_list& out);
    // Handles a call for a key that was made before this host took the shard over.
    call_status on_key_before_takeover(instant now, std::uint64_t call, const wire::Call& request,
                                       const job_key& key, const job_id& id, history_status state,
                                       wire::Answer& answer, action_list& out);
    // Handles a call for a key of which a former owner started tasks, or which it closed.
    call_status on_recovered(instant now, std::uint64_t call, const wire::Call& request,
                             const job_key& key, const job_id& id, const recovered_job& record,
                             wire::Answer& answer, action_list& out);
    // Opens a job in the state that the workers' records show.
    open_job& reopen(instant now, std::uint64_t call, const wire::Call& request, const job_key& key,
                     const job_id& id, const recovered_job& record);
    // Sets `answer` and returns true if no worker fits the job, or if the expected wait exceeds
    // the admission limit or leaves too little time before the deadline. Sets `on_trial` if the job
    // is not refused although its learned run time leaves too little time.
    bool refuse_if_infeasible(instant now, const wire::Call& request, bool& on_trial,
                              wire::Answer& answer);
    // Begins a trial of the service's run time if one may begin and no task waits for a slot.
    bool begin_trial(instant now, const service_object& service);
    open_job& open(instant now, std::uint64_t call, const wire::Call& request, const job_key& key,
                   const job_id& id);
    // Copies the body into the job. The known state of its tasks stays.
    static void set_body(open_job& job, const wire::Job& body);
    // Returns whether a key made at `made` may be answered "not run" now. Also announces a refusal
    // bound to the grantor: after a false result, a later attempt succeeds once the grantor has
    // acknowledged a bound at or above `made`.
    bool request_refusal(instant now, std::uint32_t shard, milliseconds made);
    // While refusals are likely, keeps the refusal bounds ahead of the clock so that a refusal need
    // not wait for the grantor.
    void extend_refusal_bounds(instant now);
    void record_refusal(const job_id& id, std::uint64_t digest, milliseconds made,
                        const wire::Answer& answer);
    // Remembers the job's final answer, sends it to the callers and erases the job.
    void finish(instant now, open_job& job, answer_kind kind, std::string detail);
    void cancel(instant now, open_job& job, action_list& out);
    // Ends the job as failed. It is answered once a worker has recorded that it is closed.
    void begin_close(instant now, open_job& job, answer_kind kind, std::string detail,
                     action_list& out);
    // Sends the closing to the workers again, and answers the callers once the deadline has passed.
    void retry_close(instant now, open_job& job, action_list& out);
    // Processes a job that is due. Returns the time at which it is due again, or zero if it has
    // ended or is already scheduled.
    microseconds process_due_job(instant now, open_job& job, action_list& out);
    microseconds end_at_deadline(instant now, open_job& job, action_list& out);
    // Sends `answer` to all callers of the job and removes them from it.
    void answer_callers(open_job& job, wire::Answer answer);
    void process_due_jobs(instant now, action_list& out);
    void on_task(instant now, task_event& event, action_list& out);
    void end_task(instant now, open_job& job, std::uint32_t index, run_state state,
                  std::string output, const std::string& worker, action_list& out);
    // Begins to close a job of which a task has failed or was lost for good, and returns whether it
    // did. Does nothing without the lease; process_due_jobs() then retries.
    bool close_if_task_failed(instant now, open_job& job, action_list& out);
    // Ends tasks that a former owner started, as the workers' records show them.
    void adopt_history(instant now, std::uint32_t shard, action_list& out);
    void request_history(instant now, action_list& out);
    bool may_retry(const open_job& job, const open_task& task) const;
    const service_object* service_of(const std::string& name) const;
    static wire::Answer answer_for(const open_job& job, answer_kind kind, std::string detail);

    job_owner_settings m_settings;
    ownership& m_owners;
    node_counters& m_counters;
    configuration_ptr m_config;
    run_time_trials m_trials;
    dispatcher m_dispatcher;
    recovery m_recovery;
    job_memory m_memory;
    job_map m_jobs;

    struct due_job
    {
        microseconds at{0};
        job_id id;
        bool operator>(const due_job& other) const { return at > other.at; }
    };
    // May hold several entries for one job, and entries for jobs that have ended.
    std::priority_queue<due_job, std::vector<due_job>, std::greater<>> m_due_jobs;

    struct pending_history_request
    {
        std::string worker;
        history_request request;
    };
    boost::unordered_flat_map<std::uint64_t, pending_history_request> m_pending_history_requests;
    // Shard of each job with tasks that run for a former owner.
    std::map<job_id, std::uint32_t> m_resumed;
    // By shard: answers_unknown_before and refusals_until of the latest handover message.
    std::map<std::uint32_t, milliseconds> m_handed_over_unknown_before;
    std::map<std::uint32_t, milliseconds> m_handed_over_refusals_until;
    std::vector<job_answer> m_answers;
    std::vector<returned_call> m_returned;
    microseconds m_next_sweep{0};
    microseconds m_last_refusal{-1}; // when a refusal was last requested; negative if never
};

} // namespace egretledge

#endif
