#ifndef EGRETLEDGE_CORE_JOB_OWNER_HPP
#define EGRETLEDGE_CORE_JOB_OWNER_HPP

// Runs the jobs whose keys this host owns: each once, each with one final answer. The rules stand
// at the top of job_owner.cpp.

#include "core/dispatcher.hpp"
#include "core/job_memory.hpp"
#include "core/ownership.hpp"
#include "core/recovery.hpp"
#include <queue>

namespace egretledge
{

struct job_owner_settings
{
    std::string data_centre;
    // How long a key may be used after it was made.
    milliseconds key_window{std::chrono::minutes{10}};
    // How far a caller's clock may be ahead.
    milliseconds key_most_ahead{2000};
    std::uint32_t most_tasks = 2000;
    std::uint64_t answer_bytes = 64ULL << 20;
};

// What became of a call that was handed to the owner.
enum class call_fate : std::uint8_t
{
    answered, // `answer` holds the answer
    joined,   // the job's answer will follow
    wait,     // the history is being collected; try again shortly
    moved     // this host may not decide for the key now
};

// An answer to calls that had joined a job.
struct job_answer
{
    std::vector<std::uint64_t> calls;
    wire::Answer answer;
};

// A call given back because the shard went to another host.
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

    // Handles a call for a key that this host owns. `call` is the router's number for it.
    call_fate on_call(instant now, std::uint64_t call, const wire::Call& text, const job_key& key,
                      wire::Answer& answer, action_list& out);
    void forget_call(std::uint64_t call, const job_id& id);

    void on_tick(instant now, action_list& out);
    // Returns false if the request was not one of this owner's.
    bool on_worker_answer(instant now, std::uint64_t request, worker_answer& answer,
                          action_list& out);

    void on_gained(instant now, const gained_shard& gained);
    void on_lost(std::uint32_t shard);

    // Answers and returned calls since the last take.
    std::vector<job_answer> take_answers() { return std::exchange(m_answers, {}); }
    std::vector<returned_call> take_returned() { return std::exchange(m_returned, {}); }

    // The memory of one shard, for its next owner.
    wire::HandoverState memory_of(std::uint32_t shard) const;
    void remember(const wire::HandoverState& state);

    bool permit(std::uint32_t shard, instant now, start_permit& granted) const override;

    std::size_t open_jobs() const { return m_jobs.size(); }
    const job_memory& memory() const { return m_memory; }
    const recovery& history() const { return m_recovery; }

private:
    using job_map = boost::unordered_flat_map<job_id, std::unique_ptr<open_job>, job_id_hash>;

    call_fate on_submit(instant now, std::uint64_t call, const wire::Call& text, const job_key& key,
                        const job_id& id, wire::Answer& answer, action_list& out);
    call_fate on_known(open_job& job, std::uint64_t call, const wire::Call& text, instant now,
                       wire::Answer& answer, action_list& out);
    call_fate on_past(instant now, std::uint64_t call, const wire::Call& text, const job_key& key,
                      const job_id& id, past state, wire::Answer& answer, action_list& out);
    call_fate on_recovered(instant now, std::uint64_t call, const wire::Call& text,
                           const job_key& key, const job_id& id, const recovered_job& record,
                           wire::Answer& answer, action_list& out);
    open_job& reopen(instant now, std::uint64_t call, const wire::Call& text, const job_key& key,
                     const job_id& id, const recovered_job& record);
    bool refuse_early(const wire::Call& text, wire::Answer& answer) const;
    open_job& open(instant now, std::uint64_t call, const wire::Call& text, const job_key& key,
                   const job_id& id);
    static void take_body(open_job& job, const wire::Job& body);
    // Whether "not run" may be said now of a key of this shard; asks for it if not.
    bool may_refuse(instant now, std::uint32_t shard, milliseconds made);
    void keep_refusals_announced(instant now);
    void refuse(const job_id& id, std::uint64_t digest, milliseconds made,
                const wire::Answer& answer);
    void finish(instant now, open_job& job, answer_kind kind, std::string detail);
    void cancel(instant now, open_job& job, action_list& out);
    // Ends the job as failed: first a worker records it, then it is answered.
    void begin_close(instant now, open_job& job, answer_kind kind, std::string detail,
                     action_list& out);
    void keep_closing(instant now, open_job& job, action_list& out);
    // Looks at a job whose time has come. Returns when to look again; zero if it ended.
    microseconds review(instant now, open_job& job, action_list& out);
    microseconds end_at_deadline(instant now, open_job& job, action_list& out);
    void tell_callers(open_job& job, wire::Answer answer);
    void expire_jobs(instant now, action_list& out);
    void on_task(instant now, task_event& event, action_list& out);
    void end_task(instant now, open_job& job, std::uint32_t index, run_state state,
                  std::string output, const std::string& worker, action_list& out);
    bool fail_if_due(instant now, open_job& job, action_list& out);
    void adopt_history(instant now, std::uint32_t shard, action_list& out);
    void ask_history(instant now, action_list& out);
    bool may_retry(const open_job& job, const open_task& task) const;
    const service_object* service_of(const std::string& name) const;
    static wire::Answer answer_for(const open_job& job, answer_kind kind, std::string detail);

    job_owner_settings m_settings;
    ownership& m_owners;
    node_counters& m_counters;
    configuration_ptr m_config;
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
    std::priority_queue<due_job, std::vector<due_job>, std::greater<>> m_deadlines;

    struct history_question
    {
        std::string worker;
        history_request text;
    };
    boost::unordered_flat_map<std::uint64_t, history_question> m_history_questions;
    std::map<job_id, std::uint32_t> m_resumed; // jobs with tasks that run for a former owner
    // From a handover, by shard: what its answers_unknown_before and refusals_until said.
    std::map<std::uint32_t, milliseconds> m_handed_unknown;
    std::map<std::uint32_t, milliseconds> m_handed_refusals;
    std::vector<job_answer> m_answers;
    std::vector<returned_call> m_returned;
    microseconds m_next_sweep{0};
    microseconds m_refused{-1}; // when a refusal was last given or wanted
};

} // namespace egretledge

#endif
