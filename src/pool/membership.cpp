#include "pool/membership.hpp"
#include "core/wire.hpp"
#include <algorithm>
#include <functional>
#include <utility>

namespace egretledge::pool
{

namespace
{

// A longer gap between two ticks means that this process was paused.
constexpr milliseconds pause_threshold{250};
// 8 s of own heartbeats at the default interval, longer than any timeout on echoes.
constexpr std::size_t min_sent_heartbeats = 64;
// Early heartbeats are kept for as long: an echo at the longer interval is more than a second old.
constexpr milliseconds sent_retention{8000};
// Bounds the memory if all hosts are answered at once.
constexpr std::size_t max_sent_heartbeats = 2048;

// FNV-1a, the same on every machine.
std::uint32_t hash_pair(const std::string& from, const std::string& to)
{
    std::uint32_t hash = 2166136261U;
    for (const auto* text : {&from, &to})
        for (const char letter : *text + '\n')
            hash = (hash ^ static_cast<unsigned char>(letter)) * 16777619U;
    return hash ^ (hash >> 16U);
}

} // namespace

void to_wire(const evacuation_state& state, wire::PoolEvacuations& out)
{
    out.set_revision(state.revision);
    for (const auto& data_centre : state.data_centres)
        out.add_data_centres(data_centre);
}

evacuation_state from_wire(const wire::PoolEvacuations& message)
{
    return {message.revision(), {message.data_centres().begin(), message.data_centres().end()}};
}

membership::membership(membership_settings settings) : m_settings(std::move(settings)) {}

bool membership::introduce(microseconds now, const std::string& name, const std::string& address,
                           action_list& out)
{
    if (name == m_settings.self.name || address == m_settings.address || address.empty())
        return true;
    // A heartbeat of a host that has just started lists all hosts, and most are known.
    const auto same = m_peers.find(name);
    if (same != m_peers.end() && same->second.address == address)
        return true;
    std::size_t unheard = 0;
    auto longest_unheard = m_peers.end();
    for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry)
    {
        const auto& [known, host] = *entry;
        if (host.address == address && known != name && host.last_heard.count() >= 0)
            return true;
        if (host.last_heard.count() >= 0)
            continue;
        ++unheard;
        if (longest_unheard == m_peers.end() ||
            host.introduced_at < longest_unheard->second.introduced_at)
            longest_unheard = entry;
    }
    if (same == m_peers.end() && unheard >= m_settings.max_unheard_hosts)
    {
        if (now - longest_unheard->second.introduced_at < m_settings.eager_period)
            return false;
        out.push_back(actions::set_peer_address{longest_unheard->first, {}});
        remove_peer(longest_unheard);
    }
    auto& host = m_peers[name];
    host.address = address;
    host.introduced_at = now;
    out.push_back(actions::set_peer_address{name, address});
    return true;
}

microseconds membership::sent_at(std::uint64_t sequence) const
{
    // The sequence numbers in m_sent are contiguous.
    if (m_sent.empty() || sequence < m_sent.front().first || sequence > m_sent.back().first)
        return microseconds{-1};
    return m_sent[static_cast<std::size_t>(sequence - m_sent.front().first)].second;
}

void membership::begin_heartbeats(microseconds now)
{
    ++m_sequence;
    m_sent.emplace_back(m_sequence, now);
    while (m_sent.size() > max_sent_heartbeats ||
           (m_sent.size() > min_sent_heartbeats && now - m_sent.front().second > sent_retention))
        m_sent.pop_front();
}

milliseconds membership::timeout_of(const peer& host) const
{
    return m_settings.dead_timeout +
           std::max(milliseconds{0}, host.interval - m_settings.heartbeat_interval);
}

bool membership::may_slow_down(microseconds now, const peer& host,
                               const announcement& own_state) const
{
    const bool idle = own_state.held.empty() && own_state.open_jobs == 0 && host.held_count == 0 &&
                      host.held.empty() && host.announced_version == host.held_version &&
                      host.echoed_held == own_state.held_version && host.withdrawn.empty() &&
                      !own_state.pools_in_use.contains(host.ref.name);
    const bool calm =
        !own_state.leaving && !host.leaving && !own_state.overloaded && !host.overloaded;
    return own_state.max_workers > 0 && host.max_workers > 0 && idle && calm && settled(now) &&
           host.settled && now >= host.not_slow_until &&
           now - std::max(host.last_heard, m_listening_since) < timeout_of(host) &&
           now - std::max(host.alive_since, m_listening_since) >= m_settings.slow_heartbeat_delay;
}

