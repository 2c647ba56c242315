// The states of a job at its owner.
//
// A call for a key is looked up in this order, so that each key is decided once:
//   1. the table of open jobs: the call joins the job, or is answered as a conflict;
//   2. the memory of answered jobs: the call receives the same answer again;
//   3. the history of earlier owners;
//   4. otherwise the call opens a new job.
//
// "Not run" is answered only while this host holds the shard's lease; it is final, and the key does
// not run later. "Failed" is decided under the lease and answered after a worker has recorded it.
// "Complete" needs no lease. Every final answer is remembered before it is sent. Three rules keep
// answers true when the owner changes:
//   - The workers' records hold every started task. The next owner collects all records before it
//     answers for a key made before the takeover.
//   - A key made before the takeover of which nothing was started, and which the former owner may
//     have refused (its refusals are bounded, see ownership.cpp), is not run and is answered "not
//     run", which is true in either case. A key that cannot have been refused runs.
//   - A job that has started ends as "failed" only after a worker has recorded it as closed, under
//     the owner's epoch. The next owner reads all records, which also fences older epochs, and so
//     finds every failure that was answered. A job on record that is not closed was never answered
//     as failed, and is resumed or completed. If no worker can record the closing, the callers
//     receive "unknown" at the deadline.
//
// The dispatcher restarts a task that is not repeatable only if its start was refused or is proven
// not to have happened. A repeatable task is also retried after it failed or after its worker's
// process ended, within the policy's limits.

#include "core/job_owner.hpp"
#include "core/check.hpp"
#include "core/wire.hpp"
#include <algorithm>
#define XXH_STATIC_LINKING_ONLY // for XXH3_state_t on the stack
#include <xxhash.h>

