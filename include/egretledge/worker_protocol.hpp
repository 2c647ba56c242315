#ifndef EGRETLEDGE_WORKER_PROTOCOL_HPP
#define EGRETLEDGE_WORKER_PROTOCOL_HPP

// The protocol between an entry host and a worker: JSON over HTTP/1.1, one POST per request. The
// path is given with each request.
//
// A worker keeps this state:
//   - per lease, the highest sequence seen;
//   - per shard, the highest epoch seen;
//   - for the length of the key window, a record of each task that it started.
// It refuses a start if
//   - its lease has expired,
//   - its sequence is not above the lease's highest,
//   - its epoch is below the shard's, or
//   - its start_by_us has passed on the worker's own clock.
// A refused start has not run and never will.
//
// Times ending in _us are microseconds on the worker's own clock, whose zero point the worker
// chooses. Times ending in _ms are milliseconds of Unix time. ran_us, wait_ms and size_ms, however,
// are durations.

#include "egretledge/types.hpp"
#include <variant>

namespace egretledge
{

// POST /v1/leases. Requests a new lease (lease = 0) or renews one. asked_at_us is the time of the
// request on the worker's clock as estimated by the holder, so that a renewal delivered late does
// not extend the lease; 0 in the first request.
struct lease_request
{
    host_ref holder;
    std::uint64_t lease = 0;
    std::uint32_t slots = 0;
    std::int64_t asked_at_us = 0;
};
BOOST_DESCRIBE_STRUCT(lease_request, (), (holder, lease, slots, asked_at_us))

// Grants or renews the lease until lapses_at_us. lease = 0 means that no lease is granted. `queued`
// is the number of tasks that the worker has for all hosts.
struct lease_grant
{
    std::uint64_t worker_incarnation = 0;
    std::uint64_t lease = 0;
    std::uint32_t slots = 0;
    std::int64_t now_us = 0;
    std::int64_t lapses_at_us = 0;
    std::uint32_t queued = 0;
};
BOOST_DESCRIBE_STRUCT(lease_grant, (),
                      (worker_incarnation, lease, slots, now_us, lapses_at_us, queued))

// One task to start, not later than start_by_us. deadline_ms is the job's deadline and made_ms the
// time at which its key was made.
struct start_order
{
    std::uint64_t sequence = 0;
    std::uint32_t shard = 0;
    epoch owner_epoch;
    std::int64_t start_by_us = 0;
    job_id job;
    std::uint64_t digest = 0;
    std::uint32_t task = 0;
    std::uint32_t task_count = 0;
    std::int64_t made_ms = 0;
    std::int64_t deadline_ms = 0;
    std::string service;
    std::uint32_t size_ms = 0;
    std::string payload;
};
BOOST_DESCRIBE_STRUCT(start_order, (),
                      (sequence, shard, owner_epoch, start_by_us, job, digest, task, task_count,
                       made_ms, deadline_ms, service, size_ms, payload))

// POST /v1/starts. Starts several tasks; the sequences of the orders are increasing. The holder and
// the worker incarnation are those for which the lease was granted, because a restarted worker may
// assign the same lease number again.
struct start_batch
{
    host_ref holder;
    std::uint64_t worker_incarnation = 0;
    std::uint64_t lease = 0;
    std::vector<start_order> orders;
};
BOOST_DESCRIBE_STRUCT(start_batch, (), (holder, worker_incarnation, lease, orders))

enum class start_verdict : std::uint8_t
{
    accepted,
    lease_lapsed,
    stale_epoch,
    repeated,
    too_late,
    job_closed,
    over_limit
};
BOOST_DESCRIBE_ENUM(start_verdict, accepted, lease_lapsed, stale_epoch, repeated, too_late,
                    job_closed, over_limit)

// Contains one verdict per order, in the order of the batch. `queued` is the number of tasks that
// the worker has for all hosts.
struct start_reply
{
    std::uint64_t worker_incarnation = 0;
    std::int64_t now_us = 0;
    std::uint32_t queued = 0;
    std::vector<start_verdict> verdicts;
};
BOOST_DESCRIBE_STRUCT(start_reply, (), (worker_incarnation, now_us, queued, verdicts))

// How an accepted task ended. not_started: the task was removed from the worker's queue without
// having started.
enum class task_end : std::uint8_t
{
    done,
    failed,
    stopped,
    not_started
};
BOOST_DESCRIBE_ENUM(task_end, done, failed, stopped, not_started)

// POST /v1/results. Requests the results of the holder's tasks with an index above `after`. If
// there is none, the worker waits for one for up to wait_ms (long polling). Indexes belong to one
// incarnation of the worker: in a request for another incarnation, `after` counts as 0 and the
// worker discards no results because of it.
struct result_request
{
    host_ref holder;
    std::uint64_t worker_incarnation = 0;
    std::uint64_t after = 0;
    std::uint32_t wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(result_request, (), (holder, worker_incarnation, after, wait_ms))

struct result_line
{
    std::uint64_t index = 0;
    std::uint64_t lease = 0;
    std::uint64_t sequence = 0;
    job_id job;
    std::uint32_t task = 0;
    task_end end = task_end::done;
    std::int64_t ran_us = 0;
    std::string output;
};
BOOST_DESCRIBE_STRUCT(result_line, (), (index, lease, sequence, job, task, end, ran_us, output))

struct result_reply
{
    std::uint64_t worker_incarnation = 0;
    std::int64_t now_us = 0;
    std::uint32_t queued = 0;
    std::vector<result_line> lines;
};
BOOST_DESCRIBE_STRUCT(result_reply, (), (worker_incarnation, now_us, queued, lines))

// POST /v1/history. Raises the shards' epochs and, if a holder is given, the holder's highest
// sequence to up_to (fencing). Then reports every task that was started for these shards, or for
// the holder with a sequence in [from, up_to]. From then on no start with a lower epoch, or with a
// sequence of the holder up to up_to, is accepted, and queued ones do not start. A task that the
// answer does not list has therefore not run.
struct shard_fence
{
    std::uint32_t shard = 0;
    epoch owner_epoch;
};
BOOST_DESCRIBE_STRUCT(shard_fence, (), (shard, owner_epoch))

struct history_request
{
    std::vector<shard_fence> shards;
    host_ref holder;
    std::uint64_t from = 0;
    std::uint64_t up_to = 0;
};
BOOST_DESCRIBE_STRUCT(history_request, (), (shards, holder, from, up_to))

// closed: the owner has ended the job as failed. None of its tasks start any more, and `output`
// contains the reason.
enum class record_state : std::uint8_t
{
    running,
    done,
    failed,
    stopped,
    closed
};
BOOST_DESCRIBE_ENUM(record_state, running, done, failed, stopped, closed)

struct history_record
{
    std::uint32_t shard = 0;
    std::uint64_t sequence = 0;
    job_id job;
    std::uint64_t digest = 0;
    std::uint32_t task = 0;
    std::uint32_t task_count = 0;
    std::int64_t made_ms = 0;
    std::int64_t deadline_ms = 0;
    record_state state = record_state::running;
    std::string output;
};
BOOST_DESCRIBE_STRUCT(history_record, (),
                      (shard, sequence, job, digest, task, task_count, made_ms, deadline_ms, state,
                       output))

// history_since_ms: starts before this Unix time are no longer recorded.
struct history_reply
{
    std::uint64_t worker_incarnation = 0;
    std::int64_t now_us = 0;
    std::int64_t history_since_ms = 0;
    std::vector<history_record> records;
};
BOOST_DESCRIBE_STRUCT(history_reply, (), (worker_incarnation, now_us, history_since_ms, records))

// One job to close, with the reason that history reports for it.
struct job_close
{
    job_id job;
    std::uint32_t shard = 0;
    epoch owner_epoch;
    std::uint64_t digest = 0;
    std::uint32_t task_count = 0;
    std::int64_t made_ms = 0;
    std::int64_t deadline_ms = 0;
    std::string reason;
};
BOOST_DESCRIBE_STRUCT(job_close, (),
                      (job, shard, owner_epoch, digest, task_count, made_ms, deadline_ms, reason))

// POST /v1/stops. Stops the running tasks of these jobs and records each job as closed, unless its
// owner_epoch is below the shard's.
struct stop_request
{
    host_ref holder;
    std::vector<job_close> jobs;
};
BOOST_DESCRIBE_STRUCT(stop_request, (), (holder, jobs))

enum class stop_verdict : std::uint8_t
{
    recorded,
    stale_epoch
};
BOOST_DESCRIBE_ENUM(stop_verdict, recorded, stale_epoch)

struct stop_reply
{
    std::uint64_t worker_incarnation = 0;
    std::int64_t now_us = 0;
    std::vector<stop_verdict> verdicts;
};
BOOST_DESCRIBE_STRUCT(stop_reply, (), (worker_incarnation, now_us, verdicts))

using worker_request =
    std::variant<lease_request, start_batch, result_request, history_request, stop_request>;
using worker_answer =
    std::variant<error, lease_grant, start_reply, result_reply, history_reply, stop_reply>;

} // namespace egretledge

#endif
