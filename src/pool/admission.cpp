// Admission control. A pool admits a job only if it expects that the job, and every admitted job
// that the new one would be placed before, can still end within `admission_factor` times its
// objective. In an overload the newest callers are therefore refused at once and retry later,
// instead of all callers waiting and some of them being refused after they have waited.
//
// The expectation comes from a slot schedule: each worker that accepts tasks has as many slots as
// usual tasks fit into it, a slot becomes free when the run on it is expected to end, and waiting
// tasks take the next free slots in their order. The trade-off: estimates are off by two fifths and
// tasks of different sizes are counted in whole slots, so some admitted jobs miss their limit and
// some capacity stays unused.

#include "pool/worker_pool.hpp"
#include <algorithm>

namespace egretledge::pool
{

namespace
{

// A run that exceeds its expected run time is expected to end within this fraction of that time.
constexpr double overdue_share = 0.25;
// A run that belongs to no open job is being stopped, which takes the platform up to 50 ms.
constexpr milliseconds unknown_run_time{50};
// The expected wait while no worker is usable: a takeover of workers takes about that long.
constexpr milliseconds wait_without_workers{1000};
// Bounds the work of a forecast if tasks are declared tiny or a worker's capacity is wrong.
constexpr std::int64_t max_free_slots_per_worker = 256;
// The smallest slot for tasks that wait, in thousandths of a core. With smaller ones a usual worker
// has more free slots than the maximum, and a usual task would seem to take most of them.
constexpr std::int64_t min_slot_cpu = 64;

// Returns how many slots of this size a task with this demand takes.
std::uint32_t slots_of(const resources& demand, std::int64_t slot_cpu)
{
    if (slot_cpu <= 0)
        return 1;
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, (demand.cpu + slot_cpu / 2) / slot_cpu));
}

// Returns when each pending job is expected to end, in the given order, if only the jobs for which
// `counts` returns true occupy slots.
template <class Counts>
std::vector<microseconds> expected_ends(const std::vector<pending_job>& order,
                                        slot_schedule worker_slots, microseconds now,
                                        const Counts& counts)
{
    std::vector<microseconds> ends;
    for (const auto& pending : order)
    {
        auto end = now;
        if (counts(pending))
            for (const auto& [count, time] : pending.tasks)
                end = std::max(end, worker_slots.add(count, time));
        ends.push_back(end);
    }
    return ends;
}

} // namespace

milliseconds worker_pool::expected_run_time(microseconds now, const job_request& job,
                                            const job_step& step) const
{
    return std::max(milliseconds{1}, m_run_times.expect(now, job.terms.route, step.estimate));
}

milliseconds worker_pool::critical_path_of(const job_request& job,
                                           const std::vector<milliseconds>& run_times)
{
    milliseconds longest{0};
    std::vector<milliseconds> chain;
    for (std::size_t step = 0; step < job.steps.size(); ++step)
    {
        milliseconds before{0};
        for (const auto earlier : job.steps[step].after)
            before = std::max(before, chain[earlier]);
        chain.push_back(before + run_times[step]);
        longest = std::max(longest, chain.back());
    }
    return longest;
}

void worker_pool::set_run_times(open_job& job, std::vector<milliseconds> run_times)
{
    job.critical_path = critical_path_of(job.request, run_times);
    job.objective = job.arrived + time_allowed(job.request.terms, job.critical_path);
    job.run_times = std::move(run_times);
}

std::int64_t worker_pool::slot_cpu(const job_request* asking) const
{
    std::int64_t sum = 0;
    std::int64_t tasks = 0;
    if (asking != nullptr)
        for (const auto& step : asking->steps)
        {
            sum += step.demand.cpu * step.count;
            tasks += step.count;
        }
    else
        for (const auto& [id, job] : m_jobs)
            for (const auto& task : job.tasks)
                if (task.stage == task_stage::waiting)
                {
                    sum += job.request.steps[task.step].demand.cpu;
                    ++tasks;
                }
    const auto usual = m_totals.starts == 0 ? 0 : std::max<std::int64_t>(1, m_usual_demand.cpu);
    if (tasks == 0)
        return usual;
    const auto mean = std::max(min_slot_cpu, sum / tasks);
    return usual == 0 ? mean : std::min(usual, mean);
}