namespace egretledge
{

namespace
{

// Delay after which callers are asked to retry.
constexpr milliseconds caller_retry_delay{1000};
// How far ahead of the clock the refusal bound is kept. It is short because after a crash the next
// owner refuses all keys up to the bound of which nothing was started.
constexpr milliseconds refusal_lead_time{1000};
// Expected wait of a new task above which refusals are likely.
constexpr milliseconds overload_wait{1000};
// Retries that are allowed regardless of the number of starts.
constexpr double min_retry_budget = 100;
// Unproven trials of run times are at most one for this many slots, but one in any case.
constexpr double slots_per_trial = 16;
constexpr microseconds refusal_retry_delay = milliseconds{5};
constexpr microseconds sweep_interval = milliseconds{1000};
constexpr microseconds close_timeout = milliseconds{500};

std::uint64_t digest_of(const wire::Job& job)
{
    XXH3_state_t state;
    XXH3_64bits_reset(&state);
    const auto add = [&](const std::string& text)
    {
        const std::uint64_t size = text.size();
        XXH3_64bits_update(&state, &size, sizeof(size));
        XXH3_64bits_update(&state, text.data(), text.size());
    };
    add(job.service());
    for (const auto& task : job.tasks())
    {
        add(task.payload());
        const std::uint32_t declared = task.size_ms();
        XXH3_64bits_update(&state, &declared, sizeof(declared));
    }
    return XXH3_64bits_digest(&state);
}

run_state state_of(record_state state)
{
    switch (state)
    {
    case record_state::running:
        return run_state::running;
    case record_state::done:
        return run_state::done;
    case record_state::failed:
        return run_state::task_failed;
    default:
        return run_state::may_have_run;
    }
}

wire::Answer answer_from_record(const recovered_job& record, answer_kind kind)
{
    auto answer = make_answer(kind);
    for (std::uint32_t i = 0; i < record.task_count; ++i)
    {
        const auto task = record.tasks.find(i);
        auto& line = *answer.add_tasks();
        if (task == record.tasks.end())
            continue;
        line.set_run_state(static_cast<std::uint32_t>(state_of(task->second.state)));
        line.set_worker(task->second.worker);
        if (kind == answer_kind::ok)
            line.set_output(task->second.output);
    }
    return answer;
}

answer_kind closed_kind(const std::string& name)
{
    auto kind = answer_kind::cancelled;
    boost::describe::enum_from_string(name.c_str(), kind);
    return row_of(kind).result == outcome::failed ? kind : answer_kind::cancelled;
}

} // namespace

job_owner::job_owner(job_owner_settings settings, ownership& owners, node_counters& counters,
                     dispatcher_settings dispatch, std::uint64_t seed)
    : m_settings(std::move(settings)), m_owners(owners), m_counters(counters),
      m_dispatcher(std::move(dispatch), *this, counters, seed),
      m_recovery(m_settings.max_key_ahead, m_settings.key_window),
      m_memory(m_settings.key_window, m_settings.answer_bytes)
{
}

void job_owner::configure(configuration_ptr config)
{
    m_config = std::move(config);
    m_dispatcher.configure(m_config);
    for (const auto& worker : m_dispatcher.workers())
        m_recovery.add_worker(worker->settings.name);
}

const service_object* job_owner::service_of(const std::string& name) const
{
    const auto found = m_config->services.find(name);
    return found == m_config->services.end() ? nullptr : &found->second;
}

bool job_owner::permit(std::uint32_t shard, instant now, start_permit& granted) const
{
    granted.until = m_owners.serves_until(shard, now);
    granted.owner_epoch = m_owners.epoch_of(shard);
    granted.revision = m_owners.usable_revision(shard);
    return granted.until > now.steady;
}

call_status job_owner::on_call(instant now, std::uint64_t call, const wire::Call& request,
                               const job_key& key, wire::Answer& answer, action_list& out)
{
    const auto id = make_job_id(request.team(), request.key());
    const auto shard = shard_of(id, m_owners.shard_count());
    if (!m_owners.may_serve(shard, now))
        return call_status::moved;
    if (key.made > now.wall + m_settings.max_key_ahead)
    {
        answer = make_answer(answer_kind::key_ahead_of_clock);
        return call_status::answered;
    }
    if (key.made + m_settings.key_window < now.wall)
    {
        answer = make_answer(answer_kind::key_expired);
        return call_status::answered;
    }
    const auto open = m_jobs.find(id);
    if (open != m_jobs.end())
        return on_open_job(*open->second, call, request, now, answer, out);
    if (const auto known = m_memory.find(id, key.made))
    {
        const bool conflict = request.kind() == wire::SUBMIT && known->digest != 0 &&
                              known->digest != digest_of(request.job());
        answer = conflict ? make_answer(answer_kind::key_conflict) : known->answer;
        return call_status::answered;
    }
    const auto state = m_recovery.history_status_of(shard, id, key.made);
    if (state != history_status::not_affected)
        return on_key_before_takeover(now, call, request, key, id, state, answer, out);
    return on_submit(now, call, request, key, id, answer, out);
}

call_status job_owner::on_open_job(open_job& job, std::uint64_t call, const wire::Call& request,
                                   instant now, wire::Answer& answer, action_list& out)
{
    if (request.kind() == wire::SUBMIT && digest_of(request.job()) != job.digest)
    {
        answer = make_answer(answer_kind::key_conflict);
        return call_status::answered;
    }
    if (request.kind() == wire::QUERY)
    {
        answer = make_answer(answer_kind::still_running, {}, caller_retry_delay);
        return call_status::answered;
    }
    if (job.expired)
    {
        answer =
            make_answer(answer_kind::recovering, "its deadline has passed", caller_retry_delay);
        return call_status::answered;
    }
    // A job that a cancellation opened from the workers' records has no body yet. The router drops
    // its copy of the body when the call joins, so the job keeps one in case the call is returned.
    if (request.kind() == wire::SUBMIT && job.service.empty())
        set_body(job, request.job());
    job.callers.push_back({"", call});
    if (request.kind() == wire::CANCEL)
        cancel(now, job, out);
    return call_status::joined;
}

call_status job_owner::on_key_before_takeover(instant now, std::uint64_t call,
                                              const wire::Call& request, const job_key& key,
                                              const job_id& id, history_status state,
                                              wire::Answer& answer, action_list& out)
{
    const auto shard = shard_of(id, m_owners.shard_count());
    const auto* record = m_recovery.find(shard, id);
    switch (state)
    {
    case history_status::collecting:
        return call_status::wait;
    case history_status::incomplete:
        answer = make_answer(answer_kind::recovering,
                             "a worker lost its records; the key's history is not complete",
                             caller_retry_delay);
        return call_status::answered;
    case history_status::recorded:
        return on_recovered(now, call, request, key, id, *record, answer, out);
    default:
        break;
    }
    if (key.made > m_recovery.answers_unknown_before(shard))
        return on_submit(now, call, request, key, id, answer, out);
    if (request.kind() == wire::QUERY)
    {
        answer = make_answer(answer_kind::not_seen);
        return call_status::answered;
    }
    if (!request_refusal(now, shard, key.made))
        return call_status::wait;
    answer = make_answer(answer_kind::before_takeover, {}, caller_retry_delay);
    const auto digest = request.kind() == wire::SUBMIT ? digest_of(request.job()) : 0;
    record_refusal(id, digest, key.made, answer);
    return call_status::answered;
}

call_status job_owner::on_recovered(instant now, std::uint64_t call, const wire::Call& request,
                                    const job_key& key, const job_id& id,
                                    const recovered_job& record, wire::Answer& answer,
                                    action_list& out)
{
    const bool has_body = request.kind() == wire::SUBMIT;
    if (has_body && record.digest != digest_of(request.job()))
    {
        answer = make_answer(answer_kind::key_conflict);
        return call_status::answered;
    }
    if (record.closed || record.all_done())
    {
        const auto kind = record.closed ? closed_kind(record.closed_as) : answer_kind::ok;
        answer = answer_from_record(record, kind);
        m_memory.put({id, record.digest, key.made, answer});
        m_counters.jobs_failed += record.closed ? 1 : 0;
        m_counters.jobs_complete += record.closed ? 0 : 1;
        return call_status::answered;
    }
    const bool has_failed =
        record.any_in_state(record_state::failed) || record.any_in_state(record_state::stopped);
    const bool past_deadline = now.wall >= record.deadline;
    if (request.kind() == wire::QUERY ||
        (!has_body && !has_failed && !past_deadline && request.kind() != wire::CANCEL))
    {
        answer = make_answer(answer_kind::recovering,
                             "its owner changed while it ran; submit it again with the same key",
                             caller_retry_delay);
        return call_status::answered;
    }
    auto& job = reopen(now, call, request, key, id, record);
    ++m_counters.jobs_resumed;
    if (request.kind() == wire::CANCEL)
        begin_close(now, job, answer_kind::cancelled, {}, out);
    else if (has_failed)
        begin_close(now, job,
                    record.any_in_state(record_state::failed) ? answer_kind::task_failed
                                                              : answer_kind::worker_lost,
                    "it failed before its owner changed", out);
    else if (past_deadline)
        begin_close(now, job, answer_kind::deadline_passed, {}, out);
    else
        m_dispatcher.enqueue(job, now);
    return call_status::joined;
}

open_job& job_owner::reopen(instant now, std::uint64_t call, const wire::Call& request,
                            const job_key& key, const job_id& id, const recovered_job& record)
{
    auto& job = open(now, call, request, key, id);
    job.digest = record.digest;
    job.tasks.resize(record.task_count);
    job.unfinished = job.tasks.size();
    job.deadline_wall = record.deadline;
    job.deadline = now.steady + std::max(milliseconds{0}, record.deadline - now.wall);
    m_due_jobs.push({job.deadline, id});
    for (const auto& [index, found] : record.tasks)
    {
        if (index >= job.tasks.size())
            continue;
        auto& task = job.tasks[index];
        task.state = state_of(found.state);
        task.output = found.output;
        task.worker = m_dispatcher.worker_index(found.worker);
        task.adopted = true;
        task.attempts = 1;
        job.unfinished -= found.state == record_state::done ? 1 : 0;
    }
    if (record.any_in_state(record_state::running))
        m_resumed.emplace(id, job.shard);
    return job;
}

bool job_owner::refuse_if_infeasible(instant now, const wire::Call& request, bool& on_trial,
                                     wire::Answer& answer)
{
    const auto& service = *service_of(request.job().service());
    if (!m_dispatcher.any_worker_fits(service))
    {
        answer = make_answer(answer_kind::no_worker_fits);
        return true;
    }
    std::uint32_t max_size_ms = 0;
    for (const auto& task : request.job().tasks())
        max_size_ms = std::max(max_size_ms, task.size_ms());
    const auto run = m_dispatcher.expected_run_time(now.steady, service.name, max_size_ms);
    const auto wait = m_dispatcher.expected_wait();
    const auto limit = milliseconds{m_config->policy_of(service).admission_wait_ms};
    const milliseconds remaining{request.remaining_ms()};
    if (wait <= limit && wait + run < remaining)
        return false;
    const auto declared = m_dispatcher.declared_run_time(service.name, max_size_ms);
    on_trial = run >= remaining && declared < remaining && begin_trial(now, service);
    if (on_trial)
        return false;
    const bool team_full = m_dispatcher.over_quota(request.team());
    answer = make_answer(team_full ? answer_kind::over_quota : answer_kind::over_capacity,
                         "expected wait " + std::to_string(wait.count()) + " ms, run " +
                             std::to_string(run.count()) + " ms",
                         std::max(wait, caller_retry_delay));
    return true;
}

bool job_owner::begin_trial(instant now, const service_object& service)
{
    const auto max_trials = std::max<std::size_t>(
        1, static_cast<std::size_t>(m_dispatcher.usable_slots() / slots_per_trial));
    if (m_dispatcher.queued() > 0 || m_trials.unproven() >= max_trials ||
        !m_trials.may_begin(now.steady, service.name))
        return false;
    m_trials.begin(now.steady, service.name);
    ++m_counters.run_time_trials;
    return true;
}

call_status job_owner::on_submit(instant now, std::uint64_t call, const wire::Call& request,
                                 const job_key& key, const job_id& id, wire::Answer& answer,
                                 action_list& out)
{
    if (request.kind() == wire::QUERY)
    {
        answer = make_answer(answer_kind::not_seen);
        return call_status::answered;
    }
    const auto shard = shard_of(id, m_owners.shard_count());
    if (request.kind() == wire::CANCEL)
    {
        if (!request_refusal(now, shard, key.made))
            return call_status::wait;
        answer = make_answer(answer_kind::cancelled_before_start);
        record_refusal(id, 0, key.made, answer);
        return call_status::answered;
    }
    if (service_of(request.job().service()) == nullptr)
    {
        answer = make_answer(answer_kind::unknown_service, request.job().service());
        return call_status::answered;
    }
    if (static_cast<std::uint32_t>(request.job().tasks_size()) > m_settings.max_tasks)
    {
        answer = make_answer(answer_kind::too_large,
                             "at most " + std::to_string(m_settings.max_tasks) + " tasks a job");
        return call_status::answered;
    }
    bool on_trial = false;
    if (refuse_if_infeasible(now, request, on_trial, answer))
    {
        if (!request_refusal(now, shard, key.made))
            return call_status::wait;
        record_refusal(id, digest_of(request.job()), key.made, answer);
        return call_status::answered;
    }
    auto& job = open(now, call, request, key, id);
    job.on_trial = on_trial;
    ++m_counters.jobs_accepted;
    m_dispatcher.enqueue(job, now);
    m_dispatcher.pump(now, out);
    return call_status::joined;
}

void job_owner::set_body(open_job& job, const wire::Job& body)
{
    job.service = body.service();
    job.tasks.resize(static_cast<std::size_t>(body.tasks_size()));
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        const auto& task = body.tasks(static_cast<int>(i));
        job.tasks[i].payload = task.payload();
        job.tasks[i].size_ms = task.size_ms();
    }
}

