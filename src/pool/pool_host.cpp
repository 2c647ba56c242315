// Ties the parts together: heartbeats tell who holds what, the steward deals out workers, the pool
// runs jobs on those held here, and the entry brings callers' jobs to pools. Messages to other
// hosts are one-way; each kind is repeated or bounded by a timer of the part that sent it.

#include "pool/pool_host.hpp"
#include "core/wire.hpp"
#include <algorithm>
#include <functional>
#include <iterator>
#include <xxhash.h>

namespace egretledge::pool
{

pool_host::pool_host(pool_host_settings settings)
    : m_settings(std::move(settings)), m_members(m_settings.members),
      m_pool(m_settings.workers, m_settings.members.self.incarnation ^
                                     std::hash<std::string>{}(m_settings.members.self.name)),
      m_started(m_settings.started), m_entry(
                                         [this]
                                         {
                                             auto about = m_settings.entry;
                                             about.data_centre = m_settings.members.data_centre;
                                             return about;
                                         }(),
                                         m_members, m_pool, m_started),
      m_probe_seed(
          XXH3_64bits(m_settings.members.self.name.data(), m_settings.members.self.name.size()))
{
    m_pool.set_visibility(
        [this](const caller_ref& caller)
        {
            const auto* host = m_members.find(caller.host);
            return host == nullptr ? 0 : host->echoed_held;
        });
}

void pool_host::stamp(action_list& out) const
{
    for (auto& action : out)
        if (auto* message = std::get_if<actions::send_peer>(&action))
            egretledge::to_wire(m_settings.members.self, *message->message.mutable_from());
}

void pool_host::introduce(instant now, const std::string& name, const std::string& address,
                          action_list& out)
{
    m_members.introduce(now.steady, name, address, out);
}

bool pool_host::set_config(instant, route_config_ptr config, action_list& out)
{
    if (m_config && config->version <= m_config->version)
        return false;
    out.push_back(actions::log_event{
        false, "event=config_in_force version=" + std::to_string(config->version) +
                   " former=" + std::to_string(m_config ? m_config->version : 0) +
                   " routes=" + std::to_string(config->routes.size())});
    m_config = std::move(config);
    return true;
}

void pool_host::set_registry(instant now, worker_registry registry, action_list& out)
{
    // A worker that is missing counts for a while longer: an outage of the store may have lapsed
    // it.
    for (const auto& [id, entry] : m_registry)
    {
        if (registry.contains(id))
            continue;
        const auto since = m_vanished.try_emplace(id, now.steady).first->second;
        if (now.steady - since < m_settings.vanish_grace)
            registry.emplace(id, entry);
        else
            out.push_back(actions::log_event{false, "event=worker_unlisted worker=" + id});
    }
    std::erase_if(m_vanished,
                  [&](const auto& item) {
                      return !registry.contains(item.first) ||
                             now.steady - item.second > m_settings.vanish_grace;
                  });
    for (const auto& [id, entry] : registry)
    {
        const auto known = m_registry.find(id);
        if (known != m_registry.end() && known->second.born_ms != entry.born_ms)
            m_lost.erase(id);
        if (known == m_registry.end() || known->second.leaving != entry.leaving)
            out.push_back(actions::log_event{
                false, "event=worker_listed worker=" + id + " data_centre=" + entry.data_centre +
                           " cpu=" + std::to_string(entry.capacity.cpu) +
                           " leaving=" + (entry.leaving ? "true" : "false")});
    }
    m_registry = std::move(registry);
    m_pool.on_registry(m_registry);
}

void pool_host::keep_time(instant now, action_list& out)
{
    if (now.steady - m_last_tick > m_settings.latest_tick)
        tick(now, out);
}

void pool_host::tick(instant now, action_list& out)
{
    m_last_tick = now.steady;
    m_members.tick(
        now.steady,
        [&]
        {
            return members::announcement{m_leaving,
                                         m_config ? m_config->version : 0,
                                         {m_pool.free_cpu(now.steady), m_pool.total_cpu(now.steady),
                                          m_pool.expected_wait(now.steady)},
                                         m_pool.held_version(),
                                         m_pool.held(),
                                         m_pool.unread(),
                                         &m_started};
        },
        out);
    cancel_silent_callers(now, out);
    m_pool.tick(now.steady, out);
    m_entry.tick(now.steady, out);
    if (now.steady >= m_next_steward)
    {
        m_next_steward = now.steady + m_settings.steward_every;
        take_and_yield(now, out);
        await_lists(now, out);
    }
    pass_results(now, out);
    stamp(out);
}

void pool_host::cancel_silent_callers(instant now, action_list& out)
{
    m_pool.cancel_callers(
        now.steady,
        [&](const caller_ref& caller)
        {
            return !caller.host.empty() &&
                   !m_members.hears_us({caller.host, caller.incarnation}, now.steady);
        },
        out);
}

// Whether a host that is cut off may take this worker now; see trial_after.
bool pool_host::may_try(const std::string& worker, instant now)
{
    bool held_in_silence = false;
    for (const auto& [name, host] : m_members.all())
    {
        if (!host.held.contains(worker))
            continue;
        held_in_silence = true;
        if (now.steady - host.heard < m_settings.trial_after)
            return false;
    }
    if (!held_in_silence)
        return true; // its holder gave it up while it could still be heard
    if (m_empty_trials >= m_settings.trials)
        return true;
    if (now.steady < m_next_trial || !m_trials.empty())
        return false;
    m_next_trial = now.steady + m_settings.trial_every;
    m_trials.insert(worker);
    return true;
}

void pool_host::judge_trials(instant now)
{
    if (!m_members.cut_off(now.steady))
        m_empty_trials = 0;
    for (const auto& id : std::exchange(m_trials, {}))
    {
        const auto* worker = m_pool.find(id);
        if (worker == nullptr)
            continue;
        if (!worker->taken())
            m_trials.insert(id);
        else if (!worker->found_runs())
            ++m_empty_trials;
        else
        {
            m_empty_trials = 0;
            m_next_trial = now.steady + m_settings.trial_pause;
            m_give_back.insert(id);
        }
    }
    std::erase_if(m_give_back,
                  [&](const std::string& id) { return m_pool.release(id) || !m_pool.holds(id); });
}

bool pool_host::may_take(const worker_entry& entry, instant now, action_list& out)
{
    const auto lost = m_lost.find(entry.id);
    if (lost != m_lost.end() && now.steady - lost->second < m_settings.lost_patience)
        return false;
    if (m_members.cut_off(now.steady) && !may_try(entry.id, now))
        return false;
    if (entry.data_centre == m_settings.members.data_centre ||
        m_pool.reachable_for(entry.id, now.steady, m_settings.away_patience))
        return true;
    m_pool.probe(now.steady, entry, out);
    return false;
}

void pool_host::take_and_yield(instant now, action_list& out)
{
    for (const auto& id : m_pool.take_losses())
        m_lost[id] = now.steady;
    judge_trials(now);
    if (!m_leaving && !m_members.may_take(now.steady))
        return;
    std::vector<candidate> hosts;
    const auto& about = m_settings.members;
    hosts.push_back({about.self.name, about.data_centre,
                     static_cast<std::uint32_t>(m_pool.held().size()), m_leaving,
                     m_members.settled(now.steady)});
    std::set<std::string> elsewhere;
    for (const auto& [name, host] : m_members.all())
    {
        if (!m_members.alive(name, now.steady))
            continue;
        hosts.push_back({name, host.data_centre, host.held_count, host.leaving, host.settled});
        elsewhere.insert(host.held.begin(), host.held.end());
    }
    for (const auto& id : elsewhere)
        m_lost.erase(id);
    const auto held = m_pool.held();
    const auto plan = choose_workers(m_settings.steward, about.self.name, m_registry, hosts,
                                     elsewhere, {held.begin(), held.end()});
    for (const auto& id : plan.take)
        if (may_take(m_registry.at(id), now, out))
            m_pool.acquire(now, m_registry.at(id), out);
    for (const auto& id : plan.yield)
        m_pool.release(id);
    if (std::exchange(m_announced, m_pool.held_version()) != m_pool.held_version())
        m_members.hurry();
}

void pool_host::await_lists(instant now, action_list& out)
{
    const auto silent = m_members.fell_silent(now.steady);
    std::set<std::string> read;
    std::set<std::string> data_centres;
    if (!silent.empty())
    {
        if (!m_leaving)
            data_centres.insert(m_settings.members.data_centre);
        for (const auto& [name, host] : m_members.all())
        {
            if (!m_members.alive(name, now.steady))
                continue;
            std::set_difference(host.held.begin(), host.held.end(), host.unread.begin(),
                                host.unread.end(), std::inserter(read, read.end()));
            if (!host.leaving)
                data_centres.insert(host.data_centre);
        }
    }
    const auto entry_of = [&](const std::string& id)
    {
        const auto known = m_registry.find(id);
        return known == m_registry.end() ? nullptr : &known->second;
    };
    m_unread.update(silent, {[&](const std::string& id)
                             {
                                 const auto* own = m_pool.find(id);
                                 return read.contains(id) || (own != nullptr && own->taken());
                             },
                             [&](const std::string& id)
                             {
                                 const auto* entry = entry_of(id);
                                 return entry != nullptr && !entry->leaving;
                             },
                             [&](const std::string& id)
                             {
                                 const auto* entry = entry_of(id);
                                 return entry != nullptr &&
                                        data_centres.contains(entry->data_centre);
                             },
                             [&](const std::string& id)
                             { return m_pool.reachable_for(id, now.steady, milliseconds{0}); }});
    const auto turn = static_cast<std::uint64_t>(now.steady / m_settings.probe_turn);
    for (const auto& id : m_unread.to_probe(m_probe_seed + turn))
        m_pool.probe(now.steady, m_registry.at(id), out);
    if (m_unread.awaited() != m_started.news_awaited())
        out.push_back(actions::log_event{
            m_unread.awaited(), std::string("event=lists_awaited silent_hosts=") +
                                    std::to_string(silent.size()) +
                                    " awaited=" + (m_unread.awaited() ? "true" : "false")});
    m_started.await_news(m_unread.awaited());
}

// True if workers of the service are listed and none of them is large enough for some step.
bool pool_host::too_large(const job_request& job) const
{
    bool listed = false;
    for (const auto& step : job.steps)
    {
        bool fits = false;
        for (const auto& [id, entry] : m_registry)
        {
            if (entry.service != job.terms.service)
                continue;
            listed = true;
            fits = fits || step.need.fits(entry.capacity);
        }
        if (listed && !fits)
            return true;
    }
    return false;
}

void pool_host::on_job(instant now, std::uint64_t call, job_request job, action_list& out)
{
    keep_time(now, out);
    if (too_large(job))
    {
        const auto answer =
            m_entry.checked_answer(now.steady, job.id, false,
                                   {answer_kind::no_worker_fits, m_settings.workers.min_retry_after,
                                    "larger than every worker"});
        out.push_back(actions::log_event{true, "event=answered job=" + job.id +
                                                   " route=" + job.terms.route +
                                                   " outcome=" + std::string(name_of(answer.kind)) +
                                                   " pool=none detail=\"" + answer.detail + '"'});
        return out.push_back(actions::answer_call{call, answer});
    }
    m_entry.submit(now, call, std::move(job), out);
    pass_results(now, out);
    stamp(out);
}

void pool_host::on_caller_gone(instant now, std::uint64_t call, action_list& out)
{
    m_entry.on_caller_gone(now.steady, call, out);
    pass_results(now, out);
    stamp(out);
}

bool pool_host::on_cancel(instant now, const std::string& job, action_list& out)
{
    const bool known = m_entry.cancel(now.steady, job, out);
    pass_results(now, out);
    stamp(out);
    return known;
}

void pool_host::on_worker(instant now, std::uint64_t request, const worker_reply& reply,
                          action_list& out)
{
    keep_time(now, out);
    m_pool.on_worker_reply(now.steady, request, reply, out);
    pass_results(now, out);
    stamp(out);
}

void pool_host::note_starts(instant now)
{
    const auto notes = m_pool.take_start_notes();
    for (const auto& job : notes.started)
        m_started.note(now.steady, job);
    for (const auto& job : notes.not_started)
        m_started.withdraw(job);
}

void pool_host::pass_results(instant now, action_list& out)
{
    note_starts(now);
    // Settling one call may hand its job to the own pool again, which may end more.
    for (auto results = m_pool.take_results(); !results.empty(); results = m_pool.take_results())
        for (const auto& result : results)
        {
            if (result.caller.host.empty())
            {
                m_entry.on_local_result(now.steady, result, out);
                continue;
            }
            actions::send_peer message{result.caller.host, {}};
            auto& reply = *message.message.mutable_pool_result();
            reply.set_offer(result.caller.offer);
            reply.set_id(result.job);
            reply.set_kind(static_cast<std::uint32_t>(result.answer.kind));
            reply.set_retry_after_ms(static_cast<std::uint32_t>(result.answer.retry_after.count()));
            reply.set_declined(result.declined);
            reply.set_detail(result.answer.detail);
            out.push_back(std::move(message));
        }
}

void pool_host::on_pool_job(instant now, const host_ref& from, const wire::PoolJob& message,
                            action_list& out)
{
    auto job = from_wire(message);
    const caller_ref caller{from.name, from.incarnation, message.offer()};
    const std::vector<std::string> former(message.former_workers().begin(),
                                          message.former_workers().end());
    const bool cleared = m_pool.cleared(former);
    const bool heard = m_members.hears_us(from, now.steady);
    // An offer that arrives after a later heartbeat came on another connection; it may have been
    // withdrawn.
    const bool overtaken = m_members.overtaken(from, message.beat_sequence());
    // A job that is here stays, also at a pool that is stopping.
    if (job && heard && !overtaken && (m_pool.has_job(message.id()) || (!m_leaving && cleared)))
        return m_pool.submit(now.steady, std::move(*job), caller, milliseconds{message.age_ms()},
                             out);
    // Who is declined takes it that nothing of the job is here, by this offer or an earlier one.
    if (!heard)
        cancel_silent_callers(now, out);
    m_pool.cancel_earlier(now.steady, message.id(), caller, out);
    const bool ending = m_pool.ending(message.id());
    const auto reason = !job        ? job.error().message
                        : ending    ? "former runs are ending"
                        : overtaken ? "overtaken by a heartbeat"
                        : m_leaving ? "leaving"
                        : !cleared  ? "former workers not cleared"
                                    : "heartbeats not heard";
    out.push_back(actions::log_event{true, "event=offer_declined job=" + message.id() +
                                               " caller_host=" + from.name + " reason=\"" + reason +
                                               '"'});
    actions::send_peer reply{from.name, {}};
    auto& result = *reply.message.mutable_pool_result();
    result.set_offer(message.offer());
    result.set_id(message.id());
    result.set_kind(static_cast<std::uint32_t>(!job     ? answer_kind::bad_request
                                               : ending ? answer_kind::worker_lost
                                                        : answer_kind::no_worker_fits));
    result.set_declined(job && !ending);
    result.set_retry_after_ms(1000);
    result.set_detail(reason);
    out.push_back(std::move(reply));
}

void pool_host::offer_config(const host_ref& to, action_list& out)
{
    actions::send_peer message{to.name, {}};
    auto& offer = *message.message.mutable_pool_config();
    offer.set_version(m_config->version);
    offer.set_published(m_config->published);
    out.push_back(std::move(message));
}

std::optional<std::string> pool_host::on_peer(instant now, const wire::PeerMessage& message,
                                              action_list& out)
{
    keep_time(now, out);
    const auto from = egretledge::from_wire(message.from());
    std::optional<std::string> published;
    switch (message.body_case())
    {
    case wire::PeerMessage::kPoolBeat:
    {
        m_started.note_heard(now.steady, message.pool_beat().started());
        const auto* host = m_members.on_beat(now.steady, from, message.pool_beat(), out);
        if (host == nullptr)
            break;
        for (const auto offer : message.pool_beat().withdrawn())
            m_pool.cancel(now.steady, {from.name, from.incarnation, offer}, out);
        if (m_config && host->config_version < m_config->version)
            offer_config(from, out);
        break;
    }
    case wire::PeerMessage::kPoolJob:
        on_pool_job(now, from, message.pool_job(), out);
        break;
    case wire::PeerMessage::kPoolResult:
        m_entry.on_result(now.steady, from, message.pool_result(), out);
        break;
    case wire::PeerMessage::kPoolCancel:
        m_pool.cancel(now.steady, {from.name, from.incarnation, message.pool_cancel().offer()},
                      out);
        break;
    case wire::PeerMessage::kPoolConfig:
        if (!m_config || message.pool_config().version() > m_config->version)
            published = message.pool_config().published();
        break;
    default:
        break;
    }
    pass_results(now, out);
    stamp(out);
    return published;
}

void pool_host::begin_stop(instant now, action_list& out)
{
    if (std::exchange(m_leaving, true))
        return;
    m_leaving_since = now.steady;
    m_entry.close_local_pool();
    m_pool.decline_unstarted_jobs(now.steady, out);
    pass_results(now, out);
    stamp(out);
}

stop_stage pool_host::stop_progress(microseconds now) const
{
    if (!m_leaving)
        return stop_stage::serving;
    const auto passed = now - m_leaving_since;
    if (stopped() && passed >= m_settings.balancer_lag)
        return stop_stage::done;
    if (passed <= m_settings.stop_limit - m_settings.last_answers)
        return stop_stage::ending;
    return stopped() ? stop_stage::done : stop_stage::overdue;
}

bool pool_host::takes_jobs(microseconds now) const
{
    return !m_leaving || now - m_leaving_since <= m_settings.stop_limit / 2;
}

bool pool_host::stopped() const
{
    return m_leaving && m_entry.idle() && m_pool.quiet();
}

bool pool_host::ready(instant now) const
{
    return !m_leaving && m_config && m_entry.can_place(now.steady);
}

} // namespace egretledge::pool
