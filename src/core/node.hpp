#ifndef EGRETLEDGE_CORE_NODE_HPP
#define EGRETLEDGE_CORE_NODE_HPP

// The whole decision logic of one entry host. Time, randomness and messages come in, actions go
// out; it does no I/O, reads no clock and starts no thread. One thread at a time may use it.
//
//     node host(settings, seed);
//     action_list out;
//     host.tick(now, out);                       // every few milliseconds
//     host.on_call(now, 1, std::move(call), out); // a caller's request
//     for (auto& action : out) carry_out(action);

#include "core/config_follower.hpp"
#include "core/job_owner.hpp"
#include "core/ownership.hpp"
#include "core/router.hpp"
#include <memory>
#include <optional>

namespace egretledge
{

struct node_settings
{
    host_ref self;
    std::string data_centre;
    ownership_settings owners;   // self, data_centre and shards are filled in
    job_owner_settings jobs;     // data_centre is filled in
    dispatcher_settings workers; // self and data_centre are filled in
    router_settings routing;     // self and data_centre are filled in
    milliseconds log_wait{1000};
    milliseconds log_retry_delay{300};
    milliseconds host_list_interval{1000};
    milliseconds rebalance_interval{1000};
    // A snapshot of the configuration is written when none was seen for this long.
    milliseconds snapshot_interval{std::chrono::hours{6}};
};

// One line per shard of a node's state, for dumps.
struct shard_status
{
    std::uint32_t shard = 0;
    std::string owner;
    std::uint64_t term = 0;
    std::uint32_t direct = 0;
    bool serving = false;
    bool recovering = false;
};
BOOST_DESCRIBE_STRUCT(shard_status, (), (shard, owner, term, direct, serving, recovering))

struct worker_status
{
    std::string name;
    std::uint64_t lease = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t others = 0;
    worker_health health = worker_health::unproven;
    bool leaving = false;
};
BOOST_DESCRIBE_STRUCT(worker_status, (), (name, lease, outstanding, others, health, leaving))

struct publication_status
{
    std::string id;
    std::string author;
    std::uint64_t revision = 0;
    publication_verdict verdict = publication_verdict::accepted;
    std::vector<std::string> objects;
    std::string detail;
};
BOOST_DESCRIBE_STRUCT(publication_status, (), (id, author, revision, verdict, objects, detail))

// The decision state on request; see docs/OPERATIONS.md for how to read it.
struct node_dump
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::string data_centre;
    bool ready = false;
    bool leaving = false;
    bool log_reachable = false;
    std::uint64_t revision = 0;
    std::uint64_t open_calls = 0;
    std::uint64_t open_jobs = 0;
    std::uint64_t queued_tasks = 0;
    std::uint64_t outstanding_tasks = 0;
    std::uint64_t remembered_jobs = 0;
    std::uint64_t remembered_bytes = 0;
    std::uint64_t recovered_jobs = 0;
    std::vector<std::string> peers;
    std::vector<shard_status> shards;
    std::vector<worker_status> workers;
    std::vector<publication_status> publications;
    node_counters counters;
};
BOOST_DESCRIBE_STRUCT(node_dump, (),
                      (host, incarnation, data_centre, ready, leaving, log_reachable, revision,
                       open_calls, open_jobs, queued_tasks, outstanding_tasks, remembered_jobs,
                       remembered_bytes, recovered_jobs, peers, shards, workers, publications,
                       counters))

class node
{
public:
    node(node_settings settings, std::uint64_t seed);
    ~node();

    void tick(instant now, action_list& out);

    // A caller's request; the answer comes as actions::reply_call with the same number. The call's
    // team has been authenticated. remaining_ms = 0 means the service's own deadline.
    void on_call(instant now, std::uint64_t number, wire::Call call, action_list& out);
    void on_caller_disconnected(std::uint64_t number);