open_job& job_owner::open(instant now, std::uint64_t call, const wire::Call& request,
                          const job_key& key, const job_id& id)
{
    auto job = std::make_unique<open_job>();
    job->id = id;
    job->team = request.team();
    job->key = request.key();
    job->shard = shard_of(id, m_owners.shard_count());
    job->digest = digest_of(request.job());
    job->made = key.made;
    job->accepted = now.steady;
    const milliseconds remaining{request.remaining_ms()};
    job->deadline = now.steady + remaining;
    job->deadline_wall = now.wall + remaining;
    set_body(*job, request.job());
    job->unfinished = job->tasks.size();
    job->callers.push_back({"", call});
    m_due_jobs.push({job->deadline, id});
    auto& stored_job = m_jobs[id];
    EGRET_CHECK(stored_job == nullptr, "the job is already open");
    stored_job = std::move(job);
    return *stored_job;
}

bool job_owner::request_refusal(instant now, std::uint32_t shard, milliseconds made)
{
    m_last_refusal = now.steady;
    if (m_owners.acknowledged_refusal_bound(shard) >= made)
    {
        // Announced even if the bound suffices: a host that needs no grantor has no bound, but a
        // later grantor must know which keys may have been refused.
        m_owners.request_refusal_bound(now, shard, made);
        return true;
    }
    m_owners.request_refusal_bound(now, shard, now.wall + refusal_lead_time);
    return false;
}

