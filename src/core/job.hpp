#ifndef EGRETLEDGE_CORE_JOB_HPP
#define EGRETLEDGE_CORE_JOB_HPP

#include "egretledge/types.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace egretledge
{

// One task of an open job. `worker` and `sequence` identify its latest start; `worker` is no_worker
// before the first start.
struct open_task
{
    static constexpr std::uint32_t no_worker = ~0U;

    std::string payload;
    std::string output;
    std::uint64_t sequence = 0;
    std::uint32_t worker = no_worker;
    std::uint32_t size_ms = 0;
    std::uint8_t attempts = 0;
    bool adopted = false; // started by a former owner of the shard

    // Whether any start of the task is known to have run or to be running. A latest start that no
    // worker has confirmed does not count.
    bool has_run() const
    {
        const bool unconfirmed = state == run_state::start_sent;
        return (state != run_state::not_started && !unconfirmed) ||
               attempts > (unconfirmed ? 1 : 0);
    }
    run_state state = run_state::not_started;
};

// A call that waits for a job's answer: from a caller of this host if `host` is empty, otherwise
// from that peer.
struct waiting_caller
{
    std::string host;
    std::uint64_t call = 0;
    bool operator==(const waiting_caller&) const = default;
};

// A job that its owner has accepted and not yet answered with a final answer.
struct open_job
{
    job_id id;
    std::string team;
    std::string key;
    std::string service;
    std::uint32_t shard = 0;
    std::uint64_t digest = 0;
    milliseconds made{0};
    milliseconds deadline_wall{0};
    microseconds deadline{0};
    microseconds accepted{0};
    std::vector<open_task> tasks;
    std::size_t unfinished = 0;
    std::vector<waiting_caller> callers;
    // The job ends as failed with closing_kind once a worker has recorded that it is closed.
    bool closing = false;
    answer_kind closing_kind = answer_kind::ok;
    std::string closing_detail;
    bool on_trial = false;  // see run_time_trials
    bool cancelled = false; // cancelled before any task was started; ends as "not run"
    bool expired = false;   // the deadline passed while it was in doubt whether a task had started
};

} // namespace egretledge

#endif
