#include "pool/started_jobs.hpp"
#include <algorithm>
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

void started_jobs::make_room(microseconds now)
{
    while (!m_own.empty() && now - m_own.front().when > m_settings.remember)
        m_own.pop_front();
    if (now - m_generation < m_settings.remember && m_known.size() < m_settings.most_known / 2)
        return;
    m_older = std::move(m_known);
    m_known.clear();
    m_generation = now;
}

void started_jobs::note(microseconds now, const std::string& job)
{
    make_room(now);
    const auto hash = hash_of(job);
    if (!m_known.insert(hash).second)
        if (const auto own = find_own(hash); own != m_own.rend())
        {
            ++own->notes;
            return;
        }
    m_own.push_back({now, hash});
}

std::deque<started_jobs::own_note>::reverse_iterator started_jobs::find_own(std::uint64_t hash)
{
    return std::find_if(m_own.rbegin(), m_own.rend(),
                        [&](const own_note& entry) { return entry.hash == hash; });
}

void started_jobs::withdraw(const std::string& job)
{
    const auto hash = hash_of(job);
    const auto own = find_own(hash);
    if (own == m_own.rend() || --own->notes > 0)
        return;
    m_own.erase(std::next(own).base());
    m_known.erase(hash);
}

bool started_jobs::may_have_started(const std::string& job) const
{
    const auto hash = hash_of(job);
    return m_known.contains(hash) || m_older.contains(hash);
}

} // namespace egretledge::pool