void job_owner::extend_refusal_bounds(instant now)
{
    const bool recent =
        m_last_refusal >= microseconds{0} && now.steady - m_last_refusal < refusal_lead_time;
    const bool overloaded = m_dispatcher.expected_wait() > overload_wait;
    if (!recent && !overloaded)
        return;
    for (std::uint32_t shard = 0; shard < m_owners.shard_count(); ++shard)
        if (m_owners.may_serve(shard, now) &&
            m_owners.acknowledged_refusal_bound(shard) < now.wall + refusal_lead_time / 2)
            m_owners.request_refusal_bound(now, shard, now.wall + refusal_lead_time);
}

void job_owner::record_refusal(const job_id& id, std::uint64_t digest, milliseconds made,
                               const wire::Answer& answer)
{
    ++m_counters.jobs_refused;
    m_memory.put({id, digest, made, answer});
}

wire::Answer job_owner::answer_for(const open_job& job, answer_kind kind, std::string detail)
{
    auto answer = make_answer(kind, std::move(detail));
    if (row_of(kind).result == outcome::not_run)
        return answer;
    for (const auto& task : job.tasks)
    {
        auto& line = *answer.add_tasks();
        // A task that is stopped may have completed before the stop reached it.
        const bool stopped = kind == answer_kind::cancelled && task.state == run_state::running;
        // So may a task whose start is in doubt, or one that failed and was queued for a retry.
        const bool in_doubt = task.state == run_state::start_sent ||
                              (task.state == run_state::not_started && task.has_run());
        const auto state = stopped || in_doubt ? run_state::may_have_run : task.state;
        line.set_run_state(static_cast<std::uint32_t>(state));
        if (kind == answer_kind::ok)
            line.set_output(task.output);
    }
    return answer;
}

