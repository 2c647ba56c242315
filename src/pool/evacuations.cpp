// A state of a lower revision is ignored, so that late heartbeats undo nothing. Each request is in
// force for jobs that have not begun as soon as it is known, and for the others `grace()` later;
// further states that contain it do not extend that time.

#include "pool/evacuations.hpp"
#include <algorithm>

namespace egretledge::pool
{

void evacuations::begin(microseconds now)
{
    if (m_began.count() < 0)
        m_began = now;
}

bool evacuations::merge(microseconds now, const evacuation_state& state)
{
    if (m_known && state.revision < m_state.revision)
        return false;
    auto next = state;
    // States of one revision differ only if the pages of one reader contained later records. Until
    // that reader has read those records, an evacuation that either state contains is in force.
    if (m_known && state.revision == m_state.revision)
        next.data_centres.insert(m_state.data_centres.begin(), m_state.data_centres.end());
    const bool changed = !std::exchange(m_known, true) || next.data_centres != m_state.data_centres;
    m_state = std::move(next);
    for (const auto& data_centre : m_state.data_centres)
    {
        m_requests.try_emplace(data_centre, request{now, stage::unlogged});
        m_taken_back.erase(data_centre);
    }
    for (auto entry = m_requests.begin(); entry != m_requests.end();)
    {
        const auto here = entry++;
        if (contains(here->first))
            continue;
        if (here->second.logged >= stage::requested)
            m_taken_back.insert(*here);
        m_requests.erase(here);
    }
    return changed;
}

bool evacuations::awaits_state(microseconds now) const
{
    return m_settings.bound.count() > 0 && !m_known &&
           (m_began.count() < 0 || now - m_began < m_settings.max_start_wait);
}

microseconds evacuations::grace() const
{
    const microseconds longest{m_settings.max_grace};
    if (m_settings.bound.count() <= 0)
        return longest;
    return std::min(longest, std::chrono::duration_cast<microseconds>(m_settings.bound *
                                                                      m_settings.grace_share));
}

bool evacuations::allows_start(const std::string& data_centre, bool begun, microseconds now) const
{
    if (awaits_state(now))
        return false;
    return !contains(data_centre) || (begun && !in_force(data_centre, now));
}

bool evacuations::in_force(const std::string& data_centre, microseconds now) const
{
    const auto known = m_requests.find(data_centre);
    return known != m_requests.end() && now - known->second.learned >= grace();
}

microseconds evacuations::age(const std::string& data_centre, microseconds now) const
{
    const auto known = m_requests.find(data_centre);
    return known == m_requests.end() ? microseconds{0} : now - known->second.learned;
}

void evacuations::log(const char* state, const std::string& data_centre, microseconds age,
                      action_list& out) const
{
    out.push_back(actions::log_event{true, std::string("event=evacuation state=") + state +
                                               " data_centre=" + data_centre +
                                               " revision=" + std::to_string(m_state.revision) +
                                               " age_ms=" + std::to_string(age.count() / 1000)});
}

void evacuations::log_changes(microseconds now,
                              const std::function<bool(const std::string&)>& exists,
                              action_list& out)
{
    const bool overdue = m_settings.bound.count() > 0 && !m_known && m_began.count() >= 0 &&
                         now - m_began >= m_settings.max_start_wait;
    if (overdue && !std::exchange(m_wait_logged, true))
        out.push_back(actions::log_event{
            true, "event=evacuations_unknown waited_ms=" +
                      std::to_string((now - m_began).count() / 1000) +
                      " reason=\"no state was received from the store or a peer\""});
    for (const auto& [data_centre, former] : std::exchange(m_taken_back, {}))
        log("taken_back", data_centre, now - former.learned, out);
    for (auto& [data_centre, current] : m_requests)
    {
        if (current.logged < stage::requested)
        {
            const bool known = exists(data_centre);
            if (known || current.logged == stage::unlogged)
                log(known ? "requested" : "unknown", data_centre, now - current.learned, out);
            current.logged = known ? stage::requested : stage::unknown;
        }
        if (current.logged == stage::requested && in_force(data_centre, now))
        {
            log("in_force", data_centre, now - current.learned, out);
            current.logged = stage::in_force;
        }
    }
}

} // namespace egretledge::pool
