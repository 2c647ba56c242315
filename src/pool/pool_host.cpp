// Connects the components: the membership learns from heartbeats which host holds which workers,
// the worker assignment distributes workers to hosts, the worker pool runs jobs on the workers held
// here, and the call router sends callers' jobs to pools. Messages to other hosts are one-way; each
// kind is repeated or bounded by a timer of the component that sent it.

#include "pool/pool_host.hpp"
#include "core/wire.hpp"
#include <algorithm>
#include <functional>

namespace egretledge::pool
{

pool_host::pool_host(pool_host_settings settings)
    : m_settings(std::move(settings)), m_membership(m_settings.membership),
      m_pool(m_settings.workers, m_settings.membership.self.incarnation ^
                                     std::hash<std::string>{}(m_settings.membership.self.name)),
      m_started(m_settings.started),
      m_call_router(
          [this]
          {
              auto own_settings = m_settings.calls;
              own_settings.data_centre = m_settings.membership.data_centre;
              return own_settings;
          }(),
          m_membership, m_pool, m_started),
      m_config_fetcher(m_settings.config),
      m_queries(m_settings.queries, m_settings.membership.self.incarnation),
      m_delay(m_settings.delay), m_capacity(m_settings.capacity, m_settings.assignment.max_workers)
{
    m_pool.set_visibility(
        [this](const caller_ref& caller)
        {
            const auto* host = m_membership.find(caller.host);
            return host == nullptr ? 0 : host->echoed_held;
        });
    m_call_router.set_evacuation_checks({[this](const std::string& service)
                                         { return all_evacuated(service); },
                                         [this] { return some_evacuated(); }});
}

void pool_host::set_senders(action_list& out) const
{
    for (auto& action : out)
        if (auto* message = std::get_if<actions::send_peer>(&action))
            egretledge::to_wire(m_settings.membership.self, *message->message.mutable_from());
}

bool pool_host::introduce(instant now, const std::string& name, const std::string& address,
                          action_list& out)
{
    return m_membership.introduce(now.steady, name, address, out);
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
    // A missing worker counts as listed for `unlisted_grace_period`: its entry may have expired
    // during an outage of the store.
    for (const auto& [id, entry] : m_registry)
    {
        if (registry.contains(id))
            continue;
        const auto since = m_unlisted_since.try_emplace(id, now.steady).first->second;
        if (now.steady - since < m_settings.unlisted_grace_period)
            registry.emplace(id, entry);
        else
            out.push_back(actions::log_event{false, "event=worker_unlisted worker=" + id});
    }
    std::erase_if(m_unlisted_since,
                  [&](const auto& item)
                  {
                      return !registry.contains(item.first) ||
                             now.steady - item.second > m_settings.unlisted_grace_period;
                  });
    for (const auto& [id, entry] : registry)
    {
        const auto known = m_registry.find(id);
        if (known != m_registry.end() && known->second.start_time_ms != entry.start_time_ms)
            m_lost_at.erase(id);
        if (known == m_registry.end() || known->second.leaving != entry.leaving)
            out.push_back(actions::log_event{
                false, "event=worker_listed worker=" + id + " data_centre=" + entry.data_centre +
                           " cpu=" + std::to_string(entry.capacity.cpu) +
                           " leaving=" + (entry.leaving ? "true" : "false")});
    }
    m_registry = std::move(registry);
    m_pool.on_registry(m_registry);
    if (const auto resolved = m_pool.crashes().on_registry(now.steady, m_registry);
        resolved.confirmed > 0)
        out.push_back(actions::log_event{true, "event=crashes_resolved source=registry confirmed=" +
                                                   std::to_string(resolved.confirmed) +
                                                   " cleared=0"});
}

void pool_host::set_evacuations(instant now, const evacuation_state& state, action_list& out)
{
    merge_evacuations(now, state, out);
    forward_results(now, out);
    set_senders(out);
}

void pool_host::merge_evacuations(instant now, const evacuation_state& state, action_list& out)
{
    if (!m_pool.merge_evacuations(now.steady, state, out))
        return;
    m_membership.expedite_heartbeats();
    log_evacuations(now, out);
}

void pool_host::log_evacuations(instant now, action_list& out)
{
    // Before the workers are listed and the hosts have met, every data centre is unknown.
    if (m_registry.empty() || m_membership.settled_at().count() < 0)
        return;
    m_pool.log_evacuations(
        now.steady,
        [&](const std::string& data_centre) { return data_centre_exists(data_centre, now.steady); },
        out);
}

bool pool_host::data_centre_exists(const std::string& data_centre, microseconds now) const
{
    if (data_centre == m_settings.membership.data_centre)
        return true;
    const auto& hosts = m_membership.all();
    return std::any_of(m_registry.begin(), m_registry.end(),
                       [&](const auto& item) { return item.second.data_centre == data_centre; }) ||
           std::any_of(hosts.begin(), hosts.end(),
                       [&](const auto& item) {
                           return item.second.data_centre == data_centre &&
                                  m_membership.alive(item.first, now);
                       });
}

std::vector<std::string> pool_host::evacuated_data_centres(microseconds now) const
{
    std::vector<std::string> known;
    if (const auto* state = m_pool.evacuated().state())
        std::copy_if(
            state->data_centres.begin(), state->data_centres.end(), std::back_inserter(known),
            [&](const std::string& data_centre) { return data_centre_exists(data_centre, now); });
    return known;
}

bool pool_host::all_evacuated(const std::string& service) const
{
    if (m_pool.evacuated().empty())
        return false;
    bool listed = false;
    for (const auto& [id, entry] : m_registry)
    {
        if (entry.leaving || (!service.empty() && entry.service != service))
            continue;
        if (!m_pool.evacuated().contains(entry.data_centre))
            return false;
        listed = true;
    }
    return listed;
}

bool pool_host::some_evacuated() const
{
    return !m_pool.evacuated().empty() &&
           std::any_of(m_registry.begin(), m_registry.end(),
                       [&](const auto& item)
                       { return m_pool.evacuated().contains(item.second.data_centre); });
}

void pool_host::run_overdue_timers(instant now, action_list& out)
{
    if (m_last_tick.count() < 0 || now.steady - m_last_tick > m_settings.max_tick_delay)
        tick(now, out);
}

void pool_host::tick(instant now, action_list& out)
{
    if (m_last_tick.count() < 0)
        m_started.set_complete_since(now.steady - (m_settings.first_start
                                                       ? m_settings.started.retention_period
                                                       : milliseconds{0}));
    m_last_tick = now.steady;
    update_capacity(now, out);
    if (std::exchange(m_announced_crashes, m_pool.crashes().own_changes()) !=
        m_pool.crashes().own_changes())
        m_membership.expedite_heartbeats();
    m_membership.tick(
        now.steady, [&] { return announcement(now); }, out);
    cancel_silent_callers(now, out);
    m_pool.tick(now.steady, out);
    m_call_router.tick(now.steady, out);
    m_queries.tick(now.steady, out);
    if (now.steady >= m_next_assignment)
    {
        m_next_assignment = now.steady + m_settings.assignment_interval;
        acquire_and_release(now, out);
        update_awaited_lists(now, out);
        log_evacuations(now, out);
        request_config(now, out);
    }
    forward_results(now, out);
    set_senders(out);
}

membership::announcement pool_host::announcement(instant now) const
{
    return {m_leaving,
            m_delay.overloaded(),
            m_config ? m_config->version : 0,
            {m_pool.free_cpu(now.steady), m_pool.total_cpu(now.steady),
             m_pool.expected_wait(now.steady)},
            m_pool.held_version(),
            m_pool.held(),
            m_pool.unread(),
            &m_started,
            &m_pool.crashes(),
            m_pool.evacuated().state(),
            m_capacity.max_workers(),
            m_pool.open_jobs(),
            m_capacity.max_workers() > 0 ? m_call_router.pools_in_use() : std::set<std::string>{}};
}

void pool_host::cancel_silent_callers(instant now, action_list& out)
{
    m_pool.cancel_callers(
        now.steady,
        [&](const caller_ref& caller)
        {
            return !caller.host.empty() &&
                   !m_membership.receives_heartbeats({caller.host, caller.incarnation}, now.steady);
        },
        out);
}

bool pool_host::may_start_trial(const std::string& worker, instant now)
{
    bool held_in_silence = false;
    for (const auto& name : m_membership.holders(worker))
    {
        held_in_silence = true;
        if (now.steady - m_membership.find(name)->last_heard < m_settings.trial_delay)
            return false;
    }
    if (!held_in_silence)
        return true; // its holder released it while its heartbeats still arrived
    if (m_empty_trials >= m_settings.required_empty_trials)
        return true;
    if (now.steady < m_next_trial || !m_trials.empty())
        return false;
    m_next_trial = now.steady + m_settings.trial_interval;
    m_trials.insert(worker);
    return true;
}

void pool_host::evaluate_trials(instant now)
{
    if (!m_membership.partitioned(now.steady))
        m_empty_trials = 0;
    for (const auto& id : std::exchange(m_trials, {}))
    {
        const auto* worker = m_pool.find(id);
        if (worker == nullptr)
            continue;
        if (!worker->acquired())
            m_trials.insert(id);
        else if (!worker->found_runs())
            ++m_empty_trials;
        else
        {
            m_empty_trials = 0;
            m_next_trial = now.steady + m_settings.trial_pause;
            m_pending_release.insert(id);
        }
    }
    std::erase_if(m_pending_release,
                  [&](const std::string& id) { return m_pool.release(id) || !m_pool.holds(id); });
}

bool pool_host::may_acquire(const worker_entry& entry, bool partitioned, instant now,
                            action_list& out)
{
    const auto lost = m_lost_at.find(entry.id);
    if (lost != m_lost_at.end() && now.steady - lost->second < m_settings.lost_retry_delay)
        return false;
    if (partitioned && !may_start_trial(entry.id, now))
        return false;
    if (entry.data_centre == m_settings.membership.data_centre ||
        m_pool.reachable_for(entry.id, now.steady, m_settings.remote_acquire_delay))
        return true;
    m_pool.probe(now.steady, entry, out);
    return false;
}

std::uint32_t pool_host::max_workers() const
{
    return m_capacity.max_workers() > 0 ? m_capacity.max_workers()
                                        : m_settings.assignment.max_workers;
}

void pool_host::update_capacity(instant now, action_list& out)
{
    if (!m_capacity.update(now.steady, m_delay.overloaded(), m_pool.held_count()))
        return;
    const auto figure = [](std::uint32_t workers)
    { return workers == capacity_figures::no_limit ? "none" : std::to_string(workers); };
    const auto& figures = m_capacity.figures();
    out.push_back(actions::log_event{
        false, "event=capacity max_workers=" + std::to_string(m_capacity.max_workers()) +
                   " by_processor=" + figure(figures.by_processor) + " by_memory=" +
                   figure(figures.by_memory) + " by_link=" + figure(figures.by_link) +
                   " held=" + std::to_string(m_pool.held_count()) +
                   " overloaded=" + (m_delay.overloaded() ? "true" : "false")});
}

void pool_host::acquire_and_release(instant now, action_list& out)
{
    for (const auto& id : m_pool.take_losses())
        m_lost_at[id] = now.steady;
    evaluate_trials(now);
    if (!m_leaving && !m_membership.may_acquire(now.steady))
        return;
    std::vector<candidate_host> hosts;
    const auto& own_settings = m_settings.membership;
    hosts.push_back({own_settings.self.name, own_settings.data_centre,
                     static_cast<std::uint32_t>(m_pool.held().size()), m_leaving,
                     m_membership.settled(now.steady), false, m_delay.overloaded(),
                     m_capacity.max_workers()});
    std::set<std::string> held_elsewhere;
    for (const auto& [name, host] : m_membership.all())
    {
        if (!m_membership.may_be_alive(name, now.steady))
            continue;
        hosts.push_back({name, host.data_centre, host.held_count, host.leaving, host.settled,
                         m_membership.settling(host, now.steady), host.overloaded,
                         host.max_workers});
        held_elsewhere.insert(host.held.begin(), host.held.end());
    }
    for (const auto& id : held_elsewhere)
        m_lost_at.erase(id);
    const auto held = m_pool.held();
    const auto plan = choose_workers(m_settings.assignment, own_settings.self.name, m_registry,
                                     hosts, held_elsewhere, {held.begin(), held.end()});
    m_quota = plan.quota;
    const bool partitioned = m_membership.partitioned(now.steady);
    for (const auto& id : plan.acquire)
        if (may_acquire(m_registry.at(id), partitioned, now, out))
            m_pool.acquire(now, m_registry.at(id), out);
    for (const auto& id : plan.release)
        m_pool.release(id);
    hand_over(now, plan.hand_over, out);
    if (std::exchange(m_announced_version, m_pool.held_version()) != m_pool.held_version())
        m_membership.expedite_heartbeats();
}

void pool_host::hand_over(instant now, std::vector<std::string> planned, action_list& out)
{
    std::erase_if(m_handover, [&](const std::string& id) { return !m_pool.holds(id); });
    if (!m_handover.empty() && now.steady >= m_handover_until)
        m_handover.clear();
    if (m_handover.empty() && !planned.empty() && now.steady >= m_next_handover)
    {
        m_handover = std::move(planned);
        m_handover_until = now.steady + m_settings.handover_timeout;
        out.push_back(actions::log_event{
            true, "event=workers_handed_over count=" + std::to_string(m_handover.size()) +
                      " held=" + std::to_string(m_pool.held().size()) +
                      " delay_ms=" + std::to_string(m_delay.average().count()) +
                      " overloaded=" + (m_delay.overloaded() ? "true" : "false")});
    }
    if (!m_handover.empty())
        m_next_handover = now.steady + m_settings.handover_pause;
    m_pool.hand_over(m_handover);
}

void pool_host::observe_delay(instant now, microseconds delay)
{
    m_delay.observe(now.steady, delay);
    m_membership.set_handling_delay(delay);
    // Differences of a few milliseconds would only draw all jobs to the same pool.
    const auto average = m_delay.average();
    m_pool.set_processing_delay(average < m_settings.delay.calm_delay ? milliseconds{0} : average);
}

void pool_host::update_awaited_lists(instant now, action_list& out)
{
    const auto silent = m_membership.find_silent_hosts(now.steady);
    const auto read = [&](const std::string& id)
    {
        const auto* own = m_pool.find(id);
        if (own != nullptr && own->acquired())
            return true;
        const auto& holders = m_membership.holders(id);
        return std::any_of(holders.begin(), holders.end(),
                           [&](const std::string& name) {
                               return m_membership.alive(name, now.steady) &&
                                      !m_membership.find(name)->unread.contains(id);
                           });
    };
    const auto listed = [&](const std::string& id)
    {
        const auto entry = m_registry.find(id);
        return entry != m_registry.end() && !entry->second.leaving;
    };
    m_unread.update(silent, {read, listed});
    if (m_unread.awaited() != m_started.updates_awaited())
        out.push_back(actions::log_event{
            m_unread.awaited(), std::string("event=lists_awaited silent_hosts=") +
                                    std::to_string(silent.size()) +
                                    " awaited=" + (m_unread.awaited() ? "true" : "false")});
    m_started.set_updates_awaited(m_unread.awaited());
}

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
            fits = fits || step.demand.fits(entry.capacity);
        }
        if (listed && !fits)
            return true;
    }
    return false;
}

