#ifndef EGRETLEDGE_POOL_MEMBERSHIP_HPP
#define EGRETLEDGE_POOL_MEMBERSHIP_HPP

// Tracks by heartbeats which hosts are alive, which workers they hold and how loaded they are.
//
// A heartbeat echoes the receiver's own latest sequence number. A host thus knows not only that it
// receives a peer's heartbeats, but also how recently the peer received its own: the age of the
// newest own heartbeat that was echoed. Work for a peer's callers depends on that age, since a peer
// that receives no heartbeats has told its callers to retry at another host.
//
// A heartbeat also lists the offers of jobs that its sender has withdrawn, until a heartbeat that
// listed them has been echoed. A pool keeps a job only while new heartbeats of the caller's host
// arrive, and each of these carries the withdrawal. After `max_withdrawal_age` a pool that has
// heard none of them has cancelled the job by itself.
//
// Two hosts that hold no workers and announce how many they can serve exchange heartbeats at a
// longer interval. A host announces the longer interval first, in heartbeats at the default one,
// and uses it only while the peer has echoed the announcement and announces it too. The peer's
// timeout thus grows before the heartbeats become fewer, and a host that ends the longer interval
// makes the peer end it with the next heartbeat.

#include "pool/crash_record.hpp"
#include "pool/evacuations.hpp"
#include "pool/started_jobs.hpp"
#include <deque>
#include <set>
#include <unordered_map>

namespace egretledge::pool
{

struct membership_settings
{
    host_ref self;
    std::string data_centre;
    std::string address; // where this host listens for peers
    milliseconds heartbeat_interval{125};
    // Interval between two hosts without workers, which need each other's heartbeats only for
    // started jobs, configuration versions and counts of hosts. A caller retries after 1.3 s.
    milliseconds slow_heartbeat_interval{500};
    // Both hosts must have been alive for each other for this long.
    milliseconds slow_heartbeat_delay{3000};
    // A longer announced interval counts as this one.
    milliseconds max_announced_interval{1000};
    // A host that was silent for this long counts as dead: three lost heartbeats plus the delay of
    // a busy host.
    milliseconds dead_timeout{450};
    // A process that handles messages later than this is short of processor time: the timer
    // interval of the daemon.
    milliseconds max_prompt_delay{20};
    // Period for which a silent peer still counts as one that should be alive. A host that receives
    // heartbeats from less than half of the peers of this period counts as partitioned, rather than
    // as the only host left. The longest partitions last about as long.
    milliseconds recent_peer_period{10000};
    // Time without an echo after which a caller's host counts as disconnected. A caller
    // retries 1.3 s after its connection broke.
    milliseconds caller_host_timeout{700};
    // A withdrawn offer is listed for at most this long. A pool that has handled no heartbeat which
    // listed it has cancelled the job `caller_host_timeout` after the withdrawal, and declines the
    // offer if it arrives later; the same again allows for its timers and clock.
    milliseconds max_withdrawal_age{1400};
    // A silent peer is sent every heartbeat for this long after its introduction or its own last
    // heartbeat; after that, one heartbeat per `silent_heartbeat_interval`.
    milliseconds eager_period{3000};
    milliseconds silent_heartbeat_interval{1000};
    // A host that has received heartbeats from all hosts introduced to it knows which host holds
    // which workers: it is settled. It waits at least `min_settle_time` and no longer than
    // `max_settle_time` for them. A connection takes up to a second if its first packet is lost.
    milliseconds max_settle_time{1500};
    milliseconds min_settle_time{150};
    // Time within which a host that is heard for the first time or again is expected to settle:
    // `max_settle_time`, and the same for the start of a process that is short of processor time.
    milliseconds max_settling_time{3000};
    // A settled host announces this at once, and acquires workers only after this delay, when its
    // peers have received the announcement: a round trip plus the delay of a busy host.
    milliseconds settled_announce_delay{80};
    // A silent peer, also one that was never heard, is removed after this time. introduce() adds it
    // again if the platform lists it.
    milliseconds forget_timeout{30000};
    // Maximum number of known hosts that were never heard. Each costs a socket, of which the
    // transport has 1,023, and heartbeats: 1,100 of them took a fifth of a core. Beyond this number
    // the one introduced first makes room for another host after its `eager_period`.
    std::size_t max_unheard_hosts = 256;
};

// Load of a host's pool. CPU is in thousandths of a core.
struct load_report
{
    std::int64_t free_cpu = 0;
    std::int64_t total_cpu = 0;
    milliseconds wait{0}; // expected wait of a new job
};

// What is known about another host.
struct peer
{
    host_ref ref;
    std::string data_centre;
    std::string address;
    bool leaving = false;
    std::uint64_t config_version = 0;
    load_report load;
    microseconds load_at{0};
    std::uint64_t held_version = 0; // version of `held`
    // The latest version announced; that `held` may not have arrived yet.
    std::uint64_t announced_version = 0;
    std::set<std::string> held;   // changed by membership only, with its index of holders
    std::set<std::string> unread; // those of `held` whose lists have not been read yet
    std::uint32_t held_count = 0;
    bool settled = false;
    bool overloaded = false;       // short of processor time; takes no more workers
    std::uint32_t max_workers = 0; // how many workers it can serve; 0: not announced

