// See router.hpp. Trade-off: every tick examines every open call. A host has as many open calls as
// there are calls in flight, so this costs little compared with the calls themselves, and there is
// no separate timer list to keep consistent with the open calls.

#include "core/router.hpp"
#include "core/wire.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr std::uint32_t max_hops = 2;
// The high bits of a call number are the incarnation (milliseconds since 1970), so that an answer
// to a call of an earlier process never matches a call of a later one.
constexpr unsigned call_number_bits = 20;
constexpr microseconds max_resend_delay = milliseconds{8000};
constexpr milliseconds unknown_retry_after{1000};

} // namespace

router::router(router_settings settings, ownership& owners, job_owner& jobs,
               node_counters& counters)
    : m_settings(std::move(settings)), m_owners(owners), m_jobs(jobs), m_counters(counters),
      m_next_number(m_settings.self.incarnation << call_number_bits)
{
}

void router::set_hosts(const std::vector<listed_host>& hosts)
{
    m_hosts = hosts;
}

std::uint64_t router::add(instant now, open_call new_call, const job_key& key)
{
    const auto number = m_next_number++;
    new_call.key = key;
    new_call.id = make_job_id(new_call.call.team(), new_call.call.key());
    new_call.in_own_data_centre = key.data_centre == m_settings.data_centre;
    new_call.shard = shard_of(new_call.id, m_owners.shard_count());
    const milliseconds remaining{new_call.call.remaining_ms()};
    // A relaying host gives up before the host that sent it the call.
    const auto grace = m_settings.grace / (1 + new_call.call.hops());
    new_call.deadline = now.steady + remaining + grace;
    new_call.held_since = now.steady;
    new_call.backoff = m_settings.first_resend_delay;
    m_open_calls.emplace(number, std::move(new_call));
    return number;
}

void router::on_local_call(instant now, std::uint64_t number, wire::Call call, const job_key& key,
                           action_list& out)
{
    open_call new_call;
    new_call.origin_call = number;
    new_call.call = std::move(call);
    const auto added = add(now, std::move(new_call), key);
    m_local_calls.emplace(number, added);
    route(now, added, out);
}

void router::on_caller_disconnected(std::uint64_t number)
{
    const auto local = m_local_calls.find(number);
    if (local != m_local_calls.end())
        m_open_calls.at(local->second).caller_disconnected = true;
}

void router::on_peer_call(instant now, const host_ref& from, wire::Call call, action_list& out)
{
    const auto origin = std::make_pair(from.name, call.call_id());
    const auto known = m_by_origin.find(origin);
    if (known != m_by_origin.end())
        return;
    const auto key = parse_job_key(call.key());
    if (!key || call.hops() > max_hops)
        return;
    open_call new_call;
    new_call.origin = from.name;
    new_call.origin_call = call.call_id();
    new_call.call = std::move(call);
    const auto number = add(now, std::move(new_call), *key);
    m_by_origin.emplace(origin, number);
    route(now, number, out);
}

void router::route(instant now, std::uint64_t number, action_list& out)
{
    auto& call = m_open_calls.at(number);
    if (call.in_own_data_centre)
        return route_in_data_centre(now, number, call, out);
    const auto host = choose_remote_host(call.key.data_centre);
    if (host.empty())
        return hold(now, call);
    send(now, number, call, host, out);
}

void router::route_in_data_centre(instant now, std::uint64_t number, open_call& call,
                                  action_list& out)
{
    const auto owner = m_owners.owner_of(call.shard);
    if (m_owners.may_serve(call.shard, now))
        return submit_to_local_owner(now, number, call, out);
    if (owner.empty() || owner == m_settings.self)
        return hold(now, call);
    // A call is forwarded at most max_hops times: from another data centre to any host of this one,
    // and from there to the owner.
    if (call.call.hops() >= max_hops)
        return hold(now, call);
    send(now, number, call, owner, out);
}

void router::submit_to_local_owner(instant now, std::uint64_t number, open_call& call,
                                   action_list& out)
{
    wire::Answer call_answer;
    const auto left = call.deadline - now.steady - microseconds{m_settings.grace};
    const auto left_ms = std::chrono::duration_cast<milliseconds>(left).count();
    call.call.set_remaining_ms(static_cast<std::uint32_t>(std::max<milliseconds::rep>(1, left_ms)));
    const auto status = m_jobs.on_call(now, number, call.call, call.key, call_answer, out);
    switch (status)
    {
    case call_status::answered:
        return answer(number, std::move(call_answer), out);
    case call_status::joined:
        call.location = call_location::at_self;
        call.call.mutable_job()->clear_tasks();
        return;
    case call_status::wait:
        call.waits_for_history = true;
        return hold(now, call);
    case call_status::moved:
        return hold(now, call);
    }
}

