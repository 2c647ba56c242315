#ifndef EGRETLEDGE_POOL_POOL_TYPES_HPP
#define EGRETLEDGE_POOL_POOL_TYPES_HPP

// The vocabulary of pools: jobs that need room on workers, workers that check a fencing token and a
// lease, and what goes into and comes out of the decision logic. See docs/design/platform.md.

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

// An amount of a worker's capacity.
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

// A worker as it registered itself.
struct worker_entry
{
    std::string id;
    std::string service;
    std::string address; // IP:PORT
    std::string data_centre;
    resources capacity;
    std::vector<std::string> labels; // its kind and its rack
    bool leaving = false;
    std::uint64_t start_time_ms = 0; // Unix time of its start; 0 if not known
    bool operator==(const worker_entry&) const = default;
};
using worker_registry = std::map<std::string, worker_entry>;

// A step: `count` tasks of the same size. A step starts when all tasks of the steps in `after` have
// ended done.
struct job_step
{
    std::uint32_t count = 1;
    resources demand;
    milliseconds estimate{0};
    std::vector<std::uint32_t> after;
    std::string required_label;
    std::string preferred_rack;
    std::uint32_t max_per_worker = 0; // 0: no limit
};

// The terms under which a job is served, from the route that its caller used.
struct job_terms
{
    std::string route;
    std::string service;
    std::uint32_t priority = 0; // 0 comes first
    std::uint32_t max_attempts = 1;
    // In time means: within stretch x the longest chain of tasks, plus slack.
    double stretch = 1;
    milliseconds slack{0};
    // How long the caller waits, counted from its submission.
    milliseconds wait{0};
};

// How long after its submission a job whose longest chain takes this long is in time.
inline microseconds time_allowed(const job_terms& terms, milliseconds longest)
{
    return std::chrono::duration_cast<microseconds>(longest * terms.stretch) +
           microseconds{terms.slack};
}

struct job_request
{
    std::string id; // chosen by the caller
    std::string payload;
    std::vector<job_step> steps;
    job_terms terms;
};

// Names one task of a job. It orders and hashes by all parts.
struct task_name
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    auto operator<=>(const task_name&) const = default;
};

// One start of a task. Numbers rise with each start of the same task.
struct run_ref
{
    task_name task;
    std::uint64_t number = 0;
    auto operator<=>(const run_ref&) const = default;
};

// How a worker answered an order, or that it did not.
enum class order_result : std::uint8_t
{
    accepted,
    stale_fence,    // a higher fencing token was seen there
    stale_run,      // this run or a later one has ended or was stopped there
    too_late,       // the order's lease has ended on the worker's clock
    no_room,        // the worker guards its capacity and is full
    other_lifetime, // the worker that was meant is gone
    unhealthy,      // the worker did nothing
    malformed,      // the worker did nothing
    unreachable,    // no byte was sent
    no_answer       // it may have been carried out, or may be later
};
BOOST_DESCRIBE_ENUM(order_result, accepted, stale_fence, stale_run, too_late, no_room,
                    other_lifetime, unhealthy, malformed, unreachable, no_answer)
std::string_view name_of(order_result value);

enum class run_end : std::uint8_t
{
    done,
    failed,  // by its own fault or the worker's
    stopped, // by an order
    lapsed,  // its lease ended
    broken   // ended together with another one, or waited in vain for others
};
BOOST_DESCRIBE_ENUM(run_end, done, failed, stopped, lapsed, broken)
std::string_view name_of(run_end value);

struct running_entry
{
    run_ref run;
    std::uint32_t percent = 0;
};

struct ended_entry
{
    std::uint64_t number = 0; // rises within one lifetime of the worker
    run_ref run;
    run_end end = run_end::done;
};

// A worker's answer. The lists are filled in for holds only.
struct worker_reply
{
    order_result result = order_result::no_answer;
    std::int64_t clock_ms = 0; // the worker's own clock; 0 if not given
    std::uint64_t start_time_ms = 0; // 0 if not given
    std::vector<running_entry> running;
    std::vector<ended_entry> ended;
    bool more_ended = false; // the list of ends was cut off
};

// What became of a call.
struct call_answer
{
    answer_kind kind = answer_kind::ok;
    milliseconds retry_after{0}; // 0: none
    std::string detail;
};

namespace actions
{

struct answer_call
{
    std::uint64_t call = 0;
    call_answer answer;
};

struct send_peer
{
    std::string host;
    wire::PeerMessage message;
};

// Tells the transport where a host listens; an empty address forgets it.
struct set_peer_address
{
    std::string host;
    std::string address;
};

// The three orders to a worker. `lease_until_ms` is a time on the worker's clock, 0 for none; every
// order is answered once, within `timeout` at the latest.
struct hold_worker
{
    std::uint64_t request = 0;
    std::string worker;
    std::string address;
    std::uint64_t fence = 0;
    std::int64_t lease_until_ms = 0;
    std::uint64_t ends_seen = 0; // ends up to this number may be forgotten
    milliseconds wait{0};
    milliseconds timeout{0};
};

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

using action =
    std::variant<actions::answer_call, actions::send_peer, actions::set_peer_address, actions::hold_worker,
                 actions::start_run, actions::stop_run, actions::log_event>;
using action_list = std::vector<action>;

} // namespace egretledge::pool

#endif
