// A job goes as a whole to one pool, in the same data centre unless another one would start it
// clearly sooner. The cost of a pool is the wait that it announced plus the expected time until the
// capacity that the job lacks becomes free; the demand of jobs offered since the announcement
// counts as used. A fuller pool costs a little more, so that pools which share a data centre are
// used evenly. A pool that declines a job has started none of it, so the job is offered to the
// next pool, to each at most once, until `max_capacity_declines` pools had no room for it. The
// trade-off against offering it to several pools at once: one more round trip after a decline, but
// no duplicate work.
//
// A pool whose host has become silent may still run a job's tasks. The job is then an orphan: it is
// placed again by the host that has acquired all workers of that pool and found nothing running on
// them any more, or by any pool once every lease has expired. If that is too late for the caller,
// the call is answered at once that the outcome is unknown.

#include "pool/call_router.hpp"
#include "core/wire.hpp"
#include <algorithm>

namespace egretledge::pool
{

namespace
{

constexpr std::uint32_t max_tasks = 2000;         // the same as job_owner_settings::max_tasks
constexpr milliseconds no_pool_retry_after{1000}; // a takeover of workers takes about that long

std::int64_t cpu_of(const job_request& job)
{
    std::int64_t sum = 0;
    for (const auto& step : job.steps)
        sum += step.demand.cpu * step.count;
    return sum;
}

// Returns the largest estimate of the job's tasks.
milliseconds longest_task(const job_request& job)
{
    milliseconds longest{0};
    for (const auto& step : job.steps)
        longest = std::max(longest, step.estimate);
    return longest;
}

// Returns how long the job may wait for its first start and still end in time by its estimates.
microseconds spare_time(const job_request& job)
{
    const auto longest = longest_task(job);
    return time_allowed(job.terms, longest) - longest;
}

// Returns a pool's name for log lines.
std::string display_name(const std::string& pool)
{
    return pool.empty() ? "self" : pool;
}

// Returns the time until which an answer is of use to the caller.
microseconds latest_end(const job_request& job, microseconds arrived, double late_factor)
{
    const auto objective = time_allowed(job.terms, longest_task(job));
    return arrived + std::min(std::chrono::duration_cast<microseconds>(objective * late_factor),
                              microseconds{job.terms.wait});
}

} // namespace

std::optional<std::string> find_fault(const job_request& job)
{
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        tasks += job.steps[i].count;
        for (const auto earlier : job.steps[i].after)
            if (earlier >= i)
                return "a step may wait only for steps before it";
    }
    if (tasks == 0 || tasks > max_tasks)
        return "a job has 1 to " + std::to_string(max_tasks) + " tasks";
    return std::nullopt;
}

void to_wire(const job_request& job, wire::PoolJob& out)
{
    out.set_id(job.id);
    out.set_payload(job.payload);
    for (const auto& step : job.steps)
    {
        auto& row = *out.add_steps();
        row.set_count(step.count);
        row.set_cpu(static_cast<std::uint64_t>(step.demand.cpu));
        row.set_memory_mb(static_cast<std::uint64_t>(step.demand.memory_mb));
        row.set_accelerators(static_cast<std::uint64_t>(step.demand.accelerators));
        row.set_estimate_ms(static_cast<std::uint32_t>(step.estimate.count()));
        for (const auto earlier : step.after)
            row.add_after(earlier);
        row.set_label(step.required_label);
        row.set_rack(step.preferred_rack);
        row.set_most_per_worker(step.max_per_worker);
    }
    out.set_route(job.terms.route);
    out.set_service(job.terms.service);
    out.set_priority(job.terms.priority);
    out.set_most_attempts(job.terms.max_attempts);
    out.set_stretch(job.terms.stretch);
    out.set_slack_ms(static_cast<std::uint32_t>(job.terms.slack.count()));
    out.set_wait_ms(static_cast<std::uint32_t>(job.terms.wait.count()));
}