void pool_host::on_job(instant now, std::uint64_t call, job_request job, action_list& out)
{
    run_overdue_timers(now, out);
    if (m_queries.cancel_requested(now.steady, job.id))
    {
        out.push_back(actions::log_event{true, "event=answered job=" + job.id +
                                                   " route=" + job.terms.route +
                                                   " outcome=cancelled pool=none"});
        out.push_back(actions::answer_call{call, {answer_kind::cancelled, {}, "taken back"}});
        return set_senders(out);
    }
    if (too_large(job))
    {
        const auto answer = m_call_router.checked_answer(now.steady, job.id, false,
                                                         {answer_kind::no_worker_fits,
                                                          m_settings.workers.min_retry_after,
                                                          "larger than every worker"});
        out.push_back(actions::log_event{true, "event=answered job=" + job.id +
                                                   " route=" + job.terms.route +
                                                   " outcome=" + std::string(name_of(answer.kind)) +
                                                   " pool=none detail=\"" + answer.detail + '"'});
        return out.push_back(actions::answer_call{call, answer});
    }
    m_call_router.submit(now, call, std::move(job), out);
    forward_results(now, out);
    set_senders(out);
}

void pool_host::on_caller_disconnected(instant now, std::uint64_t call, action_list& out)
{
    m_call_router.on_caller_disconnected(now.steady, call, out);
    m_queries.on_caller_disconnected(call);
    forward_results(now, out);
    set_senders(out);
}