    microseconds introduced_at{0};
    microseconds last_heard{-1}; // arrival of the latest heartbeat; -1: none
    microseconds alive_since{0}; // start of the current uninterrupted period of being alive
    microseconds echo_sent{-1};  // send time of the own heartbeat that it echoed last; -1: none
    std::uint64_t seen_sequence = 0;
    std::uint64_t echoed_held = 0; // version of this host's `held` that the peer has
    microseconds next_heartbeat{0};
    milliseconds interval{0}; // of its heartbeats to this host, as announced, at least the default
    // Send time of the first heartbeat since which the longer interval has been announced to it
    // without interruption; -1: it is not announced.
    microseconds slow_announced_at{-1};
    bool slow = false;              // receives heartbeats at the longer interval
    bool answer_due = false;        // ended the longer interval and awaits a heartbeat
    microseconds not_slow_until{0}; // a heartbeat of it was overdue
    // Offers that this host has withdrawn, with the time, until the peer echoes a heartbeat that
    // listed them or `max_withdrawal_age` has passed.
    std::deque<std::pair<microseconds, std::uint64_t>> withdrawn;
};

// Conversions between a state of the evacuations and its message.
void to_wire(const evacuation_state& state, wire::PoolEvacuations& out);
evacuation_state from_wire(const wire::PoolEvacuations& message);

class membership
{
public:
    explicit membership(membership_settings settings);

    // Adds a host that the platform lists or that is configured as a seed. The name of a seed may
    // be a placeholder; on_heartbeat() replaces it by the host's own name. Returns false if the
    // host is not added because `max_unheard_hosts` are known.
    bool introduce(microseconds now, const std::string& name, const std::string& address,
                   action_list& out);
    // The state of this host that its heartbeats announce.
    struct announcement
    {
        bool leaving = false;
        bool overloaded = false;
        std::uint64_t config_version = 0;
        load_report load;
        std::uint64_t held_version = 0;
        std::vector<std::string> held;
        std::vector<std::string> unread;
        const started_jobs* started = nullptr;         // null: none are announced
        const crash_record* crashes = nullptr;         // null: none are announced
        const evacuation_state* evacuations = nullptr; // null: not known
        std::uint32_t max_workers = 0;                 // 0: not announced
        // Not announced: jobs in this host's pool, and other hosts' pools that its callers' jobs
        // were offered to. These need each other's heartbeats at the default interval.
        std::size_t open_jobs = 0;
        std::set<std::string> pools_in_use;
    };
    // Sends the heartbeats that are due. `announce` is called only if there are any.
    void tick(microseconds now, const std::function<announcement()>& announce, action_list& out);
    // Sends a heartbeat to a peer whose latest heartbeat ended the longer interval. Its echoes are
    // then fresh before this host offers it a job. Does nothing for other peers.
    void answer(microseconds now, const std::string& name,
                const std::function<announcement()>& announce, action_list& out);
    // Processes a heartbeat. Returns the sender, or null if the heartbeat is out of date or this
    // host's own.
    peer* on_heartbeat(microseconds now, const host_ref& from, const wire::PoolBeat& heartbeat,
                       action_list& out);