expected<job_request> from_wire(const wire::PoolJob& message)
{
    job_request job;
    job.id = message.id();
    job.payload = message.payload();
    for (const auto& row : message.steps())
    {
        job_step step;
        step.count = row.count();
        step.demand = {static_cast<std::int64_t>(row.cpu()),
                       static_cast<std::int64_t>(row.memory_mb()),
                       static_cast<std::int64_t>(row.accelerators())};
        step.estimate = milliseconds{row.estimate_ms()};
        step.after = {row.after().begin(), row.after().end()};
        step.required_label = row.label();
        step.preferred_rack = row.rack();
        step.max_per_worker = row.most_per_worker();
        job.steps.push_back(std::move(step));
    }
    job.terms.route = message.route();
    job.terms.service = message.service();
    job.terms.priority = message.priority();
    job.terms.max_attempts = message.most_attempts();
    job.terms.stretch = message.stretch();
    job.terms.slack = milliseconds{message.slack_ms()};
    job.terms.wait = milliseconds{message.wait_ms()};
    if (const auto fault = find_fault(job))
        return tl::make_unexpected(error{error_kind::bad_input, *fault});
    return job;
}

call_router::call_router(call_router_settings settings, membership& peers, worker_pool& local_pool,
                         started_jobs& started)
    : m_settings(std::move(settings)), m_peers(peers), m_local_pool(local_pool), m_started(started)
{
}

double call_router::cost(const load_report& load, std::int64_t reserved, std::int64_t cpu) const
{
    const auto free = std::max<std::int64_t>(0, load.free_cpu - reserved);
    const auto missing = std::max<std::int64_t>(0, cpu - free);
    const auto total = static_cast<double>(std::max<std::int64_t>(1, load.total_cpu));
    const auto used = 1 - std::min(1.0, static_cast<double>(free) / total);
    return static_cast<double>(load.wait.count()) +
           static_cast<double>(missing) / total * static_cast<double>(m_settings.turnover.count()) +
           used * static_cast<double>(m_settings.full_pool_penalty.count());
}

std::optional<std::string> call_router::choose_pool(microseconds now, const open_call& call) const
{
    std::optional<std::string> best;
    if (call.capacity_declines >= m_settings.max_capacity_declines)
        return best;
    double best_cost = 0;
    const auto consider = [&](const std::string& name, double cost)
    {
        if (call.tried.contains(name) || (best && cost >= best_cost))
            return;
        best = name;
        best_cost = cost;
    };
    if (m_local_pool.total_cpu(now) > 0 && !m_local_pool_closed)
        consider("", cost({m_local_pool.free_cpu(now), m_local_pool.total_cpu(now),
                           m_local_pool.expected_wait(now)},
                          0, call.cpu));
    for (const auto& [name, host] : m_peers.all())
    {
        if (host.load.total_cpu <= 0 || host.leaving || !m_peers.alive(name, now))
            continue;
        auto& reserved = m_reserved_cpu[name];
        if (reserved.first < host.load_at)
            reserved = {host.load_at, 0};
        const bool remote = host.data_centre != m_settings.data_centre;
        consider(name, cost(host.load, reserved.second, call.cpu) +
                           (remote ? static_cast<double>(m_settings.remote_penalty.count()) : 0.0));
    }
    return best;
}

std::set<std::string> call_router::pools_in_use() const
{
    std::set<std::string> pools;
    for (const auto& [number, call] : m_calls)
        if (!call.pool.empty())
            pools.insert(call.pool);
    return pools;
}

bool call_router::can_place(microseconds now) const
{
    return choose_pool(now, open_call{}).has_value();
}

void call_router::submit(instant now, std::uint64_t number, job_request job, action_list& out)
{
    ++m_totals.calls;
    const auto past = m_past.find(job.id);
    if (past != m_past.end() && past->second.complete)
    {
        out.push_back(actions::log_event{false, "event=repeat_answered job=" + job.id});
        out.push_back(actions::answer_call{number, {answer_kind::ok, {}, "answered before"}});
        ++m_totals.complete;
        return;
    }
    const auto known = m_by_job.find(job.id);
    if (known != m_by_job.end())
    {
        // The caller has resubmitted the job on a new connection, which replaces the former call.
        auto former = std::move(m_calls.at(known->second));
        m_calls.erase(known->second);
        out.push_back(actions::answer_call{
            former.call, {answer_kind::still_running, {}, "a later call took over"}});
        former.call = number;
        known->second = number;
        auto& moved = m_calls.emplace(number, std::move(former)).first->second;
        moved.arrived = now.steady;
        // A queued job is offered when a pool can be chosen, as for the former call.
        if (!moved.queued)
            send(now.steady, moved, out);
        return;
    }
    open_call call;
    call.call = number;
    call.cpu = cpu_of(job);
    call.job = std::move(job);
    call.arrived = now.steady;
    call.may_have_run = past != m_past.end();
    if (past != m_past.end())
    {
        // The runs of the former call are being stopped.
        call.runs_expire_at = past->second.when + m_settings.lost_worker_timeout;
        call.orphan = now.steady < call.runs_expire_at;
    }
    m_by_job[call.job.id] = number;
    auto& kept = m_calls.emplace(number, std::move(call)).first->second;
    dispatch(now.steady, kept, out);
}

