#ifndef EGRETLEDGE_CORE_RECOVERY_HPP
#define EGRETLEDGE_CORE_RECOVERY_HPP

// Collects from the workers, after a takeover, which tasks earlier owners of a shard started.
//
// The new owner requests the shard's history from every worker of its data centre. The request also
// fences the worker: after its reply it starts nothing under an earlier epoch. So when all workers
// have replied, the collected records are complete, and a key made before the takeover that has no
// record has never run. A worker that does not reply, or that lost its records in a restart, leaves
// a gap: then a key without a record "may have run".
//
// Memory: one record for each task started within the key window, for the shards taken over.

#include "core/messages.hpp"
#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <set>

namespace egretledge
{

struct recovered_task
{
    record_state state = record_state::running;
    std::string worker;
    std::string output;
};

struct recovered_job
{
    std::uint64_t digest = 0;
    std::uint32_t task_count = 0;
    milliseconds made{0};
    milliseconds deadline{0};
    bool closed = false;
    std::string closed_as; // name_of() the answer_kind
    std::map<std::uint32_t, recovered_task> tasks;

    bool any_in_state(record_state state) const;
    // True if all task_count tasks have a record, and all of these are done.
    bool all_done() const;
};

// What is known about a key that may have been made before a takeover.
enum class history_status : std::uint8_t
{
    not_affected,  // the key was made after the takeover, or there was no takeover
    collecting,    // at least one worker has not replied yet
    incomplete,    // a worker's records do not reach back to the time of the key
    never_started, // no earlier owner has started a task of the key
    recorded       // find() returns the job
};

class recovery
{
public:
    // `max_key_ahead` bounds how far the time of a key may be ahead of the true time; `key_window`
    // is how long a key is valid after it was made.
    recovery(milliseconds max_key_ahead, milliseconds key_window);

    // Starts collecting the history of a shard that was taken over now. `workers` are all workers
    // that may have started its tasks. Earlier owners may have refused keys made at or before
    // `answers_unknown_before` (Unix time); zero if all their answers are known.
    void begin(instant now, std::uint32_t shard, epoch owner_epoch,
               milliseconds answers_unknown_before, const std::vector<std::string>& workers);
    // Returns the latest time of making (Unix time) of keys that a former owner may know, for a
    // takeover now.
    milliseconds boundary(instant now) const;
    milliseconds answers_unknown_before(std::uint32_t shard) const;
    // Adds a worker that became known after the takeover; it may have started tasks for the former
    // owner too.
    void add_worker(const std::string& worker);
    void end(std::uint32_t shard);

    // Adds to `request` the shards whose history is due from `worker`, and marks them as in flight.
    // Returns false if none is due.
    bool make_request_for(const std::string& worker, instant now, history_request& request);
    // Names of the workers to which a request is due, sorted.
    std::vector<std::string> workers_due(instant now) const;
    // Merges a worker's reply. Returns the shards for which the reply was used.
    std::vector<std::uint32_t> on_history(instant now, const std::string& worker,
                                          const history_request& request,
                                          const history_reply& reply);
    // Schedules a repetition of a request that failed, with exponential backoff.
    void on_failure(instant now, const std::string& worker, const history_request& request);

    history_status history_status_of(std::uint32_t shard, const job_id& id,
                                     milliseconds made) const;
    // Returns null if no worker has reported a record of the job.
    const recovered_job* find(std::uint32_t shard, const job_id& id) const;
    void forget_job(std::uint32_t shard, const job_id& id);
    // True while at least one worker has not replied for `shard`.
    bool collecting(std::uint32_t shard) const;
    // Evicts the shards whose recovered keys have all left the key window. `now` is Unix time.
    void expire(milliseconds now);

    std::size_t job_count() const;

private:
    struct worker_state
    {
        bool answered = false;
        bool request_in_flight = false;
        bool poll_again = false; // a task was still running at the latest reply
        microseconds next_request_at{0};
        microseconds backoff{0};
    };
    struct shard_state
    {
        epoch owner_epoch;
        milliseconds answers_unknown_before{0};
        milliseconds key_boundary{0};  // earlier owners may know keys made at or before this time
        milliseconds history_since{0}; // records of all workers reach back to this time
        std::map<std::string, worker_state> workers;
        std::size_t unanswered = 0;
        boost::unordered_flat_map<job_id, recovered_job, job_id_hash> jobs;
    };

    static bool is_due(const worker_state& worker, instant now);
    static void mark_lost_tasks(shard_state& shard, std::uint32_t number, const std::string& worker,
                                const history_reply& reply);
    static void merge(shard_state& shard, const std::string& worker, const history_record& record);

    milliseconds m_max_key_ahead;
    milliseconds m_key_window;
    std::map<std::uint32_t, shard_state> m_shards;
};

} // namespace egretledge

#endif
