// A worker refuses every order whose fencing token is lower than the highest it has seen, and lists
// the runs on it. The implementation follows three rules.
//
// 1. Nothing starts before the worker has accepted a hold under the current token, since only the
//    list in its answer shows what a former holder left running. Such runs are stopped. Until their
//    ends are listed the worker counts as full, because their demand is not known here.
//
// 2. A start without an answer is in doubt: it may be carried out seconds later, on resources that
//    have been allocated to another run by then. The token is raised and a hold is sent under it.
//    If the run is in the list of that hold, it was started; if not, it never will be. Nothing else
//    starts meanwhile. The alternative, a stop for the run, would fence off only that run; the
//    raised token fences off every late order.
//
// 3. A run that was known to be running counts as ended on a silent worker once its lease has
//    certainly expired: the worker's clock, as last reported and advanced at the slowest rate
//    assumed, has passed the latest lease end in any order. That does not hold for a start in
//    doubt, since a worker may count the lease from the time at which it carries the start out.
//    Such a start stays in doubt until the worker accepts the raised token, or until no worker
//    carries it out any more (`unanswered_start_timeout`). The trade-off: its task waits for a
//    worker that crashed, where a new start might have been in time.
//
// 4. A hold without an answer that extends the lease may do so seconds later. The token is raised
//    then too, so that the next accepted hold fences it off.
//
// Answers may arrive out of order. The list of a hold is therefore conclusive about a run only if
// the hold was sent after the run was known to be running, or under a higher token than the run's
// start.

#include "pool/held_worker.hpp"
#include "core/check.hpp"
#include <algorithm>
#include <array>

namespace egretledge::pool
{

namespace
{

constexpr std::uint64_t min_fence_step = 1ULL << 12; // one millisecond in the token's time part
constexpr std::uint64_t max_fence_step = 1ULL << 26; // 16 s: more than the largest clock difference
constexpr std::uint32_t max_open_holds = 3;          // two of them may have been lost
// A hold that is not answered within its own wait time plus this margin counts as lost, and another
// one is sent.
constexpr milliseconds hold_timeout_margin{60};
// An answered stop takes at most 50 ms; after this time the stop or its answer may be lost.
constexpr milliseconds stop_retry_interval{100};
constexpr std::int64_t lease_expiry_margin_ms = 20; // workers end runs slightly after lease expiry

} // namespace

held_worker::held_worker(const held_worker_settings& settings, worker_entry entry,
                         std::uint64_t fence)
    : m_settings(settings), m_entry(std::move(entry)), m_fence(fence), m_fence_step(min_fence_step),
      m_fence_unconfirmed(true)
{
}

bool held_worker::usable() const
{
    return m_acquired && !m_lost && !m_fence_unconfirmed && m_silent_since.count() == 0;
}

bool held_worker::has_foreign_runs() const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [](const auto& entry) { return entry.second.foreign; });
}

resources held_worker::free() const
{
    return has_foreign_runs() ? resources{} : m_entry.capacity - m_used;
}

std::vector<held_worker::run_view> held_worker::runs() const
{
    std::vector<run_view> views;
    for (const auto& [ref, state] : m_runs)
        if (!state.foreign)
            views.push_back(state.view);
    return views;
}

const held_worker::run_view* held_worker::find(const run_ref& run) const
{
    const auto entry = m_runs.find(run);
    return entry == m_runs.end() ? nullptr : &entry->second.view;
}

void held_worker::raise_fence()
{
    m_fence += m_fence_step;
    m_fence_step = std::min(m_fence_step * 4, max_fence_step);
    m_fence_unconfirmed = true;
    m_next_hold = microseconds{0};
}

std::int64_t held_worker::clock_estimate(microseconds now) const
{
    return m_clock_ms + std::chrono::duration_cast<milliseconds>(now - m_clock_at).count();
}