std::optional<std::string> call_router::choose_for_orphan(microseconds now, open_call& call) const
{
    // A pool that is alive again in the same incarnation may still have the job; no other host
    // knows.
    const auto* former = call.offer == 0 ? nullptr : m_peers.find(call.pool_ref.name);
    if (former != nullptr && former->ref == call.pool_ref && m_peers.alive(call.pool_ref.name, now))
        return call.pool_ref.name;
    if (now >= call.runs_expire_at)
        return choose_pool(now, call);
    if (call.former.empty())
        return std::nullopt;
    if (m_local_pool.cleared(call.former) && !m_local_pool_closed)
        return std::string{};
    for (const auto& [name, host] : m_peers.all())
        if (m_peers.alive(name, now) && !host.leaving &&
            std::includes(host.held.begin(), host.held.end(), call.former.begin(),
                          call.former.end()))
            return name;
    return std::nullopt;
}

void call_router::orphan_or_resolve(microseconds now, std::uint64_t number,
                                    std::vector<std::string> former, microseconds runs_expire_at,
                                    call_answer answer, action_list& out)
{
    auto& call = m_calls.at(number);
    if (now + longest_task(call.job) > latest_end(call.job, call.arrived, m_settings.late_factor))
        return resolve(now, number, std::move(answer), out);
    out.push_back(actions::log_event{
        true, "event=job_orphaned job=" + call.job.id + " pool=" + display_name(call.pool) +
                  " reason=\"" + answer.detail +
                  "\" former_workers=" + std::to_string(former.size()) +
                  " over_in_ms=" + std::to_string((runs_expire_at - now).count() / 1000)});
    ++m_totals.orphaned;
    call.requeue();
    call.orphan = true;
    call.may_have_run = true;
    call.former = std::move(former);
    call.runs_expire_at = runs_expire_at;
}

bool call_router::has_live_pool(microseconds now) const
{
    const auto& hosts = m_peers.all();
    return (m_local_pool.total_cpu(now) > 0 && !m_local_pool_closed) ||
           std::any_of(hosts.begin(), hosts.end(),
                       [&](const auto& item)
                       {
                           return item.second.load.total_cpu > 0 && !item.second.leaving &&
                                  m_peers.alive(item.first, now);
                       });
}

bool call_router::all_pools_evacuated(microseconds now, const open_call& call,
                                      bool pool_expected) const
{
    if (call.orphan || !m_evacuation.all_evacuated)
        return false;
    return m_evacuation.all_evacuated(call.job.terms.service) ||
           (!pool_expected && m_evacuation.some_evacuated() && !has_live_pool(now));
}

microseconds call_router::wait_limit(microseconds now, const open_call& call) const
{
    const auto settled = m_peers.settled_at();
    const bool pool_expected =
        call.orphan || settled.count() < 0 || now - settled < m_settings.initial_takeover_period;
    if (all_pools_evacuated(now, call, pool_expected))
        return call.arrived;
    if (!pool_expected)
        return call.arrived + spare_time(call.job);
    return latest_end(call.job, call.arrived, m_settings.late_factor) - longest_task(call.job);
}