// Only "not run" needs the lease at this moment: "complete" is true whichever host owns the shard,
// and a failure is already on a worker's record.
void job_owner::finish(instant now, open_job& job, answer_kind kind, std::string detail)
{
    const auto result = row_of(kind).result;
    EGRET_CHECK(result != outcome::not_run ||
                    (m_owners.may_serve(job.shard, now) &&
                     m_owners.acknowledged_refusal_bound(job.shard) >= job.made),
                "\"not run\" needs the shard's lease and a sufficient refusal bound");
    m_dispatcher.drop(job);
    if (job.on_trial)
    {
        const bool served = result == outcome::complete;
        m_trials.end(now.steady, job.service, served);
        m_counters.run_time_trials_served += served ? 1 : 0;
    }
    auto answer = answer_for(job, kind, std::move(detail));
    m_counters.jobs_complete += result == outcome::complete ? 1 : 0;
    m_counters.jobs_failed += result == outcome::failed ? 1 : 0;
    m_counters.jobs_refused += result == outcome::not_run ? 1 : 0;
    m_memory.put({job.id, job.digest, job.made, answer});
    answer_callers(job, std::move(answer));
    m_resumed.erase(job.id);
    const auto id = job.id;
    m_jobs.erase(id);
}

void job_owner::cancel(instant now, open_job& job, action_list& out)
{
    if (job.closing)
        return;
    const bool never_started = std::all_of(
        job.tasks.begin(), job.tasks.end(),
        [](const open_task& t) { return t.state == run_state::not_started && !t.has_run(); });
    if (never_started && request_refusal(now, job.shard, job.made))
        return finish(now, job, answer_kind::cancelled_before_start, {});
    if (never_started)
    {
        m_dispatcher.drop_queued(job);
        job.cancelled = true;
        job.deadline = now.steady;
        m_due_jobs.push({now.steady + refusal_retry_delay, job.id});
        return;
    }
    begin_close(now, job, answer_kind::cancelled, {}, out);
}

void job_owner::begin_close(instant now, open_job& job, answer_kind kind, std::string detail,
                            action_list& out)
{
    if (job.closing)
        return;
    job.closing = true;
    job.closing_kind = kind;
    job.closing_detail = std::move(detail);
    m_dispatcher.drop_queued(job);
    m_dispatcher.close(job, m_owners.epoch_of(job.shard), now, out);
    m_due_jobs.push({now.steady + close_timeout, job.id});
}

