#include "standin/pool_worker_model.hpp"
#include <algorithm>

namespace egretledge::standin
{

using namespace pool;

namespace
{

constexpr microseconds stop_time{30000}; // a stop takes up to 50 ms
constexpr std::int64_t longest_lease_ms = 1000;
constexpr std::int64_t first_clock_ms = 1000; // a worker's clock begins anew with it

} // namespace

pool_worker_model::pool_worker_model(worker_entry entry, double clock_rate, behaviour tasks,
                                     observer watch)
    : m_entry(std::move(entry)), m_clock_rate(clock_rate), m_tasks(std::move(tasks)),
      m_watch(std::move(watch))
{
}

std::int64_t pool_worker_model::clock_ms(microseconds now) const
{
    return first_clock_ms +
           static_cast<std::int64_t>(static_cast<double>((now - m_born_at).count()) / 1000.0 *
                                     m_clock_rate);
}

void pool_worker_model::crash(microseconds now)
{
    advance(now);
    while (!m_running.empty())
        end(now, m_running.begin()->first, run_end::broken);
    m_up = false;
}

void pool_worker_model::restart(microseconds now)
{
    m_up = true;
    ++m_born_ms;
    m_born_at = now;
    m_fence = 0;
    m_lease_until_ms = 0;
    m_barred.clear();
    m_ended.clear();
    m_next_end = 1;
}

void pool_worker_model::end(microseconds now, run_ref run, run_end how)
{
    const auto task = m_running.find(run);
    m_used -= task->second.about.demand;
    m_running.erase(task);
    auto& barred = m_barred[run.task];
    barred = std::max(barred, run.number);
    m_ended.push_back({m_next_end++, run, how});
    m_watch.ended(now, m_entry.id, run, how);
}

void pool_worker_model::advance(microseconds now)
{
    for (;;)
    {
        const auto due = next_due();
        if (!due || *due > now)
            return;
        if (clock_ms(*due) > m_lease_until_ms)
        {
            while (!m_running.empty())
                end(*due, m_running.begin()->first, run_end::lapsed);
            continue;
        }
        for (const auto& [run, task] : m_running)
        {
            if (task.stops.count() >= 0 && task.stops <= *due)
                end(*due, run, run_end::stopped);
            else if (task.ends <= *due)
                end(*due, run, task.about.fails ? run_end::failed : run_end::done);
            else
                continue;
            break;
        }
    }
}

std::optional<microseconds> pool_worker_model::next_due() const
{
    if (m_running.empty())
        return std::nullopt;
    const auto lapse_ms = static_cast<double>(m_lease_until_ms + 1 - first_clock_ms) / m_clock_rate;
    auto due = m_born_at + microseconds{static_cast<std::int64_t>(lapse_ms * 1000.0) + 1000};
    for (const auto& [run, task] : m_running)
    {
        due = std::min(due, task.ends);
        if (task.stops.count() >= 0)
            due = std::min(due, task.stops);
    }
    return due;
}

bool pool_worker_model::refused(std::uint64_t fence, worker_reply& reply)
{
    if (fence >= m_fence)
    {
        m_fence = fence;
        return false;
    }
    reply.result = order_result::stale_fence;
    return true;
}

void pool_worker_model::extend(std::int64_t lease_until_ms, microseconds now)
{
    m_lease_until_ms =
        std::max(m_lease_until_ms, std::min(lease_until_ms, clock_ms(now) + longest_lease_ms));
}

worker_reply pool_worker_model::lists(microseconds now) const
{
    worker_reply reply;
    reply.result = order_result::accepted;
    reply.clock_ms = clock_ms(now);
    reply.start_time_ms = m_born_ms;
    for (const auto& [run, task] : m_running)
    {
        const auto share =
            static_cast<double>((now - task.began).count()) /
            static_cast<double>(std::max<std::int64_t>(1, (task.ends - task.began).count()));
        reply.running.push_back({run, static_cast<std::uint32_t>(share * 100)});
    }
    reply.ended = m_ended;
    return reply;
}

worker_reply pool_worker_model::hold(microseconds now, const actions::hold_worker& order)
{
    advance(now);
    worker_reply reply;
    reply.clock_ms = clock_ms(now);
    reply.start_time_ms = m_born_ms;
    if (refused(order.fence, reply))
        return reply;
    extend(order.lease_until_ms, now);
    std::erase_if(m_ended, [&](const ended_entry& line) { return line.number <= order.ends_seen; });
    return lists(now);
}

bool pool_worker_model::has_news(std::uint64_t ends_seen) const
{
    return !m_ended.empty() && m_ended.back().number > ends_seen;
}

worker_reply pool_worker_model::start(microseconds now, const actions::start_run& order)
{
    advance(now);
    worker_reply reply;
    reply.clock_ms = clock_ms(now);
    if (refused(order.fence, reply))
        return reply;
    if (order.lease_until_ms <= clock_ms(now))
    {
        reply.result = order_result::too_late;
        return reply;
    }
    extend(order.lease_until_ms, now);
    reply.result = order_result::accepted;
    if (m_running.contains(order.run))
        return reply;
    const auto barred = m_barred.find(order.run.task);
    if (barred != m_barred.end() && order.run.number <= barred->second)
    {
        reply.result = order_result::stale_run;
        return reply;
    }
    auto about = m_tasks(order.run.task);
    about.fails = about.fails || m_failing;
    about.time = std::chrono::duration_cast<microseconds>(about.time * m_slow);
    m_used += about.demand;
    m_running[order.run] = {now, now + about.time, microseconds{-1}, about};
    m_watch.started(now, m_entry.id, order.run);
    return reply;
}

worker_reply pool_worker_model::stop(microseconds now, const actions::stop_run& order)
{
    advance(now);
    worker_reply reply;
    reply.clock_ms = clock_ms(now);
    if (refused(order.fence, reply))
        return reply;
    reply.result = order_result::accepted;
    const auto task = m_running.find(order.run);
    if (task != m_running.end())
    {
        if (task->second.stops.count() < 0)
            task->second.stops = now + stop_time;
        return reply;
    }
    auto& barred = m_barred[order.run.task];
    barred = std::max(barred, order.run.number);
    return reply;
}

} // namespace egretledge::standin