void call_router::dispatch(microseconds now, open_call& call, action_list& out)
{
    if (const auto pool = call.orphan ? choose_for_orphan(now, call) : choose_pool(now, call))
    {
        if (call.orphan)
        {
            ++m_totals.orphan_offers;
            out.push_back(actions::log_event{
                false, "event=orphan_offered job=" + call.job.id + " pool=" + display_name(*pool) +
                           " former_pool=" + display_name(call.pool) + " over_in_ms=" +
                           std::to_string((call.runs_expire_at - now).count() / 1000)});
        }
        call.queued = false;
        call.pool = *pool;
        return send(now, call, out);
    }
    call.queued = true;
    if (now < wait_limit(now, call))
        return;
    if (call.orphan)
        resolve(now, call.call, {answer_kind::worker_lost, {}, "too late to place it anew"}, out);
    else
        resolve(now, call.call,
                {answer_kind::no_worker_fits, no_pool_retry_after, "no workers in reach"}, out);
}

void call_router::dispatch_queued(microseconds now, action_list& out)
{
    std::vector<std::uint64_t> queued;
    for (const auto& [number, call] : m_calls)
        if (call.queued && now >= call.retry_at)
            queued.push_back(number);
    for (const auto number : queued)
        dispatch(now, m_calls.at(number), out);
}

void call_router::send(microseconds now, open_call& call, action_list& out)
{
    call.tried.insert(call.pool);
    const auto age = std::chrono::duration_cast<milliseconds>(now - call.arrived);
    const auto* host = call.pool.empty() ? nullptr : m_peers.find(call.pool);
    const auto pool_ref = host == nullptr ? host_ref{} : host->ref;
    // If the job goes to the same pool again, the new offer replaces the former one there. The
    // withdrawal in heartbeats covers the case that the new offer is lost.
    if (call.offer != 0 && pool_ref == call.pool_ref)
        m_peers.withdraw(now, pool_ref, call.offer);
    else
        withdraw_offer(now, call, out);
    call.offer = ++m_offers;
    ++m_totals.offers;
    call.pool_ref = pool_ref;
    if (call.pool.empty())
        return m_local_pool.submit(now, call.job, {{}, 0, call.offer}, age, out);
    m_reserved_cpu[call.pool].second += call.cpu;
    record_offer(now, call);
    if (host->data_centre != m_settings.data_centre)
        ++m_totals.remote;
    actions::send_peer message{call.pool, {}};
    auto& job = *message.message.mutable_pool_job();
    to_wire(call.job, job);
    job.set_offer(call.offer);
    job.set_beat_sequence(m_peers.sequence());
    job.set_age_ms(static_cast<std::uint32_t>(age.count()));
    if (call.orphan && now < call.runs_expire_at)
        for (const auto& worker : call.former)
            job.add_former_workers(worker);
    out.push_back(std::move(message));
}

void call_router::record_offer(microseconds now, open_call& call)
{
    if (!std::exchange(call.start_recorded, true))
        m_started.record(now, call.job.id);
}

void call_router::withdraw_record(open_call& call)
{
    // The record stays if an earlier pool of the job may have started a task.
    if (!call.may_have_run && std::exchange(call.start_recorded, false))
        m_started.withdraw(call.job.id);
}

void call_router::on_local_result(microseconds now, const pool_result& result, action_list& out)
{
    on_offer_result(now, result.job, {}, result.caller.offer, result.answer, result.declined, out);
}

void call_router::on_result(microseconds now, const host_ref& host, const wire::PoolResult& result,
                            action_list& out)
{
    on_offer_result(now, result.id(), host, result.offer(),
                    {static_cast<answer_kind>(result.kind()), milliseconds{result.retry_after_ms()},
                     result.detail()},
                    result.declined(), out);
}

void call_router::on_offer_result(microseconds now, const std::string& job, const host_ref& pool,
                                  std::uint64_t offer, call_answer answer, bool declined,
                                  action_list& out)
{
    const auto known = m_by_job.find(job);
    if (known == m_by_job.end())
        return;
    auto& call = m_calls.at(known->second);
    if (call.offer == offer && call.pool_ref == pool)
    {
        call.offer = 0;
        if (!pool.empty() && row_of(answer.kind).result == outcome::not_run)
            withdraw_record(call);
        return on_latest_result(now, call.call, std::move(answer), declined, out);
    }
    if (answer.kind == answer_kind::ok)
        return resolve(now, call.call, std::move(answer), out);
    out.push_back(actions::log_event{
        false,
        "event=late_result job=" + job + " pool=" + display_name(pool.name) +
            " outcome=" + std::string(name_of(answer.kind)) + " offer=" + std::to_string(offer) +
            " latest_offer=" + std::to_string(call.offer) + " reason=\"" + answer.detail + '"'});
}