slot_schedule worker_pool::worker_slots(microseconds now, std::int64_t slot_cpu) const
{
    slot_schedule schedule;
    for (const auto& [id, record] : m_workers)
    {
        if (!accepts(record, now))
            continue;
        const auto runs = record.worker.runs();
        for (const auto& view : runs)
        {
            auto left = microseconds{unknown_run_time};
            const auto job = m_jobs.find(view.run.task.job);
            // A run of an earlier submission of the job may be of a step that this one lacks.
            if (job != m_jobs.end() && view.run.task.step < job->second.request.steps.size())
            {
                const microseconds time = job->second.run_times[view.run.task.step];
                left = std::max(view.sent + time - now,
                                std::chrono::duration_cast<microseconds>(time * overdue_share));
            }
            schedule.add_slots(now + left, slots_of(view.demand, slot_cpu));
        }
        // If no job is known, a worker counts as one slot: nothing waits for its room.
        const auto usual =
            std::max<std::int64_t>(1, slot_cpu > 0 ? slot_cpu : record.worker.entry().capacity.cpu);
        const auto free_slots = record.reserved_for ? 0 : record.worker.free().cpu / usual;
        schedule.add_slots(now, static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                                    free_slots, 0, max_free_slots_per_worker)));
    }
    return schedule;
}

milliseconds worker_pool::expected_wait(microseconds now) const
{
    const auto size = slot_cpu(nullptr);
    auto schedule = worker_slots(now, size);
    if (schedule.empty())
        return wait_without_workers;
    for (const auto& [id, job] : m_jobs)
        for (const auto& task : job.tasks)
            if (task.stage == task_stage::waiting)
                schedule.add(slots_of(job.request.steps[task.step].demand, size),
                             job.run_times[task.step]);
    return m_processing_delay +
           std::chrono::duration_cast<milliseconds>(schedule.next_free() - now);
}

bool worker_pool::fits_somewhere(const job_request& job, microseconds now) const
{
    return std::all_of(job.steps.begin(), job.steps.end(),
                       [&](const job_step& step)
                       {
                           return std::any_of(m_workers.begin(), m_workers.end(),
                                              [&](const auto& entry)
                                              {
                                                  const auto& registered =
                                                      entry.second.worker.entry();
                                                  return registered.service == job.terms.service &&
                                                         step.demand.fits(registered.capacity) &&
                                                         !entry.second.leaving &&
                                                         m_evacuations.allows_start(
                                                             registered.data_centre, false, now);
                                              });
                       });
}

microseconds worker_pool::limit_of(const open_job& job, double factor)
{
    const auto allowed =
        std::chrono::duration_cast<microseconds>((job.objective - job.arrived) * factor);
    return std::min(job.deadline, job.arrived + allowed);
}

pending_job worker_pool::pending_job_of(const open_job& job, microseconds now,
                                        std::int64_t slot_cpu) const
{
    pending_job pending;
    pending.key = scheduling_key_of(job, now);
    // A job that arrives late, because its former pool has failed, is placed last and delays no
    // other job.
    pending.limit =
        limit_of(job, is_late(job, now) ? m_settings.late_factor : m_settings.admission_factor);
    for (const auto& task : job.tasks)
    {
        if (task.stage != task_stage::waiting)
            continue;
        pending.tasks.emplace_back(slots_of(job.request.steps[task.step].demand, slot_cpu),
                                   job.run_times[task.step]);
    }
    return pending;
}

// Returns the new job and all waiting jobs that are not late, in the order of placement.
std::vector<pending_job> worker_pool::pending_jobs_with(const open_job& new_job, microseconds now,
                                                        std::int64_t slot_cpu) const
{
    std::vector<pending_job> order{pending_job_of(new_job, now, slot_cpu)};
    order.front().is_new = true;
    for (const auto& [id, job] : m_jobs)
        if (job.waiting > 0 && (job.starts > 0 || !is_late(job, now)))
            order.push_back(pending_job_of(job, now, slot_cpu));
    std::sort(order.begin(), order.end(),
              [](const pending_job& a, const pending_job& b) { return a.key < b.key; });
    return order;
}