void pool_host::on_job_query(instant now, std::uint64_t call, const std::string& job, bool cancel,
                             action_list& out)
{
    run_overdue_timers(now, out);
    const bool found =
        cancel ? cancel_job(now, job, out) : m_call_router.has_job(job) || m_pool.has_job(job);
    if (!found)
        m_queries.begin(now.steady, call, job, cancel, m_membership, out);
    else
    {
        if (cancel)
            m_queries.announce_cancel(job, m_membership, out);
        out.push_back(actions::answer_query{call, job_query_result::found, {}});
    }
    forward_results(now, out);
    set_senders(out);
}

bool pool_host::cancel_job(instant now, const std::string& job, action_list& out)
{
    const bool cancelled = m_call_router.cancel(now.steady, job, out);
    m_pool.cancel_job(now.steady, job, out);
    m_queries.record_cancel(now.steady, job, cancelled);
    return m_queries.cancelled_here(now.steady, job);
}

void pool_host::on_peer_query(instant now, const host_ref& from, const wire::PoolJobQuery& message,
                              action_list& out)
{
    constexpr std::uint32_t absent = 0;
    constexpr std::uint32_t present = 1;
    constexpr std::uint32_t cancelled = 2;
    std::uint32_t state = absent;
    if (message.cancel())
    {
        // Only the host that serves the caller confirms a cancel: while that host is out of reach,
        // it may still offer the job to other pools.
        if (cancel_job(now, message.id(), out))
            state = cancelled;
    }
    else if (m_call_router.has_job(message.id()) || m_pool.has_job(message.id()))
        state = present;
    actions::send_peer reply{from.name, {}};
    auto& answer = *reply.message.mutable_pool_job_state();
    answer.set_query(message.query());
    answer.set_state(state);
    out.push_back(std::move(reply));
}