// No worker has recorded the closing yet. It is retried until the key expires.
void job_owner::retry_close(instant now, open_job& job, action_list& out)
{
    if (now.steady >= job.deadline)
        answer_callers(job, make_answer(answer_kind::recovering,
                                        "it ends, but no worker has confirmed that yet",
                                        caller_retry_delay));
    m_dispatcher.close(job, m_owners.epoch_of(job.shard), now, out);
}

void job_owner::remove_caller(std::uint64_t call, const job_id& id)
{
    const auto job = m_jobs.find(id);
    if (job != m_jobs.end())
        std::erase(job->second->callers, waiting_caller{"", call});
}

void job_owner::process_due_jobs(instant now, action_list& out)
{
    std::vector<due_job> rescheduled;
    while (!m_due_jobs.empty() && m_due_jobs.top().at <= now.steady)
    {
        const auto due = m_due_jobs.top();
        m_due_jobs.pop();
        const auto found = m_jobs.find(due.id);
        if (found == m_jobs.end())
            continue;
        const auto next = process_due_job(now, *found->second, out);
        if (next > microseconds{0})
            rescheduled.push_back({next, due.id});
    }
    for (const auto& job : rescheduled)
        m_due_jobs.push(job);
}

microseconds job_owner::process_due_job(instant now, open_job& job, action_list& out)
{
    if (job.made + m_settings.key_window < now.wall)
    {
        answer_callers(job, make_answer(answer_kind::key_expired));
        m_dispatcher.drop(job);
        if (job.on_trial)
            m_trials.abandon(job.service);
        m_resumed.erase(job.id);
        const auto id = job.id;
        m_jobs.erase(id);
        return microseconds{0};
    }
    if (!m_owners.may_serve(job.shard, now))
        return now.steady + sweep_interval;
    if (job.closing)
    {
        retry_close(now, job, out);
        return now.steady + sweep_interval;
    }
    if (close_if_task_failed(now, job, out))
        return microseconds{0};
    if (now.steady < job.deadline)
        return job.deadline;
    return end_at_deadline(now, job, out);
}

// Ends a job whose deadline has passed. If the only starts that were sent are in doubt, neither
// "failed" nor "not run" is known to be true: the callers receive "unknown" at once, and the job
// ends when the doubt is resolved.
microseconds job_owner::end_at_deadline(instant now, open_job& job, action_list& out)
{
    const bool started = std::any_of(job.tasks.begin(), job.tasks.end(),
                                     [](const open_task& t) { return t.has_run(); });
    const bool start_in_doubt =
        std::any_of(job.tasks.begin(), job.tasks.end(),
                    [](const open_task& t) { return t.state == run_state::start_sent; });
    if (started)
    {
        begin_close(now, job, answer_kind::deadline_passed, {}, out);
        return microseconds{0};
    }
    if (!start_in_doubt)
    {
        m_dispatcher.drop_queued(job);
        if (!request_refusal(now, job.shard, job.made))
            return now.steady + refusal_retry_delay;
        finish(now, job,
               job.cancelled ? answer_kind::cancelled_before_start : answer_kind::expired_in_queue,
               {});
        return microseconds{0};
    }
    job.expired = true;
    m_dispatcher.drop_queued(job);
    answer_callers(job, make_answer(answer_kind::recovering,
                                    "the deadline passed while a worker did not say whether it "
                                    "started a task",
                                    caller_retry_delay));
    return now.steady + close_timeout;
}

void job_owner::answer_callers(open_job& job, wire::Answer answer)
{
    std::vector<std::uint64_t> calls;
    for (const auto& caller : job.callers)
        calls.push_back(caller.call);
    job.callers.clear();
    if (!calls.empty())
        m_answers.push_back({std::move(calls), std::move(answer)});
}

void job_owner::on_tick(instant now, action_list& out)
{
    process_due_jobs(now, out);
    if (now.steady >= m_next_sweep)
    {
        m_next_sweep = now.steady + sweep_interval;
        m_memory.expire(now.wall);
        m_recovery.expire(now.wall);
    }
    extend_refusal_bounds(now);
    request_history(now, out);
    m_dispatcher.on_tick(now, out);
}

