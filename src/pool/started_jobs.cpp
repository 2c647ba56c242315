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
    for (; !m_own.empty() && now - m_own.front().when > m_settings.retention_period; m_own.pop_front())
    {
        const auto noted = m_noted.find(m_own.front().hash);
        if (noted != m_noted.end() && noted->second.when == m_own.front().when)
            m_noted.erase(noted);
    }
    if (now - m_generation_start < m_settings.retention_period && m_heard.size() < m_settings.max_known / 2)
        return;
    m_older = std::move(m_heard);
    m_heard.clear();
    m_generation_start = now;
}

void started_jobs::record(microseconds now, const std::string& job)
{
    evict_expired(now);
    const auto hash = hash_of(job);
    auto& noted = m_noted[hash];
    ++noted.notes;
    noted.when = now;
    m_own.push_back({now, hash});
}

void started_jobs::withdraw(const std::string& job)
{
    const auto noted = m_noted.find(hash_of(job));
    if (noted != m_noted.end() && --noted->second.notes == 0)
        m_noted.erase(noted);
}

bool started_jobs::may_have_started(const std::string& job) const
{
    const auto hash = hash_of(job);
    return m_noted.contains(hash) || m_heard.contains(hash) || m_older.contains(hash);
}

} // namespace egretledge::pool