void call_router::on_latest_result(microseconds now, std::uint64_t number, call_answer answer,
                                   bool declined, action_list& out)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    auto& call = found->second;
    if (declined)
        ++(answer.kind == answer_kind::over_capacity ? m_totals.capacity_declines
                                                     : m_totals.other_declines);
    if (answer.kind == answer_kind::worker_lost)
        return orphan_or_resolve(now, number, {}, now + m_settings.lost_worker_timeout,
                                 std::move(answer), out);
    if (declined && call.orphan)
    {
        out.push_back(actions::log_event{false, "event=orphan_declined job=" + call.job.id +
                                                    " pool=" + display_name(call.pool) +
                                                    " reason=\"" + answer.detail + '"'});
        call.retry_at = now + m_settings.orphan_retry_delay;
        return call.requeue();
    }
    if (declined)
    {
        call.capacity_declines += answer.kind == answer_kind::over_capacity ? 1 : 0;
        if (const auto next = choose_pool(now, call))
        {
            call.pool = *next;
            return send(now, call, out);
        }
        // No pool has a fitting worker yet. That may change before the call's limit, since workers
        // are being taken over.
        if (answer.kind == answer_kind::no_worker_fits && now < wait_limit(now, call))
        {
            return call.requeue();
        }
    }
    resolve(now, number, std::move(answer), out);
}

call_answer call_router::checked_answer(microseconds now, const std::string& job, bool may_have_run,
                                        call_answer answer) const
{
    if (row_of(answer.kind).result != outcome::not_run)
        return answer;
    if (may_have_run)
        return {answer_kind::worker_lost, {}, "placed anew in vain: " + answer.detail};
    if (m_started.may_have_started(job))
        return {answer_kind::worker_lost, {}, "it started elsewhere: " + answer.detail};
    // Crashes and suspicions are kept for longer than announced starts.
    if (m_local_pool.crashes().verdict(job) != crash_verdict::none)
        return {answer_kind::worker_lost, {}, "a worker was lost under it: " + answer.detail};
    if (!m_started.reaches_back(now))
        return {answer_kind::worker_lost, {}, "this host has just started: " + answer.detail};
    if (!m_peers.hears_enough_hosts(now))
        return {answer_kind::worker_lost, {}, "cut off from the other hosts: " + answer.detail};
    if (!m_peers.has_caught_up(now))
        return {answer_kind::worker_lost, {}, "this host was paused: " + answer.detail};
    if (m_started.updates_awaited())
        return {answer_kind::worker_lost, {}, "a silent host's workers not read: " + answer.detail};
    return answer;
}

void call_router::resolve(microseconds now, std::uint64_t number, call_answer answer,
                          action_list& out)
{
    const auto found = m_calls.find(number);
    auto& call = found->second;
    withdraw_offer(now, call, out);
    answer = checked_answer(now, call.job.id, call.may_have_run, std::move(answer));
    const auto result = row_of(answer.kind).result;
    switch (result)
    {
    case outcome::complete:
        ++m_totals.complete;
        break;
    case outcome::failed:
        ++m_totals.failed;
        break;
    case outcome::not_run:
        ++m_totals.refused;
        break;
    default:
        ++m_totals.unknown;
        break;
    }
    out.push_back(actions::log_event{
        answer.kind != answer_kind::ok,
        "event=answered job=" + call.job.id + " route=" + call.job.terms.route +
            " outcome=" + std::string(name_of(answer.kind)) + " pool=" + display_name(call.pool) +
            " tried=" + std::to_string(call.tried.size()) +
            " age_ms=" + std::to_string((now - call.arrived).count() / 1000) +
            " wait_ms=" + std::to_string(call.job.terms.wait.count()) +
            (answer.retry_after.count() > 0
                 ? " retry_after_ms=" + std::to_string(answer.retry_after.count())
                 : "") +
            (answer.detail.empty() ? "" : " detail=\"" + answer.detail + "\"")});
    if (result != outcome::not_run)
        remember(now, call.job.id, answer.kind == answer_kind::ok);
    // The caller of a job that may have started is told to retry: every host has to know of the
    // start for as long as retries follow.
    if (result == outcome::unknown &&
        (call.may_have_run || m_started.may_have_started(call.job.id)))
        m_started.record(now, call.job.id);
    out.push_back(actions::answer_call{number, std::move(answer)});
    m_by_job.erase(call.job.id);
    m_calls.erase(found);
}

