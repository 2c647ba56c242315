// See router.hpp. The trade-off: every entry is looked at on every tick. A host has as many entries
// as calls in flight, so this costs little beside the calls themselves, and there is no timer list
// that could fall out of step with the entries.

#include "core/router.hpp"
#include "core/wire.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr std::uint32_t most_hops = 2;
// Numbers of calls begin with the incarnation (milliseconds since 1970), so that an answer to a
// call of an earlier process never meets a later one.
constexpr unsigned number_bits = 20;
constexpr microseconds longest_resend = milliseconds{8000};
constexpr milliseconds ask_again{1000};

} // namespace

router::router(router_settings settings, ownership& owners, job_owner& jobs,
               node_counters& counters)
    : m_settings(std::move(settings)), m_owners(owners), m_jobs(jobs), m_counters(counters),
      m_next(m_settings.self.incarnation << number_bits)
{
}

void router::set_hosts(const std::vector<listed_host>& hosts)
{
    m_hosts = hosts;
}

std::uint64_t router::add(instant now, entry fresh, const job_key& key)
{
    const auto number = m_next++;
    fresh.key = key;
    fresh.id = make_job_id(fresh.call.team(), fresh.call.key());
    fresh.home = key.data_centre == m_settings.data_centre;
    fresh.shard = shard_of(fresh.id, m_owners.shard_count());
    const milliseconds time{fresh.call.remaining_ms()};
    // A relay gives up before the host that it relays for.
    const auto grace = m_settings.grace / (1 + fresh.call.hops());
    fresh.deadline = now.steady + time + grace;
    fresh.held_since = now.steady;
    fresh.backoff = m_settings.resend_first;
    m_entries.emplace(number, std::move(fresh));
    return number;
}

void router::on_local(instant now, std::uint64_t number, wire::Call call, const job_key& key,
                      action_list& out)
{
    entry fresh;
    fresh.origin_call = number;
    fresh.call = std::move(call);
    const auto added = add(now, std::move(fresh), key);
    m_local.emplace(number, added);
    route(now, added, out);
}

void router::on_local_gone(std::uint64_t number)
{
    const auto local = m_local.find(number);
    if (local != m_local.end())
        m_entries.at(local->second).gone = true;
}

void router::on_peer_call(instant now, const host_ref& from, wire::Call call, action_list& out)
{
    const auto origin = std::make_pair(from.name, call.call_id());
    const auto known = m_by_origin.find(origin);
    if (known != m_by_origin.end())
        return;
    const auto key = parse_job_key(call.key());
    if (!key || call.hops() > most_hops)
        return;
    entry fresh;
    fresh.origin = from.name;
    fresh.origin_call = call.call_id();
    fresh.call = std::move(call);
    const auto number = add(now, std::move(fresh), *key);
    m_by_origin.emplace(origin, number);
    route(now, number, out);
}

void router::route(instant now, std::uint64_t number, action_list& out)
{
    auto& call = m_entries.at(number);
    if (call.home)
        return route_home(now, number, call, out);
    const auto host = foreign_host(call.key.data_centre);
    if (host.empty())
        return hold(now, call);
    send(now, number, call, host, out);
}

void router::route_home(instant now, std::uint64_t number, entry& call, action_list& out)
{
    const auto owner = m_owners.owner_of(call.shard);
    if (m_owners.may_serve(call.shard, now))
        return hand_to_owner(now, number, call, out);
    if (owner.empty() || owner == m_settings.self)
        return hold(now, call);
    // A peer's call that came here was meant for an owner: it is passed on once at most.
    if (call.call.hops() >= most_hops)
        return hold(now, call);
    send(now, number, call, owner, out);
}

void router::hand_to_owner(instant now, std::uint64_t number, entry& call, action_list& out)
{
    wire::Answer text;
    const auto left = call.deadline - now.steady - microseconds{m_settings.grace};
    const auto left_ms = std::chrono::duration_cast<milliseconds>(left).count();
    call.call.set_remaining_ms(static_cast<std::uint32_t>(std::max<milliseconds::rep>(1, left_ms)));
    const auto fate = m_jobs.on_call(now, number, call.call, call.key, text, out);
    switch (fate)
    {
    case call_status::answered:
        return answer(number, std::move(text), out);
    case call_status::joined:
        call.where = place::at_self;
        call.call.mutable_job()->clear_tasks();
        return;
    case call_status::wait:
        call.waits_for_history = true;
        return hold(now, call);
    case call_status::moved:
        return hold(now, call);
    }
}