void job_owner::request_history(instant now, action_list& out)
{
    for (const auto& name : m_recovery.workers_due(now))
    {
        history_request body;
        if (!m_recovery.make_request_for(name, now, body))
            continue;
        const auto request = m_dispatcher.next_request();
        const auto& workers = m_dispatcher.workers();
        const auto worker = std::find_if(workers.begin(), workers.end(),
                                         [&](const auto& w) { return w->settings.name == name; });
        EGRET_CHECK(worker != workers.end(), "a worker that was configured once is never removed");
        m_pending_history_requests.emplace(request, pending_history_request{name, body});
        out.push_back(
            actions::send_worker_request{name, (*worker)->settings.address, request, body});
    }
}

bool job_owner::on_worker_answer(instant now, std::uint64_t request, worker_answer& answer,
                                 action_list& out)
{
    const auto pending = m_pending_history_requests.find(request);
    if (pending != m_pending_history_requests.end())
    {
        const auto [worker, body] = std::move(pending->second);
        m_pending_history_requests.erase(pending);
        const auto* reply = std::get_if<history_reply>(&answer);
        if (reply == nullptr)
        {
            m_recovery.on_failure(now, worker, body);
            return true;
        }
        for (const auto shard : m_recovery.on_history(now, worker, body, *reply))
            adopt_history(now, shard, out);
        return true;
    }
    std::vector<task_event> events;
    if (!m_dispatcher.on_worker_answer(now, request, answer, events))
        return false;
    for (auto& event : events)
        on_task(now, event, out);
    m_dispatcher.pump(now, out);
    return true;
}

void job_owner::on_task(instant now, task_event& event, action_list& out)
{
    const auto found = m_jobs.find(event.job);
    if (found == m_jobs.end())
        return;
    auto& job = *found->second;
    if (event.change == task_change::closed)
    {
        if (job.closing)
            finish(now, job, job.closing_kind, std::move(job.closing_detail));
        return;
    }
    const auto state = event.change == task_change::done     ? run_state::done
                       : event.change == task_change::failed ? run_state::task_failed
                                                             : run_state::may_have_run;
    end_task(now, job, event.task, state, std::move(event.output), event.worker, out);
}

bool job_owner::may_retry(const open_job& job, const open_task& task) const
{
    const auto* service = service_of(job.service);
    if (service == nullptr || !service->repeatable || job.closing || job.expired)
        return false;
    const auto& policy = m_config->policy_of(*service);
    // The budget prevents retries from doubling the load during a widespread failure.
    const double budget =
        min_retry_budget + policy.retry_budget * static_cast<double>(m_counters.starts_sent);
    return task.attempts <= policy.retry_limit &&
           static_cast<double>(m_counters.tasks_retried) < budget;
}

void job_owner::end_task(instant now, open_job& job, std::uint32_t index, run_state state,
                         std::string output, const std::string& worker, action_list& out)
{
    auto& task = job.tasks[index];
    if (task.state == run_state::done)
        return;
    if (state != run_state::done && may_retry(job, task))
    {
        ++m_counters.tasks_retried;
        return m_dispatcher.requeue(job, index, now);
    }
    task.state = state;
    task.output = std::move(output);
    if (state == run_state::done)
    {
        // "Complete" is true whichever host owns the shard by now, so it needs no lease.
        if (--job.unfinished == 0 && !job.closing)
            finish(now, job, answer_kind::ok, {});
        return;
    }
    task.output = "task " + std::to_string(index) + " at " + worker + ": " + task.output;
    if (!close_if_task_failed(now, job, out) && !job.closing)
        m_due_jobs.push({now.steady + sweep_interval, job.id});
}

bool job_owner::close_if_task_failed(instant now, open_job& job, action_list& out)
{
    if (job.closing || !m_owners.may_serve(job.shard, now))
        return false;
    const auto ended = std::find_if(job.tasks.begin(), job.tasks.end(),
                                    [](const open_task& t) {
                                        return t.state == run_state::task_failed ||
                                               t.state == run_state::may_have_run;
                                    });
    if (ended == job.tasks.end())
        return false;
    const auto kind = ended->state == run_state::task_failed ? answer_kind::task_failed
                                                             : answer_kind::worker_lost;
    begin_close(now, job, kind, ended->output, out);
    return true;
}