    void on_peer(instant now, wire::PeerMessage message, action_list& out);
    void on_log_read(instant now, const std::string& stream, const expected<log_page>& page,
                     action_list& out);
    void on_host_list(instant now, const expected<host_listing>& listing, action_list& out);
    void on_worker(instant now, std::uint64_t request, worker_answer answer, action_list& out);

    // Begins a graceful stop: the host leaves readiness, gives its shards away and finishes what
    // its callers wait for. stopped() tells when nothing is left that this host could still do.
    void begin_stop(instant now);
    bool stopped(instant now) const;

    // Ready for the balancer: a configuration is in force, and the host is not leaving.
    bool ready() const;
    configuration_ptr config() const { return m_config.current(); }
    std::uint64_t revision() const { return m_config.revision(); }
    node_dump dump(instant now) const;
    const node_counters& counters() const { return m_counters; }
    const ownership* owners() const { return m_owners.get(); }
    const job_owner* jobs() const { return m_jobs.get(); }
    const host_ref& self() const { return m_settings.self; }

private:
    struct stream_reader
    {
        std::string name;
        bool request_pending = false;
        bool page_received = false;
        microseconds next{0};
    };
    struct handover
    {
        host_ref to;
        std::uint64_t serial = 0; // tells this attempt's acknowledgement from an earlier one's
        microseconds sent{0};
        bool acknowledged = false;
    };

    void install_config(action_list& out);
    void create_components();
    void read_streams(instant now, action_list& out);
    void read_stream(stream_reader& reader, std::uint64_t from, instant now, action_list& out);
    bool is_config_reader(instant now) const;
    void on_config_page(instant now, const log_page& page, action_list& out);
    void forward_config(instant now, std::uint64_t from, action_list& out);
    void answer_config_request(const host_ref& to, const wire::ConfigRequest& request,
                               action_list& out);
    void write_snapshot_if_due(instant now, action_list& out);
    void request_remote_config(instant now, action_list& out);
    void apply_events(instant now, const ownership_events& events, action_list& out);
    void tick_handovers(instant now, action_list& out);
    void start_handover(instant now, std::uint32_t shard, const host_ref& to, action_list& out);
    void rebalance(instant now, action_list& out);
    // The live peer that will own the fewest shards once open handovers are done.
    host_ref least_owning_peer(instant now, std::uint32_t& owned) const;
    void on_handover_state(const host_ref& from, const wire::HandoverState& state,
                           action_list& out);
    void on_handover_ack(instant now, const host_ref& from, const wire::HandoverAck& ack);
    void on_config_message(const host_ref& from, const wire::PeerMessage& message,
                           action_list& out);
    void on_heartbeat(instant now, const host_ref& from, const wire::Heartbeat& heartbeat,
                      action_list& out);
    void propagate(instant now, action_list& out);
    // Completes the peer messages among the actions.
    void complete_messages(action_list& out) const;
    void log(action_list& out, std::string text) const;
    void send(const std::string& host, wire::PeerMessage message, action_list& out) const;
    bool valid_call(instant now, std::uint64_t number, wire::Call& call, action_list& out) const;

    node_settings m_settings;
    std::mt19937_64 m_random;
    node_counters m_counters;
    config_follower m_config;
    std::unique_ptr<ownership> m_owners;
    std::unique_ptr<job_owner> m_jobs;
    std::unique_ptr<router> m_router;
    host_listing m_listing;
    bool m_have_listing = false;
    instant m_listing_requested_at; // when m_listing was asked for
    instant m_listing_received_at;  // and when it came
    instant m_host_list_requested_at;
    std::map<std::string, std::uint64_t> m_peer_incarnations;
    stream_reader m_config_reader;
    stream_reader m_claims_reader;
    std::map<std::uint32_t, handover> m_handovers;
    std::uint64_t m_handover_serial = 0;
    microseconds m_next_host_list{0};
    microseconds m_next_rebalance{0};
    microseconds m_next_remote_request{0};
    microseconds m_snapshot_seen{-1};
    bool m_host_list_requested = false;
    bool m_leaving = false;
};

} // namespace egretledge

#endif
