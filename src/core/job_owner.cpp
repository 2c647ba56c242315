// The life of a job at its owner.
//
// A call for a key meets, in this order: the table of open jobs (it joins, or conflicts), the
// memory of answered jobs (the same answer again), the history of earlier owners, and only then
// becomes a new job. So whatever is decided about a key is decided once.
//
// A final answer is given only while this host holds the shard's lease, and is remembered before it
// is sent. "Not run" is remembered like any other answer and is final: the key will not run later.
// Three rules keep answers true when the owner changes:
//   - What was started is on the workers' records. The next owner collects them all before it
//     speaks about a key made before the takeover.
//   - A key made before the takeover of which nothing was started, and which the former owner may
//     have refused (its refusals are bounded, see ownership.cpp), is not run now either, and
//     answered "not run": true in either case. If it was not refused, it simply runs.
//   - A job that has started ends as "failed" only after a worker has recorded it as closed, under
//     the owner's epoch. So the next owner, which reads all records and fences older epochs by
//     doing so, finds every failure that was answered: a job on record that is not closed was never
//     answered as failed, and is resumed or completed. If no worker can record the closing, the
//     callers are told "unknown" at the deadline.
//
// A task that may not be repeated is started again only if its start was refused or proven not to
// have happened; the dispatcher sees to that. A repeatable task is also tried again after it
// failed or after its worker's process ended, within the policy's limits.

#include "core/job_owner.hpp"
#include "core/check.hpp"
#include "core/wire.hpp"
#include <algorithm>
#define XXH_STATIC_LINKING_ONLY // the state lives on the stack
#include <xxhash.h>