bool held_worker::lease_certainly_expired(microseconds now) const
{
    if (!m_clock_known)
        return true;
    const auto passed = static_cast<double>((now - m_clock_at).count()) / 1000.0;
    const double slowest = static_cast<double>(m_clock_ms) + passed * (1 - m_settings.clock_drift);
    return slowest > static_cast<double>(m_lease_sent_ms + lease_expiry_margin_ms);
}

bool held_worker::certainly_ended(const run_state& state, microseconds now) const
{
#ifdef EGRETLEDGE_BREAK_LAPSE
    return true;
#endif
    if (state.at == stage::starting)
        return now - state.view.sent >= m_settings.unanswered_start_timeout;
    if (!state.foreign)
        return lease_certainly_expired(now);
    // The token that the worker had accepted when it listed the run fences off its former holder,
    // so that its lease was not extended since.
    const auto listed_ago = static_cast<double>((now - state.view.percent_at).count()) / 1000.0;
    return listed_ago * (1 - m_settings.clock_drift) >
           static_cast<double>(m_settings.max_lease.count() + lease_expiry_margin_ms);
}

bool held_worker::stop_in_doubt() const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [](const auto& entry)
                       { return entry.second.view.stopping && !entry.second.stop_accepted; });
}

bool held_worker::stop_due(const run_state& state, microseconds now) const
{
    const milliseconds interval = state.stop_accepted ? m_settings.lease : stop_retry_interval;
    return state.view.stopping && !state.stop_open &&
           now - state.stop_sent > interval + m_processing_delay;
}

std::int64_t held_worker::extend_lease(microseconds now)
{
    if (!m_clock_known)
        return 0;
    if (stop_in_doubt())
        return m_lease_sent_ms;
    const auto until = clock_estimate(now) + m_settings.lease.count();
    m_lease_sent_ms = std::max(m_lease_sent_ms, until);
    return until;
}

void held_worker::start(microseconds now, const run_ref& run, const resources& demand,
                        const std::string& payload, std::uint64_t& next_request, action_list& out)
{
    EGRET_CHECK(usable() && demand.fits(free()),
                "a start needs a usable worker with enough free resources");
    run_state state;
    state.view = {run, demand, now, 0, now, false, false};
    state.fence = m_fence;
    state.start_time_ms = m_start_time_ms;
    m_runs.emplace(run, state);
    m_used += demand;
    const auto request = next_request++;
    m_orders[request] = {order_kind::start, run, m_fence, now, true};
    out.push_back(actions::start_run{request, m_entry.id, m_entry.address, m_fence,
                                     extend_lease(now), run, payload, order_timeout()});
    if (m_open_holds == 0)
        send_hold(now, renew_interval(), next_request, out);
    m_next_hold = std::min(m_next_hold, now + renew_interval() + hold_timeout_margin);
}

void held_worker::stop(microseconds now, const run_ref& run, std::uint64_t& next_request,
                       action_list& out)
{
    const auto entry = m_runs.find(run);
    if (entry == m_runs.end() || m_lost)
        return;
    entry->second.view.stopping = true;
    entry->second.stop_sent = now;
    entry->second.stop_open = true;
    const auto request = next_request++;
    m_orders[request] = {order_kind::stop, run, m_fence, now};
    out.push_back(
        actions::stop_run{request, m_entry.id, m_entry.address, m_fence, run, order_timeout()});
}

void held_worker::send_hold(microseconds now, milliseconds wait, std::uint64_t& next_request,
                            action_list& out)
{
    const auto request = next_request++;
    ++m_open_holds;
    // A hold to a silent worker does not extend the lease, since otherwise the lease of its runs
    // would never be known to have expired. Neither does a hold if all runs are to be stopped.
    const bool renews = m_silent_since.count() == 0 &&
                        std::any_of(m_runs.begin(), m_runs.end(),
                                    [](const auto& entry) {
                                        return !entry.second.foreign && !entry.second.view.stopping;
                                    });
    m_orders[request] = {order_kind::hold, {}, m_fence, now, renews};
    out.push_back(actions::hold_worker{request, m_entry.id, m_entry.address, m_fence,
                                       renews ? extend_lease(now) : 0, m_ends_seen, wait,
                                       wait + std::max(hold_timeout_margin, order_timeout())});
    m_next_hold = now + wait + hold_timeout_margin;
}

