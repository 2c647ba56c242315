#ifndef EGRETLEDGE_POOL_POOL_TYPES_HPP
#define EGRETLEDGE_POOL_POOL_TYPES_HPP

// Common types of worker pools: jobs that demand resources, workers that check a fencing token and
// a lease, and the inputs and outputs (actions) of the decision logic. See docs/design/platform.md.

#include "egretledge/types.hpp"
#include "proto/egretledge.pb.h"
#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace egretledge::pool
{

// A worker's capacity, or a part of it.
struct resources
{
    std::int64_t cpu = 0; // thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool fits(const resources& free) const
    {
        return cpu <= free.cpu && memory_mb <= free.memory_mb && accelerators <= free.accelerators;
    }
    resources& operator+=(const resources& other)
    {
        cpu += other.cpu;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other)
    {
        cpu -= other.cpu;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
    bool operator==(const resources&) const = default;
};

inline resources operator-(resources a, const resources& b)
{
    return a -= b;
}

// A worker's entry in the registry, as written by the worker itself.
struct worker_entry
{
    std::string id;
    std::string service;
    std::string address; // IP:PORT
    std::string data_centre;
    resources capacity;
    std::vector<std::string> labels; // the worker's kind and rack
    bool leaving = false;
    std::uint64_t start_time_ms = 0; // Unix time of the process start; 0 if unknown
    std::uint64_t report = 0;        // number of the entry, rising within one process
    bool operator==(const worker_entry&) const = default;
};
using worker_registry = std::map<std::string, worker_entry>; // by worker id

// A step of a job: `count` tasks of equal size. A step starts when all tasks of the steps in
// `after` have ended with run_end::done.
struct job_step
{
    std::uint32_t count = 1;
    resources demand;                 // of each task
    milliseconds estimate{0};         // run time of each task
    std::vector<std::uint32_t> after; // indices of steps
    std::string required_label;
    std::string preferred_rack;
    std::uint32_t max_per_worker = 0; // tasks of this step on one worker; 0: no limit
};

// Service terms of a job, taken from the route of the request.
struct job_terms
{
    std::string route;
    std::string service;
    std::uint32_t priority = 0;     // 0 is the highest
    std::uint32_t max_attempts = 1; // of each task
    // A job is on time if it completes within stretch * (duration of its longest chain of tasks)
    // + slack.
    double stretch = 1;
    milliseconds slack{0};
    // Time that the caller waits for the answer, from its submission.
    milliseconds wait{0};
};

// Returns the time from submission within which a job is on time. `critical_path` is the duration
// of its longest chain of tasks.
inline microseconds time_allowed(const job_terms& terms, milliseconds critical_path)
{
    return std::chrono::duration_cast<microseconds>(critical_path * terms.stretch) +
           microseconds{terms.slack};
}

struct job_request
{
    std::string id; // chosen by the caller
    std::string payload;
    std::vector<job_step> steps;
    job_terms terms;
};

// Identifies one task of a job. Ordered by all members.
struct task_name
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    auto operator<=>(const task_name&) const = default;
};

// Identifies one run (one start) of a task. `number` increases with every start of the same task.
struct run_ref
{
    task_name task;
    std::uint64_t number = 0;
    auto operator<=>(const run_ref&) const = default;
};

// Result of an order to a worker, including failures to get an answer.
enum class order_result : std::uint8_t
{
    accepted,
    stale_fence,    // the worker has seen a higher fencing token
    stale_run,      // this run or a later run of the task has ended or was stopped on the worker
    too_late,       // the order's lease has expired on the worker's clock
    no_room,        // the worker enforces its capacity and has too little left
    other_lifetime, // the incarnation that the order was meant for has terminated
    unhealthy,      // the order was not carried out
    malformed,      // the order was not carried out
    unreachable,    // no byte was sent
    no_answer       // the order may have been carried out, or may still be carried out later
};
BOOST_DESCRIBE_ENUM(order_result, accepted, stale_fence, stale_run, too_late, no_room,
                    other_lifetime, unhealthy, malformed, unreachable, no_answer)
std::string_view name_of(order_result value);

enum class run_end : std::uint8_t
{
    done,
    failed,  // because of the task or the worker
    stopped, // by a stop order
    lapsed,  // the lease expired
    broken,  // ended because another run ended, or timed out while waiting for other runs
    crashed  // the worker's incarnation ended while the run was on it; no worker lists this end
};
BOOST_DESCRIBE_ENUM(run_end, done, failed, stopped, lapsed, broken, crashed)
std::string_view name_of(run_end value);

// A run in a worker's list of running runs.
struct running_entry
{
    run_ref run;
    std::uint32_t percent = 0; // progress
};

// A run in a worker's list of ended runs.
struct ended_entry
{
    std::uint64_t number = 0; // increases within one incarnation of the worker
    run_ref run;
    run_end end = run_end::done;
};

// A worker's answer to an order. `running` and `ended` are set in answers to holds only.
struct worker_reply
{
    order_result result = order_result::no_answer;
    std::int64_t clock_ms = 0;       // the worker's own clock; 0 if not given
    std::uint64_t start_time_ms = 0; // Unix time of the process start; 0 if not given
    std::vector<running_entry> running;
    std::vector<ended_entry> ended;
    bool more_ended = false; // `ended` was truncated
};

// The answer to a call.
struct call_answer
{
    answer_kind kind = answer_kind::ok;
    milliseconds retry_after{0}; // delay advised to the caller; 0: none
    std::string detail;
};

// What a caller's GET or DELETE of a job has found.
enum class job_query_result : std::uint8_t
{
    found,  // the job is open at some host; for a cancel: some host has cancelled it
    gone,   // no host has the job
    unknown // some host may have it
};
BOOST_DESCRIBE_ENUM(job_query_result, found, gone, unknown)
std::string_view name_of(job_query_result value);

namespace actions
{

struct answer_call
{
    std::uint64_t call = 0;
    call_answer answer;
};

// Answers a caller's query for a job that this host does not serve.
struct answer_query
{
    std::uint64_t call = 0;
    job_query_result result = job_query_result::unknown;
    milliseconds retry_after{0}; // delay advised to the caller; 0: none
};

struct send_peer
{
    std::string host;
    wire::PeerMessage message;
};

// Sets the address at which the transport reaches a host; an empty address removes the host.
struct set_peer_address
{
    std::string host;
    std::string address;
};

// The three orders to a worker: hold_worker, start_run and stop_run. `lease_until_ms` is a time on
// the worker's clock; 0: no lease. Every order gets exactly one answer (see order_result), after
// `timeout` at the latest.

// Makes this host the worker's holder, extends the lease of its runs and requests its lists.
struct hold_worker
{
    std::uint64_t request = 0;
    std::string worker;
    std::string address;
    std::uint64_t fence = 0;
    std::int64_t lease_until_ms = 0;
    std::uint64_t ends_seen = 0; // acknowledged: ended runs up to this number may be dropped
    // Long poll: the worker may delay its answer until a run ends, by at most this time.
    milliseconds wait{0};
    milliseconds timeout{0};
};

// Starts a run.
struct start_run
{
    std::uint64_t request = 0;
    std::string worker;
    std::string address;
    std::uint64_t fence = 0;
    std::int64_t lease_until_ms = 0;
    run_ref run;
    std::string payload;
    milliseconds timeout{0};
};

// Stops a run.
struct stop_run
{
    std::uint64_t request = 0;
    std::string worker;
    std::string address;
    std::uint64_t fence = 0;
    run_ref run;
    milliseconds timeout{0};
};

struct log_event
{
    bool warning = false;
    std::string text; // event=NAME and key=value pairs
};

} // namespace actions

using action = std::variant<actions::answer_call, actions::answer_query, actions::send_peer,
                            actions::set_peer_address, actions::hold_worker, actions::start_run,
                            actions::stop_run, actions::log_event>;
using action_list = std::vector<action>;

} // namespace egretledge::pool

#endif