namespace egretledge
{

namespace
{

constexpr milliseconds retry_soon{1000};
// How far ahead of the clock the bound of refusals is kept. After a crash, keys up to the bound
// that were not started are refused, so it is short.
constexpr milliseconds refusals_ahead{1000};
constexpr milliseconds crowded_wait{1000};
constexpr double retries_always_allowed = 100;
constexpr microseconds refusal_retry = milliseconds{5};
constexpr microseconds sweep_every = milliseconds{1000};
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
      m_recovery(m_settings.key_most_ahead, m_settings.key_window),
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

call_fate job_owner::on_call(instant now, std::uint64_t call, const wire::Call& text,
                             const job_key& key, wire::Answer& answer, action_list& out)
{
    const auto id = make_job_id(text.team(), text.key());
    const auto shard = shard_of(id, m_owners.shard_count());
    if (!m_owners.may_serve(shard, now))
        return call_fate::moved;
    if (key.made > now.wall + m_settings.key_most_ahead)
    {
        answer = make_answer(answer_kind::key_ahead_of_clock);
        return call_fate::answered;
    }
    if (key.made + m_settings.key_window < now.wall)
    {
        answer = make_answer(answer_kind::key_expired);
        return call_fate::answered;
    }
    const auto open = m_jobs.find(id);
    if (open != m_jobs.end())
        return on_known(*open->second, call, text, now, answer, out);
    if (const auto known = m_memory.find(id, key.made))
    {
        const bool conflict = text.kind() == wire::SUBMIT && known->digest != 0 &&
                              known->digest != digest_of(text.job());
        answer = conflict ? make_answer(answer_kind::key_conflict) : known->answer;
        return call_fate::answered;
    }
    const auto state = m_recovery.past_of(shard, id, key.made);
    if (state != past::not_affected)
        return on_past(now, call, text, key, id, state, answer, out);
    return on_submit(now, call, text, key, id, answer, out);
}

call_fate job_owner::on_known(open_job& job, std::uint64_t call, const wire::Call& text,
                              instant now, wire::Answer& answer, action_list& out)
{
    if (text.kind() == wire::SUBMIT && digest_of(text.job()) != job.digest)
    {
        answer = make_answer(answer_kind::key_conflict);
        return call_fate::answered;
    }
    if (text.kind() == wire::QUERY)
    {
        answer = make_answer(answer_kind::still_running, {}, retry_soon);
        return call_fate::answered;
    }
    if (job.expired)
    {
        answer = make_answer(answer_kind::recovering, "its deadline has passed", retry_soon);
        return call_fate::answered;
    }
    // A job that a cancellation opened from the workers' records has no body yet. The call's own
    // copy ends here, so the job needs it in case the call is given back.
    if (text.kind() == wire::SUBMIT && job.service.empty())
        take_body(job, text.job());
    job.callers.push_back({"", call});
    if (text.kind() == wire::CANCEL)
        cancel(now, job, out);
    return call_fate::joined;
}

// A key that was made before this host took the shard over.
call_fate job_owner::on_past(instant now, std::uint64_t call, const wire::Call& text,
                             const job_key& key, const job_id& id, past state, wire::Answer& answer,
                             action_list& out)
{
    const auto shard = shard_of(id, m_owners.shard_count());
    const auto* record = m_recovery.find(shard, id);
    switch (state)
    {
    case past::collecting:
        return call_fate::wait;
    case past::gap:
        answer =
            make_answer(answer_kind::recovering,
                        "a worker lost its records; the key's history is not complete", retry_soon);
        return call_fate::answered;
    case past::on_record:
        return on_recovered(now, call, text, key, id, *record, answer, out);
    default:
        break;
    }
    if (key.made > m_recovery.answers_unknown_before(shard))
        return on_submit(now, call, text, key, id, answer, out);
    if (text.kind() == wire::QUERY)
    {
        answer = make_answer(answer_kind::not_seen);
        return call_fate::answered;
    }
    if (!may_refuse(now, shard, key.made))
        return call_fate::wait;
    answer = make_answer(answer_kind::before_takeover, {}, retry_soon);
    const auto digest = text.kind() == wire::SUBMIT ? digest_of(text.job()) : 0;
    refuse(id, digest, key.made, answer);
    return call_fate::answered;
}

// A key of which a former owner started tasks, or which it closed.
call_fate job_owner::on_recovered(instant now, std::uint64_t call, const wire::Call& text,
                                  const job_key& key, const job_id& id, const recovered_job& record,
                                  wire::Answer& answer, action_list& out)
{
    const bool has_body = text.kind() == wire::SUBMIT;
    if (has_body && record.digest != digest_of(text.job()))
    {
        answer = make_answer(answer_kind::key_conflict);
        return call_fate::answered;
    }
    if (record.closed || record.all_done())
    {
        const auto kind = record.closed ? closed_kind(record.closed_as) : answer_kind::ok;
        answer = answer_from_record(record, kind);
        m_memory.put({id, record.digest, key.made, answer});
        m_counters.jobs_failed += record.closed ? 1 : 0;
        m_counters.jobs_complete += record.closed ? 0 : 1;
        return call_fate::answered;
    }
    const bool broken = record.any(record_state::failed) || record.any(record_state::stopped);
    const bool late = now.wall >= record.deadline;
    if (text.kind() == wire::QUERY ||
        (!has_body && !broken && !late && text.kind() != wire::CANCEL))
    {
        answer = make_answer(answer_kind::recovering,
                             "its owner changed while it ran; submit it again with the same key",
                             retry_soon);
        return call_fate::answered;
    }
    auto& job = reopen(now, call, text, key, id, record);
    ++m_counters.jobs_resumed;
    if (text.kind() == wire::CANCEL)
        begin_close(now, job, answer_kind::cancelled, {}, out);
    else if (broken)
        begin_close(now, job,
                    record.any(record_state::failed) ? answer_kind::task_failed
                                                     : answer_kind::worker_lost,
                    "it failed before its owner changed", out);
    else if (late)
        begin_close(now, job, answer_kind::deadline_passed, {}, out);
    else
        m_dispatcher.enqueue(job, now);
    return call_fate::joined;
}

// Opens a job in the state in which the workers' records show it.
open_job& job_owner::reopen(instant now, std::uint64_t call, const wire::Call& text,
                            const job_key& key, const job_id& id, const recovered_job& record)
{
    auto& job = open(now, call, text, key, id);
    job.digest = record.digest;
    job.tasks.resize(record.task_count);
    job.unfinished = job.tasks.size();
    job.deadline_wall = record.deadline;
    job.deadline = now.steady + std::max(milliseconds{0}, record.deadline - now.wall);
    m_deadlines.push({job.deadline, id});
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
    if (record.any(record_state::running))
        m_resumed.emplace(id, job.shard);
    return job;
}

// Whether the job can be known now to be without a chance; then nothing of it is started.
bool job_owner::refuse_early(const wire::Call& text, wire::Answer& answer) const
{
    const auto& service = *service_of(text.job().service());
    if (!m_dispatcher.any_worker_fits(service))
    {
        answer = make_answer(answer_kind::no_worker_fits);
        return true;
    }
    std::uint32_t longest = 0;
    for (const auto& task : text.job().tasks())
        longest = std::max(longest, task.size_ms());
    const auto run = m_dispatcher.expected_run_time(service.name, longest);
    const auto wait = m_dispatcher.expected_wait();
    const auto limit = milliseconds{m_config->policy_of(service).admission_wait_ms};
    const auto remaining = milliseconds{text.remaining_ms()};
    if (wait <= limit && wait + run < remaining)
        return false;
    const bool team_full = m_dispatcher.over_quota(text.team());
    answer = make_answer(team_full ? answer_kind::over_quota : answer_kind::over_capacity,
                         "expected wait " + std::to_string(wait.count()) + " ms",
                         std::max(wait, retry_soon));
    return true;
}

call_fate job_owner::on_submit(instant now, std::uint64_t call, const wire::Call& text,
                               const job_key& key, const job_id& id, wire::Answer& answer,
                               action_list& out)
{
    if (text.kind() == wire::QUERY)
    {
        answer = make_answer(answer_kind::not_seen);
        return call_fate::answered;
    }
    const auto shard = shard_of(id, m_owners.shard_count());
    if (text.kind() == wire::CANCEL)
    {
        if (!may_refuse(now, shard, key.made))
            return call_fate::wait;
        answer = make_answer(answer_kind::cancelled_before_start);
        refuse(id, 0, key.made, answer);
        return call_fate::answered;
    }
    if (service_of(text.job().service()) == nullptr)
    {
        answer = make_answer(answer_kind::unknown_service, text.job().service());
        return call_fate::answered;
    }
    if (static_cast<std::uint32_t>(text.job().tasks_size()) > m_settings.most_tasks)
    {
        answer = make_answer(answer_kind::too_large,
                             "at most " + std::to_string(m_settings.most_tasks) + " tasks a job");
        return call_fate::answered;
    }
    if (refuse_early(text, answer))
    {
        if (!may_refuse(now, shard, key.made))
            return call_fate::wait;
        refuse(id, digest_of(text.job()), key.made, answer);
        return call_fate::answered;
    }
    auto& job = open(now, call, text, key, id);
    ++m_counters.jobs_accepted;
    m_dispatcher.enqueue(job, now);
    m_dispatcher.pump(now, out);
    return call_fate::joined;
}

// Puts the body into the job; what is known of its tasks stays.
void job_owner::take_body(open_job& job, const wire::Job& body)
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

open_job& job_owner::open(instant now, std::uint64_t call, const wire::Call& text,
                          const job_key& key, const job_id& id)
{
    auto job = std::make_unique<open_job>();
    job->id = id;
    job->team = text.team();
    job->key = text.key();
    job->shard = shard_of(id, m_owners.shard_count());
    job->digest = digest_of(text.job());
    job->made = key.made;
    job->accepted = now.steady;
    const milliseconds remaining{text.remaining_ms()};
    job->deadline = now.steady + remaining;
    job->deadline_wall = now.wall + remaining;
    take_body(*job, text.job());
    job->unfinished = job->tasks.size();
    job->callers.push_back({"", call});
    m_deadlines.push({job->deadline, id});
    auto& place = m_jobs[id];
    EGRET_CHECK(place == nullptr, "a job is opened once");
    place = std::move(job);
    return *place;
}

bool job_owner::may_refuse(instant now, std::uint32_t shard, milliseconds made)
{
    m_refused = now.steady;
    if (m_owners.refusal_bound(shard) >= made)
    {
        // A sole holder may refuse anything; a later grantor has to know of it.
        m_owners.announce_refusals(now, shard, made);
        return true;
    }
    m_owners.announce_refusals(now, shard, now.wall + refusals_ahead);
    return false;
}

// While refusals are likely, their bound is kept ahead of the clock, so that none has to wait.
void job_owner::keep_refusals_announced(instant now)
{
    const bool recent = m_refused >= microseconds{0} && now.steady - m_refused < refusals_ahead;
    const bool crowded = m_dispatcher.expected_wait() > crowded_wait;
    if (!recent && !crowded)
        return;
    for (std::uint32_t shard = 0; shard < m_owners.shard_count(); ++shard)
        if (m_owners.may_serve(shard, now) &&
            m_owners.refusal_bound(shard) < now.wall + refusals_ahead / 2)
            m_owners.announce_refusals(now, shard, now.wall + refusals_ahead);
}

void job_owner::refuse(const job_id& id, std::uint64_t digest, milliseconds made,
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
        // A stopped task may have done its work before the stop.
        const bool stopped = kind == answer_kind::cancelled && task.state == run_state::running;
        // So may one that failed, or whose start is in doubt, and that was to be tried again.
        const bool in_doubt = task.state == run_state::start_sent ||
                              (task.state == run_state::not_started && task.has_run());
        const auto state = stopped || in_doubt ? run_state::may_have_run : task.state;
        line.set_run_state(static_cast<std::uint32_t>(state));
        if (kind == answer_kind::ok)
            line.set_output(task.output);
    }
    return answer;
}

// Gives the job its one final answer. Only "not run" needs the lease at this moment: complete is
// true whoever owns the shard, and a failure is on record by now.
void job_owner::finish(instant now, open_job& job, answer_kind kind, std::string detail)
{
    const auto result = row_of(kind).result;
    EGRET_CHECK(result != outcome::not_run || (m_owners.may_serve(job.shard, now) &&
                                               m_owners.refusal_bound(job.shard) >= job.made),
                "only the holder of the lease says not run");
    m_dispatcher.drop(job);
    auto answer = answer_for(job, kind, std::move(detail));
    m_counters.jobs_complete += result == outcome::complete ? 1 : 0;
    m_counters.jobs_failed += result == outcome::failed ? 1 : 0;
    m_counters.jobs_refused += result == outcome::not_run ? 1 : 0;
    m_memory.put({job.id, job.digest, job.made, answer});
    tell_callers(job, std::move(answer));
    m_resumed.erase(job.id);
    const auto id = job.id;
    m_jobs.erase(id);
}

void job_owner::cancel(instant now, open_job& job, action_list& out)
{
    if (job.closing)
        return;
    const bool untouched = std::all_of(
        job.tasks.begin(), job.tasks.end(),
        [](const open_task& t) { return t.state == run_state::not_started && !t.has_run(); });
    if (untouched && may_refuse(now, job.shard, job.made))
        return finish(now, job, answer_kind::cancelled_before_start, {});
    if (untouched)
    {
        m_dispatcher.drop_queued(job);
        job.cancelled = true;
        job.deadline = now.steady;
        m_deadlines.push({now.steady + refusal_retry, job.id});
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
    m_deadlines.push({now.steady + close_timeout, job.id});
}

// No worker has recorded the closing yet: it is tried again for as long as the key may be used.
void job_owner::keep_closing(instant now, open_job& job, action_list& out)
{
    if (now.steady >= job.deadline)
        tell_callers(job, make_answer(answer_kind::recovering,
                                      "it ends, but no worker has confirmed that yet", retry_soon));
    m_dispatcher.close(job, m_owners.epoch_of(job.shard), now, out);
}

void job_owner::forget_call(std::uint64_t call, const job_id& id)
{
    const auto job = m_jobs.find(id);
    if (job != m_jobs.end())
        std::erase(job->second->callers, waiting_caller{"", call});
}

void job_owner::expire_jobs(instant now, action_list& out)
{
    std::vector<due_job> again;
    while (!m_deadlines.empty() && m_deadlines.top().at <= now.steady)
    {
        const auto due = m_deadlines.top();
        m_deadlines.pop();
        const auto found = m_jobs.find(due.id);
        if (found == m_jobs.end())
            continue;
        const auto next = review(now, *found->second, out);
        if (next > microseconds{0})
            again.push_back({next, due.id});
    }
    for (const auto& job : again)
        m_deadlines.push(job);
}

microseconds job_owner::review(instant now, open_job& job, action_list& out)
{
    if (job.made + m_settings.key_window < now.wall)
    {
        tell_callers(job, make_answer(answer_kind::key_expired));
        m_dispatcher.drop(job);
        m_resumed.erase(job.id);
        const auto id = job.id;
        m_jobs.erase(id);
        return microseconds{0};
    }
    if (!m_owners.may_serve(job.shard, now))
        return now.steady + sweep_every;
    if (job.closing)
    {
        keep_closing(now, job, out);
        return now.steady + sweep_every;
    }
    if (fail_if_due(now, job, out))
        return microseconds{0};
    if (now.steady < job.deadline)
        return job.deadline;
    return end_at_deadline(now, job, out);
}

// Ends a job whose deadline has passed. If the only starts that were sent are in doubt, neither
// "failed" nor "not run" is known to be true: the callers are told "unknown" at once, and the job
// ends when the doubt is resolved.
microseconds job_owner::end_at_deadline(instant now, open_job& job, action_list& out)
{
    const bool started = std::any_of(job.tasks.begin(), job.tasks.end(),
                                     [](const open_task& t) { return t.has_run(); });
    const bool doubtful =
        std::any_of(job.tasks.begin(), job.tasks.end(),
                    [](const open_task& t) { return t.state == run_state::start_sent; });
    if (started)
    {
        begin_close(now, job, answer_kind::deadline_passed, {}, out);
        return microseconds{0};
    }
    if (!doubtful)
    {
        m_dispatcher.drop_queued(job);
        if (!may_refuse(now, job.shard, job.made))
            return now.steady + refusal_retry;
        finish(now, job,
               job.cancelled ? answer_kind::cancelled_before_start : answer_kind::expired_in_queue,
               {});
        return microseconds{0};
    }
    job.expired = true;
    m_dispatcher.drop_queued(job);
    tell_callers(job, make_answer(answer_kind::recovering,
                                  "the deadline passed while a worker did not say whether it "
                                  "started a task",
                                  retry_soon));
    return now.steady + close_timeout;
}

void job_owner::tell_callers(open_job& job, wire::Answer answer)
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
    expire_jobs(now, out);
    if (now.steady >= m_next_sweep)
    {
        m_next_sweep = now.steady + sweep_every;
        m_memory.expire(now.wall);
        m_recovery.expire(now.wall);
    }
    keep_refusals_announced(now);
    ask_history(now, out);
    m_dispatcher.on_tick(now, out);
}

void job_owner::ask_history(instant now, action_list& out)
{
    for (const auto& name : m_recovery.due(now))
    {
        history_request question;
        if (!m_recovery.question_for(name, now, question))
            continue;
        const auto request = m_dispatcher.next_request();
        const auto& workers = m_dispatcher.workers();
        const auto worker = std::find_if(workers.begin(), workers.end(),
                                         [&](const auto& w) { return w->settings.name == name; });
        EGRET_CHECK(worker != workers.end(), "a worker stays known once it was configured");
        m_history_questions.emplace(request, history_question{name, question});
        out.push_back(actions::ask_worker{name, (*worker)->settings.address, request, question});
    }
}

bool job_owner::on_worker_answer(instant now, std::uint64_t request, worker_answer& answer,
                                 action_list& out)
{
    const auto question = m_history_questions.find(request);
    if (question != m_history_questions.end())
    {
        const auto [worker, text] = std::move(question->second);
        m_history_questions.erase(question);
        const auto* reply = std::get_if<history_reply>(&answer);
        if (reply == nullptr)
        {
            m_recovery.on_failure(now, worker, text);
            return true;
        }
        for (const auto shard : m_recovery.on_history(now, worker, text, *reply))
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
    // The budget keeps a widespread failure from doubling the load.
    const double budget =
        retries_always_allowed + policy.retry_budget * static_cast<double>(m_counters.starts_sent);
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
        // Complete is true whoever owns the shard by now, so it needs no lease.
        if (--job.unfinished == 0 && !job.closing)
            finish(now, job, answer_kind::ok, {});
        return;
    }
    task.output = "task " + std::to_string(index) + " at " + worker + ": " + task.output;
    if (!fail_if_due(now, job, out) && !job.closing)
        m_deadlines.push({now.steady + sweep_every, job.id});
}

// Fails a job of which a task has failed or was lost for good. Without the lease nothing is
// decided; the list of deadlines then brings the job back.
bool job_owner::fail_if_due(instant now, open_job& job, action_list& out)
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

void job_owner::on_gained(instant now, const gained_shard& gained)
{
    if (gained.reason == gain_reason::first)
        return;
#ifdef EGRETLEDGE_BREAK_HISTORY
    return; // a deliberately broken build, see scripts/check-broken.sh
#endif
    m_counters.takeovers += gained.reason == gain_reason::takeover ? 1 : 0;
    m_counters.handovers += gained.reason == gain_reason::handed_over ? 1 : 0;
    std::vector<std::string> workers;
    for (const auto& worker : m_dispatcher.workers())
        workers.push_back(worker->settings.name);
    const auto unknown_before = gained.reason == gain_reason::handed_over
                                    ? m_handed_unknown[gained.shard]
                                : gained.refusals_known ? gained.refusals_until
                                                        : m_recovery.boundary(now);
    m_recovery.begin(now, gained.shard, gained.owner_epoch, unknown_before, workers);
    const bool handed = gained.reason == gain_reason::handed_over;
    m_owners.announce_refusals(now, gained.shard,
                               handed ? std::max(unknown_before, m_handed_refusals[gained.shard])
                                      : unknown_before);
}

void job_owner::on_lost(std::uint32_t shard)
{
    m_recovery.end(shard);
    std::vector<job_id> gone;
    for (auto& [id, job] : m_jobs)
    {
        if (job->shard != shard)
            continue;
        gone.push_back(id);
        m_dispatcher.drop(*job);
        for (const auto& caller : job->callers)
        {
            returned_call back;
            back.call = caller.call;
            back.job.set_service(job->service);
            for (const auto& task : job->tasks)
            {
                auto& line = *back.job.add_tasks();
                line.set_payload(task.payload);
                line.set_size_ms(task.size_ms);
            }
            m_returned.push_back(std::move(back));
        }
    }
    for (const auto& id : gone)
    {
        m_resumed.erase(id);
        m_jobs.erase(id);
    }
    m_memory.forget_shard(shard, m_owners.shard_count());
}

// Tasks that run for a former owner end on the workers' records.
void job_owner::adopt_history(instant now, std::uint32_t shard, action_list& out)
{
    std::vector<job_id> here;
    for (const auto& [id, number] : m_resumed)
        if (number == shard)
            here.push_back(id);
    for (const auto& id : here)
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

wire::HandoverState job_owner::memory_of(std::uint32_t shard) const
{
    wire::HandoverState state;
    state.set_shard(shard);
    to_wire(m_owners.epoch_of(shard), *state.mutable_epoch());
    state.set_refusals_until_ms(m_owners.refusals_wanted(shard).count());
    state.set_answers_unknown_before_ms(m_recovery.answers_unknown_before(shard).count());
    for (auto& job : m_memory.of_shard(shard, m_owners.shard_count()))
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

void job_owner::remember(const wire::HandoverState& state)
{
    m_handed_unknown[state.shard()] = milliseconds{state.answers_unknown_before_ms()};
    m_handed_refusals[state.shard()] = milliseconds{state.refusals_until_ms()};
    for (const auto& line : state.jobs())
        m_memory.put({{line.id_high(), line.id_low()},
                      line.digest(),
                      milliseconds{line.made_ms()},
                      line.answer()});
}

} // namespace egretledge
