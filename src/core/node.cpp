// Connects the components of the decision logic: inputs pass through configuration, ownership,
// routing and the job owner, and result in actions. After each input, propagate() passes pending
// results between the components, so that an answer does not wait for the next tick.
//
// Configuration: of the live hosts of a data centre, the one with the lowest name reads the stream
// of publications and forwards new records to the others, so that the number of readers of the log
// grows with the data centres and not with the hosts. The others read the stream themselves only
// every few seconds. Heartbeats carry the revision, and a host that receives a newer one requests
// the missing records. In addition each host sends a request to one host of another data centre
// once a second, so that a data centre that is partitioned from the log still receives what any
// reachable data centre has.
//
// Stop and rebalancing: a host that is being stopped, or that owns more than its share, hands
// shards over. It freezes the shard, sends its memory of it to the next owner, and on the
// acknowledgement claims the shard in that host's name. The handover does not wait for open jobs:
// the next owner finds their tasks on the workers' records and resumes them.

#include "core/node.hpp"
#include "core/check.hpp"
#include "core/wire.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr const char* config_stream = "config";
constexpr microseconds handover_timeout = milliseconds{1500};
// Delay between this host's requests for configuration to other data centres.
constexpr microseconds remote_request_interval = milliseconds{1000};
// Delay between reads of the configuration stream by a host that is not the reader.
constexpr microseconds spare_reader_interval = milliseconds{5000};
constexpr milliseconds max_deadline{std::chrono::hours{1}};
// A host hands a shard over only if it owns more than this many shards more than the receiver.
constexpr std::uint32_t rebalance_slack = 1;

} // namespace

