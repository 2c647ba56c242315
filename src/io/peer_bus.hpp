#ifndef EGRETLEDGE_IO_PEER_BUS_HPP
#define EGRETLEDGE_IO_PEER_BUS_HPP

// Messages between entry hosts over ZeroMQ. One-way: an answer is a message of its own. A message
// to a peer that is not connected is dropped, since every protocol above repeats what matters.
//
// With keys, both sides prove theirs by CURVE: only peers in the table of keys are let in, and a
// message must come from the host that its key belongs to.

#include "core/messages.hpp"
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace egretledge
{

struct peer_bus_settings
{
    std::string listen = "tcp://127.0.0.1:0"; // tcp://IP:PORT; port 0: any free one
    // Z85 texts of 40 characters; empty: no encryption, for tests on loopback.
    std::string public_key;
    std::string secret_key;
    std::map<std::string, std::string> peer_keys; // host -> public key
};

class peer_bus
{
public:
    using handler = std::function<void(wire::PeerMessage)>;

    // Listens at once; throws std::runtime_error if it cannot. The handler runs on the bus's own
    // thread.
    peer_bus(peer_bus_settings settings, handler on_message);
    ~peer_bus();

    // tcp://IP:PORT as bound.
    const std::string& endpoint() const { return m_endpoint; }
    // Tells where a host listens; an empty address forgets the host. Any thread may call this and
    // send().
    void set_address(const std::string& host, const std::string& address);
    void send(const std::string& host, const wire::PeerMessage& message);

    // Messages that were dropped: not connected, not readable, or from a peer without a valid key.
    std::uint64_t dropped() const { return m_dropped; }
    std::uint64_t refused() const { return m_refused; }
    std::uint64_t bytes_sent() const { return m_bytes_sent; }

private:
    struct sockets;
    void run();

    peer_bus_settings m_settings;
    handler m_handler;
    std::unique_ptr<sockets> m_sockets;
    std::string m_endpoint;
    std::atomic<std::uint64_t> m_dropped{0};
    std::atomic<std::uint64_t> m_refused{0};
    std::atomic<std::uint64_t> m_bytes_sent{0};
    std::thread m_thread;
};

} // namespace egretledge

#endif
