#include "core/run_time_trials.hpp"
#include "core/check.hpp"
#include <algorithm>

namespace egretledge
{

bool run_time_trials::refuse(microseconds now, const std::string& service, milliseconds declared)
{
    evict_expired(now);
    auto& known = m_records[service];
    known.used_at = now;
    const bool closes = !known.closed;
    if (closes)
    {
        ++m_closed;
        known.closed = closure{now, declared, 0, 0, 0};
    }
    known.closed->declared = std::min(known.closed->declared, declared);
    ++known.closed->refused;
    return closes;
}

std::optional<run_time_trials::closure> run_time_trials::admit(const std::string& service,
                                                               milliseconds declared)
{
    if (m_closed == 0)
        return std::nullopt;
    const auto entry = m_records.find(service);
    if (entry == m_records.end() || !entry->second.closed ||
        declared < entry->second.closed->declared)
        return std::nullopt;
    --m_closed;
    return std::exchange(entry->second.closed, std::nullopt);
}

bool run_time_trials::may_begin(microseconds now, const std::string& service) const
{
    const auto entry = m_records.find(service);
    return entry == m_records.end() ||
           (now >= entry->second.next_at && entry->second.open < entry->second.max_open);
}

void run_time_trials::begin(microseconds now, const std::string& service)
{
    auto& known = m_records[service];
    known.used_at = now;
    ++known.open;
    m_unproven += known.proven ? 0 : 1;
    if (known.closed)
        ++known.closed->trials;
}

run_time_trials::record& run_time_trials::remove_open(const std::string& service)
{
    const auto entry = m_records.find(service);
    EGRET_CHECK(entry != m_records.end() && entry->second.open > 0,
                "no trial of this service is open");
    auto& known = entry->second;
    --known.open;
    m_unproven -= known.proven ? 0 : 1;
    return known;
}

void run_time_trials::abandon(const std::string& service)
{
    remove_open(service);
}

void run_time_trials::end(microseconds now, const std::string& service, bool served)
{
    auto& known = remove_open(service);
    known.used_at = now;
    if (known.proven != served)
    {
        known.proven = served;
        m_unproven = served ? m_unproven - known.open : m_unproven + known.open;
    }
    if (served)
    {
        known.max_open = std::min(known.max_open * 2, m_settings.max_open);
        known.delay = milliseconds{0};
        known.next_at = now;
        if (known.closed)
            ++known.closed->served;
        return;
    }
    known.max_open = 1;
    known.delay = std::clamp(known.delay * 2, m_settings.initial_delay, m_settings.max_delay);
    known.next_at = now + known.delay;
}

void run_time_trials::evict_expired(microseconds now)
{
    if (now - m_evicted_at < m_settings.record_lifetime)
        return;
    m_evicted_at = now;
    boost::unordered::erase_if(m_records,
                               [&](const auto& entry)
                               {
                                   const auto& known = entry.second;
                                   if (known.open > 0 ||
                                       now - known.used_at < m_settings.record_lifetime)
                                       return false;
                                   m_closed -= known.closed ? 1 : 0;
                                   return true;
                               });
}

} // namespace egretledge
