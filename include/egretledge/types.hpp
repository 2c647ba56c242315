#ifndef EGRETLEDGE_TYPES_HPP
#define EGRETLEDGE_TYPES_HPP

// Types that every part of egretledge uses: time, references to hosts, epochs, outcomes, kinds of
// answers and errors, and job keys.
//
// A job key has the form  DATA_CENTRE.MADE_MS.NONCE , for example
//     jaro-depot.1796351160123.7f3a9c
// DATA_CENTRE is the only data centre that may run the job. MADE_MS is when the caller made the key
// (Unix time in milliseconds). NONCE is 1 to 64 letters and digits of the caller's choice. The
// content of a key bounds what has to be remembered about it: only one data centre has to remember
// it, and a key older than the key window is refused for its age.

#include <boost/describe.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace egretledge
{

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

// A reading of both clocks. `steady` is monotonic and is used for every lease and timer. `wall` is
// Unix time and is only compared with the time inside job keys.
struct instant
{
    microseconds steady{0};
    milliseconds wall{0};
};

// Identifies one process of an entry host. A restart keeps the name and increases the incarnation,
// so a message from a higher incarnation proves that the process with the lower one has terminated.
struct host_ref
{
    std::string name;
    std::uint64_t incarnation = 0;
    auto operator<=>(const host_ref&) const = default;
    bool empty() const { return name.empty(); }
};
BOOST_DESCRIBE_STRUCT(host_ref, (), (name, incarnation))

// An ownership epoch of a shard. `term` is the log offset of the winning claim plus one. `direct`
// increases with each takeover that is made without the log while the log is unreachable. Later
// epochs compare greater. {0, 0} means that the shard has never had an owner.
struct epoch
{
    std::uint64_t term = 0;
    std::uint32_t direct = 0;
    auto operator<=>(const epoch&) const = default;
};
BOOST_DESCRIBE_STRUCT(epoch, (), (term, direct))

// The outcome of a job, as far as the answer to a call can tell.
enum class outcome : std::uint8_t
{
    complete, // every task ran once; all results follow in order
    failed,   // no results; each task's run state follows
    not_run,  // final: no task of this key has started, and none will
    unknown,  // tasks may have run; the caller may repeat the request with the same key
    rejected  // the call itself was invalid; says nothing about the key
};
BOOST_DESCRIBE_ENUM(outcome, complete, failed, not_run, unknown, rejected)

// Whether one task of a job has run.
enum class run_state : std::uint8_t
{
    not_started,
    start_sent, // a start was sent and is not confirmed yet
    running,
    done,
    task_failed,
    may_have_run
};
BOOST_DESCRIBE_ENUM(run_state, not_started, start_sent, running, done, task_failed, may_have_run)

// The machine-readable reason of an answer. Every answer has one.
enum class answer_kind : std::uint8_t
{
    ok,
    task_failed,
    deadline_passed,
    cancelled,
    worker_lost,
    cancelled_before_start,
    expired_in_queue,
    no_worker_fits,
    over_capacity,
    over_quota,
    before_takeover,
    recovering,
    owner_unreachable,
    no_owner,
    key_expired,
    bad_key,
    key_ahead_of_clock,
    key_conflict,
    unknown_service,
    unknown_team,
    bad_request,
    too_large,
    not_seen,
    still_running,
    no_configuration,
    not_authorised,
    wrong_data_centre
};
BOOST_DESCRIBE_ENUM(answer_kind, ok, task_failed, deadline_passed, cancelled, worker_lost,
                    cancelled_before_start, expired_in_queue, no_worker_fits, over_capacity,
                    over_quota, before_takeover, recovering, owner_unreachable, no_owner,
                    key_expired, bad_key, key_ahead_of_clock, key_conflict, unknown_service,
                    unknown_team, bad_request, too_large, not_seen, still_running, no_configuration,
                    not_authorised, wrong_data_centre)

// A row of the table of answer kinds: the outcome of the kind, the HTTP status of the response, and
// the remedy that tells the caller what to do.
struct answer_row
{
    answer_kind kind;
    outcome result;
    unsigned http_status;
    std::string_view remedy;
};

// Returns the row of `kind`. Every kind has exactly one row.
const answer_row& row_of(answer_kind kind);

// Return the name of an enumerator, as it appears in JSON, logs and metrics.
std::string_view name_of(outcome value);
std::string_view name_of(run_state value);
std::string_view name_of(answer_kind value);

// The kind of an error that is not part of a job's answer: in settings, files or the platform.
enum class error_kind : std::uint8_t
{
    bad_input,
    not_found,
    conflict,
    unreachable,
    timed_out,
    refused,
    internal
};
BOOST_DESCRIBE_ENUM(error_kind, bad_input, not_found, conflict, unreachable, timed_out, refused,
                    internal)
std::string_view name_of(error_kind value);

// An error. `message` describes what happened and names the remedy.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
};
BOOST_DESCRIBE_STRUCT(error, (), (kind, message))

template <class T>
using expected = tl::expected<T, error>;

// A parsed job key. `made` is Unix time; `text` is the key as the caller wrote it.
struct job_key
{
    std::string data_centre;
    milliseconds made{0};
    std::string text;
};

// Parses DATA_CENTRE.MADE_MS.NONCE. Keys are at most 160 bytes. The error names the invalid part.
expected<job_key> parse_job_key(std::string_view text);

// Identifies a job: a 128-bit hash of team and key. The same key used by two teams names two jobs.
struct job_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const job_id&) const = default;
};
BOOST_DESCRIBE_STRUCT(job_id, (), (high, low))
job_id make_job_id(std::string_view team, std::string_view key);

struct job_id_hash
{
    std::size_t operator()(const job_id& id) const { return id.low; }
};

// Returns the shard, in the data centre of its key, to which a job belongs. `shards` is at least 1.
std::uint32_t shard_of(const job_id& id, std::uint32_t shards);

} // namespace egretledge

#endif