void held_worker::tick(microseconds now, std::uint64_t& next_request, action_list& out,
                       worker_events& events)
{
    if (m_lost)
        return;
    if (m_silent_since.count() != 0 && end_silent_runs(now, events))
    {
        raise_fence();
        m_next_hold = now + m_settings.retry_delay;
    }
    for (auto& [ref, state] : m_runs)
        if (stop_due(state, now) && usable())
            stop(now, ref, next_request, out);
    const bool due = now >= m_next_hold;
    const bool no_open_hold = m_open_holds == 0 && m_silent_since.count() == 0;
    if (m_open_holds >= max_open_holds || (!due && !no_open_hold))
        return;
    if (m_fence_unconfirmed || m_silent_since.count() != 0)
        return due ? send_hold(now, milliseconds{0}, next_request, out) : void();
    if (m_runs.empty())
    {
        if (no_open_hold)
            send_hold(now, m_lossy ? renew_interval() : m_settings.idle_check_interval,
                      next_request, out);
        return;
    }
    send_hold(now, renew_interval(), next_request, out);
}

bool held_worker::on_reply(microseconds now, std::uint64_t request, const worker_reply& reply,
                           std::uint64_t& next_request, action_list& out, worker_events& events)
{
    const auto found = m_orders.find(request);
    if (found == m_orders.end())
        return false;
    const open_order order = found->second;
    m_orders.erase(found);
    if (order.kind == order_kind::hold)
        --m_open_holds;
    if (m_lost)
        return true;
    if (reply.clock_ms > 0 && (!m_clock_known || reply.clock_ms >= m_clock_ms))
    {
        m_clock_known = true;
        m_clock_ms = reply.clock_ms;
        m_clock_at = now;
    }
    switch (order.kind)
    {
    case order_kind::hold:
        on_hold(now, order, reply, events);
        break;
    case order_kind::start:
        on_start(now, order, reply, events);
        break;
    case order_kind::stop:
        if (const auto run = m_runs.find(order.run); run != m_runs.end())
            run->second.stop_open = false;
        if (reply.result == order_result::other_lifetime)
            mark_lost(reply.result, events);
        else if (const auto run = m_runs.find(order.run);
                 run != m_runs.end() && reply.result == order_result::accepted)
            run->second.stop_accepted = true;
        break;
    }
    for (auto& [ref, state] : m_runs)
        if (state.foreign && !state.view.stopping && usable())
            stop(now, ref, next_request, out);
    tick(now, next_request, out, events);
    return true;
}

void held_worker::record_silence(microseconds now)
{
    if (m_silent_since.count() == 0)
        m_silent_since = now;
    m_next_hold = std::max(m_next_hold, now + m_settings.retry_delay);
}

