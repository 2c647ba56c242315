#ifndef EGRETLEDGE_HARNESS_HISTORY_HPP
#define EGRETLEDGE_HARNESS_HISTORY_HPP

// Records what callers and workers saw in a concurrent run, and checks it against the promises:
//   - no task of a submission that may not be repeated starts twice; a repeatable one never starts
//     while an earlier run may still be going on, nor after one was done;
//   - "not run" is true for ever: the key has no start, before or after the answer;
//   - "complete" carries every task's own result, in order, and each task has started;
//   - "failed" carries no result, and a task that it reports as not started never starts;
//   - all final answers to one key agree;
//   - every call whose host lives is answered by its deadline plus a grace.

#include "core/messages.hpp"
#include <map>
#include <string>
#include <vector>

namespace egretledge::harness
{

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
    microseconds due{0};
    bool answered = false;
    bool host_died = false;
    microseconds answered_at{0};
    wire::Answer answer;
};

struct recorded_start
{
    std::string worker;
    job_id job;
    std::uint32_t task = 0;
    microseconds at{0};
    microseconds ended{-1};
};

class history
{
public:
    recorded_call& add(recorded_call call);
    recorded_call* find(std::uint64_t number);
    void on_answer(std::uint64_t number, microseconds at, wire::Answer answer);
    void on_host_terminated(const std::string& host, std::uint64_t incarnation);
    // A paused process reads and answers nothing: its open calls are due that much later.
    void on_host_resumed(const std::string& host, microseconds paused_at, microseconds now);
    // All calls for a key and its starts, one a line.
    std::string describe(const std::string& key) const;
    void add_start(recorded_start start) { m_starts.push_back(std::move(start)); }
    void clear_starts() { m_starts.clear(); }

    const std::map<std::uint64_t, recorded_call>& calls() const { return m_calls; }
    const std::vector<recorded_start>& starts() const { return m_starts; }
    // The number of starts of one key's tasks.
    std::size_t starts_of(const std::string& team, const std::string& key) const;

    // `repeatable` names the services that may be repeated. Returns the first violation in words,
    // or an empty text.
    std::string check(microseconds now, const std::vector<std::string>& repeatable) const;

private:
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
