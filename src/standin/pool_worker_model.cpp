#include "standin/pool_worker_model.hpp"
#include <algorithm>

namespace egretledge::standin
{

using namespace pool;

namespace
{

// The time from a stop order to the end of the run. A real stop takes up to 50 ms.
constexpr microseconds stop_delay{30000};
constexpr std::int64_t max_lease_ms = 1000;
constexpr std::int64_t initial_clock_ms = 1000; // reading of the worker's clock at each start

} // namespace

pool_worker_model::pool_worker_model(worker_entry entry, double clock_rate,
                                     behaviour_function behaviour_of_task, observer callbacks)
    : m_entry(std::move(entry)), m_clock_rate(clock_rate),
      m_behaviour_of_task(std::move(behaviour_of_task)), m_observer(std::move(callbacks))
{
}

std::int64_t pool_worker_model::clock_ms(microseconds now) const
{
    return initial_clock_ms +
           static_cast<std::int64_t>(static_cast<double>((now - m_started_at).count()) / 1000.0 *
                                     m_clock_rate);
}

void pool_worker_model::crash(microseconds now)
{
    advance(now);
    while (!m_running.empty())
        end_run(now, m_running.begin()->first, run_end::broken);
    m_up = false;
}

void pool_worker_model::restart(microseconds now)
{
    m_up = true;
    ++m_start_time_ms;
    m_started_at = now;
    m_fence = 0;
    m_lease_until_ms = 0;
    m_max_ended_run.clear();
    m_ended.clear();
    m_next_end = 1;
}

void pool_worker_model::end_run(microseconds now, run_ref run, run_end run_outcome)
{
    const auto task = m_running.find(run);
    m_used -= task->second.behaviour.demand;
    m_running.erase(task);
    auto& max_ended_run = m_max_ended_run[run.task];
    max_ended_run = std::max(max_ended_run, run.number);
    m_ended.push_back({m_next_end++, run, run_outcome});
    m_observer.ended(now, m_entry.id, run, run_outcome);
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
                end_run(*due, m_running.begin()->first, run_end::lapsed);
            continue;
        }
        for (const auto& [run, task] : m_running)
            if (task.crashes_at.count() >= 0 && task.crashes_at <= *due)
            {
                const auto culprit = run;
                while (!m_running.empty())
                    end_run(*due, m_running.begin()->first, run_end::broken);
                m_up = false;
                if (m_observer.crashed)
                    m_observer.crashed(*due, m_entry.id, culprit);
                return;
            }
        for (const auto& [run, task] : m_running)
        {
            if (task.stops_at.count() >= 0 && task.stops_at <= *due)
                end_run(*due, run, run_end::stopped);
            else if (task.ends_at <= *due)
                end_run(*due, run, task.behaviour.fails ? run_end::failed : run_end::done);
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
    const auto expiry_ms =
        static_cast<double>(m_lease_until_ms + 1 - initial_clock_ms) / m_clock_rate;
    auto due = m_started_at + microseconds{static_cast<std::int64_t>(expiry_ms * 1000.0) + 1000};
    for (const auto& [run, task] : m_running)
    {
        due = std::min(due, task.ends_at);
        if (task.crashes_at.count() >= 0)
            due = std::min(due, task.crashes_at);
        if (task.stops_at.count() >= 0)
            due = std::min(due, task.stops_at);
    }
    return due;
}

bool pool_worker_model::reject_if_fenced(std::uint64_t fence, worker_reply& reply)
{
    if (fence >= m_fence)
    {
        m_fence = fence;
        return false;
    }
    reply.result = order_result::stale_fence;
    return true;
}

void pool_worker_model::extend_lease(std::int64_t lease_until_ms, microseconds now)
{
    m_lease_until_ms =
        std::max(m_lease_until_ms, std::min(lease_until_ms, clock_ms(now) + max_lease_ms));
}

worker_reply pool_worker_model::current_reply(microseconds now) const
{
    worker_reply reply;
    reply.result = order_result::accepted;
    reply.clock_ms = clock_ms(now);
    reply.start_time_ms = m_start_time_ms;
    for (const auto& [run, task] : m_running)
    {
        const auto share = static_cast<double>((now - task.started_at).count()) /
                           static_cast<double>(
                               std::max<std::int64_t>(1, (task.ends_at - task.started_at).count()));
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
    reply.start_time_ms = m_start_time_ms;
    if (reject_if_fenced(order.fence, reply))
        return reply;
    extend_lease(order.lease_until_ms, now);
    std::erase_if(m_ended, [&](const ended_entry& line) { return line.number <= order.ends_seen; });
    return current_reply(now);
}

bool pool_worker_model::has_update(std::uint64_t ends_seen) const
{
    return !m_ended.empty() && m_ended.back().number > ends_seen;
}

worker_reply pool_worker_model::start(microseconds now, const actions::start_run& order)
{
    advance(now);
    worker_reply reply;
    reply.clock_ms = clock_ms(now);
    if (reject_if_fenced(order.fence, reply))
        return reply;
    if (order.lease_until_ms <= clock_ms(now))
    {
        reply.result = order_result::too_late;
        return reply;
    }
    extend_lease(order.lease_until_ms, now);
    reply.result = order_result::accepted;
    if (m_running.contains(order.run))
        return reply;
    const auto max_ended_run = m_max_ended_run.find(order.run.task);
    if (max_ended_run != m_max_ended_run.end() && order.run.number <= max_ended_run->second)
    {
        reply.result = order_result::stale_run;
        return reply;
    }
    auto behaviour = m_behaviour_of_task(order.run.task);
    behaviour.fails = behaviour.fails || m_failing;
    behaviour.time = std::chrono::duration_cast<microseconds>(behaviour.time * m_slow_factor);
    m_used += behaviour.demand;
    const auto crashes_at =
        behaviour.crashes_after.count() < 0 ? microseconds{-1} : now + behaviour.crashes_after;
    m_running[order.run] = {now, now + behaviour.time, microseconds{-1}, crashes_at, behaviour};
    m_observer.started(now, m_entry.id, order.run);
    return reply;
}

worker_reply pool_worker_model::stop(microseconds now, const actions::stop_run& order)
{
    advance(now);
    worker_reply reply;
    reply.clock_ms = clock_ms(now);
    if (reject_if_fenced(order.fence, reply))
        return reply;
    reply.result = order_result::accepted;
    const auto task = m_running.find(order.run);
    if (task != m_running.end())
    {
        if (task->second.stops_at.count() < 0)
            task->second.stops_at = now + stop_delay;
        return reply;
    }
    auto& max_ended_run = m_max_ended_run[order.run.task];
    max_ended_run = std::max(max_ended_run, order.run.number);
    return reply;
}

} // namespace egretledge::standin
