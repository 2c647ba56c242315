// Crashes are kept by job, since every decision is about one job. m_changes orders them by time for
// announcements and eviction; a crash whose state changed has a later entry there, which counts. A
// resolution is announced like the suspicion before it, so that a peer that cannot reach the worker
// learns that it was cleared.

#include "pool/crash_record.hpp"
#include <algorithm>
#include <boost/describe/enum_to_string.hpp>
#include <xxhash.h>

namespace egretledge::pool
{

std::string_view name_of(crash_verdict value)
{
    return boost::describe::enum_to_string(value, "unknown");
}

std::uint64_t crash_record::hash_of(const std::string& text)
{
    return XXH3_64bits(text.data(), text.size());
}

const crash_record::crash* crash_record::find(std::uint64_t job, const crash_id& id) const
{
    const auto known = m_jobs.find(job);
    if (known == m_jobs.end())
        return nullptr;
    const auto found = std::find_if(known->second.begin(), known->second.end(),
                                    [&](const crash& entry) { return entry.id == id; });
    return found == known->second.end() ? nullptr : &*found;
}

void crash_record::set(microseconds now, std::uint64_t job, const crash_id& id, crash_state state,
                       bool own, bool in_doubt)
{
    auto& crashes = m_jobs[job];
    auto found = std::find_if(crashes.begin(), crashes.end(),
                              [&](const crash& entry) { return entry.id == id; });
    if (found == crashes.end())
        found = crashes.insert(crashes.end(), crash{id, state, own, in_doubt, now, now});
    // A second report on the same run may know of the answer to its start; another run may follow
    // once the suspicion is cleared.
    const bool same_run = found->state != crash_state::cleared;
    const auto suspected_at = found->state == crash_state::suspected ? found->suspected_at : now;
    *found = {id,  state,       own || found->own, in_doubt && (!same_run || found->in_doubt),
              now, suspected_at};
    m_changes.push_back({now, job, id});
    m_own_changes += own ? 1 : 0;
    if (state == crash_state::suspected)
        m_suspected_workers[id.worker].push_back(job);
    evict_expired(now);
}

void crash_record::suspect(microseconds now, const task_name& task, const std::string& worker,
                           std::uint64_t start_time_ms, bool in_doubt)
{
    set(now, hash_of(task.job), {task.step, task.index, hash_of(worker), start_time_ms},
        crash_state::suspected, true, in_doubt);
}

void crash_record::confirm(microseconds now, const task_name& task, const std::string& worker,
                           std::uint64_t start_time_ms, bool in_doubt)
{
    set(now, hash_of(task.job), {task.step, task.index, hash_of(worker), start_time_ms},
        crash_state::confirmed, true, in_doubt);
}

crash_record::resolved crash_record::worker_answered(microseconds now, const std::string& worker,
                                                     std::uint64_t start_time_ms)
{
    if (m_suspected_workers.empty() || start_time_ms == 0)
        return {};
    return resolve(now, hash_of(worker),
                   [&](const crash_id& id) {
                       return id.start_time_ms == start_time_ms ? crash_state::cleared
                                                                : crash_state::confirmed;
                   });
}

crash_record::resolved crash_record::on_registry(microseconds now, const worker_registry& registry)
{
    resolved sum;
    if (m_suspected_workers.empty())
        return sum;
    for (const auto& [worker, entry] : registry)
    {
        const auto changed = resolve(now, hash_of(worker),
                                     [&, start = entry.start_time_ms](const crash_id& id) {
                                         return id.start_time_ms < start ? crash_state::confirmed
                                                                         : crash_state::suspected;
                                     });
        sum.confirmed += changed.confirmed;
    }
    return sum;
}

template <class NewState>
crash_record::resolved crash_record::resolve(microseconds now, std::uint64_t worker,
                                             const NewState& new_state)
{
    resolved sum;
    const auto suspected = m_suspected_workers.find(worker);
    if (suspected == m_suspected_workers.end())
        return sum;
    std::vector<std::uint64_t> left;
    for (const auto job : std::vector<std::uint64_t>(suspected->second))
    {
        const auto known = m_jobs.find(job);
        if (known == m_jobs.end())
            continue;
        bool open = false;
        // A copy, since set() may evict what it iterates over.
        for (const auto& entry : std::vector<crash>(known->second))
        {
            if (entry.id.worker != worker || entry.state != crash_state::suspected)
                continue;
            const auto state = new_state(entry.id);
            open = open || state == crash_state::suspected;
            if (state == crash_state::suspected)
                continue;
            set(now, job, entry.id, state, true, entry.in_doubt);
            ++(state == crash_state::confirmed ? sum.confirmed : sum.cleared);
        }
        if (open)
            left.push_back(job);
    }
    if (left.empty())
        m_suspected_workers.erase(worker);
    else
        m_suspected_workers[worker] = std::move(left);
    return sum;
}

void crash_record::on_announced(microseconds now, const wire::PoolCrash& row)
{
    const crash_id id{row.step(), row.index(), row.worker(), row.start_time_ms()};
    const auto state = static_cast<crash_state>(
        std::min(row.state(), static_cast<std::uint32_t>(crash_state::cleared)));
    const auto* known = find(row.job(), id);
    // A suspicion says nothing new about a crash that is known, and may be older.
    if (known == nullptr || (state != crash_state::suspected && known->state != state))
        set(now, row.job(), id, state, false, row.in_doubt());
}

void crash_record::write(std::uint64_t job, const crash& known, wire::PoolCrash& out)
{
    out.set_job(job);
    out.set_step(known.id.step);
    out.set_index(known.id.index);
    out.set_worker(known.id.worker);
    out.set_start_time_ms(known.id.start_time_ms);
    out.set_state(static_cast<std::uint32_t>(known.state));
    out.set_in_doubt(known.in_doubt);
}

crash_verdict crash_record::verdict(const std::vector<crash>& crashes, std::uint32_t step,
                                    std::uint32_t index) const
{
    std::uint32_t confirmed = 0;
    std::uint32_t confirmed_started = 0;
    std::uint32_t all = 0;
    std::uint32_t all_started = 0;
    bool open_start = false;
    for (const auto& entry : crashes)
    {
        if (entry.id.step != step || entry.id.index != index || entry.state == crash_state::cleared)
            continue;
        const bool known = entry.state == crash_state::confirmed;
        ++all;
        all_started += entry.in_doubt ? 0 : 1;
        confirmed += known ? 1 : 0;
        confirmed_started += known && !entry.in_doubt ? 1 : 0;
        open_start = open_start || (!known && entry.in_doubt &&
                                    m_now - entry.suspected_at < m_settings.open_start_timeout);
    }
    const auto reached = [&](std::uint32_t started, std::uint32_t with_doubtful) {
        return started >= m_settings.max_crashes ||
               with_doubtful >= m_settings.max_crashes_in_doubt;
    };
    return reached(confirmed_started, confirmed) ? crash_verdict::deadly
           : reached(all_started, all)           ? crash_verdict::undecided
           : open_start                          ? crash_verdict::open
           : all > 0                             ? crash_verdict::suspect
                                                 : crash_verdict::none;
}

crash_verdict crash_record::verdict(const task_name& task) const
{
    const auto known = m_jobs.empty() ? m_jobs.end() : m_jobs.find(hash_of(task.job));
    return known == m_jobs.end() ? crash_verdict::none
                                 : verdict(known->second, task.step, task.index);
}

crash_verdict crash_record::verdict(const std::string& job) const
{
    auto highest = crash_verdict::none;
    const auto known = m_jobs.empty() ? m_jobs.end() : m_jobs.find(hash_of(job));
    if (known != m_jobs.end())
        for (const auto& entry : known->second)
            highest = std::max(highest, verdict(known->second, entry.id.step, entry.id.index));
    return highest;
}

void crash_record::evict_expired(microseconds now)
{
    m_now = now;
    for (; !m_changes.empty() && (now - m_changes.front().at > m_settings.retention_period ||
                                  m_changes.size() > m_settings.max_known);
         m_changes.pop_front())
    {
        const auto& oldest = m_changes.front();
        const auto known = m_jobs.find(oldest.job);
        if (known == m_jobs.end())
            continue;
        std::erase_if(known->second, [&](const crash& entry)
                      { return entry.id == oldest.crash && entry.changed_at == oldest.at; });
        const bool still_suspected =
            std::any_of(known->second.begin(), known->second.end(),
                        [&](const crash& entry) {
                            return entry.id.worker == oldest.crash.worker &&
                                   entry.state == crash_state::suspected;
                        });
        if (const auto suspected = m_suspected_workers.find(oldest.crash.worker);
            suspected != m_suspected_workers.end() && !still_suspected)
        {
            std::erase(suspected->second, oldest.job);
            if (suspected->second.empty())
                m_suspected_workers.erase(suspected);
        }
        if (known->second.empty())
            m_jobs.erase(known);
    }
}

std::size_t crash_record::known() const
{
    std::size_t sum = 0;
    for (const auto& [job, crashes] : m_jobs)
        sum += crashes.size();
    return sum;
}

} // namespace egretledge::pool