void job_owner::on_shard_gained(instant now, const gained_shard& gained)
{
    if (gained.reason == gain_reason::first)
        return;
#ifdef EGRETLEDGE_BREAK_HISTORY
    return; // injected defect, see scripts/check-broken.sh
#endif
    m_counters.takeovers += gained.reason == gain_reason::takeover ? 1 : 0;
    m_counters.handovers += gained.reason == gain_reason::handed_over ? 1 : 0;
    std::vector<std::string> workers;
    for (const auto& worker : m_dispatcher.workers())
        workers.push_back(worker->settings.name);
    const auto unknown_before = gained.reason == gain_reason::handed_over
                                    ? m_handed_over_unknown_before[gained.shard]
                                : gained.refusal_bound_known ? gained.refusals_until
                                                             : m_recovery.boundary(now);
    m_recovery.begin(now, gained.shard, gained.owner_epoch, unknown_before, workers);
    const bool handed_over = gained.reason == gain_reason::handed_over;
    m_owners.request_refusal_bound(
        now, gained.shard,
        handed_over ? std::max(unknown_before, m_handed_over_refusals_until[gained.shard])
                    : unknown_before);
}

void job_owner::on_shard_lost(std::uint32_t shard)
{
    m_recovery.end(shard);
    std::vector<job_id> lost_jobs;
    for (auto& [id, job] : m_jobs)
    {
        if (job->shard != shard)
            continue;
        lost_jobs.push_back(id);
        m_dispatcher.drop(*job);
        if (job->on_trial)
            m_trials.abandon(job->service);
        for (const auto& caller : job->callers)
        {
            returned_call returned;
            returned.call = caller.call;
            returned.job.set_service(job->service);
            for (const auto& task : job->tasks)
            {
                auto& line = *returned.job.add_tasks();
                line.set_payload(task.payload);
                line.set_size_ms(task.size_ms);
            }
            m_returned.push_back(std::move(returned));
        }
    }
    for (const auto& id : lost_jobs)
    {
        m_resumed.erase(id);
        m_jobs.erase(id);
    }
    m_memory.erase_shard(shard, m_owners.shard_count());
}

void job_owner::adopt_history(instant now, std::uint32_t shard, action_list& out)
{
    std::vector<job_id> resumed_jobs;
    for (const auto& [id, job_shard] : m_resumed)
        if (job_shard == shard)
            resumed_jobs.push_back(id);
    for (const auto& id : resumed_jobs)
    {
        const auto* record = m_recovery.find(shard, id);
        if (record == nullptr)
            continue;
        for (const auto& [index, task] : record->tasks)
        {
            const auto job = m_jobs.find(id);
            if (job == m_jobs.end())
                break;
            if (index >= job->second->tasks.size() || task.state == record_state::running ||
                job->second->tasks[index].state != run_state::running ||
                !job->second->tasks[index].adopted)
                continue;
            end_task(now, *job->second, index, state_of(task.state), task.output, task.worker, out);
        }
    }
}

wire::HandoverState job_owner::export_memory(std::uint32_t shard) const
{
    wire::HandoverState state;
    state.set_shard(shard);
    to_wire(m_owners.epoch_of(shard), *state.mutable_epoch());
    state.set_refusals_until_ms(m_owners.requested_refusal_bound(shard).count());
    state.set_answers_unknown_before_ms(m_recovery.answers_unknown_before(shard).count());
    for (auto& job : m_memory.jobs_of_shard(shard, m_owners.shard_count()))
    {
        auto& line = *state.add_jobs();
        line.set_id_high(job.id.high);
        line.set_id_low(job.id.low);
        line.set_digest(job.digest);
        line.set_made_ms(job.made.count());
        *line.mutable_answer() = std::move(job.answer);
    }
    return state;
}

void job_owner::import_memory(const wire::HandoverState& state)
{
    m_handed_over_unknown_before[state.shard()] = milliseconds{state.answers_unknown_before_ms()};
    m_handed_over_refusals_until[state.shard()] = milliseconds{state.refusals_until_ms()};
    for (const auto& line : state.jobs())
        m_memory.put({{line.id_high(), line.id_low()},
                      line.digest(),
                      milliseconds{line.made_ms()},
                      line.answer()});
}

} // namespace egretledge
