#ifndef EGRETLEDGE_CORE_NODE_HPP
#define EGRETLEDGE_CORE_NODE_HPP

// The decision logic of one entry host. Its inputs are the time, a random seed and messages; its
// outputs are actions. It does no I/O, reads no clock and starts no thread. It is not thread-safe:
// one thread at a time may use it.
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
    // How long a read of the log may wait for new entries.
    milliseconds log_wait{1000};
    // Delay after a failed read of the log.
    milliseconds log_retry_delay{300};
    milliseconds host_list_interval{1000};
    milliseconds rebalance_interval{1000};
    // A snapshot of the configuration is written if the stream had none for this long.
    milliseconds snapshot_interval{std::chrono::hours{6}};
};

// The state of one shard in a node_dump.
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

// The state of one worker in a node_dump.
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

// The verdict on one publication of the configuration stream in a node_dump.
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

// A copy of the node's state for diagnosis. docs/OPERATIONS.md explains the fields.
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

    // Handles a caller's request. The answer is an actions::reply_call with the same number. The
    // call's team must have been authenticated. The time limit is the job's deadline_ms, or the
    // service's own deadline if that is 0.
    void on_call(instant now, std::uint64_t number, wire::Call call, action_list& out);
    void on_caller_disconnected(std::uint64_t number);

    void on_peer(instant now, wire::PeerMessage message, action_list& out);
    void on_log_read(instant now, const std::string& stream, const expected<log_page>& page,
                     action_list& out);
    void on_host_list(instant now, const expected<host_listing>& listing, action_list& out);
    void on_worker(instant now, std::uint64_t request, worker_answer answer, action_list& out);

    // Begins a graceful stop: the host is no longer ready, hands its shards over and completes the
    // calls that are open.
    void begin_stop(instant now);
    // Whether nothing is left to do: no call is open, and every shard has been handed over or no
    // live peer could take one. True for a host without a configuration.
    bool stopped(instant now) const;

    // Whether the load balancer may send calls: a configuration is in force, a host list has been
    // received, and the host is not stopping.
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
        microseconds next_read_at{0};
    };
    struct handover
    {
        host_ref to;
        std::uint64_t serial = 0; // distinguishes this attempt's acknowledgement from earlier ones
        microseconds sent{0};
        bool acknowledged = false;
    };

    void install_config(action_list& out);
    // Creates ownership, job owner and router once the configuration has this data centre.
    void create_components();
    void read_streams(instant now, action_list& out);
    void read_stream(stream_reader& reader, std::uint64_t from, instant now, action_list& out);
    // Whether this host reads the configuration stream for its data centre. True for every host
    // that has no components yet.
    bool is_config_reader(instant now) const;
    void on_config_page(instant now, const log_page& page, action_list& out);
    // Sends the records from offset `from` on to the peers of this data centre.
    void forward_config(instant now, std::uint64_t from, action_list& out);
    // Sends the records that the peer lacks, or the whole state if the recent records do not reach
    // back to its offset. Sends nothing to a peer that is not behind.
    void answer_config_request(const host_ref& to, const wire::ConfigRequest& request,
                               action_list& out);
    void write_snapshot_if_due(instant now, action_list& out);
    // Requests newer configuration from a random host of another data centre, or of any data centre
    // before the components exist.
    void request_remote_config(instant now, action_list& out);
    void apply_events(instant now, const ownership_events& events, action_list& out);
    void tick_handovers(instant now, action_list& out);
    void start_handover(instant now, std::uint32_t shard, const host_ref& to, action_list& out);
    void rebalance(instant now, action_list& out);
    // Returns the live peer that will own the fewest shards once open handovers are done, and sets
    // `owned` to their number. Returns an empty reference if no peer is alive.
    host_ref least_owning_peer(instant now, std::uint32_t& owned) const;
    void on_handover_state(const host_ref& from, const wire::HandoverState& state,
                           action_list& out);
    void on_handover_ack(instant now, const host_ref& from, const wire::HandoverAck& ack);
    void on_config_message(const host_ref& from, const wire::PeerMessage& message,
                           action_list& out);
    void on_heartbeat(instant now, const host_ref& from, const wire::Heartbeat& heartbeat,
                      action_list& out);
    // Lets the router collect answers and returned calls from the job owner, lets the dispatcher
    // start tasks, and completes the messages.
    void propagate(instant now, action_list& out);
    // Sets the sender of the peer messages in `out`, and this host's state in heartbeats.
    void complete_messages(action_list& out) const;
    void log(action_list& out, std::string text) const;
    void send(const std::string& host, wire::PeerMessage message, action_list& out) const;
    // Replies to an invalid call and returns false. Sets remaining_ms of a valid one.
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
    instant m_listing_requested_at; // when m_listing was requested
    instant m_listing_received_at;
    instant m_host_list_requested_at; // when the latest request was sent
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
