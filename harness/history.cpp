// The check groups calls and starts by job and tests every guarantee for each job. No search over
// possible orders is needed: each guarantee concerns one key only, and starts and answers carry the
// virtual time at which they happened.

#include "harness/history.hpp"
#include "core/wire.hpp"
#include <algorithm>

namespace egretledge::harness
{

namespace
{

// A call may be answered this long after its deadline.
constexpr microseconds answer_grace = milliseconds{1500};

bool is_final(const recorded_call& call)
{
    const auto result = outcome_of(call.answer);
    return call.answered &&
           (result == outcome::complete || result == outcome::failed || result == outcome::not_run);
}

std::string format_time(microseconds at)
{
    return " at " + std::to_string(at.count()) + "us";
}

} // namespace

recorded_call& history::add(recorded_call call)
{
    const auto number = call.number;
    return m_calls.emplace(number, std::move(call)).first->second;
}

recorded_call* history::find(std::uint64_t number)
{
    const auto found = m_calls.find(number);
    return found == m_calls.end() ? nullptr : &found->second;
}

void history::on_answer(std::uint64_t number, microseconds at, wire::Answer answer)
{
    auto& call = m_calls.at(number);
    call.answered = true;
    call.answered_at = at;
    call.answer = std::move(answer);
}

void history::on_host_terminated(const std::string& host, std::uint64_t incarnation)
{
    for (auto& [number, call] : m_calls)
        if (call.host == host && call.incarnation == incarnation && !call.answered)
            call.host_died = true;
}

void history::on_host_resumed(const std::string& host, microseconds paused_at, microseconds now)
{
    for (auto& [number, call] : m_calls)
        if (call.host == host && !call.answered)
            call.due += now - std::max(call.at, paused_at);
}

std::string history::describe(const std::string& key) const
{
    std::string text;
    for (const auto& [number, call] : m_calls)
    {
        if (call.key != key)
            continue;
        text += "call " + std::to_string(number) + " kind " + std::to_string(call.kind) + " host " +
                call.host + format_time(call.at) + " due" + format_time(call.due);
        if (call.answered)
            text += " answered" + format_time(call.answered_at) + " " +
                    std::string(name_of(kind_of(call.answer))) + " " + call.answer.detail();
        for (const auto& task : call.answer.tasks())
            text += " " + std::string(name_of(static_cast<run_state>(task.run_state())));
        text += '\n';
    }
    const auto id = make_job_id("team-a", key);
    for (const auto& start : m_starts)
        if (start.job == id)
            text += "start of task " + std::to_string(start.task) + " at " + start.worker +
                    format_time(start.at) + " ended" + format_time(start.ended) + '\n';
    return text;
}

std::size_t history::starts_of(const std::string& team, const std::string& key) const
{
    const auto id = make_job_id(team, key);
    return static_cast<std::size_t>(std::count_if(
        m_starts.begin(), m_starts.end(), [&](const recorded_start& s) { return s.job == id; }));
}

std::string history::check(microseconds now, const std::vector<std::string>& repeatable) const
{
    std::map<job_id, job_view> jobs;
    for (const auto& [number, call] : m_calls)
    {
        auto& job = jobs[make_job_id(call.team, call.key)];
        job.key = call.key;
        if (is_final(call))
            job.final_answers.push_back(&call);
        if (call.kind != wire::SUBMIT || job.submit != nullptr)
            continue;
        job.submit = &call;
        job.service = call.job.service();
    }
    for (const auto& start : m_starts)
    {
        const auto job = jobs.find(start.job);
        if (job == jobs.end())
            return "a task started for a job that no call names" + format_time(start.at);
        job->second.starts[start.task].push_back(&start);
    }
    for (const auto& [id, job] : jobs)
    {
        const bool may_repeat =
            std::find(repeatable.begin(), repeatable.end(), job.service) != repeatable.end();
        const auto violation = check_job(job, may_repeat);
        if (!violation.empty())
            return job.key + ": " + violation;
    }
    return check_deadlines(now);
}

std::string history::check_job(const job_view& job, bool repeatable) const
{
    auto violation = check_starts(job, repeatable);
    for (const auto* call : job.final_answers)
    {
        if (violation.empty())
            violation = check_answer(job, *call);
        if (violation.empty() &&
            outcome_of(call->answer) != outcome_of(job.final_answers.front()->answer))
            violation = "two final answers differ: " +
                        std::string(name_of(outcome_of(job.final_answers.front()->answer))) +
                        " and " + std::string(name_of(outcome_of(call->answer))) +
                        format_time(call->answered_at);
    }
    return violation;
}

std::string history::check_starts(const job_view& job, bool repeatable)
{
    for (const auto& [task, starts] : job.starts)
    {
        if (!repeatable && starts.size() > 1)
            return "task " + std::to_string(task) + " started twice, at " + starts[0]->worker +
                   format_time(starts[0]->at) + " and at " + starts[1]->worker +
                   format_time(starts[1]->at);
        auto sorted = starts;
        std::sort(sorted.begin(), sorted.end(),
                  [](const auto* a, const auto* b) { return a->at < b->at; });
        for (std::size_t i = 1; i < sorted.size(); ++i)
            if (sorted[i - 1]->ended < microseconds{0} || sorted[i - 1]->ended > sorted[i]->at)
                return "task " + std::to_string(task) +
                       " was started again before its earlier run ended" +
                       format_time(sorted[i]->at);
    }
    return {};
}

std::string history::check_answer(const job_view& job, const recorded_call& call)
{
    const auto result = outcome_of(call.answer);
    if (result == outcome::not_run)
        return job.starts.empty()
                   ? std::string{}
                   : "answered not_run (" + std::string(name_of(kind_of(call.answer))) + ")" +
                         format_time(call.answered_at) + " but a task started" +
                         format_time(job.starts.begin()->second.front()->at);
    if (job.submit == nullptr)
        return {};
    const auto count = job.submit->job.tasks_size();
    if (call.answer.tasks_size() != count)
        return "an answer contains " + std::to_string(call.answer.tasks_size()) + " of " +
               std::to_string(count) + " tasks";
    for (int i = 0; i < count; ++i)
    {
        const auto& task_result = call.answer.tasks(i);
        const bool started = job.starts.contains(static_cast<std::uint32_t>(i));
        if (result == outcome::complete &&
            (!started || task_result.output() != "done:" + job.submit->job.tasks(i).payload()))
            return "answered complete, but task " + std::to_string(i) + " has result '" +
                   task_result.output() + "'";
        if (result == outcome::failed && !task_result.output().empty())
            return "answered failed, but a task has a result";
        const bool reported_not_started =
            task_result.run_state() == static_cast<std::uint32_t>(run_state::not_started);
        if (result == outcome::failed && reported_not_started && started)
            return "answered failed with task " + std::to_string(i) + " reported as not started" +
                   format_time(call.answered_at) + ", but it started" +
                   format_time(job.starts.at(static_cast<std::uint32_t>(i)).front()->at);
    }
    return {};
}

std::string history::check_deadlines(microseconds now) const
{
    for (const auto& [number, call] : m_calls)
    {
        const auto answer_deadline = call.due + answer_grace;
        const bool late =
            call.answered ? call.answered_at > answer_deadline : now > answer_deadline;
        if (late && !call.host_died)
            return call.key + ": call " + std::to_string(number) + " at " + call.host +
                   (call.answered ? " was answered after its deadline and the grace period"
                                  : " was never answered");
    }
    return {};
}

} // namespace egretledge::harness
