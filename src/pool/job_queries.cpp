#include "pool/job_queries.hpp"

namespace egretledge::pool
{

namespace
{

// Values of PoolJobState::state.
constexpr std::uint32_t state_absent = 0;
constexpr std::uint32_t state_present = 1;
constexpr std::uint32_t state_cancelled = 2;

} // namespace

void job_queries::send(const std::string& host, std::uint64_t number, const std::string& job,
                       bool cancel, action_list& out)
{
    actions::send_peer message{host, {}};
    auto& query = *message.message.mutable_pool_job_query();
    query.set_query(number);
    query.set_id(job);
    query.set_cancel(cancel);
    out.push_back(std::move(message));
}

void job_queries::begin(microseconds now, std::uint64_t call, const std::string& job, bool cancel,
                        const membership& peers, action_list& out)
{
    if (m_open.size() >= m_settings.max_open)
    {
        ++m_totals.job_queries_rejected;
        out.push_back(
            actions::log_event{true, "event=job_query job=" + job +
                                         " result=rejected open=" + std::to_string(m_open.size())});
        out.push_back(
            actions::answer_query{call, job_query_result::unknown, m_settings.retry_after});
        return;
    }
    ++m_totals.job_queries;
    const auto number = m_next_number++;
    const auto query = m_open
                           .emplace(number, open_query{call,
                                                       job,
                                                       cancel,
                                                       peers.settled(now),
                                                       {},
                                                       now + m_settings.answer_timeout,
                                                       now + m_settings.repeat_interval})
                           .first;
    for (const auto& [name, host] : peers.all())
    {
        query->second.unanswered.insert(name);
        send(name, number, job, cancel, out);
    }
    if (query->second.unanswered.empty())
        answer(query, query->second.all_known ? job_query_result::gone : job_query_result::unknown,
               out);
}

void job_queries::announce_cancel(const std::string& job, const membership& peers, action_list& out)
{
    const auto number = m_next_number++;
    for (const auto& [name, host] : peers.all())
        send(name, number, job, true, out);
}

void job_queries::on_state(const host_ref& from, const wire::PoolJobState& message,
                           action_list& out)
{
    const auto query = m_open.find(message.query());
    if (query == m_open.end())
        return;
    auto& open = query->second;
    if (message.state() == (open.cancel ? state_cancelled : state_present))
        return answer(query, job_query_result::found, out);
    // A host with another state than asked for has not said that the job is gone.
    if (message.state() != state_absent)
        return;
    open.unanswered.erase(from.name);
    if (open.unanswered.empty())
        answer(query, open.all_known ? job_query_result::gone : job_query_result::unknown, out);
}

void job_queries::on_caller_disconnected(std::uint64_t call)
{
    std::erase_if(m_open, [&](const auto& item) { return item.second.call == call; });
}

void job_queries::tick(microseconds now, action_list& out)
{
    for (auto entry = m_open.begin(); entry != m_open.end();)
    {
        const auto query = entry++;
        auto& open = query->second;
        if (now >= open.deadline)
        {
            answer(query, job_query_result::unknown, out);
            continue;
        }
        if (now < open.next_repeat)
            continue;
        open.next_repeat = now + m_settings.repeat_interval;
        for (const auto& host : open.unanswered)
            send(host, query->first, open.job, open.cancel, out);
    }
    while (!m_cancel_order.empty() &&
           now - m_cancel_order.front().first > m_settings.cancel_retention)
        drop_oldest_cancel();
}

void job_queries::end_all(action_list& out)
{
    while (!m_open.empty())
        answer(m_open.begin(), job_query_result::unknown, out);
}

void job_queries::answer(std::map<std::uint64_t, open_query>::iterator query,
                         job_query_result result, action_list& out)
{
    const auto& open = query->second;
    ++(result == job_query_result::found  ? m_totals.job_queries_found
       : result == job_query_result::gone ? m_totals.job_queries_gone
                                          : m_totals.job_queries_unknown);
    out.push_back(actions::log_event{result == job_query_result::unknown,
                                     "event=job_query job=" + open.job +
                                         " cancel=" + (open.cancel ? "true" : "false") +
                                         " result=" + std::string(name_of(result)) +
                                         " unanswered=" + std::to_string(open.unanswered.size())});
    out.push_back(actions::answer_query{open.call, result,
                                        result == job_query_result::unknown ? m_settings.retry_after
                                                                            : milliseconds{0}});
    m_open.erase(query);
}

void job_queries::record_cancel(microseconds now, const std::string& job, bool cancelled_here)
{
    const auto [known, is_new] = m_cancels.try_emplace(job, requested_cancel{now, false});
    known->second.here = known->second.here || cancelled_here;
    if (is_new)
        m_cancel_order.emplace_back(now, job);
    // Callers choose the ids, so without a bound they could fill this host's memory.
    if (m_cancel_order.size() > m_settings.max_retained_cancels)
        drop_oldest_cancel();
}

void job_queries::drop_oldest_cancel()
{
    m_cancels.erase(m_cancel_order.front().second);
    m_cancel_order.pop_front();
}

bool job_queries::cancel_requested(microseconds now, const std::string& job) const
{
    const auto known = m_cancels.find(job);
    return known != m_cancels.end() && now - known->second.when <= m_settings.cancel_retention;
}

bool job_queries::cancelled_here(microseconds now, const std::string& job) const
{
    const auto known = m_cancels.find(job);
    return known != m_cancels.end() && known->second.here &&
           now - known->second.when <= m_settings.cancel_retention;
}

} // namespace egretledge::pool