    // Returns true if a heartbeat of the host arrived within `dead_timeout` plus what the host's
    // announced interval exceeds the default one by. After a pause of this process the timeout
    // restarts.
    bool alive(const std::string& name, microseconds now) const;
    // Returns false if the host has been silent for so long that it must have ended or be cut off,
    // rather than be late: the timeout of alive(), twice that if it announced that it is
    // overloaded, and the time for which its heartbeats may have waited here. Decides about its
    // workers.
    bool may_be_alive(const std::string& name, microseconds now) const;
    // Sets how late this process handles messages. While it is more than `max_prompt_delay`, no
    // heartbeats are sent early: each early round takes the time of a usual one.
    void set_handling_delay(microseconds delay) { m_handling_delay = delay; }
    // Returns true once this host knows which host holds which workers. Starts over after a pause
    // of this process.
    bool settled(microseconds now) const;
    // Returns true if the host is not settled and was heard for the first time, or again after a
    // silence, within `max_settling_time`. The caller checks that it is alive.
    bool settling(const peer& host, microseconds now) const;
    // Time at which this host last became settled; negative while it is not.
    microseconds settled_at() const { return m_settled_at; }
    // Returns true if this host may acquire workers: it has been settled for
    // `settled_announce_delay`, so its peers know that it is settled, and it would know of a
    // settled peer.
    bool may_acquire(microseconds now) const;
    // The workers that an incarnation of a host held, and the arrival of its last heartbeat.
    struct past_incarnation
    {
        std::set<std::string> held;
        microseconds last_heard{0};
    };
    // Returns the last known state of this incarnation of a host; null if it is no longer known.
    std::optional<past_incarnation> last_seen(const host_ref& host) const;
    // Lists a withdrawn offer in every heartbeat to the host until it has echoed one of them. Does
    // nothing if that incarnation of the host is no longer the current one.
    void withdraw(microseconds now, const host_ref& host, std::uint64_t offer);
    // Sequence number of the latest heartbeats sent.
    std::uint64_t sequence() const { return m_sequence; }
    // Returns true if a heartbeat with a higher sequence number has arrived from the host.
    bool overtaken(const host_ref& host, std::uint64_t sequence) const;
    // A host that fell silent or restarted, with the workers that it announced last. `held` is
    // valid until the next heartbeat.
    struct silent_host
    {
        host_ref ref;
        const std::set<std::string>* held = nullptr;
    };
    // Returns the hosts that held workers and fell silent without a planned stop or restarted,
    // until they are removed after `forget_timeout`.
    std::vector<silent_host> find_silent_hosts(microseconds now) const;
    // Makes the next heartbeats to all hosts due at once, for example because the set of held
    // workers changed. Longer intervals end until the peers have echoed a heartbeat of that round.
    void expedite_heartbeats()
    {
        m_next_round = microseconds{0};
        m_expedited = true;
    }
    // Returns how many peers receive heartbeats at the longer interval.
    std::size_t count_slow_peers() const;
    // Returns true if fewer than half of the hosts whose last heartbeat arrived within
    // `recent_peer_period` are alive. False if there are fewer than two such hosts.
    bool partitioned(microseconds now) const;
    // Returns false if fewer than half of the hosts that sent a heartbeat or were introduced within
    // `recent_peer_period` are alive: this host then does not know what has started at the others.
    bool hears_enough_hosts(microseconds now) const;
    // Returns true if after a pause of this process, or after its start, every host that counts as
    // alive has sent a heartbeat: until then their announcements from the pause are missing.
    bool has_caught_up(microseconds now) const;
    // Returns true while the host is known to receive this host's heartbeats; false once it may
    // count this host as disconnected (see `caller_host_timeout`).
    bool receives_heartbeats(const host_ref& host, microseconds now) const;
    const peer* find(const std::string& name) const;
    const std::map<std::string, peer>& all() const { return m_peers; }
    // Returns the names of the hosts, alive or silent, whose `held` contains the worker. Valid
    // until the next heartbeat or tick.
    const std::vector<std::string>& holders(const std::string& worker) const;
    const membership_settings& settings() const { return m_settings; }
    // Time of the end of this process's last pause, or of its start.
    microseconds listening_since() const { return m_listening_since; }
    // Returns how many hosts are alive.
    std::size_t count_alive(microseconds now) const;