void router::hold(instant now, open_call& call)
{
    if (call.location != call_location::held)
        call.held_since = now.steady;
    call.location = call_location::held;
    call.next_attempt = now.steady + microseconds{m_settings.hold_retry_interval};
}

void router::send(instant now, std::uint64_t number, open_call& call, const host_ref& peer,
                  action_list& out)
{
    call.location = call_location::at_peer;
    call.peer = peer;
    call.next_attempt = now.steady + call.backoff;
    call.backoff = std::min(2 * call.backoff, max_resend_delay);
    actions::send_peer message{peer.name, {}};
    auto& forwarded = *message.message.mutable_call();
    forwarded = call.call;
    forwarded.set_call_id(number);
    forwarded.set_hops(call.call.hops() + 1);
    const auto left = std::chrono::duration_cast<milliseconds>(call.deadline - now.steady) -
                      m_settings.grace / (1 + call.call.hops());
    forwarded.set_remaining_ms(
        static_cast<std::uint32_t>(std::max<milliseconds::rep>(1, left.count())));
    ++m_counters.calls_forwarded;
    out.push_back(std::move(message));
}

host_ref router::choose_remote_host(const std::string& data_centre)
{
    std::vector<const listed_host*> hosts;
    for (const auto& host : m_hosts)
        if (host.data_centre == data_centre && !host.leaving)
            hosts.push_back(&host);
    if (hosts.empty())
        return {};
    return {hosts[m_rotation++ % hosts.size()]->name, 0};
}

void router::answer(std::uint64_t number, wire::Answer call_answer, action_list& out)
{
    const auto found = m_open_calls.find(number);
    if (found == m_open_calls.end())
        return;
    auto& call = found->second;
    if (outcome_of(call_answer) == outcome::unknown)
        ++m_counters.calls_unknown;
    if (call.origin.empty())
    {
        m_local_calls.erase(call.origin_call);
        if (!call.caller_disconnected)
            out.push_back(actions::reply_call{call.origin_call, std::move(call_answer)});
    }
    else
    {
        actions::send_peer message{call.origin, {}};
        auto& reply = *message.message.mutable_call_reply();
        reply.set_call_id(call.origin_call);
        *reply.mutable_answer() = std::move(call_answer);
        out.push_back(std::move(message));
        m_by_origin.erase({call.origin, call.origin_call});
    }
    m_open_calls.erase(found);
}

void router::on_peer_reply(instant now, const host_ref& from, wire::CallReply reply,
                           action_list& out)
{
    const auto found = m_open_calls.find(reply.call_id());
    const bool expected = found != m_open_calls.end() &&
                          found->second.location == call_location::at_peer &&
                          found->second.peer.name == from.name;
    if (!expected)
    {
        ++m_counters.answers_stray;
        return;
    }
    if (reply.moved())
        return hold(now, found->second);
    answer(reply.call_id(), std::move(*reply.mutable_answer()), out);
}

void router::answer_unknown(std::uint64_t number, open_call& call, action_list& out)
{
    if (call.location == call_location::at_self)
        m_jobs.remove_caller(number, call.id);
    const auto kind = call.waits_for_history                    ? answer_kind::recovering
                      : call.location == call_location::at_peer ? answer_kind::owner_unreachable
                                                                : answer_kind::no_owner;
    answer(number, make_answer(kind, {}, unknown_retry_after), out);
}

void router::on_tick(instant now, action_list& out)
{
    std::vector<std::uint64_t> due;
    for (auto& [number, call] : m_open_calls)
    {
        const bool owner_changed = call.location == call_location::at_peer &&
                                   call.in_own_data_centre &&
                                   m_owners.owner_of(call.shard) != call.peer;
        const bool retry_due =
            call.location != call_location::at_self && now.steady >= call.next_attempt;
        if (now.steady >= call.deadline || owner_changed || retry_due)
            due.push_back(number);
    }
    for (const auto number : due)
    {
        auto& call = m_open_calls.at(number);
        const bool history_timed_out =
            call.waits_for_history &&
            now.steady - call.held_since > microseconds{m_settings.history_timeout};
        if (now.steady >= call.deadline || history_timed_out)
        {
            answer_unknown(number, call, out);
            continue;
        }
        m_counters.calls_resent += call.location == call_location::at_peer ? 1 : 0;
        route(now, number, out);
    }
}

void router::forward_results(instant now, action_list& out)
{
    for (auto& done : m_jobs.take_answers())
        for (const auto number : done.calls)
            answer(number, done.answer, out);
    for (auto& back : m_jobs.take_returned())
    {
        const auto found = m_open_calls.find(back.call);
        if (found == m_open_calls.end())
            continue;
        if (found->second.call.kind() == wire::SUBMIT)
            *found->second.call.mutable_job() = std::move(back.job);
        hold(now, found->second);
    }
}

} // namespace egretledge
