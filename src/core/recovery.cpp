// See recovery.hpp for the idea. The trade-off: the history is fetched whole, not key by key, so a
// takeover costs one exchange a worker however many keys are asked for again; its size grows with
// the tasks started within the key window.
//
// Clocks: a key may be ahead of its caller's true time by most_ahead, and hosts' and workers'
// clocks differ by up to host_skew. Keys made up to takeover + most_ahead + host_skew may be known
// to an earlier owner; starts of a key lie after made - most_ahead - host_skew.

#include "core/recovery.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr milliseconds host_skew{500};
constexpr microseconds first_question_pause = milliseconds{100};
constexpr microseconds longest_question_pause = milliseconds{2000};
constexpr microseconds ask_again_after = milliseconds{50};

int rank_of(record_state state)
{
    return state == record_state::done ? 2 : state == record_state::running ? 1 : 0;
}

} // namespace

bool recovered_job::any(record_state state) const
{
    return std::any_of(tasks.begin(), tasks.end(),
                       [&](const auto& t) { return t.second.state == state; });
}

bool recovered_job::all_done() const
{
    return tasks.size() == task_count &&
           std::all_of(tasks.begin(), tasks.end(),
                       [](const auto& t) { return t.second.state == record_state::done; });
}

recovery::recovery(milliseconds most_ahead, milliseconds window)
    : m_most_ahead(most_ahead), m_window(window)
{
}

void recovery::begin(instant now, std::uint32_t shard, epoch owner_epoch,
                     milliseconds answers_unknown_before, const std::vector<std::string>& workers)
{
    shard_state state;
    state.owner_epoch = owner_epoch;
    state.answers_unknown_before = answers_unknown_before;
    state.before = boundary(now);
    for (const auto& worker : workers)
        state.workers.emplace(worker, worker_state{});
    state.unanswered = state.workers.size();
    m_shards.insert_or_assign(shard, std::move(state));
}

void recovery::add_worker(const std::string& worker)
{
    for (auto& [number, shard] : m_shards)
        if (shard.workers.try_emplace(worker).second)
            ++shard.unanswered;
}

void recovery::end(std::uint32_t shard)
{
    m_shards.erase(shard);
}

milliseconds recovery::boundary(instant now) const
{
    return now.wall + m_most_ahead + host_skew;
}

milliseconds recovery::answers_unknown_before(std::uint32_t shard) const
{
    const auto found = m_shards.find(shard);
    return found == m_shards.end() ? milliseconds{0} : found->second.answers_unknown_before;
}

bool recovery::is_due(const worker_state& worker, instant now)
{
    return !worker.asked && (!worker.answered || worker.ask_again) &&
           now.steady >= worker.ask_after;
}

std::vector<std::string> recovery::due(instant now) const
{
    std::set<std::string> names;
    for (const auto& [number, shard] : m_shards)
        for (const auto& [name, worker] : shard.workers)
            if (is_due(worker, now))
                names.insert(name);
    return {names.begin(), names.end()};
}

bool recovery::question_for(const std::string& worker, instant now, history_request& question)
{
    for (auto& [number, shard] : m_shards)
    {
        const auto found = shard.workers.find(worker);
        if (found == shard.workers.end() || !is_due(found->second, now))
            continue;
        found->second.asked = true;
        question.shards.push_back({number, shard.owner_epoch});
    }
    return !question.shards.empty();
}

void recovery::merge(shard_state& shard, const std::string& worker, const history_record& record)
{
    auto& job = shard.jobs[record.job];
    job.digest = record.digest;
    job.task_count = record.task_count;
    job.made = milliseconds{record.made_ms};
    job.deadline = milliseconds{record.deadline_ms};
    if (record.state == record_state::closed)
    {
        job.closed = true;
        job.closed_as = record.output;
        return;
    }
    auto& task = job.tasks[record.task];
    // A task that was retried has a record at each worker; the furthest one counts.
    const bool same_worker = task.worker == worker || task.worker.empty();
    if (!same_worker && rank_of(record.state) <= rank_of(task.state))
        return;
    task = {record.state, worker, record.output};
}

