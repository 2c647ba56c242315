// Admission of jobs is in admission.cpp; their order and the choice of workers, in placement.cpp.
//
// An admitted job can still be refused while none of its tasks has been started. After a start it
// is not refused any more: the answer is complete, failed, or unknown.
//
// A worker on which tasks fail that others can run is quarantined, and then tested with single
// tasks. A slow worker is recognised by the ratio of actual to expected run times. If most workers
// seem bad, the fault is in the jobs.

#include "pool/worker_pool.hpp"
#include "core/check.hpp"
#include <algorithm>
#include <functional>

namespace egretledge::pool
{

namespace
{

// Interval between checks for expired jobs and stuck runs; a fraction of the shortest slack.
constexpr milliseconds check_interval{25};
constexpr double slowness_rate = 0.3;    // weight of the latest run in a worker's slowness
constexpr double max_slowness = 6;       // of one run; more is a wrong estimate
constexpr double slowness_decay = 0.995; // per check: a slow worker is tried again after seconds
constexpr unsigned fence_identity_bits = 12;
constexpr std::uint64_t probe_fence = 1; // lower than every holder's token
// A quarter of the time for which a worker of another data centre must be reachable before it is
// acquired (pool_host_settings::remote_acquire_delay).
constexpr milliseconds probe_interval{300};
constexpr milliseconds probe_timeout{200}; // a round trip takes 1 to 3 ms

std::string run_text(const run_ref& run)
{
    return run.task.job + "." + std::to_string(run.task.step) + "." +
           std::to_string(run.task.index) + "#" + std::to_string(run.number);
}

std::int64_t to_ms(microseconds time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace

worker_pool::worker_pool(worker_pool_settings settings, std::uint64_t identity)
    : m_settings(settings), m_identity(identity & ((1ULL << fence_identity_bits) - 1)),
      m_crashes(
          [&settings]
          {
              auto own_settings = settings.crashes;
              own_settings.open_start_timeout = settings.workers.unanswered_start_timeout;
              return own_settings;
          }()),
      m_evacuations(settings.evacuations)
{
}

void worker_pool::acquire(instant now, const worker_entry& entry, action_list& out)
{
    if (m_workers.contains(entry.id))
        return;
    m_probes.erase(entry.id);
    const auto fence =
        (static_cast<std::uint64_t>(now.wall.count()) << fence_identity_bits) | m_identity;
    auto& record = m_workers.emplace(entry.id, worker_record{{m_settings.workers, entry, fence}})
                       .first->second;
    record.leaving = entry.leaving;
    record.first_held_version = ++m_held_version;
    worker_events events;
    record.worker.tick(now.steady, m_next_request, out, events);
}

void worker_pool::probe(microseconds now, const worker_entry& entry, action_list& out)
{
    auto& sent_probe = m_probes[entry.id];
    if (sent_probe.request != 0 || now - sent_probe.sent_at < probe_interval)
        return;
    sent_probe.request = m_next_request++;
    sent_probe.sent_at = now;
    out.push_back(actions::hold_worker{sent_probe.request, entry.id, entry.address, probe_fence, 0,
                                       0, milliseconds{0}, probe_timeout});
}

bool worker_pool::reachable_for(const std::string& worker, microseconds now,
                                milliseconds time) const
{
    const auto sent_probe = m_probes.find(worker);
    return sent_probe != m_probes.end() && sent_probe->second.reachable_since.count() >= 0 &&
           now - sent_probe->second.reachable_since >= time &&
           now - sent_probe->second.answered_at < probe_interval * 3;
}

void worker_pool::on_registry(const worker_registry& registry)
{
    for (auto& [id, record] : m_workers)
    {
        const auto entry = registry.find(id);
        record.unregistered = entry == registry.end();
        if (record.unregistered)
            continue;
        record.leaving = entry->second.leaving;
        record.worker.set_entry(entry->second);
    }
}

bool worker_pool::release(const std::string& worker)
{
    const auto record = m_workers.find(worker);
    if (record == m_workers.end() || !record->second.worker.idle())
        return false;
    remove_worker(worker);
    return true;
}

void worker_pool::hand_over(const std::vector<std::string>& workers)
{
    for (auto& [id, record] : m_workers)
        record.handed_over = false;
    for (const auto& id : workers)
    {
        const auto record = m_workers.find(id);
        if (record != m_workers.end() && !release(id))
            record->second.handed_over = true;
    }
}

void worker_pool::remove_worker(const std::string& worker)
{
    m_workers.erase(worker);
    ++m_held_version;
}

bool worker_pool::cleared(const std::vector<std::string>& workers) const
{
    return std::all_of(workers.begin(), workers.end(),
                       [&](const std::string& id)
                       {
                           const auto* worker = find(id);
                           return worker != nullptr && worker->acquired() &&
                                  !worker->has_foreign_runs();
                       });
}

const held_worker* worker_pool::find(const std::string& worker) const
{
    const auto record = m_workers.find(worker);
    return record == m_workers.end() ? nullptr : &record->second.worker;
}

std::vector<std::string> worker_pool::held() const
{
    std::vector<std::string> names;
    for (const auto& [id, record] : m_workers)
        names.push_back(id);
    return names;
}

std::vector<std::string> worker_pool::idle() const
{
    std::vector<std::string> names;
    for (const auto& [id, record] : m_workers)
        if (record.worker.idle())
            names.push_back(id);
    return names;
}

std::vector<std::string> worker_pool::unread() const
{
    std::vector<std::string> names;
    for (const auto& [id, record] : m_workers)
        if (!record.worker.acquired())
            names.push_back(id);
    return names;
}

std::size_t worker_pool::waiting_jobs(const std::string& route) const
{
    return static_cast<std::size_t>(std::count_if(
        m_jobs.begin(), m_jobs.end(),
        [&](const auto& entry)
        { return entry.second.starts == 0 && entry.second.request.terms.route == route; }));
}

void worker_pool::log_job(const open_job& job, const call_answer& answer, microseconds now,
                          action_list& out) const
{
    out.push_back(actions::log_event{
        answer.kind != answer_kind::ok,
        "event=job_ended job=" + job.request.id + " outcome=" + std::string(name_of(answer.kind)) +
            " caller_host=" + (job.caller.host.empty() ? "self" : job.caller.host) +
            " age_ms=" + std::to_string(to_ms(now - job.arrived)) +
            " here_ms=" + std::to_string(to_ms(now - job.accepted_at)) +
            " objective_ms=" + std::to_string(to_ms(job.objective - job.arrived)) +
            " longest_ms=" + std::to_string(job.critical_path.count()) +
            " tasks=" + std::to_string(job.tasks.size()) + " left=" + std::to_string(job.left) +
            " starts=" + std::to_string(job.starts) +
            (answer.detail.empty() ? "" : " detail=\"" + answer.detail + "\"")});
}

bool worker_pool::merge_evacuations(microseconds now, const evacuation_state& state,
                                    action_list& out)
{
    // Most heartbeats repeat the state in force.
    const auto* known = m_evacuations.state();
    if (known != nullptr && (state.revision < known->revision || state == *known))
        return false;
    const auto former = known == nullptr ? std::set<std::string>{} : known->data_centres;
    if (!m_evacuations.merge(now, state))
        return false;
    // After an evacuation a worker may be slow for some seconds because it is cold, which says
    // nothing about its usual speed.
    for (auto& [id, record] : m_workers)
    {
        const auto& data_centre = record.worker.entry().data_centre;
        if (former.contains(data_centre) && !m_evacuations.contains(data_centre))
            record.slowness = 1;
    }
    end_evacuated_jobs(now, out);
    place(now, out);
    return true;
}

void worker_pool::tick(microseconds now, action_list& out)
{
    m_evacuations.begin(now);
    worker_events events;
    for (auto& [id, record] : m_workers)
    {
        record.worker.set_lossy(now < m_lossy_until);
        record.worker.set_processing_delay(m_processing_delay);
        record.worker.tick(now, m_next_request, out, events);
    }
    handle_events(now, events, out);
    for (auto& [id, record] : m_workers)
        suspect_silent_runs(now, id, record, out);
    if (now < m_next_check)
        return;
    m_next_check = now + check_interval;
    std::vector<std::string> released;
    for (auto& [id, record] : m_workers)
    {
        record.slowness = 1 + (record.slowness - 1) * slowness_decay;
        log_silence(now, id, record, out);
        const bool silent = record.worker.silent_since().count() != 0;
        if (record.worker.idle() && (record.leaving || (record.unregistered && silent)))
            released.push_back(id);
    }
    for (const auto& id : released)
        remove_worker(id);
    std::vector<run_ref> expired;
    for (const auto& [job, runs] : m_former)
        for (const auto& [run, when] : runs)
            if (now >= when)
                expired.push_back(run);
    for (const auto& run : expired)
        end_former(run);
    expire_jobs(now, out);
    stop_stuck_runs(now, out);
    m_crashes.evict_expired(now);
    end_evacuated_jobs(now, out);
    place(now, out);
}

void worker_pool::log_silence(microseconds now, const std::string& worker, worker_record& record,
                              action_list& out) const
{
    const auto since = record.worker.silent_since();
    const bool silent = since.count() != 0 && now - since >= m_settings.silence_log_delay;
    if (silent == record.silence_logged || (!silent && since.count() != 0))
        return;
    record.silence_logged = silent;
    out.push_back(actions::log_event{
        silent, silent ? "event=worker_silent worker=" + worker +
                             " silent_ms=" + std::to_string(to_ms(now - since)) +
                             " runs=" + std::to_string(record.worker.runs().size())
                       : "event=worker_answers worker=" + worker});
}

void worker_pool::suspect_silent_runs(microseconds now, const std::string& worker,
                                      worker_record& record, action_list& out)
{
    const auto since = record.worker.silent_since();
    if (since.count() == 0)
        record.runs_suspected = false;
    if (since.count() == 0 || now - since < m_settings.suspicion_delay + m_processing_delay ||
        std::exchange(record.runs_suspected, true))
        return;
    auto runs = record.worker.silent_runs(now);
    // A worker that is leaving may have ended as planned, but may also carry out a start late.
    if (record.leaving)
        std::erase_if(runs, [](const worker_event& run) { return !run.in_doubt; });
    for (const auto& run : runs)
        m_crashes.suspect(now, run.run.task, worker, run.start_time_ms, run.in_doubt);
    if (!runs.empty())
        out.push_back(actions::log_event{
            true, "event=runs_suspected worker=" + worker + " silent_ms=" +
                      std::to_string(to_ms(now - since)) + " runs=" + std::to_string(runs.size())});
}

bool worker_pool::on_worker_reply(microseconds now, std::uint64_t request,
                                  const worker_reply& reply, action_list& out)
{
    for (auto& [id, sent_probe] : m_probes)
    {
        if (sent_probe.request != request)
            continue;
        sent_probe.request = 0;
        const bool answered =
            reply.result == order_result::accepted || reply.result == order_result::stale_fence;
        if (!answered)
            sent_probe.reachable_since = microseconds{-1};
        else if (sent_probe.reachable_since.count() < 0)
            sent_probe.reachable_since = now;
        if (answered)
            sent_probe.answered_at = now;
        return true;
    }
    worker_events events;
    bool found = false;
    std::string worker;
    for (auto& [id, record] : m_workers)
    {
        found = record.worker.on_reply(now, request, reply, m_next_request, out, events);
        if (found)
        {
            worker = id;
            if (reply.result == order_result::unhealthy)
                record.quarantined_until =
                    std::max(record.quarantined_until, now + m_settings.unhealthy_pause);
            if (reply.result == order_result::no_answer)
            {
                ++m_totals.in_doubt;
                // If this process is late itself, the network need not be at fault, and more holds
                // would make it later.
                if (m_processing_delay < m_settings.workers.order_timeout)
                    m_lossy_until = now + m_settings.lossy_period;
            }
            break;
        }
    }
    handle_events(now, events, out);
    if (const auto resolved = m_crashes.worker_answered(now, worker, reply.start_time_ms);
        resolved.confirmed + resolved.cleared > 0)
        out.push_back(
            actions::log_event{true, "event=crashes_resolved source=" + worker +
                                         " confirmed=" + std::to_string(resolved.confirmed) +
                                         " cleared=" + std::to_string(resolved.cleared)});
    if (!events.empty())
        place(now, out);
    return found;
}

worker_pool::open_job* worker_pool::find(const task_name& name, task_state*& state)
{
    const auto job = m_jobs.find(name.job);
    if (job == m_jobs.end())
        return nullptr;
    for (auto& task : job->second.tasks)
        if (task.step == name.step && task.index == name.index)
        {
            state = &task;
            return &job->second;
        }
    return nullptr;
}

void worker_pool::handle_events(microseconds now, const worker_events& events, action_list& out)
{
    for (const auto& event : events)
        on_event(now, event, out);
}

void worker_pool::on_event(microseconds now, const worker_event& event, action_list& out)
{
    if (event.kind == worker_event_kind::taken)
    {
        out.push_back(actions::log_event{false, "event=worker_taken worker=" + event.worker});
        return;
    }
    if (event.kind == worker_event_kind::lost)
        return on_lost(now, event, out);
    if (event.kind == worker_event_kind::found)
        return m_start_changes.started.push_back(event.run.task.job);
    if (event.kind == worker_event_kind::ended)
        record_crash(now, event, out);
    if (end_former(event.run))
    {
        if (event.end != run_end::done)
            ++m_totals.wasted;
        return;
    }
    if (event.kind == worker_event_kind::ended)
        return on_ended(now, event, out);
    task_state* task = nullptr;
    auto* job = find(event.run.task, task);
    if (job == nullptr || task->stage != task_stage::placed ||
        task->next_run != event.run.number + 1)
        return;
    task->stage = task_stage::waiting;
    ++job->waiting;
    if (--job->starts == 0)
        m_start_changes.not_started.push_back(job->request.id);
    out.push_back(actions::log_event{true, "event=start_refused run=" + run_text(event.run) +
                                               " worker=" + event.worker +
                                               " reason=" + std::string(name_of(event.reason))});
    if (event.reason == order_result::stale_run)
        // The worker has seen a higher run number, from an earlier submission of the job whose
        // numbers are not known here.
        task->next_run *= 2;
    if (event.reason == order_result::malformed)
        task_failed(now, nullptr, *job, *task, out);
}

void worker_pool::record_crash(microseconds now, const worker_event& event, action_list& out)
{
    const bool crashed = event.end == run_end::crashed;
    const auto worker = m_workers.find(event.worker);
    if ((!crashed && !event.silent) || (worker != m_workers.end() && worker->second.leaving))
        return;
    if (crashed)
        m_crashes.confirm(now, event.run.task, event.worker, event.start_time_ms, event.in_doubt);
    else
        m_crashes.suspect(now, event.run.task, event.worker, event.start_time_ms, event.in_doubt);
    out.push_back(actions::log_event{
        true, "event=worker_lost_under run=" + run_text(event.run) + " worker=" + event.worker +
                  " crashed=" + (crashed ? "true" : "unknown") +
                  " start=" + (event.in_doubt ? "unanswered" : "answered") +
                  " verdict=" + std::string(name_of(m_crashes.verdict(event.run.task)))});
}

std::optional<call_answer> worker_pool::answer_to(crash_verdict verdict)
{
    switch (verdict)
    {
    case crash_verdict::deadly:
        return call_answer{answer_kind::task_failed, {}, "a task crashed the workers it ran on"};
    case crash_verdict::undecided:
        return call_answer{answer_kind::deadline_passed,
                           {},
                           "a task does not start again until the workers that fell silent under "
                           "it answer"};
    default:
        return std::nullopt;
    }
}

void worker_pool::end_crashing_jobs(microseconds now, action_list& out)
{
    if (m_crashes.empty())
        return;
    std::vector<std::pair<std::string, call_answer>> ended;
    for (const auto& [id, job] : m_jobs)
    {
        if (job.waiting == 0 || m_crashes.verdict(id) < crash_verdict::undecided)
            continue;
        auto verdict = crash_verdict::none;
        for (const auto& task : job.tasks)
            if (task.stage == task_stage::waiting)
                verdict = std::max(verdict, m_crashes.verdict({id, 0, task.step, task.index}));
        if (auto answer = answer_to(verdict))
            ended.emplace_back(id, std::move(*answer));
    }
    for (auto& [id, answer] : ended)
        finish(now, m_jobs.at(id), std::move(answer), false, out);
}

bool worker_pool::end_former(const run_ref& run)
{
    const auto former = m_former.find(run.task.job);
    if (former == m_former.end() || former->second.erase(run) == 0)
        return false;
    if (!former->second.empty())
        return true;
    m_former.erase(former);
    if (const auto job = m_jobs.find(run.task.job); job != m_jobs.end())
        job->second.awaits_former_runs = false;
    return true;
}

void worker_pool::learn(microseconds now, worker_record& record, const open_job& job,
                        const task_state& task, microseconds ran)
{
    const auto& step = job.request.steps[task.step];
    const auto time = expected_run_time(now, job.request, step);
    const double ratio =
        static_cast<double>(ran.count()) / static_cast<double>(microseconds{time}.count());
    record.slowness += slowness_rate * (std::min(ratio, max_slowness) - record.slowness);
    m_run_times.learn(now, job.request.terms.route, step.estimate, ran);
}

void worker_pool::on_ended(microseconds now, const worker_event& event, action_list& out)
{
    const auto worker = m_workers.find(event.worker);
    auto* record = worker == m_workers.end() ? nullptr : &worker->second;
    if (event.end != run_end::done && event.end != run_end::failed)
        ++m_totals.wasted;
    task_state* task = nullptr;
    auto* job = find(event.run.task, task);
    if (job == nullptr || task->stage != task_stage::placed ||
        task->next_run != event.run.number + 1)
        return;
    if (event.end == run_end::done)
    {
        ++m_totals.done;
        task->stage = task_stage::done;
        --job->left;
        --job->step_left[task->step];
        if (record != nullptr)
        {
            if (!event.read_late)
                learn(now, *record, *job, *task, event.ran);
            record->failures = 0;
            record->probation = false;
            record->quarantine = milliseconds{0};
        }
        if (job->left == 0)
            finish(now, *job, {answer_kind::ok, {}, {}}, false, out);
        return;
    }
    out.push_back(actions::log_event{
        true, "event=run_ended run=" + run_text(event.run) + " worker=" + event.worker + " end=" +
                  std::string(name_of(event.end)) + " ran_ms=" + std::to_string(to_ms(event.ran))});
    task->stage = task_stage::waiting;
    ++job->waiting;
    if (event.end == run_end::failed)
        return task_failed(now, record, *job, *task, out);
    task->avoid.push_back(event.worker);
}

void worker_pool::task_failed(microseconds now, worker_record* record, open_job& job,
                              task_state& task, action_list& out)
{
    ++m_totals.failed;
    if (record != nullptr)
    {
        // If the task has failed before, the fault may be in the task rather than in this worker.
        if (task.failures == 0 &&
            (record->probation || ++record->failures >= m_settings.max_consecutive_failures))
        {
            record->quarantine = std::clamp(record->quarantine * 2, m_settings.initial_quarantine,
                                            m_settings.max_quarantine);
            record->quarantined_until = now + record->quarantine;
            record->probation = true;
            out.push_back(actions::log_event{
                true, "event=worker_set_aside worker=" + record->worker.entry().id +
                          " failures=" + std::to_string(record->failures) +
                          " for_ms=" + std::to_string(record->quarantine.count())});
        }
        task.avoid.push_back(record->worker.entry().id);
    }
    if (++task.failures >= job.request.terms.max_attempts)
        finish(now, job, {answer_kind::task_failed, {}, "a task used up its attempts"}, false, out);
}

void worker_pool::on_lost(microseconds now, const worker_event& event, action_list& out)
{
    ++m_totals.lost_workers;
    const auto record = m_workers.find(event.worker);
    if (record == m_workers.end())
        return;
    out.push_back(actions::log_event{
        true, "event=worker_lost worker=" + event.worker +
                  " reason=" + std::string(name_of(event.reason)) +
                  " runs=" + std::to_string(record->second.worker.runs().size())});
    const auto runs = record->second.worker.runs();
    const bool leaving = record->second.leaving;
    const bool silent = !leaving && record->second.worker.silent_since().count() != 0;
    const auto start_time_ms = record->second.worker.start_time_ms();
    remove_worker(event.worker);
    m_losses.push_back(event.worker);
    const bool terminated = event.reason == order_result::other_lifetime;
    const auto end = leaving ? run_end::lapsed : run_end::crashed;
    for (const auto& view : runs)
    {
        const auto& run = view.run;
        worker_event ended{worker_event_kind::ended, event.worker, run, end, {}, {}};
        ended.start_time_ms = start_time_ms;
        ended.in_doubt = !view.confirmed;
        if (terminated)
        {
            on_event(now, ended, out);
            continue;
        }
        // A worker that was silent before may have restarted: only the other host hears it now.
        ended.end = run_end::lapsed;
        ended.silent = silent;
        record_crash(now, ended, out);
        // The new holder stops the run; at the latest it ends when its lease expires.
        const auto ended_at = now + m_settings.lost_run_timeout;
        if (const auto former = m_former.find(run.task.job);
            former != m_former.end() && former->second.contains(run))
        {
            former->second[run] = ended_at;
            continue;
        }
        m_former[run.task.job].emplace(run, ended_at);
        // It is not known here whether the run had ended before the worker was lost.
        task_state* task = nullptr;
        if (auto* job = find(run.task, task))
            finish(now, *job, {answer_kind::worker_lost, {}, "another host took the worker"}, false,
                   out);
    }
}

void worker_pool::stop_runs(microseconds now, const open_job& job, action_list& out)
{
    std::set<std::string> workers;
    for (const auto& task : job.tasks)
        if (task.stage == task_stage::placed)
            workers.insert(task.worker);
    for (const auto& id : workers)
    {
        const auto record = m_workers.find(id);
        if (record == m_workers.end())
            continue;
        for (const auto& view : record->second.worker.runs())
        {
            if (view.run.task.job != job.request.id)
                continue;
            m_former[job.request.id].emplace(view.run, microseconds::max());
            record->second.worker.stop(now, view.run, m_next_request, out);
        }
    }
}

void worker_pool::finish(microseconds now, open_job& job, call_answer answer, bool declined,
                         action_list& out)
{
    log_job(job, answer, now, out);
    stop_runs(now, job, out);
    if (job.on_trial)
    {
        const bool served = answer.kind == answer_kind::ok;
        m_trials.end(now, job.request.terms.route, served);
        m_totals.trials_served += served ? 1 : 0;
    }
    const auto id = job.request.id;
    m_by_caller.erase(job.caller);
    m_results.push_back({job.caller, id, std::move(answer), declined});
    m_jobs.erase(id);
}

void worker_pool::cancel(microseconds now, const caller_ref& caller, action_list& out)
{
    const auto job = m_by_caller.find(caller);
    if (job != m_by_caller.end())
        finish(now, m_jobs.at(job->second),
               {answer_kind::cancelled, {}, "nobody waits for it any more"}, false, out);
}

void worker_pool::cancel_job(microseconds now, const std::string& id, action_list& out)
{
    const auto job = m_jobs.find(id);
    if (job != m_jobs.end())
        finish(now, job->second, {answer_kind::cancelled, {}, "taken back"}, false, out);
}

void worker_pool::cancel_earlier(microseconds now, const std::string& id, const caller_ref& caller,
                                 action_list& out)
{
    const auto job = m_jobs.find(id);
    if (job == m_jobs.end())
        return;
    const auto earlier = job->second.caller;
    if (earlier.host == caller.host && earlier.incarnation == caller.incarnation &&
        earlier.offer < caller.offer)
        cancel(now, earlier, out);
}

void worker_pool::cancel_callers(microseconds now,
                                 const std::function<bool(const caller_ref&)>& is_disconnected,
                                 action_list& out)
{
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_jobs)
        if (is_disconnected(job.caller))
            ids.push_back(id);
    for (const auto& id : ids)
        finish(now, m_jobs.at(id), {answer_kind::cancelled, {}, "the caller's host is silent"},
               false, out);
}

void worker_pool::decline_unstarted_jobs(microseconds now, action_list& out)
{
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_jobs)
        if (job.starts == 0)
            ids.push_back(id);
    for (const auto& id : ids)
        finish(now, m_jobs.at(id), refusal(answer_kind::over_capacity, now, "this host is leaving"),
               true, out);
}

void worker_pool::expire_jobs(microseconds now, action_list& out)
{
    std::vector<std::string> unstartable;
    std::vector<std::string> overdue;
    for (const auto& [id, job] : m_jobs)
    {
        if (now >= job.deadline)
            overdue.push_back(id);
        else if (job.starts == 0 && cannot_end_in_time(job, now))
            unstartable.push_back(id);
    }
    for (const auto& id : unstartable)
        finish(now, m_jobs.at(id),
               refusal(answer_kind::expired_in_queue, now, "no room came free in time"), false,
               out);
    for (const auto& id : overdue)
    {
        auto& job = m_jobs.at(id);
        const auto kind =
            job.starts == 0 ? answer_kind::expired_in_queue : answer_kind::deadline_passed;
        finish(now, job, refusal(kind, now, "the caller waits no longer"), false, out);
    }
}

void worker_pool::stop_stuck_runs(microseconds now, action_list& out)
{
    constexpr std::uint32_t half = 50;
    for (auto& [id, record] : m_workers)
        for (const auto& view : record.worker.runs())
        {
            if (view.stopping)
                continue;
            task_state* task = nullptr;
            auto* job = find(view.run.task, task);
            if (job == nullptr)
                continue;
            const auto declared = job->request.steps[task->step].estimate;
            if (declared.count() == 0)
                continue;
            const auto time = std::max(job->run_times[task->step], declared);
            const auto limit =
                std::chrono::duration_cast<microseconds>(time * m_settings.stuck_factor) +
                microseconds{m_settings.stuck_slack};
            if (now - view.sent < limit || view.percent >= half || view.percent_at <= view.sent)
                continue;
            out.push_back(actions::log_event{
                true, "event=run_stuck run=" + run_text(view.run) + " worker=" + id +
                          " ran_ms=" + std::to_string(to_ms(now - view.sent)) +
                          " expected_ms=" + std::to_string(time.count()) +
                          " percent=" + std::to_string(view.percent) +
                          " percent_age_ms=" + std::to_string(to_ms(now - view.percent_at))});
            record.slowness = std::max(record.slowness, m_settings.stuck_factor);
            record.worker.stop(now, view.run, m_next_request, out);
        }
}

} // namespace egretledge::pool