void membership::update_interval(microseconds now, peer& host, const announcement& own_state,
                                 bool restart) const
{
    if (!may_slow_down(now, host, own_state))
    {
        host.slow_announced_at = microseconds{-1};
        host.slow = false;
        return;
    }
    if (host.slow_announced_at.count() < 0 || restart)
        host.slow_announced_at = now;
    host.slow =
        host.echo_sent >= host.slow_announced_at && host.interval > m_settings.heartbeat_interval;
}

bool membership::due_in_round(const std::string& name, const peer& host) const
{
    const auto rounds = static_cast<std::uint64_t>(m_settings.slow_heartbeat_interval /
                                                   m_settings.heartbeat_interval);
    return !host.slow || rounds < 2 ||
           (m_totals.heartbeat_rounds + hash_pair(m_settings.self.name, name)) % rounds == 0;
}

void membership::send_single(microseconds now, peer& to,
                             const std::function<announcement()>& announce, action_list& out)
{
    begin_heartbeats(now);
    const auto own_state = announce();
    update_interval(now, to, own_state, true);
    send_heartbeat(now, to, own_state, out);
}

void membership::probe_overdue_peers(microseconds now,
                                     const std::function<announcement()>& announce,
                                     action_list& out)
{
    for (auto& [name, host] : m_peers)
    {
        if (host.slow_announced_at.count() < 0 || host.interval <= m_settings.heartbeat_interval ||
            now - std::max(host.last_heard, m_listening_since) <
                host.interval + m_settings.heartbeat_interval)
            continue;
        host.not_slow_until = now + m_settings.slow_heartbeat_delay;
        host.slow_announced_at = microseconds{-1};
        host.slow = false;
        if (is_prompt())
            send_single(now, host, announce, out);
    }
}

void membership::answer(microseconds now, const std::string& name,
                        const std::function<announcement()>& announce, action_list& out)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end() && std::exchange(found->second.answer_due, false) && is_prompt())
        send_single(now, found->second, announce, out);
}

std::size_t membership::count_slow_peers() const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [](const auto& item) { return item.second.slow; }));
}

void membership::tick(microseconds now, const std::function<announcement()>& announce,
                      action_list& out)
{
    if (now - m_last_tick > pause_threshold)
        m_listening_since = now;
    m_last_tick = now;
    if (!settled(now))
        m_settled_at = microseconds{-1};
    else if (m_settled_at.count() < 0)
    {
        m_settled_at = now;
        expedite_heartbeats();
    }
    probe_overdue_peers(now, announce, out);
    if (now < (is_prompt() ? m_next_round : m_last_round + m_settings.heartbeat_interval))
        return;
    const bool expedited = std::exchange(m_expedited, false);
    m_next_round = now + m_settings.heartbeat_interval;
    ++m_totals.heartbeat_rounds;
    m_totals.expedited_rounds += now - m_last_round < m_settings.heartbeat_interval ? 1 : 0;
    m_last_round = now;
    begin_heartbeats(now);
    const auto own_state = announce();
    std::erase_if(m_past_incarnations, [&](const auto& item)
                  { return now - item.second.last_heard > m_settings.forget_timeout; });
    for (auto entry = m_peers.begin(); entry != m_peers.end();)
    {
        const auto here = entry++;
        auto& host = here->second;
        const bool silent = !alive(here->first, now);
        if (silent && host.last_heard.count() >= 0 && m_silence_logged.insert(here->first).second)
            out.push_back(actions::log_event{
                true, "event=peer_silent peer=" + here->first +
                          " silent_ms=" + std::to_string((now - host.last_heard).count() / 1000)});
        if (silent &&
            now - std::max(host.introduced_at, host.last_heard) > m_settings.forget_timeout)
        {
            m_silence_logged.erase(here->first);
            out.push_back(actions::set_peer_address{here->first, {}});
            remove_peer(here);
            continue;
        }
        update_interval(now, host, own_state, expedited);
        if (now < host.next_heartbeat || !due_in_round(here->first, host))
            continue;
        const bool eager =
            now - std::max(host.introduced_at, host.last_heard) < m_settings.eager_period;
        host.next_heartbeat = silent && !eager ? now + m_settings.silent_heartbeat_interval : now;
        send_heartbeat(now, host, own_state, out);
    }
}

