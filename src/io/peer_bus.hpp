#ifndef EGRETLEDGE_IO_PEER_BUS_HPP
#define EGRETLEDGE_IO_PEER_BUS_HPP

// One-way messages between entry hosts over ZeroMQ; a reply is a separate message. A message to a
// peer that is not connected is dropped, because every protocol on top retransmits what must
// arrive.
//
// If keys are configured, both sides authenticate by CURVE: only peers whose public key is in
// peer_bus_settings::peer_keys are accepted, and the sender that a message names must be the host
// to which the connection's key belongs.

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
    std::string listen = "tcp://127.0.0.1:0"; // tcp://IP:PORT; port 0: any free port
    // Z85 strings of 40 characters. Empty: no encryption, for tests on the loopback interface.
    std::string public_key;
    std::string secret_key;
    std::map<std::string, std::string> peer_keys; // host -> public key
};

class peer_bus
{
public:
    // Takes a received message. Returns false if the bus should read no further message until
    // resume_receiving(); the messages then wait in the sockets of both hosts, within their high
    // water marks.
    using handler = std::function<bool(wire::PeerMessage)>;

    // Starts to listen before it returns. Throws std::runtime_error if the address cannot be bound.
    // The handler runs on the bus's own thread.
    peer_bus(peer_bus_settings settings, handler on_message);
    ~peer_bus();

    // Returns the bound address as tcp://IP:PORT.
    const std::string& endpoint() const { return m_endpoint; }
    // Sets the address at which a host listens; an empty address removes the host. This function,
    // send() and resume_receiving() are thread-safe.
    void set_address(const std::string& host, const std::string& address);
    void send(const std::string& host, const wire::PeerMessage& message);
    // Continues to read messages after the handler has returned false.
    void resume_receiving();

    // Returns the number of messages dropped because the peer was not connected, its send queue was
    // full, or a received message could not be parsed.
    std::uint64_t dropped() const { return m_dropped; }
    // Returns the number of connections refused for an unknown key, and of messages whose sender
    // did not match the connection's key.
    std::uint64_t refused() const { return m_refused; }
    std::uint64_t bytes_sent() const { return m_bytes_sent; }
    // Returns the numbers of messages received, of commands of other threads handled, and of turns
    // of the bus's loop. A bus whose turns rise while it receives nothing does not see its
    // messages.
    std::uint64_t received() const { return m_received; }
    std::uint64_t commands() const { return m_commands; }
    std::uint64_t turns() const { return m_turns; }
    // Returns how often the handler has made the bus stop reading.
    std::uint64_t pauses() const { return m_pauses; }

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
    std::atomic<std::uint64_t> m_pauses{0};
    std::atomic<std::uint64_t> m_received{0};
    std::atomic<std::uint64_t> m_commands{0};
    std::atomic<std::uint64_t> m_turns{0};
    std::thread m_thread;
};

} // namespace egretledge

#endif
