// Jobs wait in one queue, in this order:
// 1. jobs of which some tasks have started, since their work is lost unless the rest follows;
// 2. jobs that can still end in time, by the latest time at which they have to start;
// 3. late jobs, which run on the remaining capacity.
//
// Tasks are placed one by one as capacity becomes free, each on the worker with the smallest sum of
// expected run time and stranded capacity (a penalty for capacity that is left unused). With tasks
// that take two fifths of a worker, pairing a large task with a small one keeps more tasks running
// than spreading them. The trade-off is that a task may go to a slower worker because it fits there
// better.
//
// A task under which a worker crashed or fell silent runs on a worker of its own, so that it takes
// no other run down with it, and so that a task that only shared a worker with a deadly one is
// cleared by its next run. If no worker is idle, one is reserved for it: the trade-off is the
// capacity that is left unused while the runs on it end, hence the limit on reserved workers.
//
// No task is placed on a worker of an evacuated data centre, except that jobs which have begun may
// start their other tasks there for a short time. Jobs that could only run there do not wait: those
// that have not begun are declined, and the others end as lost, so that other pools run them.

#include "pool/worker_pool.hpp"
#include <algorithm>

namespace egretledge::pool
{

namespace
{

constexpr double stranded_ms_per_cpu = 0.002;  // 16 ms for half a worker of 16 cores left over
constexpr double off_rack_factor = 2;          // a task runs longer outside its preferred rack
constexpr std::uint32_t max_scanned_jobs = 64; // a round ends after so many found no worker

bool has_label(const worker_entry& registered, const std::string& label)
{
    return std::find(registered.labels.begin(), registered.labels.end(), label) !=
           registered.labels.end();
}

} // namespace

bool worker_pool::accepts(const worker_record& record, microseconds now, bool begun) const
{
    if (!record.worker.usable() || !record.worker.entry_is_current() || record.leaving ||
        record.unregistered || record.handed_over ||
        !m_evacuations.allows_start(record.worker.entry().data_centre, begun, now))
        return false;
    if (now < record.quarantined_until)
        return false;
    return !record.probation || record.worker.idle();
}

std::int64_t worker_pool::free_cpu(microseconds now) const
{
    const auto usual = std::max<std::int64_t>(1, m_usual_demand.cpu);
    std::int64_t sum = 0;
    for (const auto& [id, record] : m_workers)
        if (accepts(record, now) && !record.reserved_for)
            sum += record.worker.free().cpu / usual * usual;
    return sum;
}

std::int64_t worker_pool::total_cpu(microseconds now) const
{
    std::int64_t sum = 0;
    for (const auto& [id, record] : m_workers)
        if (accepts(record, now))
            sum += record.worker.entry().capacity.cpu;
    return sum;
}

bool worker_pool::eligible(const open_job& job, const task_state& task) const
{
    const auto& after = job.request.steps[task.step].after;
    return std::all_of(after.begin(), after.end(),
                       [&](std::uint32_t step) { return job.step_left[step] == 0; });
}

worker_pool::worker_record* worker_pool::choose_worker(const open_job& job, const task_state& task,
                                                       std::uint64_t visible_version,
                                                       microseconds now)
{
    const auto& step = job.request.steps[task.step];
    const task_name name{job.request.id, 0, task.step, task.index};
    const bool alone = m_crashes.verdict(name) == crash_verdict::suspect;
    if (!alone && step.demand.cpu > m_largest_free_cpu)
        return nullptr;
    const auto time = static_cast<double>(job.run_times[task.step].count());
    const auto placed_siblings = [&](const std::string& worker)
    {
        return static_cast<std::uint32_t>(std::count_if(job.tasks.begin(), job.tasks.end(),
                                                        [&](const task_state& sibling)
                                                        {
                                                            return sibling.step == task.step &&
                                                                   sibling.worker == worker &&
                                                                   sibling.stage ==
                                                                       task_stage::placed;
                                                        }));
    };
    worker_record* best = nullptr;
    double best_score = 0;
    for (auto& [id, record] : m_workers)
    {
        const auto& registered = record.worker.entry();
        if (!accepts(record, now, job.starts > 0) ||
            registered.service != job.request.terms.service ||
            record.first_held_version > visible_version)
            continue;
        if ((record.reserved_for && *record.reserved_for != name) ||
            (alone && !record.worker.idle()))
            continue;
        const auto free = record.worker.free();
        if (!step.demand.fits(free))
            continue;
        if (!step.required_label.empty() && !has_label(registered, step.required_label))
            continue;
        if (step.max_per_worker > 0 && placed_siblings(id) >= step.max_per_worker)
            continue;
        double score = time * record.slowness +
                       stranded_ms_per_cpu * static_cast<double>(free.cpu - step.demand.cpu);
        if (!step.preferred_rack.empty() && !has_label(registered, step.preferred_rack))
            score += time * (off_rack_factor - 1);
        if (std::find(task.avoid.begin(), task.avoid.end(), id) != task.avoid.end())
            score += 10 * time;
        if (best == nullptr || score < best_score)
        {
            best = &record;
            best_score = score;
        }
    }
    if (alone && best != nullptr)
        best->reserved_for = name;
    else if (alone)
        reserve_worker(job, name, visible_version, now);
    return best;
}

void worker_pool::reserve_worker(const open_job& job, const task_name& name,
                                 std::uint64_t visible_version, microseconds now)
{
    const auto& step = job.request.steps[name.step];
    std::size_t reserved = 0;
    worker_record* best = nullptr;
    for (auto& [id, record] : m_workers)
    {
        const auto& registered = record.worker.entry();
        if (record.reserved_for == name)
            return;
        reserved += record.reserved_for ? 1 : 0;
        if (record.reserved_for || !accepts(record, now, job.starts > 0) ||
            registered.service != job.request.terms.service ||
            record.first_held_version > visible_version || !step.demand.fits(registered.capacity) ||
            (!step.required_label.empty() && !has_label(registered, step.required_label)))
            continue;
        if (best == nullptr || record.worker.runs().size() < best->worker.runs().size())
            best = &record;
    }
    const auto limit =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(m_workers.size()) *
                                                          m_settings.max_reserved_share));
    if (best != nullptr && reserved < limit)
        best->reserved_for = name;
}