std::optional<call_answer> worker_pool::evaluate_admission(microseconds now,
                                                           const open_job& job) const
{
    if (!fits_somewhere(job.request, now))
        return refusal(answer_kind::no_worker_fits, now, "no worker of this pool can run it");
    if (std::any_of(job.request.steps.begin(), job.request.steps.end(),
                    [&](const job_step& step)
                    { return evacuated_step(job.request, step, false, now); }))
        return refusal(answer_kind::no_worker_fits, now, "the data centre is evacuated");
    if (cannot_end_in_time(job, now))
        return refusal(answer_kind::over_capacity, now, describe_run_time(job, now));
    const auto size = slot_cpu(&job.request);
    const auto schedule = worker_slots(now, size);
    if (schedule.empty())
        return now + wait_without_workers + job.critical_path <= job.deadline
                   ? std::nullopt
                   : std::optional{refusal(answer_kind::over_capacity, now, "no usable worker")};
    auto order = pending_jobs_with(job, now, size);
    const auto new_index = static_cast<std::size_t>(std::find_if(order.begin(), order.end(),
                                                                 [](const pending_job& pending)
                                                                 { return pending.is_new; }) -
                                                    order.begin());
    const auto ends = [&](const auto& counts)
    { return expected_ends(order, schedule, now, counts); };
    // If the jobs that have begun alone already make the new job late, refusing it helps no other
    // job, so the later limit applies. The exception: if late jobs have found no free capacity for
    // a while, the new job would wait without being placed.
    const auto behind_begun =
        ends([](const pending_job& pending) { return !pending.key.not_begun || pending.is_new; });
    if (behind_begun[new_index] > order[new_index].limit &&
        now - m_late_jobs_served_at < m_settings.starvation_timeout)
        order[new_index].limit = limit_of(job, m_settings.late_factor);
    const auto before = ends([](const pending_job& pending) { return !pending.is_new; });
    const auto after = ends([](const pending_job&) { return true; });
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        const auto limit = order[i].limit;
        if (after[i] <= limit)
            continue;
        if (order[i].is_new)
            return refusal(answer_kind::over_capacity, now,
                           "ends_in_ms=" + std::to_string((after[i] - now).count() / 1000) +
                               " limit_in_ms=" + std::to_string((limit - now).count() / 1000));
        if (before[i] <= limit)
            return refusal(answer_kind::over_capacity, now, "jobs taken on before need the room");
    }
    return std::nullopt;
}

call_answer worker_pool::refusal(answer_kind kind, microseconds now, std::string detail) const
{
    return {kind, std::max(m_settings.min_retry_after, expected_wait(now)), std::move(detail)};
}

std::string worker_pool::describe_run_time(const open_job& job, microseconds now) const
{
    const auto figure = m_run_times.find(now, job.request.terms.route);
    const auto in_ms = [&](microseconds time)
    { return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()); };
    return "run_time_ms=" + std::to_string(job.critical_path.count()) +
           " limit_in_ms=" + in_ms(limit_of(job, m_settings.late_factor) - now) +
           (figure ? " ratio=" + std::to_string(figure->ratio) +
                         " samples=" + std::to_string(figure->samples) +
                         " sample_age_ms=" + in_ms(now - figure->learned_at)
                   : std::string{" ratio=none"});
}

bool worker_pool::has_room_now(const open_job& job, microseconds now) const
{
    const auto size = slot_cpu(&job.request);
    std::size_t needed = 0;
    const auto count = [&](const open_job& waiting)
    {
        for (const auto& task : waiting.tasks)
            if (task.stage == task_stage::waiting)
                needed += slots_of(waiting.request.steps[task.step].demand, size);
    };
    count(job);
    for (const auto& [id, other] : m_jobs)
        count(other);
    return needed <= worker_slots(now, size).count_free(now);
}

std::vector<milliseconds> worker_pool::declared_run_times(const job_request& job)
{
    std::vector<milliseconds> times;
    for (const auto& step : job.steps)
        times.push_back(std::max(milliseconds{1}, step.estimate));
    return times;
}

std::optional<worker_pool::open_job> worker_pool::trial_of(const open_job& job,
                                                           microseconds now) const
{
    if (!cannot_end_in_time(job, now))
        return std::nullopt;
    auto trial = job;
    trial.on_trial = true;
    set_run_times(trial, declared_run_times(job.request));
    // Otherwise the job is too old, or declares too long a time itself.
    const bool learned_is_at_fault =
        trial.critical_path < job.critical_path && !cannot_end_in_time(trial, now);
    return learned_is_at_fault ? std::optional{std::move(trial)} : std::nullopt;
}

bool worker_pool::may_begin_trial(const open_job& trial, microseconds now) const
{
    const auto max_trials =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(m_workers.size()) *
                                                          m_settings.max_trials_per_worker));
    return m_trials.unproven() < max_trials && m_trials.may_begin(now, trial.request.terms.route) &&
           has_room_now(trial, now);
}