node::node(node_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_random(seed)
{
    m_config_reader.name = config_stream;
    m_claims_reader.name = "ownership." + m_settings.data_centre;
}

node::~node() = default;

bool node::ready() const
{
    return !m_leaving && m_owners != nullptr && m_have_listing;
}

void node::log(action_list& out, std::string text) const
{
    out.push_back(actions::log_event{std::move(text)});
}

void node::send(const std::string& host, wire::PeerMessage message, action_list& out) const
{
    out.push_back(actions::send_peer{host, std::move(message)});
}

void node::create_components()
{
    const auto centre = m_config.current()->data_centres.find(m_settings.data_centre);
    if (centre == m_config.current()->data_centres.end())
        return;
    m_settings.owners.self = m_settings.self;
    m_settings.owners.data_centre = m_settings.data_centre;
    m_settings.owners.shards = static_cast<std::uint32_t>(centre->second.shards);
    m_settings.jobs.data_centre = m_settings.data_centre;
    m_settings.workers.self = m_settings.self;
    m_settings.workers.data_centre = m_settings.data_centre;
    m_settings.routing.self = m_settings.self;
    m_settings.routing.data_centre = m_settings.data_centre;
    m_owners = std::make_unique<ownership>(m_settings.owners, m_random());
    m_jobs = std::make_unique<job_owner>(m_settings.jobs, *m_owners, m_counters, m_settings.workers,
                                         m_random());
    m_router = std::make_unique<router>(m_settings.routing, *m_owners, *m_jobs, m_counters);
}

void node::install_config(action_list& out)
{
    if (!m_owners)
        create_components();
    log(out, "event=config_in_force revision=" + std::to_string(m_config.revision()));
    if (!m_owners)
        return;
    m_owners->set_revision(m_config.revision());
    m_jobs->configure(m_config.current());
    if (!m_have_listing)
        return;
    m_owners->on_host_list(m_listing_requested_at, m_listing_received_at, m_listing.hosts);
    m_router->set_hosts(m_listing.hosts);
    m_jobs->dispatch().set_leaving_workers(m_listing.leaving_workers);
}

void node::tick(instant now, action_list& out)
{
    if (!m_host_list_requested && now.steady >= m_next_host_list)
    {
        m_host_list_requested = true;
        m_host_list_requested_at = now;
        out.push_back(actions::fetch_hosts{});
    }
    read_streams(now, out);
    request_remote_config(now, out);
    if (!m_owners)
        return complete_messages(out);
    ownership_events events;
    m_owners->on_tick(now, out, events);
    apply_events(now, events, out);
    tick_handovers(now, out);
    write_snapshot_if_due(now, out);
    m_jobs->dispatch().set_share(static_cast<double>(m_owners->owned_count()) /
                                 static_cast<double>(m_owners->shard_count()));
    m_jobs->on_tick(now, out);
    m_router->on_tick(now, out);
    propagate(now, out);
}

void node::propagate(instant now, action_list& out)
{
    m_router->forward_results(now, out);
    m_jobs->dispatch().pump(now, out);
    complete_messages(out);
}

void node::complete_messages(action_list& out) const
{
    for (auto& action : out)
    {
        auto* message = std::get_if<actions::send_peer>(&action);
        if (message == nullptr || message->message.has_from())
            continue;
        to_wire(m_settings.self, *message->message.mutable_from());
        if (!message->message.has_heartbeat())
            continue;
        auto& heartbeat = *message->message.mutable_heartbeat();
        heartbeat.set_config_revision(m_config.revision());
        heartbeat.set_open_jobs(static_cast<std::uint32_t>(m_jobs->open_jobs()));
    }
}

bool node::valid_call(instant, std::uint64_t number, wire::Call& call, action_list& out) const
{
    const auto refuse = [&](answer_kind kind, std::string detail)
    {
        out.push_back(actions::reply_call{number, make_answer(kind, std::move(detail))});
        return false;
    };
    const auto key = parse_job_key(call.key());
    if (!key)
        return refuse(answer_kind::bad_key, key.error().message);
    if (!m_owners)
        return refuse(answer_kind::no_configuration, {});
    const auto& config = *m_config.current();
    if (!config.teams.contains(call.team()))
        return refuse(answer_kind::unknown_team, call.team());
    if (!config.data_centres.contains(key->data_centre))
        return refuse(answer_kind::wrong_data_centre, key->data_centre);
    constexpr std::uint32_t query_time_ms = 2000;
    if (call.kind() != wire::SUBMIT)
    {
        call.set_remaining_ms(query_time_ms);
        return true;
    }
    const auto service = config.services.find(call.job().service());
    if (service == config.services.end())
        return refuse(answer_kind::unknown_service, call.job().service());
    if (call.job().tasks_size() == 0)
        return refuse(answer_kind::bad_request, "a job has at least one task");
    if (call.job().tasks_size() > static_cast<int>(m_settings.jobs.max_tasks))
        return refuse(answer_kind::too_large,
                      "at most " + std::to_string(m_settings.jobs.max_tasks) + " tasks a job");
    if (call.job().deadline_ms() > max_deadline.count())
        return refuse(answer_kind::bad_request, "deadline_ms is at most one hour");
    call.set_remaining_ms(call.job().deadline_ms() > 0
                              ? call.job().deadline_ms()
                              : static_cast<std::uint32_t>(service->second.deadline_ms));
    return true;
}

void node::on_call(instant now, std::uint64_t number, wire::Call call, action_list& out)
{
    if (!valid_call(now, number, call, out))
        return;
    const auto key = parse_job_key(call.key());
    m_router->on_local_call(now, number, std::move(call), *key, out);
    propagate(now, out);
}

void node::on_caller_disconnected(std::uint64_t number)
{
    if (m_router)
        m_router->on_caller_disconnected(number);
}

void node::on_peer(instant now, wire::PeerMessage message, action_list& out)
{
    const auto from = from_wire(message.from());
    auto& latest_incarnation = m_peer_incarnations[from.name];
    if (from.incarnation < latest_incarnation)
        return; // a delayed message of an earlier process of that host
    latest_incarnation = from.incarnation;
    if (message.has_config_state() || message.has_config_records() || message.has_config_request())
        return on_config_message(from, message, out);
    if (!m_owners)
        return;
    if (message.has_heartbeat())
        on_heartbeat(now, from, message.heartbeat(), out);
    else if (message.has_heartbeat_ack())
        m_owners->on_heartbeat_ack(now, from, message.heartbeat_ack());
    else if (message.has_call())
        m_router->on_peer_call(now, from, std::move(*message.mutable_call()), out);
    else if (message.has_call_reply())
        m_router->on_peer_reply(now, from, std::move(*message.mutable_call_reply()), out);
    else if (message.has_handover())
        on_handover_state(from, message.handover(), out);
    else if (message.has_handover_ack())
        on_handover_ack(now, from, message.handover_ack());
    propagate(now, out);
}

void node::on_heartbeat(instant now, const host_ref& from, const wire::Heartbeat& heartbeat,
                        action_list& out)
{
    if (heartbeat.config_revision() > m_config.revision())
    {
        wire::PeerMessage request;
        request.mutable_config_request()->set_next_offset(m_config.next_offset());
        request.mutable_config_request()->set_revision(m_config.revision());
        send(from.name, std::move(request), out);
    }
    ownership_events events;
    m_owners->on_heartbeat(now, from, heartbeat, out, events);
    apply_events(now, events, out);
}

void node::on_config_message(const host_ref& from, const wire::PeerMessage& message,
                             action_list& out)
{
    bool changed = false;
    if (message.has_config_request())
        answer_config_request(from, message.config_request(), out);
    else if (message.has_config_state())
        changed = m_config.on_state(message.config_state());
    else if (message.config_records().entries_size() > 0 &&
             message.config_records().entries(0).offset() <= m_config.next_offset() &&
             m_config.revision() > 0)
    {
        log_page page{1, m_config.next_offset(), {}};
        for (const auto& entry : message.config_records().entries())
            page.entries.push_back({entry.offset(), entry.data()});
        changed = m_config.on_page(page);
    }
    if (changed)
        install_config(out);
    complete_messages(out);
}

void node::on_handover_ack(instant now, const host_ref& from, const wire::HandoverAck& ack)
{
    const auto open = m_handovers.find(ack.shard());
    if (open == m_handovers.end() || open->second.to != from || open->second.acknowledged ||
        open->second.serial != ack.serial() || !m_owners->handing_over(ack.shard()))
        return;
    open->second.acknowledged = true;
    m_owners->finish_handover(now, ack.shard(), from);
}

void node::on_handover_state(const host_ref& from, const wire::HandoverState& state,
                             action_list& out)
{
    if (state.shard() >= m_owners->shard_count())
        return;
    m_jobs->import_memory(state);
    m_owners->on_memory_received(state.shard(), from_wire(state.epoch()));
    wire::PeerMessage reply;
    reply.mutable_handover_ack()->set_shard(state.shard());
    *reply.mutable_handover_ack()->mutable_epoch() = state.epoch();
    reply.mutable_handover_ack()->set_serial(state.serial());
    send(from.name, std::move(reply), out);
}

void node::on_worker(instant now, std::uint64_t request, worker_answer answer, action_list& out)
{
    if (!m_jobs)
        return;
    m_jobs->on_worker_answer(now, request, answer, out);
    propagate(now, out);
}

void node::on_host_list(instant now, const expected<host_listing>& listing, action_list& out)
{
    m_host_list_requested = false;
    m_next_host_list = now.steady + microseconds{m_settings.host_list_interval};
    if (!listing)
        return;
    if (!m_have_listing)
        log(out, "event=host_list hosts=" + std::to_string(listing->hosts.size()));
    m_listing = *listing;
    m_listing_requested_at = m_host_list_requested_at;
    m_listing_received_at = now;
    m_have_listing = true;
    if (!m_owners)
        return;
    m_owners->on_host_list(m_listing_requested_at, m_listing_received_at, m_listing.hosts);
    m_router->set_hosts(m_listing.hosts);
    m_jobs->dispatch().set_leaving_workers(m_listing.leaving_workers);
}

// The live host with the lowest name reads for its data centre.
bool node::is_config_reader(instant now) const
{
    if (!m_owners)
        return true;
    const auto peers = m_owners->live_peers(now);
    return std::none_of(peers.begin(), peers.end(),
                        [&](const host_ref& peer) { return peer.name < m_settings.self.name; });
}

void node::read_stream(stream_reader& reader, std::uint64_t from, instant now, action_list& out)
{
    if (reader.request_pending || now.steady < reader.next_read_at)
        return;
    reader.request_pending = true;
    // Until the first page has arrived there may be old entries to read, so the read does not wait.
    const auto wait = reader.page_received ? m_settings.log_wait : milliseconds{0};
    out.push_back(actions::read_log{reader.name, from, wait});
}

void node::read_streams(instant now, action_list& out)
{
    read_stream(m_config_reader, m_config.next_offset(), now, out);
    if (m_owners)
        read_stream(m_claims_reader, m_owners->next_offset(), now, out);
}

void node::on_log_read(instant now, const std::string& stream, const expected<log_page>& page,
                       action_list& out)
{
    const bool claims = stream == m_claims_reader.name;
    auto& reader = claims ? m_claims_reader : m_config_reader;
    reader.request_pending = false;
    reader.page_received = reader.page_received || page.has_value();
    reader.next_read_at =
        now.steady + (page ? microseconds{0} : microseconds{m_settings.log_retry_delay});
    if (!claims)
    {
        if (!is_config_reader(now))
            reader.next_read_at = now.steady + spare_reader_interval;
        if (page)
            on_config_page(now, *page, out);
        return;
    }
    if (!m_owners)
        return;
    if (!page)
    {
        if (m_owners->log_reachable())
            log(out, "event=log_unreachable detail=\"" + page.error().message + "\"");
        m_owners->on_log_reachable(now, false);
        return;
    }
    ownership_events events;
    m_owners->on_log_page(now, *page, events);
    apply_events(now, events, out);
    propagate(now, out);
}

void node::on_config_page(instant now, const log_page& page, action_list& out)
{
    const auto from = m_config.next_offset();
    const bool changed = m_config.on_page(page);
    if (m_config.snapshot_seen() || m_snapshot_seen < microseconds{0})
    {
        m_snapshot_seen = now.steady;
        m_config.clear_snapshot_seen();
    }
    if (!changed)
        return;
    install_config(out);
    forward_config(now, from, out);
}

void node::forward_config(instant now, std::uint64_t from, action_list& out)
{
    if (!m_owners)
        return;
    wire::PeerMessage message;
    for (const auto& entry : m_config.recent())
    {
        if (entry.offset < from)
            continue;
        auto& line = *message.mutable_config_records()->add_entries();
        line.set_offset(entry.offset);
        line.set_data(entry.data);
    }
    if (message.config_records().entries_size() == 0)
        return;
    for (const auto& peer : m_owners->live_peers(now, true))
        send(peer.name, message, out);
}

void node::answer_config_request(const host_ref& to, const wire::ConfigRequest& request,
                                 action_list& out)
{
    if (request.revision() >= m_config.revision())
        return;
    wire::PeerMessage message;
    const auto& recent = m_config.recent();
    const bool covered =
        !recent.empty() && request.revision() > 0 && recent.front().offset <= request.next_offset();
    if (!covered)
        *message.mutable_config_state() = m_config.state();
    else
        for (const auto& entry : recent)
        {
            if (entry.offset < request.next_offset())
                continue;
            auto& line = *message.mutable_config_records()->add_entries();
            line.set_offset(entry.offset);
            line.set_data(entry.data);
        }
    send(to.name, std::move(message), out);
}

void node::request_remote_config(instant now, action_list& out)
{
    if (!m_have_listing || now.steady < m_next_remote_request)
        return;
    m_next_remote_request = now.steady + remote_request_interval;
    std::vector<std::string> remote_hosts;
    for (const auto& host : m_listing.hosts)
        if (host.name != m_settings.self.name &&
            (host.data_centre != m_settings.data_centre || !m_owners))
            remote_hosts.push_back(host.name);
    if (remote_hosts.empty())
        return;
    wire::PeerMessage request;
    request.mutable_config_request()->set_next_offset(m_config.next_offset());
    request.mutable_config_request()->set_revision(m_config.revision());
    send(remote_hosts[m_random() % remote_hosts.size()], std::move(request), out);
}

void node::write_snapshot_if_due(instant now, action_list& out)
{
    if (m_snapshot_seen < microseconds{0} || !m_owners->log_reachable() || !is_config_reader(now) ||
        now.steady - m_snapshot_seen < microseconds{m_settings.snapshot_interval})
        return;
    m_snapshot_seen = now.steady;
    out.push_back(actions::append_log{config_stream, m_config.snapshot().SerializeAsString()});
}

void node::apply_events(instant now, const ownership_events& events, action_list& out)
{
    for (const auto shard : events.lost)
    {
        m_handovers.erase(shard);
        m_jobs->on_shard_lost(shard);
        log(out, "event=shard_lost shard=" + std::to_string(shard) +
                     " owner=" + m_owners->owner_of(shard).name);
    }
    for (const auto& gained : events.gained)
    {
        m_jobs->on_shard_gained(now, gained);
        log(out, "event=shard_gained shard=" + std::to_string(gained.shard) +
                     " term=" + std::to_string(gained.owner_epoch.term) +
                     " direct=" + std::to_string(gained.owner_epoch.direct));
    }
}

host_ref node::least_owning_peer(instant now, std::uint32_t& owned) const
{
    host_ref least;
    for (const auto& peer : m_owners->live_peers(now))
    {
        auto count = m_owners->count_owned_by(peer.name);
        for (const auto& [shard, open] : m_handovers)
            count += open.to == peer ? 1 : 0;
        if (!least.empty() && count >= owned)
            continue;
        least = peer;
        owned = count;
    }
    return least;
}

void node::start_handover(instant now, std::uint32_t shard, const host_ref& to, action_list& out)
{
    m_owners->begin_handover(shard);
    const auto serial = ++m_handover_serial;
    m_handovers[shard] = {to, serial, now.steady, false};
    wire::PeerMessage message;
    *message.mutable_handover() = m_jobs->export_memory(shard);
    message.mutable_handover()->set_serial(serial);
    send(to.name, std::move(message), out);
    log(out, "event=handover shard=" + std::to_string(shard) + " to=" + to.name);
}

void node::tick_handovers(instant now, action_list& out)
{
    for (auto open = m_handovers.begin(); open != m_handovers.end();)
    {
        const auto [shard, state] = *open;
        const bool ended = !m_owners->owned_by_self(shard) || !m_owners->handing_over(shard);
        const bool timed_out = !state.acknowledged && now.steady - state.sent > handover_timeout;
        if (timed_out && !ended)
            m_owners->cancel_handover(shard);
        open = ended || timed_out ? m_handovers.erase(open) : std::next(open);
    }
    if (m_owners->log_reachable() && now.steady >= m_next_rebalance)
        rebalance(now, out);
}

void node::rebalance(instant now, action_list& out)
{
    m_next_rebalance = now.steady + microseconds{m_settings.rebalance_interval};
    for (std::uint32_t shard = 0; shard < m_owners->shard_count(); ++shard)
    {
        if (!m_owners->may_serve(shard, now) || m_handovers.contains(shard) ||
            !m_owners->may_transfer(shard, now))
            continue;
        std::uint32_t peer_owned = 0;
        const auto to = least_owning_peer(now, peer_owned);
        const auto self_owned =
            m_owners->owned_count() - static_cast<std::uint32_t>(m_handovers.size());
        if (to.empty() || (!m_leaving && self_owned <= peer_owned + rebalance_slack))
            return;
        start_handover(now, shard, to, out);
        if (!m_leaving)
            return;
    }
}

void node::begin_stop(instant now)
{
    m_leaving = true;
    m_next_rebalance = now.steady;
    if (m_owners)
        m_owners->leave();
}

bool node::stopped(instant now) const
{
    if (!m_owners)
        return true;
    const bool no_successor = m_owners->live_peers(now).empty();
    return m_router->open_calls() == 0 && (m_owners->owned_count() == 0 || no_successor);
}

node_dump node::dump(instant now) const
{
    node_dump result;
    result.host = m_settings.self.name;
    result.incarnation = m_settings.self.incarnation;
    result.data_centre = m_settings.data_centre;
    result.ready = ready();
    result.leaving = m_leaving;
    result.revision = m_config.revision();
    result.counters = m_counters;
    for (const auto& p : m_config.history())
        result.publications.push_back({p.id, p.author, p.revision, p.verdict, p.objects, p.detail});
    if (!m_owners)
        return result;
    result.log_reachable = m_owners->log_reachable();
    result.open_calls = m_router->open_calls();
    result.open_jobs = m_jobs->open_jobs();
    result.queued_tasks = m_jobs->dispatch().queued();
    result.outstanding_tasks = m_jobs->dispatch().outstanding();
    result.remembered_jobs = m_jobs->memory().size();
    result.remembered_bytes = m_jobs->memory().answer_bytes() + m_jobs->memory().overhead_bytes();
    result.recovered_jobs = m_jobs->history().job_count();
    for (const auto& peer : m_owners->live_peers(now, true))
        result.peers.push_back(peer.name);
    for (std::uint32_t shard = 0; shard < m_owners->shard_count(); ++shard)
        result.shards.push_back({shard, m_owners->owner_of(shard).name,
                                 m_owners->epoch_of(shard).term, m_owners->epoch_of(shard).direct,
                                 m_owners->may_serve(shard, now),
                                 m_jobs->history().collecting(shard)});
    for (const auto& worker : m_jobs->dispatch().workers())
        result.workers.push_back({worker->settings.name, worker->lease,
                                  static_cast<std::uint32_t>(worker->outstanding.size()),
                                  worker->other_hosts_tasks, worker->health, worker->leaving});
    return result;
}

} // namespace egretledge