    struct totals
    {
        std::uint64_t heartbeat_rounds = 0;      // in which the due heartbeats were sent
        std::uint64_t expedited_rounds = 0;      // those before their interval had passed
        std::uint64_t heartbeats = 0;            // sent
        std::uint64_t heartbeats_with_hosts = 0; // those that list the known hosts
        std::uint64_t returned_hosts = 0;        // became alive, for the first time or again
    };
    const totals& counts() const { return m_totals; }

private:
    // Replaces the workers that a host announces, and updates the index of holders.
    void set_held(const std::string& name, std::set<std::string> held);
    // Removes a host together with its entries in the index of holders.
    void remove_peer(std::map<std::string, peer>::iterator host);
    void send_heartbeat(microseconds now, peer& to, const announcement& own_state,
                        action_list& out);
    // Takes the next sequence number.
    void begin_heartbeats(microseconds now);
    void send_single(microseconds now, peer& to, const std::function<announcement()>& announce,
                     action_list& out);
    // Returns true if the longer interval may be announced to the host.
    bool may_slow_down(microseconds now, const peer& host, const announcement& own_state) const;
    // Decides which interval is announced to the host and which one is used. `restart`: the host is
    // to echo the announcement anew.
    void update_interval(microseconds now, peer& host, const announcement& own_state,
                         bool restart) const;
    // Ends the longer interval of peers whose slow heartbeats are overdue, and sends them one that
    // asks for an answer. A single lost heartbeat thus makes no living host count as silent.
    void probe_overdue_peers(microseconds now, const std::function<announcement()>& announce,
                             action_list& out);
    // Returns true if a heartbeat to the host is due in the present round.
    bool due_in_round(const std::string& name, const peer& host) const;
    bool is_prompt() const { return m_handling_delay <= m_settings.max_prompt_delay; }
    milliseconds timeout_of(const peer& host) const;
    // Returns the send time of an own heartbeat; negative if it is no longer known.
    microseconds sent_at(std::uint64_t sequence) const;
    // `known`: hosts that sent a heartbeat (or, on request, were introduced) within
    // `recent_peer_period` and are not leaving; `live`: those of them that are alive.
    struct host_counts
    {
        std::size_t known = 0;
        std::size_t live = 0;
    };
    host_counts count_recent_hosts(microseconds now, bool include_introduced) const;

    membership_settings m_settings;
    std::map<std::string, peer> m_peers;
    // Index of `held` of all hosts in m_peers: worker -> names of the hosts that announce it. It
    // stores names, not pointers, so that a copy of this object stays valid by itself.
    std::unordered_map<std::string, std::vector<std::string>> m_holders;
    std::map<host_ref, past_incarnation> m_past_incarnations; // of hosts that restarted
    std::set<std::string> m_silence_logged;
    std::deque<std::pair<std::uint64_t, microseconds>> m_sent; // sequence and send time
    std::uint64_t m_sequence = 0;
    microseconds m_next_round{0};
    bool m_expedited = false;
    microseconds m_last_tick{0};
    microseconds m_listening_since{0};
    microseconds m_settled_at{-1};
    microseconds m_last_round{0};
    microseconds m_handling_delay{0};
    totals m_totals;
};

} // namespace egretledge::pool

#endif