void worker_pool::release_reservations(microseconds now)
{
    for (auto& [id, record] : m_workers)
    {
        if (!record.reserved_for)
            continue;
        const auto& name = *record.reserved_for;
        task_state* task = nullptr;
        const auto* job = find(name, task);
        const bool waits = job != nullptr && task->stage == task_stage::waiting &&
                           m_crashes.verdict(name) == crash_verdict::suspect &&
                           accepts(record, now, job->starts > 0);
        const auto runs = record.worker.runs();
        if (!waits && std::none_of(runs.begin(), runs.end(),
                                   [&](const auto& view) { return view.run.task == name; }))
            record.reserved_for.reset();
    }
}

bool worker_pool::evacuated_step(const job_request& job, const job_step& step, bool begun,
                                 microseconds now) const
{
    bool evacuated = false;
    if (m_evacuations.empty())
        return evacuated;
    for (const auto& [id, record] : m_workers)
    {
        const auto& registered = record.worker.entry();
        if (registered.service != job.terms.service || record.leaving || record.unregistered ||
            record.handed_over || !step.demand.fits(registered.capacity) ||
            (!step.required_label.empty() && !has_label(registered, step.required_label)))
            continue;
        if (m_evacuations.allows_start(registered.data_centre, begun, now))
            return false;
        evacuated = true;
    }
    return evacuated;
}

void worker_pool::end_evacuated_jobs(microseconds now, action_list& out)
{
    if (m_evacuations.empty())
        return;
    std::vector<std::string> ended;
    for (const auto& [id, job] : m_jobs)
        if (std::any_of(job.tasks.begin(), job.tasks.end(),
                        [&, &open = job](const task_state& task)
                        {
                            return task.stage == task_stage::waiting &&
                                   evacuated_step(open.request, open.request.steps[task.step],
                                                  open.starts > 0, now);
                        }))
            ended.push_back(id);
    for (const auto& id : ended)
    {
        auto& job = m_jobs.at(id);
        if (job.starts > 0 || ending(id))
            finish(now, job, {answer_kind::worker_lost, {}, "the data centre is evacuated"}, false,
                   out);
        else
            finish(now, job,
                   refusal(answer_kind::no_worker_fits, now, "the data centre is evacuated"), true,
                   out);
    }
}

std::vector<worker_pool::open_job*> worker_pool::placement_order(microseconds now)
{
    std::vector<open_job*> jobs;
    for (auto& [id, job] : m_jobs)
        if (job.waiting > 0 && !job.awaits_former_runs)
            jobs.push_back(&job);
    std::sort(jobs.begin(), jobs.end(),
              [now](const open_job* a, const open_job* b)
              { return scheduling_key_of(*a, now) < scheduling_key_of(*b, now); });
    return jobs;
}

scheduling_key worker_pool::scheduling_key_of(const open_job& job, microseconds now)
{
    const bool begun = job.starts > 0;
    return {!begun, !begun && is_late(job, now), job.objective - job.critical_path,
            job.request.terms.priority};
}

void worker_pool::update_largest_free(microseconds now)
{
    m_largest_free_cpu = 0;
    for (const auto& [id, record] : m_workers)
        if (accepts(record, now, true))
            m_largest_free_cpu = std::max(m_largest_free_cpu, record.worker.free().cpu);
}

void worker_pool::place(microseconds now, action_list& out)
{
    end_crashing_jobs(now, out);
    release_reservations(now);
    update_largest_free(now);
    std::uint32_t scanned = 0;
    bool late_waits = false;
    for (auto* job : placement_order(now))
    {
        if (place_tasks(now, *job, out))
            continue;
        late_waits = late_waits || is_late(*job, now);
        if (++scanned >= max_scanned_jobs)
            break;
    }
    if (!late_waits)
        m_late_jobs_served_at = now;
}

// Returns false if no worker could run one of the tasks. One that waits for a worker of its own
// does not hold up the others. One that a silent worker may still start is passed over.
bool worker_pool::place_tasks(microseconds now, open_job& job, action_list& out)
{
    const auto visible_version = job.caller.host.empty() || !m_visible_version
                                     ? m_held_version
                                     : m_visible_version(job.caller);
    bool complete = true;
    for (auto& task : job.tasks)
    {
        if (task.stage != task_stage::waiting || !eligible(job, task))
            continue;
        const auto verdict = m_crashes.verdict({job.request.id, 0, task.step, task.index});
        if (verdict == crash_verdict::open)
            continue;
        auto* record = choose_worker(job, task, visible_version, now);
        if (record == nullptr && verdict == crash_verdict::suspect)
        {
            complete = false;
            continue;
        }
        if (record == nullptr)
            return false;
        const run_ref run{{job.request.id, 0, task.step, task.index}, task.next_run++};
        task.stage = task_stage::placed;
        task.worker = record->worker.entry().id;
        --job.waiting;
        if (job.starts++ == 0)
            m_start_changes.started.push_back(job.request.id);
        ++m_totals.starts;
        m_usual_demand = job.request.steps[task.step].demand;
        record->worker.start(now, run, job.request.steps[task.step].demand, job.request.payload,
                             m_next_request, out);
        update_largest_free(now);
    }
    return complete;
}

} // namespace egretledge::pool