void membership::send_heartbeat(microseconds now, peer& to, const announcement& own_state,
                                action_list& out)
{
    actions::send_peer message;
    for (const auto& [name, host] : m_peers)
        if (&host == &to)
            message.host = name;
    auto& heartbeat = *message.message.mutable_pool_beat();
    heartbeat.set_sequence(m_sequence);
    heartbeat.set_data_centre(m_settings.data_centre);
    heartbeat.set_address(m_settings.address);
    heartbeat.set_leaving(own_state.leaving);
    heartbeat.set_overloaded(own_state.overloaded);
    heartbeat.set_max_workers(own_state.max_workers);
    heartbeat.set_settled(settled(now));
    if (to.slow_announced_at.count() >= 0)
        heartbeat.set_interval_ms(
            static_cast<std::uint32_t>(m_settings.slow_heartbeat_interval.count()));
    const bool lists_hosts = now - to.alive_since < m_settings.min_settle_time * 2;
    ++m_totals.heartbeats;
    m_totals.heartbeats_with_hosts += lists_hosts ? 1 : 0;
    if (lists_hosts)
        for (const auto& [name, host] : m_peers)
            if (!host.ref.empty() && &host != &to)
            {
                heartbeat.add_known(name);
                heartbeat.add_known(host.address);
            }
    heartbeat.set_config_version(own_state.config_version);
    heartbeat.set_echoed_sequence(to.seen_sequence);
    heartbeat.set_echoed_incarnation(to.ref.incarnation);
    heartbeat.set_echoed_held_version(to.held_version);
    heartbeat.set_held_version(own_state.held_version);
    heartbeat.set_held_count(static_cast<std::uint32_t>(own_state.held.size()));
    heartbeat.set_free_cpu(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, own_state.load.free_cpu)));
    heartbeat.set_total_cpu(static_cast<std::uint64_t>(own_state.load.total_cpu));
    heartbeat.set_wait_ms(static_cast<std::uint32_t>(own_state.load.wait.count()));
    if (to.echoed_held != own_state.held_version)
    {
        heartbeat.set_with_held(true);
        for (const auto& worker : own_state.held)
            heartbeat.add_held(worker);
    }
    for (const auto& worker : own_state.unread)
        heartbeat.add_unread(worker);
    if (own_state.started != nullptr)
        own_state.started->announce(to.echo_sent, *heartbeat.mutable_started());
    if (own_state.crashes != nullptr)
        own_state.crashes->announce(to.echo_sent, *heartbeat.mutable_crashes());
    if (own_state.evacuations != nullptr)
        to_wire(*own_state.evacuations, *heartbeat.mutable_evacuations());
    while (!to.withdrawn.empty() &&
           (to.withdrawn.front().first < to.echo_sent ||
            now - to.withdrawn.front().first > m_settings.max_withdrawal_age))
        to.withdrawn.pop_front();
    for (const auto& [when, offer] : to.withdrawn)
        heartbeat.add_withdrawn(offer);
    out.push_back(std::move(message));
}

