#include "pool/started_jobs.hpp"
#include <xxhash.h>

namespace egretledge::pool
{

namespace
{

std::uint64_t hash_of(const std::string& job)
{
    return XXH3_64bits(job.data(), job.size());
}

} // namespace

void started_jobs::evict_expired(microseconds now)
{
    for (; !m_own_entries.empty() &&
           now - m_own_entries.front().recorded_at > m_settings.retention_period;
         m_own_entries.pop_front())
    {
        const auto found = m_own_records.find(m_own_entries.front().hash);
        if (found != m_own_records.end() &&
            found->second.recorded_at == m_own_entries.front().recorded_at)
            m_own_records.erase(found);
    }
    if (now - m_generation_start < m_settings.retention_period &&
        m_announced.size() < m_settings.max_known / 2)
        return;
    m_previously_announced = std::move(m_announced);
    m_announced.clear();
    m_generation_start = now;
}

void started_jobs::record(microseconds now, const std::string& job)
{
    evict_expired(now);
    const auto hash = hash_of(job);
    auto& found = m_own_records[hash];
    ++found.record_count;
    found.recorded_at = now;
    m_own_entries.push_back({now, hash});
}

void started_jobs::withdraw(const std::string& job)
{
    const auto found = m_own_records.find(hash_of(job));
    if (found != m_own_records.end() && --found->second.record_count == 0)
        m_own_records.erase(found);
}

bool started_jobs::may_have_started(const std::string& job) const
{
    const auto hash = hash_of(job);
    return m_own_records.contains(hash) || m_announced.contains(hash) ||
           m_previously_announced.contains(hash);
}

} // namespace egretledge::pool
