#ifndef EGRETLEDGE_HARNESS_HISTORY_HPP
#define EGRETLEDGE_HARNESS_HISTORY_HPP

// Records the calls and the task starts of a concurrent run, and checks these guarantees:
//   - No task of a non-repeatable service starts twice. A task of a repeatable service never starts
//     while an earlier run of it may still be in progress, nor after one has completed.
//   - "not run" is permanent: no task of the key starts, before or after the answer.
//   - "complete" carries the result of every task, in order, and every task has started.
//   - "failed" carries no result, and a task that it reports as not started never starts.
//   - All final answers for one key have the same outcome.
//   - Every call is answered by its deadline plus a grace period, unless its host terminated.

#include "core/messages.hpp"
#include <map>
#include <string>
#include <vector>

namespace egretledge::harness
{

// A caller's request to a host, and its answer if there was one.
struct recorded_call
{
    std::uint64_t number = 0;
    std::string host;
    std::uint64_t incarnation = 0;
    std::string team;
    std::string key;
    wire::CallKind kind = wire::SUBMIT;
    wire::Job job;
    microseconds at{0};
    microseconds due{0}; // the deadline; extended by pauses of the host
    bool answered = false;
    bool host_died = false; // before it answered
    microseconds answered_at{0};
    wire::Answer answer;
};

// A run of a task at a worker.
struct recorded_start
{
    std::string worker;
    job_id job;
    std::uint32_t task = 0;
    microseconds at{0};
    microseconds ended{-1}; // negative while it runs
};

class history
{
public:
    recorded_call& add(recorded_call call);
    // Null if there is no such call.
    recorded_call* find(std::uint64_t number);
    void on_answer(std::uint64_t number, microseconds at, wire::Answer answer);
    // Marks the open calls of a host process that has terminated.
    void on_host_terminated(const std::string& host, std::uint64_t incarnation);
    // Extends the deadlines of the host's open calls by the time that it was paused, since a paused
    // process reads and answers nothing.
    void on_host_resumed(const std::string& host, microseconds paused_at, microseconds now);
    // Returns all calls for a key and the starts of its tasks, one per line. The starts are those
    // of team-a.
    std::string describe(const std::string& key) const;
    void add_start(recorded_start start) { m_starts.push_back(std::move(start)); }
    void clear_starts() { m_starts.clear(); }

    const std::map<std::uint64_t, recorded_call>& calls() const { return m_calls; }
    const std::vector<recorded_start>& starts() const { return m_starts; }
    // Returns the number of starts of a key's tasks.
    std::size_t starts_of(const std::string& team, const std::string& key) const;

    // Returns a description of the first violation, or an empty string. `repeatable` names the
    // services whose tasks may be repeated.
    std::string check(microseconds now, const std::vector<std::string>& repeatable) const;

private:
    // The calls and starts of one job.
    struct job_view
    {
        std::string key;
        std::string service;
        const recorded_call* submit = nullptr;
        std::vector<const recorded_call*> final_answers;
        std::map<std::uint32_t, std::vector<const recorded_start*>> starts;
    };
    std::string check_job(const job_view& job, bool repeatable) const;
    static std::string check_starts(const job_view& job, bool repeatable);
    static std::string check_answer(const job_view& job, const recorded_call& call);
    std::string check_deadlines(microseconds now) const;

    std::map<std::uint64_t, recorded_call> m_calls;
    std::vector<recorded_start> m_starts;
};

} // namespace egretledge::harness

#endif
