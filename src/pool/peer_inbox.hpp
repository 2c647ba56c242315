#ifndef EGRETLEDGE_POOL_PEER_INBOX_HPP
#define EGRETLEDGE_POOL_PEER_INBOX_HPP

// Holds the messages of other hosts that wait to be handled, within a bound.
//
// A host that is short of processor time receives heartbeats faster than it handles them. Handling
// all of them in order makes its own answers later and later, until its peers count it as silent.
// So a waiting heartbeat is replaced by the next one of the same host and incarnation. This is as
// if the first one had been lost, which every use of heartbeats allows for, and stricter:
//
// - It is replaced only if no other message of its host waits behind it. Offers, results and
//   withdrawals thus keep their order among each other and among heartbeats, a job offer is handled
//   after the same heartbeat as without the replacement, and the last heartbeat cannot be put off
//   for ever.
// - It is replaced only by a heartbeat that carries all that it carries: see supersedes().
//
// Hosts take turns, one message each, so that a host with many messages does not delay the others.
// The messages of one host stay in order; between hosts there is no order in the first place.
//
// The age of a job in an offer is as of its sending. The time that the offer waits here is added to
// it, so that a job which can't end in time any more is declined rather than started in vain.
//
// The inbox never discards a message. At its bound the owner stops reading until may_resume(), so
// that the sockets push back on the senders.

#include "pool/started_jobs.hpp"
#include <deque>
#include <optional>

namespace egretledge::pool
{

struct peer_inbox_settings
{
    // Maximum number of waiting messages: a heartbeat of each of 300 hosts, and 200 offers and
    // results.
    std::size_t max_messages = 512;
    // Maximum size of the waiting messages in bytes: a twentieth of the memory of a host of 160 MB.
    std::size_t max_bytes = 8'000'000;
    // A heartbeat that announces this many started jobs may omit older ones, which the one before
    // it listed.
    std::size_t max_announced = started_jobs_settings{}.max_announced;
};

// Returns true if handling only `later` has the same effect on the state of this host as handling
// `earlier` and then `later`, both heartbeats of one incarnation of a host.
bool supersedes(const wire::PoolBeat& later, const wire::PoolBeat& earlier,
                std::size_t max_announced);

class peer_inbox
{
public:
    explicit peer_inbox(peer_inbox_settings settings) : m_settings(settings) {}

    // Adds a message that arrives at `now`, also if the inbox is full.
    void push(wire::PeerMessage message, microseconds now = microseconds{0});
    // Removes and returns the next message; nothing if none waits. `now` is by the clock of push().
    std::optional<wire::PeerMessage> take(microseconds now = microseconds{0});

    // Returns true if a bound is reached: no further message should be read.
    bool full() const
    {
        return m_waiting >= m_settings.max_messages || m_bytes >= m_settings.max_bytes;
    }
    // Returns true if a full inbox has been emptied to half of both bounds.
    bool may_resume() const
    {
        return m_waiting <= m_settings.max_messages / 2 && m_bytes <= m_settings.max_bytes / 2;
    }
    // Returns when the message that take() returns next has arrived; nothing if none waits.
    std::optional<microseconds> next_arrival() const;
    bool empty() const { return m_waiting == 0; }
    std::size_t waiting() const { return m_waiting; }
    std::size_t waiting_bytes() const { return m_bytes; }
    // Number of heartbeats that were replaced by later ones.
    std::uint64_t superseded() const { return m_superseded; }

private:
    struct waiting_message
    {
        wire::PeerMessage message;
        std::size_t bytes = 0;
        microseconds arrived{0};
    };

    peer_inbox_settings m_settings;
    // By the host's name, only of hosts with waiting messages.
    std::map<std::string, std::deque<waiting_message>> m_by_host;
    std::deque<std::string> m_turns; // the hosts in m_by_host, the next one first
    std::size_t m_waiting = 0;
    std::size_t m_bytes = 0;
    std::uint64_t m_superseded = 0;
};

} // namespace egretledge::pool

#endif