peer* membership::on_heartbeat(microseconds now, const host_ref& from,
                               const wire::PoolBeat& heartbeat, action_list& out)
{
    if (from.name == m_settings.self.name)
        return nullptr;
    // The host's own name replaces the placeholder name of a seed.
    for (auto entry = m_peers.begin(); entry != m_peers.end();)
    {
        const auto here = entry++;
        if (here->first == from.name || here->second.address != heartbeat.address())
            continue;
        out.push_back(actions::set_peer_address{here->first, {}});
        remove_peer(here);
    }
    auto& host = m_peers[from.name];
    if (from.incarnation < host.ref.incarnation)
        return nullptr;
    if (from.incarnation > host.ref.incarnation)
    {
        const auto address = host.address;
        if (!host.ref.empty())
            m_past_incarnations[host.ref] = {host.held, host.last_heard};
        set_held(from.name, {});
        host = peer{};
        host.ref = from;
        host.address = address;
    }
    // A late heartbeat from a former connection, overtaken by newer ones, does not show that the
    // host is alive.
    if (heartbeat.sequence() <= host.seen_sequence)
        return nullptr;
    if (host.address != heartbeat.address())
    {
        host.address = heartbeat.address();
        out.push_back(actions::set_peer_address{from.name, host.address});
    }
    if (!alive(from.name, now) || host.last_heard.count() < 0)
    {
        host.alive_since = now;
        ++m_totals.returned_hosts;
        expedite_heartbeats(); // the peer accepts no work for this host's callers before an echo
        m_silence_logged.erase(from.name);
        out.push_back(actions::log_event{
            false, "event=peer_alive peer=" + from.name + " incarnation=" +
                       std::to_string(from.incarnation) + " address=" + host.address});
    }
    host.last_heard = now;
    host.next_heartbeat = microseconds{0};
    host.data_centre = heartbeat.data_centre();
    host.leaving = heartbeat.leaving();
    host.overloaded = heartbeat.overloaded();
    host.max_workers = heartbeat.max_workers();
    host.interval = std::clamp(milliseconds{heartbeat.interval_ms()}, m_settings.heartbeat_interval,
                               m_settings.max_announced_interval);
    if (host.slow && host.interval == m_settings.heartbeat_interval)
    {
        host.slow = false;
        host.slow_announced_at = microseconds{-1};
        host.answer_due = true;
    }
    host.config_version = heartbeat.config_version();
    host.load = {static_cast<std::int64_t>(heartbeat.free_cpu()),
                 static_cast<std::int64_t>(heartbeat.total_cpu()),
                 milliseconds{heartbeat.wait_ms()}};
    host.load_at = now;
    host.seen_sequence = heartbeat.sequence();
    host.held_count = heartbeat.held_count();
    host.settled = heartbeat.settled();
    host.announced_version = heartbeat.held_version();
    if (heartbeat.with_held())
    {
        host.held_version = heartbeat.held_version();
        set_held(from.name, {heartbeat.held().begin(), heartbeat.held().end()});
    }
    host.unread = {heartbeat.unread().begin(), heartbeat.unread().end()};
    if (heartbeat.echoed_incarnation() == m_settings.self.incarnation)
    {
        host.echoed_held = heartbeat.echoed_held_version();
        host.echo_sent = std::max(host.echo_sent, sent_at(heartbeat.echoed_sequence()));
    }
    for (int i = 0; i + 1 < heartbeat.known_size(); i += 2)
        introduce(now, heartbeat.known(i), heartbeat.known(i + 1), out);
    return &m_peers.at(from.name);
}

void membership::set_held(const std::string& name, std::set<std::string> held)
{
    auto& known = m_peers.at(name).held;
    for (const auto& worker : known)
    {
        if (held.contains(worker))
            continue;
        const auto entry = m_holders.find(worker);
        std::erase(entry->second, name);
        if (entry->second.empty())
            m_holders.erase(entry);
    }
    for (const auto& worker : held)
        if (!known.contains(worker))
            m_holders[worker].push_back(name);
    known = std::move(held);
}

void membership::remove_peer(std::map<std::string, peer>::iterator host)
{
    set_held(host->first, {});
    m_peers.erase(host);
}

const std::vector<std::string>& membership::holders(const std::string& worker) const
{
    static const std::vector<std::string> none;
    const auto entry = m_holders.find(worker);
    return entry == m_holders.end() ? none : entry->second;
}

void membership::withdraw(microseconds now, const host_ref& host, std::uint64_t offer)
{
    const auto known = m_peers.find(host.name);
    if (known != m_peers.end() && known->second.ref == host)
        known->second.withdrawn.emplace_back(now, offer);
}

bool membership::overtaken(const host_ref& ref, std::uint64_t sequence) const
{
    const auto* host = find(ref.name);
    return host != nullptr && host->ref == ref && host->seen_sequence > sequence;
}

