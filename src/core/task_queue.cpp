// task_queue.hpp describes the order and the reasons for it. A scheduling key is computed once,
// when the first task of a job is queued. This takes time logarithmic in the number of jobs, not of
// tasks; a task is then removed in constant time.

#include "core/task_queue.hpp"
#include "core/check.hpp"
#include <algorithm>

namespace egretledge
{

void task_queue::set_team(const std::string& team, double weight, std::uint32_t quota)
{
    auto& state = m_teams[team];
    state.weight = weight;
    state.quota = quota;
}

void task_queue::add(open_job& job, std::uint32_t task, milliseconds expected, double slots)
{
    auto& team = m_teams[job.team];
    if (team.jobs.empty())
        team.virtual_time = std::max(team.virtual_time, m_virtual_now);
    const auto known = team.keys.find(job.id);
    scheduling_key key;
    if (known != team.keys.end())
        key = known->second;
    else
    {
        const double total = static_cast<double>(microseconds{expected}.count()) *
                             static_cast<double>(job.tasks.size());
        const auto ideal_duration_us = static_cast<std::int64_t>(total / std::max(1.0, slots));
        key = {job.accepted + microseconds{ideal_duration_us}, job.id};
        team.keys.emplace(job.id, key);
    }
    auto& jobs = team.deferred.contains(key) ? team.deferred : team.jobs;
    auto& entry = jobs[key];
    if (entry.job == nullptr)
        entry.expected = expected;
    entry.job = &job;
    entry.tasks.push_back(task);
    team.work += entry.expected;
    m_work += entry.expected;
    ++m_size;
    if (&jobs == &team.deferred)
        ++m_deferred;
}

bool task_queue::next(queued_task& found) const
{
    const team_state* best = nullptr;
    for (const auto& [name, team] : m_teams)
    {
        if (team.jobs.empty())
            continue;
        const bool at_quota = team.quota > 0 && team.slots_held >= team.quota;
        const bool best_at_quota =
            best != nullptr && best->quota > 0 && best->slots_held >= best->quota;
        const bool better = best == nullptr || (best_at_quota && !at_quota) ||
                            (best_at_quota == at_quota && team.virtual_time < best->virtual_time);
        best = better ? &team : best;
    }
    if (best == nullptr)
        return false;
    const auto& job = best->jobs.begin()->second;
    found = {job.job, job.tasks.back()};
    return true;
}

void task_queue::remove_task(team_state& team, std::map<scheduling_key, waiting_job>::iterator job)
{
    team.work -= job->second.expected;
    m_work -= job->second.expected;
    --m_size;
    job->second.tasks.pop_back();
    if (!job->second.tasks.empty())
        return;
    team.keys.erase(job->first.second);
    team.jobs.erase(job);
}

void task_queue::pop(const queued_task& found, milliseconds expected)
{
    auto& team = m_teams.at(found.job->team);
    const auto job = team.jobs.find(team.keys.at(found.job->id));
    EGRET_CHECK(job != team.jobs.end() && job->second.tasks.back() == found.task,
                "only the task that next() returned is removed");
    m_virtual_now = std::max(m_virtual_now, team.virtual_time);
    team.virtual_time += static_cast<double>(expected.count() + 1) / team.weight;
    ++team.slots_held;
    remove_task(team, job);
}

void task_queue::defer(const queued_task& found, microseconds until)
{
    auto& team = m_teams.at(found.job->team);
    const auto key = team.keys.at(found.job->id);
    auto node = team.jobs.extract(key);
    EGRET_CHECK(!node.empty(), "only a job that is ready to start is deferred");
    node.mapped().deferred_until = until;
    m_deferred += node.mapped().tasks.size();
    team.deferred.insert(std::move(node));
}

void task_queue::resume_deferred(microseconds now)
{
    if (m_deferred == 0)
        return;
    for (auto& [name, team] : m_teams)
        for (auto job = team.deferred.begin(); job != team.deferred.end();)
        {
            const auto current = job++;
            if (current->second.deferred_until > now)
                continue;
            m_deferred -= current->second.tasks.size();
            team.jobs.insert(team.deferred.extract(current));
        }
}

void task_queue::drop(const open_job& job)
{
    const auto team = m_teams.find(job.team);
    if (team == m_teams.end())
        return;
    const auto key = team->second.keys.find(job.id);
    if (key == team->second.keys.end())
        return;
    const bool deferred = team->second.deferred.contains(key->second);
    auto& jobs = deferred ? team->second.deferred : team->second.jobs;
    const auto& entry = jobs.at(key->second);
    const auto count = entry.tasks.size();
    const auto work = entry.expected * static_cast<std::int64_t>(count);
    team->second.work -= work;
    m_work -= work;
    m_size -= count;
    m_deferred -= deferred ? count : 0;
    jobs.erase(key->second);
    team->second.keys.erase(key);
}

void task_queue::release_slot(const std::string& team)
{
    auto& state = m_teams[team];
    EGRET_CHECK(state.slots_held > 0, "a slot is released only while the team holds one");
    --state.slots_held;
}

std::uint32_t task_queue::slots_held(const std::string& team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.slots_held;
}

bool task_queue::at_quota(const std::string& team) const
{
    const auto found = m_teams.find(team);
    return found != m_teams.end() && found->second.quota > 0 &&
           found->second.slots_held >= found->second.quota;
}

milliseconds task_queue::queued_work(const std::string& team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? milliseconds{0} : found->second.work;
}

} // namespace egretledge
