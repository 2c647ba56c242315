#ifndef EGRETLEDGE_POOL_MEMBERSHIP_HPP
#define EGRETLEDGE_POOL_MEMBERSHIP_HPP

// Which hosts live, what they hold and how busy they are, from heartbeats.
//
// A heartbeat carries the receiver's own latest sequence back to it. So a host knows not only that
// it hears a peer, but since when the peer has heard it: the age of the newest own heartbeat that
// came back. Work done for a peer's callers is tied to that age, since a peer that hears nothing
// has told its callers to come back elsewhere.
//
// A heartbeat also names the offers of jobs that its sender has given up, until one that did so has
// been echoed. A pool keeps a job only while new heartbeats of the caller's host arrive, and none
// of them can arrive without the news.

#include "pool/started_jobs.hpp"
#include <deque>
#include <set>

namespace egretledge::pool
{

struct membership_settings
{
    host_ref self;
    std::string data_centre;
    std::string address; // where this host listens for peers
    milliseconds heartbeat_interval{125};
    // Silence after which a host counts as dead: three lost heartbeats and the delay of a busy
    // host.
    milliseconds dead_timeout{450};
    // A host that hears less than half of those that it heard within this time is cut off rather
    // than alone: the longest cuts last about as long.
    milliseconds recent_peer_period{10000};
    // Silence after which a caller's host counts as gone; its caller comes back 1.3 s after.
    milliseconds caller_host_timeout{700};
    // A peer that was never heard is tried at every heartbeat for this long after it was
    // introduced, and one that is silent only now and then.
    milliseconds eager_period{3000};
    milliseconds silent_heartbeat_interval{1000};
    // A host that has heard all hosts it was told of knows who holds what; it waits no longer than
    // `max_settle_time` for the others. A connection takes up to a second if its first packet is lost.
    milliseconds max_settle_time{1500};
    milliseconds min_settle_time{150};
    // A settled host says so at once, and takes workers only after its peers have heard it: a round
    // trip and a busy host.
    milliseconds settled_announce_delay{80};
    // A silent peer that the platform does not list is forgotten.
    milliseconds forget_timeout{30000};
};

struct load_report
{
    std::int64_t free_cpu = 0;
    std::int64_t total_cpu = 0;
    milliseconds wait{0};
};

struct peer
{
    host_ref ref;
    std::string data_centre;
    std::string address;
    bool leaving = false;
    std::uint64_t config_version = 0;
    load_report load;
    microseconds load_at{0};
    std::uint64_t held_version = 0;      // of `held`
    std::uint64_t announced_version = 0; // the latest one; `held` may not have come yet
    std::set<std::string> held;
    std::set<std::string> unread; // of `held`: their lists were not read yet
    std::uint32_t held_count = 0;
    bool settled = false;

    microseconds introduced{0};
    microseconds heard{-1};      // the last heartbeat
    microseconds alive_since{0}; // start of the present unbroken time
    microseconds echo_sent{-1};  // when the own heartbeat was sent that it has seen last
    std::uint64_t seen_sequence = 0;
    std::uint64_t echoed_held = 0; // the version of our holdings that it knows
    microseconds next_heartbeat{0};
    // Offers that this host has given up, and when; until a heartbeat that told of them was echoed.
    std::deque<std::pair<microseconds, std::uint64_t>> withdrawn;
};

class membership
{
public:
    explicit membership(membership_settings settings);

    // A host that the platform lists, or that a seed names; `name` may be made up for a seed.
    void introduce(microseconds now, const std::string& name, const std::string& address,
                   action_list& out);
    // What to announce about this host.
    struct announcement
    {
        bool leaving = false;
        std::uint64_t config_version = 0;
        load_report load;
        std::uint64_t held_version = 0;
        std::vector<std::string> held;
        std::vector<std::string> unread;
        const started_jobs* started = nullptr; // null: none are announced
    };
    // Sends the heartbeats that are due; `announce` is asked only then.
    void tick(microseconds now, const std::function<announcement()>& announce, action_list& out);
    // Takes a heartbeat. Returns the sender, or null for one that is out of date.
    peer* on_heartbeat(microseconds now, const host_ref& from, const wire::PoolBeat& beat,
                  action_list& out);

    // A host is alive if it was heard lately. After a pause of this process silence counts anew.
    bool alive(const std::string& name, microseconds now) const;
    // True once this host knows who holds what: since it began, or since it last came back from a
    // pause.
    bool settled(microseconds now) const;
    // When it last became settled; negative while it is not.
    microseconds settled_at() const { return m_settled_at; }
    // True once the peers know that it is settled, and it would know if one of them was.
    bool may_acquire(microseconds now) const;
    // What a host held in one of its lives, and when it was last heard; null if not known any more.
    struct past_incarnation
    {
        std::set<std::string> held;
        microseconds heard{0};
    };
    std::optional<past_incarnation> last_seen(const host_ref& host) const;
    // Tells a host in every heartbeat, until it has echoed one, that this host has given an offer
    // up. Nothing is to be told to a process that has ended.
    void withdraw(microseconds now, const host_ref& host, std::uint64_t offer);
    // Of the latest heartbeats.
    std::uint64_t sequence() const { return m_sequence; }
    // True if a heartbeat arrived from that host which was sent after this one.
    bool overtaken(const host_ref& host, std::uint64_t sequence) const;
    // Hosts that fell silent, or began anew, without leaving in order, and were heard within
    // `recent_peer_period`; with the workers that they announced last. `held` is valid until the next
    // heartbeat.
    struct silent_host
    {
        host_ref ref;
        const std::set<std::string>* held = nullptr;
    };
    std::vector<silent_host> find_silent_hosts(microseconds now) const;
    // Sends the next heartbeats now: what is held has changed.
    void expedite_heartbeats() { m_next_round = microseconds{0}; }
    // True if this host hears less than half of those that it heard lately.
    bool partitioned(microseconds now) const;
    // False if this host hears less than half of those that it heard or was told of lately: then
    // it does not know what has started at the others.
    bool hears_enough_hosts(microseconds now) const;
    // False once the host may have given up on this one.
    bool hears_us(const host_ref& host, microseconds now) const;
    const peer* find(const std::string& name) const;
    const std::map<std::string, peer>& all() const { return m_peers; }
    const membership_settings& settings() const { return m_settings; }
    // When this process last came back from a pause, or began.
    microseconds listening_since() const { return m_listening_since; }

private:
    void send_heartbeat(microseconds now, peer& to, const announcement& own_state, action_list& out);
    microseconds sent_at(std::uint64_t sequence) const;
    // The hosts that were heard within `recent_peer_period`, or also those introduced within it, less
    // those that are leaving; and how many of them are alive.
    struct host_counts
    {
        std::size_t known = 0;
        std::size_t live = 0;
    };
    host_counts count_recent_hosts(microseconds now, bool include_introduced) const;

    membership_settings m_settings;
    std::map<std::string, peer> m_peers;
    std::map<host_ref, past_incarnation> m_past_incarnations; // of hosts that began anew
    std::set<std::string> m_silence_logged;
    std::deque<std::pair<std::uint64_t, microseconds>> m_sent;
    std::uint64_t m_sequence = 0;
    microseconds m_next_round{0};
    microseconds m_last_tick{0};
    microseconds m_listening_since{0};
    microseconds m_settled_at{-1};
};

} // namespace egretledge::pool

#endif
