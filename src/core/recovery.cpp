// recovery.hpp describes the method. Trade-off: the whole history is fetched, not the history of
// single keys. So a takeover costs one exchange per worker, however many keys are requested again;
// the size of the exchange grows with the number of tasks started within the key window.
//
// Clocks: the time of a key may be ahead of the true time by max_key_ahead, and the clocks of hosts
// and workers differ by up to max_host_skew. An earlier owner may know keys made up to takeover +
// max_key_ahead + max_host_skew; tasks of a key start after made - max_key_ahead - max_host_skew.

#include "core/recovery.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr milliseconds max_host_skew{500};
constexpr microseconds min_request_backoff = milliseconds{100};
constexpr microseconds max_request_backoff = milliseconds{2000};
constexpr microseconds running_task_poll_interval = milliseconds{50};

int rank_of(record_state state)
{
    return state == record_state::done ? 2 : state == record_state::running ? 1 : 0;
}

} // namespace

bool recovered_job::any_in_state(record_state state) const
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

recovery::recovery(milliseconds max_key_ahead, milliseconds key_window)
    : m_max_key_ahead(max_key_ahead), m_key_window(key_window)
{
}

void recovery::begin(instant now, std::uint32_t shard, epoch owner_epoch,
                     milliseconds answers_unknown_before, const std::vector<std::string>& workers)
{
    shard_state state;
    state.owner_epoch = owner_epoch;
    state.answers_unknown_before = answers_unknown_before;
    state.key_boundary = boundary(now);
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
    return now.wall + m_max_key_ahead + max_host_skew;
}

milliseconds recovery::answers_unknown_before(std::uint32_t shard) const
{
    const auto found = m_shards.find(shard);
    return found == m_shards.end() ? milliseconds{0} : found->second.answers_unknown_before;
}

bool recovery::is_due(const worker_state& worker, instant now)
{
    return !worker.request_in_flight && (!worker.answered || worker.poll_again) &&
           now.steady >= worker.next_request_at;
}

std::vector<std::string> recovery::workers_due(instant now) const
{
    std::set<std::string> names;
    for (const auto& [number, shard] : m_shards)
        for (const auto& [name, worker] : shard.workers)
            if (is_due(worker, now))
                names.insert(name);
    return {names.begin(), names.end()};
}

bool recovery::make_request_for(const std::string& worker, instant now, history_request& request)
{
    for (auto& [number, shard] : m_shards)
    {
        const auto found = shard.workers.find(worker);
        if (found == shard.workers.end() || !is_due(found->second, now))
            continue;
        found->second.request_in_flight = true;
        request.shards.push_back({number, shard.owner_epoch});
    }
    return !request.shards.empty();
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
    // A task that was retried has a record at each worker that it was sent to; the record with the
    // most advanced state is kept.
    const bool same_worker = task.worker == worker || task.worker.empty();
    if (!same_worker && rank_of(record.state) <= rank_of(task.state))
        return;
    task = {record.state, worker, record.output};
}

// Marks tasks that were running at this worker and are missing from its reply as stopped: they were
// lost when the worker's process restarted.
void recovery::mark_lost_tasks(shard_state& shard, std::uint32_t number, const std::string& worker,
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
                                                const history_request& request,
                                                const history_reply& reply)
{
    std::vector<std::uint32_t> updated_shards;
    for (const auto& fence : request.shards)
    {
        const auto found = m_shards.find(fence.shard);
        if (found == m_shards.end() || found->second.owner_epoch != fence.owner_epoch)
            continue;
        auto& shard = found->second;
        auto& state = shard.workers[worker];
        state.request_in_flight = false;
        state.backoff = microseconds{0};
        shard.unanswered -= state.answered ? 0 : 1;
        if (state.poll_again)
            mark_lost_tasks(shard, fence.shard, worker, reply);
        state.answered = true;
        state.poll_again = false;
        shard.history_since = std::max(shard.history_since, milliseconds{reply.history_since_ms});
        for (const auto& record : reply.records)
        {
            if (record.shard != fence.shard)
                continue;
            merge(shard, worker, record);
            state.poll_again = state.poll_again || record.state == record_state::running;
        }
        state.next_request_at = now.steady + running_task_poll_interval;
        updated_shards.push_back(fence.shard);
    }
    return updated_shards;
}

void recovery::on_failure(instant now, const std::string& worker, const history_request& request)
{
    for (const auto& fence : request.shards)
    {
        const auto found = m_shards.find(fence.shard);
        if (found == m_shards.end() || found->second.owner_epoch != fence.owner_epoch)
            continue;
        auto& state = found->second.workers[worker];
        state.request_in_flight = false;
        state.backoff = state.backoff == microseconds{0}
                            ? min_request_backoff
                            : std::min(2 * state.backoff, max_request_backoff);
        state.next_request_at = now.steady + state.backoff;
    }
}

bool recovery::collecting(std::uint32_t shard) const
{
    const auto found = m_shards.find(shard);
    return found != m_shards.end() && found->second.unanswered > 0;
}

history_status recovery::history_status_of(std::uint32_t number, const job_id& id,
                                           milliseconds made) const
{
    const auto found = m_shards.find(number);
    if (found == m_shards.end() || made > found->second.key_boundary)
        return history_status::not_affected;
    const auto& shard = found->second;
    if (shard.unanswered > 0)
        return history_status::collecting;
    if (made < shard.history_since + m_max_key_ahead + max_host_skew)
        return history_status::incomplete;
    return shard.jobs.contains(id) ? history_status::recorded : history_status::never_started;
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
    std::erase_if(m_shards, [&](const auto& shard)
                  { return shard.second.key_boundary + m_key_window < now; });
}

std::size_t recovery::job_count() const
{
    std::size_t count = 0;
    for (const auto& [number, shard] : m_shards)
        count += shard.jobs.size();
    return count;
}

} // namespace egretledge