void held_worker::on_hold(microseconds now, const open_order& order, const worker_reply& reply,
                          worker_events& events)
{
    switch (reply.result)
    {
    case order_result::accepted:
        break;
    case order_result::stale_fence:
        if (order.fence < m_fence)
            return;
        if (m_acquired)
            return mark_lost(reply.result, events);
        raise_fence();
        m_next_hold = now + m_settings.retry_delay;
        return;
    case order_result::other_lifetime:
        return mark_lost(reply.result, events);
    case order_result::no_answer:
        if (order.extends_lease && order.fence == m_fence)
            raise_fence();
        return record_silence(now);
    default:
        return record_silence(now);
    }
    const bool was_silent = std::exchange(m_silent_since, microseconds{0}).count() != 0;
    if (m_start_time_ms != 0 && reply.start_time_ms != 0 && reply.start_time_ms != m_start_time_ms)
        on_worker_restart(now, reply);
    if (reply.start_time_ms != 0)
        m_start_time_ms = reply.start_time_ms;
    for (const auto& line : reply.running)
        record_running(now, line, reply.clock_ms, events);
    for (const auto& line : reply.ended)
        record_ended(line, now, reply.clock_ms, events);
    resolve_unlisted_runs(now, order, reply, events);
    if (order.fence != m_fence)
    {
        // The worker answers, so the hold under the raised token need not wait for the retry delay.
        if (was_silent)
            m_next_hold = now;
        return;
    }
    m_fence_unconfirmed = false;
    m_fence_step = min_fence_step;
    if (!m_acquired)
        m_found_runs = has_foreign_runs();
    if (!std::exchange(m_acquired, true))
        events.push_back({worker_event_kind::taken, m_entry.id, {}, {}, {}, {}});
    if (!m_runs.empty() && m_open_holds == 0)
        m_next_hold = now;
}

void held_worker::on_start(microseconds now, const open_order& order, const worker_reply& reply,
                           worker_events& events)
{
    const auto entry = m_runs.find(order.run);
    const bool open = entry != m_runs.end() && entry->second.at == stage::starting;
    const auto not_started = [&](order_result reason)
    {
        if (!open)
            return;
        remove_run(entry);
        events.push_back({worker_event_kind::not_started, m_entry.id, order.run, {}, reason, {}});
    };
    switch (reply.result)
    {
    case order_result::accepted:
        if (open)
        {
            entry->second.at = stage::running;
            entry->second.view.confirmed = true;
            entry->second.confirmed_at = now;
            entry->second.started_clock_ms = reply.clock_ms;
        }
        return;
    case order_result::stale_fence:
        not_started(reply.result);
        if (order.fence == m_fence)
            mark_lost(reply.result, events);
        return;
    case order_result::other_lifetime:
        not_started(reply.result);
        return mark_lost(reply.result, events);
    case order_result::no_answer:
        if (!open || entry->second.fence < m_fence)
            return; // the run has ended, or a token raised since its start resolves it
#ifdef EGRETLEDGE_BREAK_DOUBT
        return not_started(reply.result);
#endif
        raise_fence();
        return;
    case order_result::unreachable:
        not_started(reply.result);
        return record_silence(now);
    default:
        return not_started(reply.result);
    }
}

void held_worker::record_running(microseconds now, const running_entry& line, std::int64_t clock_ms,
                                 worker_events& events)
{
    auto [entry, inserted] = m_runs.try_emplace(line.run);
    auto& state = entry->second;
    if (inserted)
    {
        state.view.run = line.run;
        state.view.sent = now;
        state.foreign = true;
        events.push_back({worker_event_kind::found, m_entry.id, line.run, {}, {}, {}});
    }
    if (state.at == stage::starting)
    {
        state.at = stage::running;
        state.view.confirmed = true;
        state.confirmed_at = now;
    }
    state.start_time_ms = m_start_time_ms;
    state.listed_clock_ms = clock_ms;
    state.view.percent = line.percent;
    state.view.percent_at = now;
}

bool held_worker::read_late(const run_state& state, microseconds now, std::int64_t clock_ms) const
{
    if (clock_ms == 0 || state.started_clock_ms == 0)
        return false;
    const microseconds by_worker = milliseconds{clock_ms - state.started_clock_ms};
    if (now - state.view.sent > by_worker + order_timeout())
        return true;
    const milliseconds unlisted{clock_ms - std::max(state.started_clock_ms, state.listed_clock_ms)};
    return unlisted > m_settings.idle_check_interval + hold_timeout_margin + order_timeout();
}

