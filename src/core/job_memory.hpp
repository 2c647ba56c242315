#ifndef EGRETLEDGE_CORE_JOB_MEMORY_HPP
#define EGRETLEDGE_CORE_JOB_MEMORY_HPP

// What an owner remembers of the jobs that it has answered: per job an identity, the digest of its
// body and its answer, for as long as its key may be used.
//
// Jobs fall into slices by the time inside their keys, so that expiry drops whole slices and needs
// no list of times. A slice is a hash table while keys of its time arrive, and is then packed into
// a sorted array: 40 bytes a job beyond the answer.

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
    // Answers beyond `answer_bytes` in all are dropped, oldest keys first; what became of the job
    // stays known.
    job_memory(milliseconds window, std::uint64_t answer_bytes);

    // Remembers a final answer. The first answer of a job stays: later ones are ignored.
    void put(remembered_job job);
    std::optional<remembered_job> find(const job_id& id, milliseconds made) const;

    // Drops what is older than the window.
    void expire(milliseconds now);
    // Everything remembered for one shard of `shards`.
    std::vector<remembered_job> jobs_of_shard(std::uint32_t shard, std::uint32_t shards) const;
    void erase_shard(std::uint32_t shard, std::uint32_t shards);

    std::size_t size() const { return m_size; }
    std::uint64_t answer_bytes() const { return m_bytes; }
    // Memory used beyond the answers.
    std::size_t overhead_bytes() const;

private:
    struct entry
    {
        std::uint64_t digest = 0;
        std::unique_ptr<std::string> answer; // serialised; null if dropped
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
        std::vector<packed> sealed; // sorted by id
        std::uint64_t bytes = 0;
    };

    slice& find_or_create_slice(milliseconds made);
    const slice* find_slice(milliseconds made) const;
    static const entry* find_in(const slice& target, const job_id& id);
    static remembered_job restore(const job_id& id, const entry& value, milliseconds made);
    void seal(slice& old);
    void evict_answers();

    milliseconds m_window;
    std::uint64_t m_max_answer_bytes;
    std::deque<slice> m_slices; // by time
    std::size_t m_size = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace egretledge

#endif
