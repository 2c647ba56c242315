#ifndef EGRETLEDGE_IO_PEER_DELIVERY_HPP
#define EGRETLEDGE_IO_PEER_DELIVERY_HPP

// Hands the peer bus's messages to the decision logic, on the thread that runs an io_context. The
// messages wait in a pool::peer_inbox, which is bounded. They are handled in small batches, so that
// callers' requests, workers' replies and timers run between two batches.

#include "pool/peer_inbox.hpp"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <mutex>

namespace egretledge
{

struct peer_delivery_settings
{
    pool::peer_inbox_settings inbox;
    // Maximum number of messages handled before other events run: 16 heartbeats of hosts that list
    // 96 others take 0.3 ms of processor time, 2 ms at 0.12 cores, a tenth of the tick interval.
    std::size_t max_batch = 16;
};

class peer_delivery
{
public:
    using handler = std::function<void(const wire::PeerMessage&)>;

    // `on_message` runs on the thread of `context`. `resume_receiving` is called there after push()
    // has returned false, once half of the waiting messages have been handled.
    peer_delivery(boost::asio::io_context& context, peer_delivery_settings settings,
                  handler on_message, std::function<void()> resume_receiving);

    // Adds a message; thread-safe. Returns false if no further one should be read for now.
    bool push(wire::PeerMessage message);
    // The following functions are thread-safe.
    std::size_t waiting() const;
    // Returns how long the next message has waited at `now`, by CLOCK_BOOTTIME; 0 if none waits.
    microseconds waiting_time(microseconds now) const;
    std::uint64_t superseded() const;

private:
    void deliver_batch();

    boost::asio::io_context& m_context;
    peer_delivery_settings m_settings;
    handler m_handler;
    std::function<void()> m_resume_receiving;
    mutable std::mutex m_mutex; // guards the members below; not held while a message is handled
    pool::peer_inbox m_inbox;
    bool m_scheduled = false; // deliver_batch() is posted or running
    bool m_paused = false;    // push() has returned false since the last resume
};

} // namespace egretledge

#endif