void router::hold(instant now, entry& call)
{
    if (call.where != place::held)
        call.held_since = now.steady;
    call.where = place::held;
    call.next = now.steady + microseconds{m_settings.hold_retry};
}

void router::send(instant now, std::uint64_t number, entry& call, const host_ref& peer,
                  action_list& out)
{
    call.where = place::at_peer;
    call.peer = peer;
    call.next = now.steady + call.backoff;
    call.backoff = std::min(2 * call.backoff, longest_resend);
    actions::send_peer message{peer.name, {}};
    auto& text = *message.message.mutable_call();
    text = call.call;
    text.set_call_id(number);
    text.set_hops(call.call.hops() + 1);
    const auto left = std::chrono::duration_cast<milliseconds>(call.deadline - now.steady) -
                      m_settings.grace / (1 + call.call.hops());
    text.set_remaining_ms(static_cast<std::uint32_t>(std::max<milliseconds::rep>(1, left.count())));
    ++m_counters.calls_forwarded;
    out.push_back(std::move(message));
}

host_ref router::foreign_host(const std::string& data_centre)
{
    std::vector<const listed_host*> hosts;
    for (const auto& host : m_hosts)
        if (host.data_centre == data_centre && !host.leaving)
            hosts.push_back(&host);
    if (hosts.empty())
        return {};
    return {hosts[m_rotation++ % hosts.size()]->name, 0};
}

void router::answer(std::uint64_t number, wire::Answer text, action_list& out)
{
    const auto found = m_entries.find(number);
    if (found == m_entries.end())
        return;
    auto& call = found->second;
    if (outcome_of(text) == outcome::unknown)
        ++m_counters.calls_unknown;
    if (call.origin.empty())
    {
        m_local.erase(call.origin_call);
        if (!call.gone)
            out.push_back(actions::reply_call{call.origin_call, std::move(text)});
    }
    else
    {
        actions::send_peer message{call.origin, {}};
        auto& reply = *message.message.mutable_call_reply();
        reply.set_call_id(call.origin_call);
        *reply.mutable_answer() = std::move(text);
        out.push_back(std::move(message));
        m_by_origin.erase({call.origin, call.origin_call});
    }
    m_entries.erase(found);
}

void router::on_peer_reply(instant now, const host_ref& from, wire::CallReply reply,
                           action_list& out)
{
    const auto found = m_entries.find(reply.call_id());
    const bool expected = found != m_entries.end() && found->second.where == place::at_peer &&
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

void router::give_up(std::uint64_t number, entry& call, action_list& out)
{
    if (call.where == place::at_self)
        m_jobs.remove_caller(number, call.id);
    const auto kind = call.waits_for_history         ? answer_kind::recovering
                      : call.where == place::at_peer ? answer_kind::owner_unreachable
                                                     : answer_kind::no_owner;
    answer(number, make_answer(kind, {}, ask_again), out);
}

void router::on_tick(instant now, action_list& out)
{
    std::vector<std::uint64_t> due;
    for (auto& [number, call] : m_entries)
    {
        const bool owner_changed =
            call.where == place::at_peer && call.home && m_owners.owner_of(call.shard) != call.peer;
        const bool retry = call.where != place::at_self && now.steady >= call.next;
        if (now.steady >= call.deadline || owner_changed || retry)
            due.push_back(number);
    }
    for (const auto number : due)
    {
        auto& call = m_entries.at(number);
        const bool history_late =
            call.waits_for_history &&
            now.steady - call.held_since > microseconds{m_settings.history_wait};
        if (now.steady >= call.deadline || history_late)
        {
            give_up(number, call, out);
            continue;
        }
        m_counters.calls_resent += call.where == place::at_peer ? 1 : 0;
        route(now, number, out);
    }
}

void router::collect(instant now, action_list& out)
{
    for (auto& done : m_jobs.take_answers())
        for (const auto number : done.calls)
            answer(number, done.answer, out);
    for (auto& back : m_jobs.take_returned())
    {
        const auto found = m_entries.find(back.call);
        if (found == m_entries.end())
            continue;
        if (found->second.call.kind() == wire::SUBMIT)
            *found->second.call.mutable_job() = std::move(back.job);
        hold(now, found->second);
    }
}

} // namespace egretledge