// A task that was running at this worker and is no longer on its record was lost with the worker's
// process.
void recovery::mark_vanished(shard_state& shard, std::uint32_t number, const std::string& worker,
                             const history_reply& reply)
{
    std::set<std::pair<job_id, std::uint32_t>> reported;
    for (const auto& record : reply.records)
        if (record.shard == number)
            reported.emplace(record.job, record.task);
    for (auto& [id, job] : shard.jobs)
        for (auto& [index, task] : job.tasks)
            if (task.worker == worker && task.state == record_state::running &&
                !reported.contains({id, index}))
                task.state = record_state::stopped;
}

std::vector<std::uint32_t> recovery::on_history(instant now, const std::string& worker,
                                                const history_request& question,
                                                const history_reply& reply)
{
    std::vector<std::uint32_t> touched;
    for (const auto& fence : question.shards)
    {
        const auto found = m_shards.find(fence.shard);
        if (found == m_shards.end() || found->second.owner_epoch != fence.owner_epoch)
            continue;
        auto& shard = found->second;
        auto& state = shard.workers[worker];
        state.asked = false;
        state.backoff = microseconds{0};
        shard.unanswered -= state.answered ? 0 : 1;
        if (state.ask_again)
            mark_vanished(shard, fence.shard, worker, reply);
        state.answered = true;
        state.ask_again = false;
        shard.floor = std::max(shard.floor, milliseconds{reply.history_since_ms});
        for (const auto& record : reply.records)
        {
            if (record.shard != fence.shard)
                continue;
            merge(shard, worker, record);
            state.ask_again = state.ask_again || record.state == record_state::running;
        }
        state.ask_after = now.steady + ask_again_after;
        touched.push_back(fence.shard);
    }
    return touched;
}

void recovery::on_failure(instant now, const std::string& worker, const history_request& question)
{
    for (const auto& fence : question.shards)
    {
        const auto found = m_shards.find(fence.shard);
        if (found == m_shards.end() || found->second.owner_epoch != fence.owner_epoch)
            continue;
        auto& state = found->second.workers[worker];
        state.asked = false;
        state.backoff = state.backoff == microseconds{0}
                            ? first_question_pause
                            : std::min(2 * state.backoff, longest_question_pause);
        state.ask_after = now.steady + state.backoff;
    }
}

bool recovery::collecting(std::uint32_t shard) const
{
    const auto found = m_shards.find(shard);
    return found != m_shards.end() && found->second.unanswered > 0;
}

past recovery::past_of(std::uint32_t number, const job_id& id, milliseconds made) const
{
    const auto found = m_shards.find(number);
    if (found == m_shards.end() || made > found->second.before)
        return past::not_affected;
    const auto& shard = found->second;
    if (shard.unanswered > 0)
        return past::collecting;
    if (made < shard.floor + m_most_ahead + host_skew)
        return past::gap;
    return shard.jobs.contains(id) ? past::on_record : past::never_started;
}

const recovered_job* recovery::find(std::uint32_t shard, const job_id& id) const
{
    const auto found = m_shards.find(shard);
    if (found == m_shards.end())
        return nullptr;
    const auto job = found->second.jobs.find(id);
    return job == found->second.jobs.end() ? nullptr : &job->second;
}

void recovery::forget_job(std::uint32_t shard, const job_id& id)
{
    const auto found = m_shards.find(shard);
    if (found != m_shards.end())
        found->second.jobs.erase(id);
}

void recovery::expire(milliseconds now)
{
    std::erase_if(m_shards,
                  [&](const auto& shard) { return shard.second.before + m_window < now; });
}

std::size_t recovery::job_count() const
{
    std::size_t count = 0;
    for (const auto& [number, shard] : m_shards)
        count += shard.jobs.size();
    return count;
}

} // namespace egretledge