void call_router::remember(microseconds now, const std::string& job, bool complete)
{
    m_past[job] = {now, complete};
    m_past_order.emplace_back(now, job);
}

void call_router::withdraw_offer(microseconds now, open_call& call, action_list& out)
{
    const auto offer = std::exchange(call.offer, 0);
    if (offer == 0)
        return;
    if (call.pool_ref.empty())
        return m_local_pool.cancel(now, {{}, 0, offer}, out);
    m_peers.withdraw(now, call.pool_ref, offer);
    actions::send_peer message{call.pool_ref.name, {}};
    message.message.mutable_pool_cancel()->set_offer(offer);
    out.push_back(std::move(message));
}

void call_router::on_caller_disconnected(microseconds now, std::uint64_t number, action_list& out)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    ++m_totals.caller_disconnected;
    auto call = std::move(found->second);
    m_calls.erase(found);
    m_by_job.erase(call.job.id);
    remember(now, call.job.id, false);
    out.push_back(actions::log_event{
        true, "event=caller_gone job=" + call.job.id +
                  " age_ms=" + std::to_string((now - call.arrived).count() / 1000)});
    withdraw_offer(now, call, out);
}

bool call_router::cancel(microseconds now, const std::string& job, action_list& out)
{
    const auto known = m_by_job.find(job);
    if (known == m_by_job.end())
        return false;
    resolve(now, known->second, {answer_kind::cancelled, {}, "taken back"}, out);
    return true;
}

void call_router::end_calls(microseconds now, action_list& out)
{
    while (!m_calls.empty())
    {
        const auto& [number, call] = *m_calls.begin();
        const bool offered = call.offer != 0 || call.orphan || call.may_have_run;
        resolve(now, number,
                offered ? call_answer{answer_kind::worker_lost, {}, "this host is stopping"}
                        : call_answer{answer_kind::over_capacity, no_pool_retry_after,
                                      "this host is stopping"},
                out);
    }
}

void call_router::tick(microseconds now, action_list& out)
{
    std::vector<std::uint64_t> silent_pool_calls;
    std::vector<std::uint64_t> overdue;
    constexpr milliseconds answer_slack{
        50}; // the pool's own deadline is earlier, and its answer may be under way
    dispatch_queued(now, out);
    for (const auto& [number, call] : m_calls)
    {
        if (!call.pool.empty() && !call.queued)
        {
            const auto* host = m_peers.find(call.pool);
            if (host == nullptr || host->ref != call.pool_ref || !m_peers.alive(call.pool, now))
            {
                silent_pool_calls.push_back(number);
                continue;
            }
        }
        if (now > call.arrived + call.job.terms.wait + answer_slack)
            overdue.push_back(number);
    }
    for (const auto number : silent_pool_calls)
    {
        const auto past = m_peers.last_seen(m_calls.at(number).pool_ref);
        const auto last_heard = past ? past->last_heard : now;
        orphan_or_resolve(now, number,
                          past ? std::vector<std::string>(past->held.begin(), past->held.end())
                               : std::vector<std::string>{},
                          last_heard + m_settings.silent_pool_timeout,
                          {answer_kind::worker_lost, {}, "the pool's host is silent"}, out);
    }
    for (const auto number : overdue)
        resolve(now, number, {answer_kind::deadline_passed, {}, "no answer of the pool"}, out);
    while (!m_past_order.empty() &&
           (now - m_past_order.front().first > m_settings.answer_retention ||
            m_past_order.size() > m_settings.max_retained_answers))
    {
        const auto known = m_past.find(m_past_order.front().second);
        if (known != m_past.end() && known->second.when == m_past_order.front().first)
            m_past.erase(known);
        m_past_order.pop_front();
    }
}

} // namespace egretledge::pool