void pool_host::on_worker(instant now, std::uint64_t request, const worker_reply& reply,
                          action_list& out)
{
    run_overdue_timers(now, out);
    m_pool.on_worker_reply(now.steady, request, reply, out);
    forward_results(now, out);
    set_senders(out);
}

void pool_host::record_starts(instant now)
{
    const auto changes = m_pool.take_start_changes();
    for (const auto& job : changes.started)
        m_started.record(now.steady, job);
    for (const auto& job : changes.not_started)
        m_started.withdraw(job);
}

void pool_host::forward_results(instant now, action_list& out)
{
    record_starts(now);
    // Resolving one call may submit its job to this host's pool again, which may yield more
    // results.
    for (auto results = m_pool.take_results(); !results.empty(); results = m_pool.take_results())
        for (const auto& result : results)
        {
            if (result.caller.host.empty())
            {
                m_call_router.on_local_result(now.steady, result, out);
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
    if (m_queries.cancel_requested(now.steady, message.id()))
    {
        m_pool.cancel_job(now.steady, message.id(), out);
        actions::send_peer reply{from.name, {}};
        auto& result = *reply.message.mutable_pool_result();
        result.set_offer(message.offer());
        result.set_id(message.id());
        result.set_kind(static_cast<std::uint32_t>(answer_kind::cancelled));
        result.set_detail("taken back");
        return out.push_back(std::move(reply));
    }
    const bool cleared = m_pool.cleared(former);
    const bool caller_receives_heartbeats = m_membership.receives_heartbeats(from, now.steady);
    // An offer that arrives after a heartbeat sent later came over another connection. It may have
    // been withdrawn.
    const bool overtaken = m_membership.overtaken(from, message.beat_sequence());
    // A job that this pool already has is kept, even if the pool is stopping.
    if (job && caller_receives_heartbeats && !overtaken &&
        (m_pool.has_job(message.id()) || (!m_leaving && cleared)))
        return m_pool.submit(now.steady, std::move(*job), caller, milliseconds{message.age_ms()},
                             out);
    // The sender of a declined offer relies on this pool having nothing of the job, neither by this
    // offer nor by an earlier one.
    if (!caller_receives_heartbeats)
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

void pool_host::request_config(instant now, action_list& out)
{
    const auto version = m_config ? m_config->version : 0;
    const auto peer_name = m_config_fetcher.choose_peer(now.steady, version, m_membership);
    if (!peer_name)
        return;
    out.push_back(actions::log_event{
        true,
        "event=config_requested peer=" + *peer_name + " version=" + std::to_string(version) +
            " peer_version=" + std::to_string(m_membership.find(*peer_name)->config_version)});
    actions::send_peer message{*peer_name, {}};
    message.message.mutable_pool_config_request()->set_version(version);
    out.push_back(std::move(message));
}

void pool_host::on_config_request(instant now, const host_ref& from,
                                  const wire::PoolConfigRequest& message, action_list& out)
{
    if (!m_config || m_config->version <= message.version())
        return;
    const auto& config = *m_config;
    const bool accepted =
        m_config_fetcher.accept_request(now.steady, from.name, config.version, m_membership);
    out.push_back(actions::log_event{
        false, "event=config_sent peer=" + from.name +
                   " version=" + std::to_string(config.version) +
                   " bytes=" + std::to_string(accepted ? config.published.size() : 0) +
                   " busy=" + (accepted ? "false" : "true")});
    actions::send_peer reply{from.name, {}};
    auto& answer = *reply.message.mutable_pool_config();
    answer.set_version(config.version);
    answer.set_busy(!accepted);
    if (accepted)
        answer.set_published(config.published);
    out.push_back(std::move(reply));
}

std::optional<std::string> pool_host::on_peer_config(instant now, const wire::PoolConfig& message)
{
    if (m_config && message.version() <= m_config->version)
        return std::nullopt;
    if (!message.busy())
        return message.published();
    m_config_fetcher.on_busy(now.steady);
    return std::nullopt;
}

std::optional<std::string> pool_host::on_peer(instant now, const wire::PeerMessage& message,
                                              action_list& out)
{
    run_overdue_timers(now, out);
    const auto from = egretledge::from_wire(message.from());
    std::optional<std::string> published;
    switch (message.body_case())
    {
    case wire::PeerMessage::kPoolBeat:
    {
        m_started.record_announced(now.steady, message.pool_beat().started());
        m_pool.crashes().record_announced(now.steady, message.pool_beat().crashes());
        if (message.pool_beat().has_evacuations())
            merge_evacuations(now, from_wire(message.pool_beat().evacuations()), out);
        const auto* host = m_membership.on_heartbeat(now.steady, from, message.pool_beat(), out);
        if (host == nullptr)
            break;
        for (const auto offer : message.pool_beat().withdrawn())
            m_pool.cancel(now.steady, {from.name, from.incarnation, offer}, out);
        m_membership.answer(
            now.steady, from.name, [&] { return announcement(now); }, out);
        break;
    }
    case wire::PeerMessage::kPoolJob:
        on_pool_job(now, from, message.pool_job(), out);
        break;
    case wire::PeerMessage::kPoolResult:
        m_call_router.on_result(now.steady, from, message.pool_result(), out);
        break;
    case wire::PeerMessage::kPoolCancel:
        m_pool.cancel(now.steady, {from.name, from.incarnation, message.pool_cancel().offer()},
                      out);
        break;
    case wire::PeerMessage::kPoolConfig:
        published = on_peer_config(now, message.pool_config());
        break;
    case wire::PeerMessage::kPoolConfigRequest:
        on_config_request(now, from, message.pool_config_request(), out);
        break;
    case wire::PeerMessage::kPoolJobQuery:
        on_peer_query(now, from, message.pool_job_query(), out);
        break;
    case wire::PeerMessage::kPoolJobState:
        m_queries.on_state(from, message.pool_job_state(), out);
        break;
    default:
        break;
    }
    forward_results(now, out);
    set_senders(out);
    return published;
}

void pool_host::begin_stop(instant now, action_list& out)
{
    if (std::exchange(m_leaving, true))
        return;
    m_leaving_since = now.steady;
    if (m_membership.count_slow_peers() > 0)
        m_membership.expedite_heartbeats();
    m_call_router.close_local_pool();
    m_pool.decline_unstarted_jobs(now.steady, out);
    forward_results(now, out);
    set_senders(out);
}

void pool_host::end_calls(instant now, action_list& out)
{
    m_call_router.end_calls(now.steady, out);
    m_queries.end_all(out);
    forward_results(now, out);
    set_senders(out);
}

stop_stage pool_host::stop_progress(microseconds now) const
{
    if (!m_leaving)
        return stop_stage::serving;
    const auto passed = now - m_leaving_since;
    if (stopped() && passed >= m_settings.balancer_lag)
        return stop_stage::done;
    if (passed <= m_settings.stop_timeout - m_settings.answer_flush_period)
        return stop_stage::ending;
    return stopped() ? stop_stage::done : stop_stage::overdue;
}

bool pool_host::accepts_jobs(microseconds now) const
{
    return !m_leaving || now - m_leaving_since <= m_settings.stop_timeout / 2;
}

bool pool_host::stopped() const
{
    return m_leaving && m_call_router.idle() && m_queries.idle() && m_pool.quiet();
}

bool pool_host::ready(instant now) const
{
    // While all workers are evacuated this host still serves callers, by refusals.
    return !m_leaving && m_config &&
           (m_call_router.can_place(now.steady) || all_evacuated(std::string{}));
}

} // namespace egretledge::pool
