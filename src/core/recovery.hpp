#ifndef EGRETLEDGE_CORE_RECOVERY_HPP
#define EGRETLEDGE_CORE_RECOVERY_HPP

// What earlier owners of a shard started, collected from the workers after a takeover.
//
// The new owner asks every worker of its data centre for the shard's history. The question itself
// fences the worker: nothing under an earlier epoch starts after the answer. So when all workers
// have answered, the collected records are all that ever started, and a key made before the
// takeover without any record has never run. A worker that does not answer, or that lost its
// records in a restart, leaves a gap: then a key without a record "may have run".
//
// Memory: one record for each task started within the key window, of the shards taken over.

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
    std::string closed_as; // the name of an answer_kind
    std::map<std::uint32_t, recovered_task> tasks;

    bool any(record_state state) const;
    bool all_done() const;
};

// What is known of a key that was made before a takeover.
enum class past : std::uint8_t
{
    not_affected, // the key is newer than the takeover, or there was none
    collecting,   // some worker has not answered yet
    gap,          // a worker's records do not reach back to the key
    never_started,
    on_record
};

class recovery
{
public:
    recovery(milliseconds most_ahead, milliseconds window);

    // The shard was taken over now; `workers` are all that may have started its tasks.
    // `answers_unknown_before`: earlier owners may have refused keys made up to then; zero if
    // all their answers are known.
    void begin(instant now, std::uint32_t shard, epoch owner_epoch,
               milliseconds answers_unknown_before, const std::vector<std::string>& workers);
    // The latest time of making of a key that a former owner may have known, if it took over now.
    milliseconds boundary(instant now) const;
    milliseconds answers_unknown_before(std::uint32_t shard) const;
    // A worker became known only now: it too may have started tasks for the former owner.
    void add_worker(const std::string& worker);
    void end(std::uint32_t shard);

    // The question that is due to `worker`, if any; its shards are marked as asked.
    bool question_for(const std::string& worker, instant now, history_request& question);
    // Workers that have a question due.
    std::vector<std::string> due(instant now) const;
    // Returns the shards that the answer completed or changed.
    std::vector<std::uint32_t> on_history(instant now, const std::string& worker,
                                          const history_request& question,
                                          const history_reply& reply);
    void on_failure(instant now, const std::string& worker, const history_request& question);

    past past_of(std::uint32_t shard, const job_id& id, milliseconds made) const;
    const recovered_job* find(std::uint32_t shard, const job_id& id) const;
    void forget_job(std::uint32_t shard, const job_id& id);
    bool collecting(std::uint32_t shard) const;
    // Drops what no key within the window can need any more.
    void expire(milliseconds now);

    std::size_t job_count() const;

private:
    struct worker_state
    {
        bool answered = false;
        bool asked = false;
        bool ask_again = false; // a task was still running
        microseconds ask_after{0};
        microseconds backoff{0};
    };
    struct shard_state
    {
        epoch owner_epoch;
        milliseconds answers_unknown_before{0};
        milliseconds before{0}; // keys made up to here may be known to earlier owners
        milliseconds floor{0};  // records do not reach back beyond here
        std::map<std::string, worker_state> workers;
        std::size_t unanswered = 0;
        boost::unordered_flat_map<job_id, recovered_job, job_id_hash> jobs;
    };

    static bool is_due(const worker_state& worker, instant now);
    static void mark_vanished(shard_state& shard, std::uint32_t number, const std::string& worker,
                              const history_reply& reply);
    static void merge(shard_state& shard, const std::string& worker, const history_record& record);

    milliseconds m_most_ahead;
    milliseconds m_window;
    std::map<std::uint32_t, shard_state> m_shards;
};

} // namespace egretledge

#endif
