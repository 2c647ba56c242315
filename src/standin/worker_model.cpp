// Accepted tasks wait in one queue in the order of their acceptance and run in slots. The run time
// of a task is its declared size times the worker's slowness.
//
// A start is checked as worker_protocol.hpp specifies: the lease, the highest sequence of the
// holder, the highest epoch of the shard, and start_by, and nothing beyond that contract. The epoch
// and start_by are checked again when a queued task gets its slot, since a fence may have been
// raised meanwhile.

#include "standin/worker_model.hpp"
#include <algorithm>

namespace egretledge::standin
{

namespace
{

constexpr std::size_t max_queued_tasks = 10000;
constexpr microseconds cleanup_interval = milliseconds{10000};

} // namespace

worker_model::worker_model(worker_settings settings, instant now)
    : m_settings(std::move(settings)), m_history_since(now.wall)
{
}

std::int64_t worker_model::clock(instant now) const
{
    return (now.steady + m_settings.clock_offset).count();
}

std::uint32_t worker_model::load() const
{
    return static_cast<std::uint32_t>(m_running.size() + m_queue.size());
}

void worker_model::handle_request(instant now, std::uint64_t request, const worker_request& body,
                                  std::vector<worker_reply>& replies)
{
    advance(now, replies);
    remove_expired(now);
    if (const auto* poll = std::get_if<result_request>(&body))
    {
        // A poll without new results waits. It does not end an older poll of the same holder.
        const waiting_poll waiting{request, *poll, now.steady + milliseconds{poll->wait_ms}};
        if (!answer_poll(now, waiting, replies))
            m_polls.push_back(waiting);
        return;
    }
    if (const auto* lease = std::get_if<lease_request>(&body))
        replies.push_back({request, answer(now, *lease)});
    else if (const auto* batch = std::get_if<start_batch>(&body))
        replies.push_back({request, answer(now, *batch)});
    else if (const auto* history = std::get_if<history_request>(&body))
        replies.push_back({request, answer(now, *history)});
    else if (const auto* stop = std::get_if<stop_request>(&body))
        replies.push_back({request, answer(now, *stop)});
    advance(now, replies);
}

worker_answer worker_model::answer(instant now, const lease_request& body)
{
    const auto found = m_leases.find(body.lease);
    const bool is_live = found != m_leases.end() && found->second.holder == body.holder &&
                         now.steady < found->second.lease_expiry;
    lease_grant grant;
    grant.worker_incarnation = m_settings.incarnation;
    grant.now_us = clock(now);
    grant.queued = load();
    grant.slots = std::min(body.slots, m_settings.slots);
    auto lease_expiry = now.steady + microseconds{m_settings.lease};
    if (is_live)
    {
        // A renewal extends the lease from the time when it was sent, however long it was in
        // transit.
        const microseconds sent_at{body.asked_at_us - m_settings.clock_offset.count()};
        lease_expiry = std::max(found->second.lease_expiry,
                                std::min(lease_expiry, sent_at + microseconds{m_settings.lease}));
        grant.lease = body.lease;
        found->second.lease_expiry = lease_expiry;
    }
    else
    {
        grant.lease = m_next_lease++;
        m_leases[grant.lease] = {body.holder, lease_expiry};
    }
    grant.lapses_at_us = (lease_expiry + m_settings.clock_offset).count();
    return grant;
}

bool worker_model::fenced(const start_order& order) const
{
    const auto fence = m_fences.find(order.shard);
    return fence != m_fences.end() && order.owner_epoch < fence->second;
}

start_verdict worker_model::check_start(instant now, const start_batch& batch,
                                        const start_order& order)
{
    if (m_settings.ignore_fences)
        return start_verdict::accepted;
    const auto lease = m_leases.find(batch.lease);
    if (lease == m_leases.end() || now.steady >= lease->second.lease_expiry ||
        lease->second.holder != batch.holder || batch.worker_incarnation != m_settings.incarnation)
        return start_verdict::lease_lapsed;
    auto& holder = m_holders[lease->second.holder];
    if (order.sequence <= holder.highest_sequence)
        return start_verdict::repeated;
    holder.highest_sequence = order.sequence;
    if (fenced(order))
        return start_verdict::stale_epoch;
    if (clock(now) > order.start_by_us)
        return start_verdict::too_late;
    if (m_closed_jobs.contains(order.job))
        return start_verdict::job_closed;
    if (m_queue.size() >= max_queued_tasks)
        return start_verdict::over_limit;
    auto& fence = m_fences[order.shard];
    fence = std::max(fence, order.owner_epoch);
    return start_verdict::accepted;
}

worker_answer worker_model::answer(instant now, const start_batch& batch)
{
    start_reply reply;
    reply.worker_incarnation = m_settings.incarnation;
    reply.now_us = clock(now);
    const auto lease = m_leases.find(batch.lease);
    for (const auto& order : batch.orders)
    {
        const auto verdict = check_start(now, batch, order);
        reply.verdicts.push_back(verdict);
        m_refused_starts += verdict == start_verdict::accepted ? 0 : 1;
        if (verdict != start_verdict::accepted)
            continue;
        const auto holder = lease == m_leases.end() ? host_ref{} : lease->second.holder;
        m_queue.push_back({order, holder, batch.lease});
    }
    fill_slots(now);
    reply.queued = load();
    return reply;
}

void worker_model::fill_slots(instant now)
{
    while (m_running.size() < m_settings.slots && !m_queue.empty())
    {
        auto next = std::move(m_queue.front());
        m_queue.pop_front();
        const auto& order = next.order;
        const bool late = clock(now) > order.start_by_us;
        if (!m_settings.ignore_fences &&
            (late || fenced(order) || m_closed_jobs.contains(order.job)))
        {
            add_result(next, task_end::not_started, microseconds{0}, {});
            continue;
        }
        const auto declared =
            static_cast<double>(microseconds{milliseconds{order.size_ms}}.count());
        const auto length = microseconds{static_cast<std::int64_t>(declared * m_settings.slowness)};
        history_record record{
            order.shard,      order.sequence, order.job,         order.digest,          order.task,
            order.task_count, order.made_ms,  order.deadline_ms, record_state::running, {}};
        m_records[{order.job, order.task}] = {next.holder, std::move(record)};
        m_started.push_back({order.job, order.task, now.steady, microseconds{-1}});
        m_running.push_back(
            {std::move(next), now.steady, now.steady + length, m_started.size() - 1, false});
    }
}

void worker_model::add_result(const pending_task& task, task_end end, microseconds ran,
                              std::string output)
{
    auto& holder = m_holders[task.holder];
    holder.lines.push_back({holder.next_index++, task.lease, task.order.sequence, task.order.job,
                            task.order.task, end, ran.count(), std::move(output)});
}

void worker_model::end_task(instant now, running_task& task)
{
    const auto& order = task.pending.order;
    const bool failed = m_settings.fail_all || order.payload.starts_with("fail");
    const auto end = task.stopped ? task_end::stopped : failed ? task_end::failed : task_end::done;
    const auto output = end == task_end::done ? "done:" + order.payload : std::string("failed");
    m_started[task.started_index].ended = now.steady;
    const auto record = m_records.find({order.job, order.task});
    if (record != m_records.end())
    {
        record->second.second.state = end == task_end::done     ? record_state::done
                                      : end == task_end::failed ? record_state::failed
                                                                : record_state::stopped;
        record->second.second.output = output;
    }
    add_result(task.pending, end, now.steady - task.started_at, output);
}

void worker_model::advance(instant now, std::vector<worker_reply>& replies)
{
    bool ended = true;
    while (ended)
    {
        ended = false;
        for (auto& task : m_running)
        {
            if (task.ends > now.steady)
                continue;
            end_task(now, task);
            task.ends = microseconds::max();
            ended = true;
        }
        std::erase_if(m_running,
                      [](const running_task& t) { return t.ends == microseconds::max(); });
        fill_slots(now);
    }
    std::erase_if(m_polls,
                  [&](const waiting_poll& poll) { return answer_poll(now, poll, replies); });
}

bool worker_model::answer_poll(instant now, const waiting_poll& poll,
                               std::vector<worker_reply>& replies)
{
    auto& holder = m_holders[poll.body.holder];
    const bool same_incarnation = poll.body.worker_incarnation == m_settings.incarnation;
    while (same_incarnation && !holder.lines.empty() &&
           holder.lines.front().index <= poll.body.after)
        holder.lines.pop_front();
    if (holder.lines.empty() && now.steady < poll.deadline)
        return false;
    result_reply reply;
    reply.worker_incarnation = m_settings.incarnation;
    reply.now_us = clock(now);
    reply.queued = load();
    reply.lines.assign(holder.lines.begin(), holder.lines.end());
    replies.push_back({poll.request, std::move(reply)});
    return true;
}

worker_answer worker_model::answer(instant now, const history_request& body)
{
    const auto is_requested = [&](std::uint32_t shard)
    {
        return std::any_of(body.shards.begin(), body.shards.end(),
                           [&](const shard_fence& f) { return f.shard == shard; });
    };
    for (const auto& fence : body.shards)
    {
        auto& current_fence = m_fences[fence.shard];
        current_fence = std::max(current_fence, fence.owner_epoch);
    }
    if (!body.holder.empty())
    {
        auto& holder = m_holders[body.holder];
        holder.highest_sequence = std::max(holder.highest_sequence, body.up_to);
    }
    // A queued task never starts once it is fenced or lies in the requested range of sequences.
    std::erase_if(m_queue,
                  [&](const pending_task& task)
                  {
                      const bool in_doubt = task.holder == body.holder &&
                                            task.order.sequence >= body.from &&
                                            task.order.sequence <= body.up_to;
                      if (!fenced(task.order) && !in_doubt)
                          return false;
                      add_result(task, task_end::not_started, microseconds{0}, {});
                      return true;
                  });
    history_reply reply;
    reply.worker_incarnation = m_settings.incarnation;
    reply.now_us = clock(now);
    reply.history_since_ms = m_history_since.count();
    for (const auto& [key, entry] : m_records)
    {
        const auto& [holder, record] = entry;
        const bool in_doubt = !body.holder.empty() && holder == body.holder &&
                              record.sequence >= body.from && record.sequence <= body.up_to;
        if (in_doubt || is_requested(record.shard))
            reply.records.push_back(record);
    }
    for (const auto& [job, record] : m_closed_records)
        if (is_requested(record.shard))
            reply.records.push_back(record);
    return reply;
}

worker_answer worker_model::answer(instant now, const stop_request& body)
{
    stop_reply reply;
    reply.worker_incarnation = m_settings.incarnation;
    for (const auto& close : body.jobs)
    {
        auto& fence = m_fences[close.shard];
        if (close.owner_epoch < fence)
        {
            reply.verdicts.push_back(stop_verdict::stale_epoch);
            continue;
        }
        fence = close.owner_epoch;
        reply.verdicts.push_back(stop_verdict::recorded);
        m_closed_jobs.insert(close.job);
        for (auto& task : m_running)
            if (task.pending.order.job == close.job && !task.stopped)
            {
                task.stopped = true;
                task.ends = now.steady;
            }
        m_closed_records[close.job] = {close.shard,
                                       0,
                                       close.job,
                                       close.digest,
                                       0,
                                       close.task_count,
                                       close.made_ms,
                                       close.deadline_ms,
                                       record_state::closed,
                                       close.reason};
    }
    reply.now_us = clock(now);
    return reply;
}

void worker_model::remove_expired(instant now)
{
    if (now.steady < m_next_cleanup)
        return;
    m_next_cleanup = now.steady + cleanup_interval;
    const auto oldest = (now.wall - m_settings.record_window).count();
    std::erase_if(m_records,
                  [&](const auto& entry)
                  {
                      return entry.second.second.made_ms < oldest &&
                             entry.second.second.state != record_state::running;
                  });
    std::erase_if(m_closed_records,
                  [&](const auto& entry) { return entry.second.made_ms < oldest; });
    std::erase_if(
        m_leases, [&](const auto& entry)
        { return entry.second.lease_expiry + 2 * microseconds{m_settings.lease} < now.steady; });
}

microseconds worker_model::next_event() const
{
    auto next = microseconds::max();
    for (const auto& task : m_running)
        next = std::min(next, task.ends);
    for (const auto& poll : m_polls)
        next = std::min(next, poll.deadline);
    return next;
}

} // namespace egretledge::standin