bool membership::alive(const std::string& name, microseconds now) const
{
    const auto* host = find(name);
    if (host == nullptr || host->last_heard.count() < 0)
        return false;
    const auto since = std::max(host->last_heard, m_listening_since);
    return now - since < timeout_of(*host);
}

std::size_t membership::count_alive(microseconds now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [&](const auto& item) { return alive(item.first, now); }));
}

bool membership::may_be_alive(const std::string& name, microseconds now) const
{
    const auto* host = find(name);
    if (host == nullptr || host->last_heard.count() < 0)
        return false;
    const auto since = std::max(host->last_heard, m_listening_since);
    return now - since < timeout_of(*host) * (host->overloaded ? 2 : 1) + m_handling_delay;
}

bool membership::settled(microseconds now) const
{
    const auto listened = now - m_listening_since;
    if (m_settled_at > m_listening_since)
        return true;
    if (listened < m_settings.min_settle_time)
        return false;
    if (listened >= m_settings.max_settle_time)
        return true;
    return !m_peers.empty() && std::all_of(m_peers.begin(), m_peers.end(),
                                           [&](const auto& item)
                                           {
                                               const auto& host = item.second;
                                               return host.last_heard >= m_listening_since &&
                                                      host.announced_version == host.held_version;
                                           });
}

bool membership::may_acquire(microseconds now) const
{
    return m_settled_at.count() >= 0 && now - m_settled_at >= m_settings.settled_announce_delay;
}

bool membership::settling(const peer& host, microseconds now) const
{
    return !host.settled && now - host.alive_since < m_settings.max_settling_time;
}

std::optional<membership::past_incarnation> membership::last_seen(const host_ref& ref) const
{
    const auto* host = find(ref.name);
    if (host != nullptr && host->ref == ref)
        return past_incarnation{host->held, host->last_heard};
    const auto past = m_past_incarnations.find(ref);
    if (past == m_past_incarnations.end())
        return std::nullopt;
    return past->second;
}

std::vector<membership::silent_host> membership::find_silent_hosts(microseconds now) const
{
    std::vector<silent_host> hosts;
    for (const auto& [name, host] : m_peers)
        if (!host.held.empty() && !host.leaving && !alive(name, now))
            hosts.push_back({host.ref, &host.held});
    for (const auto& [ref, past_state] : m_past_incarnations)
        if (!past_state.held.empty())
            hosts.push_back({ref, &past_state.held});
    return hosts;
}

membership::host_counts membership::count_recent_hosts(microseconds now,
                                                       bool include_introduced) const
{
    host_counts hosts;
    for (const auto& [name, host] : m_peers)
    {
        const auto known =
            include_introduced ? std::max(host.last_heard, host.introduced_at) : host.last_heard;
        if (known.count() < 0 || host.leaving || now - known > m_settings.recent_peer_period)
            continue;
        ++hosts.known;
        hosts.live += alive(name, now) ? 1 : 0;
    }
    return hosts;
}

bool membership::partitioned(microseconds now) const
{
    const auto hosts = count_recent_hosts(now, false);
    return hosts.known >= 2 && hosts.live * 2 < hosts.known;
}

bool membership::hears_enough_hosts(microseconds now) const
{
    const auto hosts = count_recent_hosts(now, true);
    return hosts.live * 2 >= hosts.known;
}

bool membership::has_caught_up(microseconds now) const
{
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [&](const auto& item)
                       {
                           const auto& host = item.second;
                           return host.last_heard.count() < 0 ||
                                  host.last_heard >= m_listening_since || !alive(item.first, now);
                       });
}

bool membership::receives_heartbeats(const host_ref& ref, microseconds now) const
{
    const auto* host = find(ref.name);
    return host != nullptr && host->ref.incarnation == ref.incarnation &&
           host->echo_sent.count() >= 0 && now - host->echo_sent < m_settings.caller_host_timeout;
}

const peer* membership::find(const std::string& name) const
{
    const auto host = m_peers.find(name);
    return host == m_peers.end() ? nullptr : &host->second;
}

} // namespace egretledge::pool
