#ifndef EGRETLEDGE_CORE_JOB_MEMORY_HPP
#define EGRETLEDGE_CORE_JOB_MEMORY_HPP

// The memory of the jobs that an owner has answered: for each job its identity, the digest of its
// body and its answer, for as long as its key is valid.
//
// Jobs are grouped into slices by the time inside their keys, so that expiry drops whole slices and
// needs no index by time. A slice is a hash table while keys of its time arrive, and is then packed
// into a sorted array that takes 40 bytes a job in addition to the answer.

#include "egretledge/types.hpp"
#include "proto/egretledge.pb.h"
#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <memory>
#include <optional>

namespace egretledge
{

struct remembered_job
{
    job_id id;
    std::uint64_t digest = 0;
    milliseconds made{0};
    wire::Answer answer;
};

class job_memory
{
public:
    // Keeps jobs for `window` after their keys were made. While the answers exceed `answer_bytes`
    // in total, evicts those of the oldest slice; the kind of an evicted answer is kept.
    job_memory(milliseconds window, std::uint64_t answer_bytes);

    // Adds a final answer. The first answer of a job stays; later ones are ignored.
    void put(remembered_job job);
    // `made` is the time inside the job's key.
    std::optional<remembered_job> find(const job_id& id, milliseconds made) const;

    // Drops slices whose keys are all older than the window, and packs slices that are due.
    void expire(milliseconds now);
    // Returns all jobs of one shard. `shards` is the number of shards. The `made` of a returned job
    // is the beginning of its slice, not the exact time inside the key.
    std::vector<remembered_job> jobs_of_shard(std::uint32_t shard, std::uint32_t shards) const;
    void erase_shard(std::uint32_t shard, std::uint32_t shards);

    std::size_t size() const { return m_size; }
    std::uint64_t answer_bytes() const { return m_bytes; }
    // Bytes of memory used in addition to the answers.
    std::size_t overhead_bytes() const;

private:
    struct entry
    {
        std::uint64_t digest = 0;
        std::unique_ptr<std::string> answer; // serialised; null if evicted
        answer_kind kind = answer_kind::ok;
    };
    struct packed
    {
        job_id id;
        entry value;
    };
    struct slice
    {
        milliseconds begin{0};
        boost::unordered_flat_map<job_id, entry, job_id_hash> recent;
        std::vector<packed> packed_jobs; // sorted by id
        std::uint64_t bytes = 0;         // of the answers
    };

    slice& find_or_create_slice(milliseconds made);
    const slice* find_slice(milliseconds made) const;
    static const entry* find_in(const slice& target, const job_id& id);
    static remembered_job restore(const job_id& id, const entry& value, milliseconds made);
    // Packs the hash table of a slice into its sorted array.
    void pack(slice& old);
    void evict_answers();

    milliseconds m_window;
    std::uint64_t m_max_answer_bytes;
    std::deque<slice> m_slices; // by time
    std::size_t m_size = 0;
    std::uint64_t m_bytes = 0; // of the answers
};

} // namespace egretledge

#endif
