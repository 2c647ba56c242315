// A key that arrives for a packed slice goes into that slice's small hash table and is merged when
// the slice is packed again, which costs a copy of the slice. This is rare, since keys are nearly
// always used within seconds of being made.

#include "core/job_memory.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr milliseconds slice_duration{20000};
// Delay from the end of a slice's time to its packing.
constexpr milliseconds pack_delay{30000};
// A packed slice is packed again when its hash table holds more entries than this.
constexpr std::size_t min_repack_entries = 64;

milliseconds slice_begin(milliseconds made)
{
    return made - made % slice_duration;
}

} // namespace

job_memory::job_memory(milliseconds window, std::uint64_t answer_bytes)
    : m_window(window), m_max_answer_bytes(answer_bytes)
{
}

job_memory::slice& job_memory::find_or_create_slice(milliseconds made)
{
    const auto begin = slice_begin(made);
    auto position = std::lower_bound(m_slices.begin(), m_slices.end(), begin,
                                     [](const slice& s, milliseconds b) { return s.begin < b; });
    if (position == m_slices.end() || position->begin != begin)
    {
        position = m_slices.emplace(position);
        position->begin = begin;
    }
    return *position;
}

const job_memory::slice* job_memory::find_slice(milliseconds made) const
{
    const auto begin = slice_begin(made);
    const auto position =
        std::lower_bound(m_slices.begin(), m_slices.end(), begin,
                         [](const slice& s, milliseconds b) { return s.begin < b; });
    return position == m_slices.end() || position->begin != begin ? nullptr : &*position;
}

const job_memory::entry* job_memory::find_in(const slice& target, const job_id& id)
{
    const auto recent = target.recent.find(id);
    if (recent != target.recent.end())
        return &recent->second;
    const auto packed_jobs =
        std::lower_bound(target.packed_jobs.begin(), target.packed_jobs.end(), id,
                         [](const packed& p, const job_id& i) { return p.id < i; });
    return packed_jobs == target.packed_jobs.end() || packed_jobs->id != id ? nullptr
                                                                            : &packed_jobs->value;
}

remembered_job job_memory::restore(const job_id& id, const entry& value, milliseconds made)
{
    remembered_job job{id, value.digest, made, {}};
    if (value.answer)
    {
        job.answer.ParseFromString(*value.answer);
        return job;
    }
    job.answer.set_outcome(static_cast<std::uint32_t>(outcome::unknown));
    job.answer.set_kind(static_cast<std::uint32_t>(answer_kind::key_expired));
    job.answer.set_detail("the job ended as " + std::string(name_of(value.kind)) +
                          "; its results are no longer kept");
    return job;
}

void job_memory::put(remembered_job job)
{
    auto& target = find_or_create_slice(job.made);
    if (find_in(target, job.id) != nullptr)
        return;
    auto serialized = std::make_unique<std::string>(job.answer.SerializeAsString());
    serialized->shrink_to_fit();
    target.bytes += serialized->size();
    m_bytes += serialized->size();
    target.recent.emplace(job.id, entry{job.digest, std::move(serialized),
                                        static_cast<answer_kind>(job.answer.kind())});
    ++m_size;
    evict_answers();
}

std::optional<remembered_job> job_memory::find(const job_id& id, milliseconds made) const
{
    const auto* target = find_slice(made);
    const auto* found = target == nullptr ? nullptr : find_in(*target, id);
    if (found == nullptr)
        return std::nullopt;
    return restore(id, *found, made);
}

void job_memory::evict_answers()
{
    for (auto& old : m_slices)
    {
        if (m_bytes <= m_max_answer_bytes)
            return;
        for (auto& [id, value] : old.recent)
            value.answer.reset();
        for (auto& job : old.packed_jobs)
            job.value.answer.reset();
        m_bytes -= old.bytes;
        old.bytes = 0;
    }
}

void job_memory::pack(slice& old)
{
    old.packed_jobs.reserve(old.packed_jobs.size() + old.recent.size());
    for (auto& [id, value] : old.recent)
        old.packed_jobs.push_back({id, std::move(value)});
    old.recent = {};
    std::sort(old.packed_jobs.begin(), old.packed_jobs.end(),
              [](const packed& a, const packed& b) { return a.id < b.id; });
    old.packed_jobs.shrink_to_fit();
}

void job_memory::expire(milliseconds now)
{
    while (!m_slices.empty() && m_slices.front().begin + slice_duration + m_window < now)
    {
        const auto& old = m_slices.front();
        m_size -= old.recent.size() + old.packed_jobs.size();
        m_bytes -= old.bytes;
        m_slices.pop_front();
    }
    for (auto& slice : m_slices)
    {
        const bool due = slice.begin + slice_duration + pack_delay < now;
        if (due && (slice.packed_jobs.empty() || slice.recent.size() > min_repack_entries) &&
            !slice.recent.empty())
            pack(slice);
    }
}

std::vector<remembered_job> job_memory::jobs_of_shard(std::uint32_t shard,
                                                      std::uint32_t shards) const
{
    std::vector<remembered_job> found;
    for (const auto& slice : m_slices)
    {
        for (const auto& [id, value] : slice.recent)
            if (shard_of(id, shards) == shard)
                found.push_back(restore(id, value, slice.begin));
        for (const auto& job : slice.packed_jobs)
            if (shard_of(job.id, shards) == shard)
                found.push_back(restore(job.id, job.value, slice.begin));
    }
    return found;
}

void job_memory::erase_shard(std::uint32_t shard, std::uint32_t shards)
{
    for (auto& slice : m_slices)
    {
        const auto drop = [&](const job_id& id, const entry& value)
        {
            if (shard_of(id, shards) != shard)
                return false;
            const auto bytes = value.answer ? value.answer->size() : 0;
            slice.bytes -= bytes;
            m_bytes -= bytes;
            --m_size;
            return true;
        };
        boost::unordered::erase_if(slice.recent,
                                   [&](const auto& job) { return drop(job.first, job.second); });
        std::erase_if(slice.packed_jobs,
                      [&](const packed& job) { return drop(job.id, job.value); });
    }
}

std::size_t job_memory::overhead_bytes() const
{
    constexpr std::size_t slot = sizeof(std::pair<job_id, entry>) + 1;
    std::size_t bytes = 0;
    for (const auto& slice : m_slices)
        bytes += sizeof(slice) + slice.recent.bucket_count() * slot +
                 slice.packed_jobs.capacity() * sizeof(packed);
    return bytes;
}

} // namespace egretledge