void held_worker::record_ended(const ended_entry& line, microseconds now, std::int64_t clock_ms,
                               worker_events& events)
{
    if (line.number <= m_ends_seen)
        return;
    m_ends_seen = line.number;
    const auto entry = m_runs.find(line.run);
    if (entry == m_runs.end())
        return events.push_back({worker_event_kind::found, m_entry.id, line.run, line.end, {}, {}});
    const bool ours = !entry->second.foreign;
    const auto ran = now - entry->second.view.sent;
    const bool late = read_late(entry->second, now, clock_ms);
    remove_run(entry);
    if (!ours)
        return;
    events.push_back({worker_event_kind::ended, m_entry.id, line.run, line.end, {}, ran});
    events.back().read_late = late;
}

void held_worker::resolve_unlisted_runs(microseconds now, const open_order& order,
                                        const worker_reply& reply, worker_events& events)
{
    if (reply.more_ended)
        return;
    std::vector<run_ref> listed;
    for (const auto& line : reply.running)
        listed.push_back(line.run);
    for (auto entry = m_runs.begin(); entry != m_runs.end();)
    {
        const auto here = entry++;
        const auto& state = here->second;
        if (std::find(listed.begin(), listed.end(), here->first) != listed.end())
            continue;
        const bool never_started = state.at == stage::starting && state.fence < order.fence;
        const bool run_ended = state.at == stage::running && state.confirmed_at < order.sent;
        if (!never_started && !run_ended)
            continue;
        const auto run = here->first;
        const bool ours = !state.foreign;
        // What an incarnation that has ended had started is not in the lists of the next one.
        const bool crashed = state.start_time_ms != m_start_time_ms;
        const auto end = make_end(now, state, crashed ? run_end::crashed : run_end::lapsed);
        remove_run(here);
        if (!ours)
            continue;
        if (never_started && !crashed)
            events.push_back(
                {worker_event_kind::not_started, m_entry.id, run, {}, order_result::no_answer, {}});
        else
            events.push_back(end);
    }
}

worker_event held_worker::make_end(microseconds now, const run_state& state, run_end end) const
{
    worker_event event;
    event.kind = worker_event_kind::ended;
    event.worker = m_entry.id;
    event.run = state.view.run;
    event.end = end;
    event.ran = now - state.view.sent;
    event.start_time_ms = state.start_time_ms;
    event.in_doubt = !state.view.confirmed;
    return event;
}

std::vector<worker_event> held_worker::silent_runs(microseconds now) const
{
    std::vector<worker_event> events;
    for (const auto& [ref, state] : m_runs)
        if (!state.foreign)
        {
            events.push_back(make_end(now, state, run_end::lapsed));
            events.back().silent = true;
        }
    return events;
}

bool held_worker::end_silent_runs(microseconds now, worker_events& events)
{
    bool any = false;
    for (auto entry = m_runs.begin(); entry != m_runs.end();)
    {
        const auto here = entry++;
        if (!certainly_ended(here->second, now))
            continue;
        any = true;
        if (!here->second.foreign)
        {
            events.push_back(make_end(now, here->second, run_end::lapsed));
            events.back().silent = true;
        }
        remove_run(here);
    }
    return any;
}

void held_worker::remove_run(std::map<run_ref, run_state>::iterator entry)
{
    m_used -= entry->second.view.demand;
    m_runs.erase(entry);
}

void held_worker::mark_lost(order_result reason, worker_events& events)
{
    if (std::exchange(m_lost, true))
        return;
    events.push_back({worker_event_kind::lost, m_entry.id, {}, {}, reason, {}});
}

// Handles a restart of the worker. Runs of the former incarnation have ended, but some runs may
// have started since: the lists in this reply distinguish them. The raised token fences off orders
// that were sent to the former incarnation.
void held_worker::on_worker_restart(microseconds now, const worker_reply& reply)
{
    m_clock_ms = reply.clock_ms;
    m_clock_at = now;
    m_lease_sent_ms = 0;
    m_ends_seen = 0;
    raise_fence();
}

} // namespace egretledge::pool