void worker_pool::begin_trial(microseconds now, const open_job& job, const open_job& trial,
                              action_list& out)
{
    m_trials.begin(now, trial.request.terms.route);
    ++m_totals.trials;
    out.push_back(actions::log_event{
        false, "event=run_time_trial job=" + job.request.id + " route=" + job.request.terms.route +
                   " declared_ms=" + std::to_string(trial.critical_path.count()) + " " +
                   describe_run_time(job, now)});
}

void worker_pool::begin_closure(microseconds now, const open_job& job, const open_job& trial,
                                action_list& out)
{
    ++m_totals.refused_for_run_time;
    if (m_trials.refuse(now, job.request.terms.route, trial.critical_path))
        out.push_back(actions::log_event{
            true, "event=route_closed route=" + job.request.terms.route + " job=" + job.request.id +
                      " declared_ms=" + std::to_string(trial.critical_path.count()) + " " +
                      describe_run_time(job, now)});
}

void worker_pool::end_closure(microseconds now, const open_job& job, action_list& out)
{
    if (m_trials.closed() == 0)
        return;
    const auto& route = job.request.terms.route;
    const auto closure =
        m_trials.admit(route, critical_path_of(job.request, declared_run_times(job.request)));
    if (!closure)
        return;
    const auto closed_for = std::chrono::duration_cast<milliseconds>(now - closure->since);
    out.push_back(actions::log_event{true, "event=route_reopened route=" + route +
                                               " closed_ms=" + std::to_string(closed_for.count()) +
                                               " refused=" + std::to_string(closure->refused) +
                                               " trials=" + std::to_string(closure->trials) +
                                               " served=" + std::to_string(closure->served)});
}

void worker_pool::submit(microseconds now, job_request request, const caller_ref& caller,
                         milliseconds age, action_list& out)
{
    const auto known = m_jobs.find(request.id);
    if (known != m_jobs.end())
    {
        // The job was submitted again: it continues, and the latest offer gets the answer.
        auto& job = known->second;
        m_by_caller.erase(job.caller);
        m_by_caller.emplace(caller, request.id);
        if (job.caller != caller)
            m_results.push_back({job.caller,
                                 request.id,
                                 {answer_kind::still_running, {}, "a later call took over"},
                                 false});
        job.caller = caller;
        job.deadline = now - age + request.terms.wait;
        return;
    }
    open_job job;
    job.request = std::move(request);
    job.caller = caller;
    job.arrived = now - age;
    job.accepted_at = now;
    std::vector<milliseconds> run_times;
    for (const auto& step : job.request.steps)
    {
        run_times.push_back(expected_run_time(now, job.request, step));
        job.step_left.push_back(step.count);
        for (std::uint32_t index = 0; index < step.count; ++index)
        {
            task_state task;
            task.step = static_cast<std::uint32_t>(job.step_left.size() - 1);
            task.index = index;
            job.tasks.push_back(std::move(task));
        }
    }
    job.waiting = job.left = static_cast<std::uint32_t>(job.tasks.size());
    set_run_times(job, std::move(run_times));
    job.deadline = job.arrived + microseconds{job.request.terms.wait};
    if (const auto answer = answer_to(m_crashes.verdict(job.request.id)))
    {
        log_job(job, *answer, now, out);
        m_results.push_back({caller, job.request.id, *answer, false});
        return;
    }
    auto refused = evaluate_admission(now, job);
    if (!refused)
        end_closure(now, job, out);
    else if (auto trial =
                 refused->kind == answer_kind::over_capacity ? trial_of(job, now) : std::nullopt)
    {
        if (may_begin_trial(*trial, now))
        {
            begin_trial(now, job, *trial, out);
            job = std::move(*trial);
            refused.reset();
        }
        else
            begin_closure(now, job, *trial, out);
    }
    if (refused)
    {
        const bool former_runs = ending(job.request.id);
        if (former_runs)
            *refused = {answer_kind::worker_lost, {}, "former runs are ending"};
        log_job(job, *refused, now, out);
        m_results.push_back({caller, job.request.id, *refused, !former_runs});
        return;
    }
    job.awaits_former_runs = m_former.contains(job.request.id);
    m_by_caller.emplace(caller, job.request.id);
    m_jobs.emplace(job.request.id, std::move(job));
    place(now, out);
}

} // namespace egretledge::pool
