// One thread owns these sockets:
//
//   - a ROUTER that receives the peers' messages,
//   - a DEALER for each peer that sends to it,
//   - a PULL that receives the commands of other threads (send, set an address, resume, stop),
//   - a REP that answers ZeroMQ's authentication requests (ZAP, RFC 27).
//
// Other threads share one PUSH socket under a mutex, which is held while one message is copied.
//
// While the handler wants no messages, the thread does not read the ROUTER and handles commands as
// before. ZeroMQ reads on up to the high water mark of each peer, then TCP pushes back on the
// peer, whose own mark then bounds what it keeps. The resume command is sent after the handler has
// returned false, so it is read after the pause has begun and cannot be missed.

#include "io/peer_bus.hpp"
#include "io/logging.hpp"
#include <array>
#include <cerrno>
#include <mutex>
#include <set>
#include <stdexcept>
#include <zmq.hpp>
#include <zmq_addon.hpp>

namespace egretledge
{

namespace
{

constexpr const char* command_endpoint = "inproc://peer-bus-out";
constexpr const char* zap_endpoint = "inproc://zeromq.zap.01";
constexpr int high_water_mark = 20000; // messages
constexpr std::chrono::milliseconds poll_timeout{100};
// Messages read before commands are handled, so that a flood does not delay what this host sends:
// one of each of 96 peers.
constexpr int max_receive_batch = 96;
// Commands handled before messages are read, for the same reason the other way round.
constexpr int max_command_batch = 96;
constexpr int min_reconnect_interval_ms = 50;
// A restarted host is reconnected within one heartbeat interval.
constexpr int max_reconnect_interval_ms = 100;
// ZeroMQ's own heartbeats: a connection without an answer within heartbeat_timeout_ms is replaced.
constexpr int heartbeat_interval_ms = 300;
constexpr int heartbeat_timeout_ms = 900;
// ZMQ_ZERO_COPY_RECV, which only ZeroMQ's draft headers declare.
constexpr int zero_copy_receive_option = 10;
constexpr std::size_t key_bytes = 32;
constexpr std::size_t key_text_size = 41; // 40 characters and the terminating zero

// The first part of a command message from another thread.
constexpr std::string_view command_send = "send";
constexpr std::string_view command_address = "address";
constexpr std::string_view command_resume = "resume";
constexpr std::string_view command_stop = "stop";

std::string part_to_string(const zmq::message_t& part)
{
    return {static_cast<const char*>(part.data()), part.size()};
}

// With zero-copy, a message of 300 bytes that waits in a socket keeps the 8 KB buffer that it was
// read into. Sockets take the option over when they are made. A ZeroMQ that does not know it only
// uses more memory.
zmq::context_t make_context()
{
    zmq::context_t context(1);
    ::zmq_ctx_set(context.handle(), zero_copy_receive_option, 0);
    return context;
}

// Calls `operation` again for as long as a signal interrupts it.
template <class Operation>
auto retry_interrupted(const Operation& operation)
{
    for (;;)
        try
        {
            return operation();
        }
        catch (const zmq::error_t& e)
        {
            if (e.num() != EINTR)
                throw;
        }
}

// Receives a whole message without waiting. Returns false if there is none. A signal between two
// parts loses none of them.
bool receive_parts(zmq::socket_t& socket, zmq::multipart_t& message)
{
    message.clear();
    for (;;)
    {
        zmq::message_t part;
        if (!retry_interrupted([&] { return socket.recv(part, zmq::recv_flags::dontwait); }))
            return false;
        const bool more = part.more();
        message.add(std::move(part));
        if (!more)
            return true;
    }
}

// Sends all parts of the message, likewise.
void send_parts(zmq::socket_t& socket, zmq::multipart_t& message)
{
    while (!message.empty())
    {
        auto part = message.pop();
        const auto flags = message.empty() ? zmq::send_flags::none : zmq::send_flags::sndmore;
        retry_interrupted([&] { return socket.send(part, flags); });
    }
}

} // namespace

struct peer_bus::sockets
{
    zmq::context_t context = make_context();
    std::optional<zmq::socket_t> zap;
    zmq::socket_t receiver{context, zmq::socket_type::router};
    zmq::socket_t command_receiver{context, zmq::socket_type::pull};
    zmq::socket_t command_sender{context, zmq::socket_type::push};
    std::mutex command_mutex;
    std::map<std::string, std::string> addresses;
    std::map<std::string, zmq::socket_t> senders;
    std::set<std::string> unreachable; // hosts to which no socket could be made; logged once
};

peer_bus::peer_bus(peer_bus_settings settings, handler on_message)
    : m_settings(std::move(settings)), m_handler(std::move(on_message)),
      m_sockets(std::make_unique<sockets>())
{
    auto& s = *m_sockets;
    try
    {
        s.command_receiver.bind(command_endpoint);
        s.command_sender.connect(command_endpoint);
        s.command_sender.set(zmq::sockopt::linger, 0);
        s.receiver.set(zmq::sockopt::linger, 0);
        s.receiver.set(zmq::sockopt::rcvhwm, high_water_mark);
        if (!m_settings.secret_key.empty())
        {
            s.zap.emplace(s.context, zmq::socket_type::rep);
            s.zap->bind(zap_endpoint);
            s.receiver.set(zmq::sockopt::zap_domain, "peers");
            s.receiver.set(zmq::sockopt::curve_server, true);
            s.receiver.set(zmq::sockopt::curve_secretkey, m_settings.secret_key);
        }
        s.receiver.bind(m_settings.listen);
        m_endpoint = s.receiver.get(zmq::sockopt::last_endpoint);
    }
    catch (const zmq::error_t& e)
    {
        throw std::runtime_error("cannot listen for peers at " + m_settings.listen + ": " +
                                 e.what());
    }
    m_thread = std::thread([this] { run(); });
}

peer_bus::~peer_bus()
{
    {
        const std::lock_guard lock(m_sockets->command_mutex);
        retry_interrupted(
            [this] {
                return m_sockets->command_sender.send(zmq::buffer(command_stop),
                                                      zmq::send_flags::none);
            });
    }
    m_thread.join();
}

void peer_bus::set_address(const std::string& host, const std::string& address)
{
    const std::lock_guard lock(m_sockets->command_mutex);
    zmq::multipart_t message;
    message.addstr(std::string(command_address));
    message.addstr(host);
    message.addstr(address);
    send_parts(m_sockets->command_sender, message);
}

void peer_bus::send(const std::string& host, const wire::PeerMessage& message)
{
    zmq::multipart_t parts;
    parts.addstr(std::string(command_send));
    parts.addstr(host);
    parts.addstr(message.SerializeAsString());
    const std::lock_guard lock(m_sockets->command_mutex);
    send_parts(m_sockets->command_sender, parts);
}

void peer_bus::resume_receiving()
{
    const std::lock_guard lock(m_sockets->command_mutex);
    retry_interrupted(
        [this] {
            return m_sockets->command_sender.send(zmq::buffer(command_resume),
                                                  zmq::send_flags::none);
        });
}

namespace
{

// Answers one ZAP request, if there is one. Accepts the client if its key is in `keys`, with the
// host's name as the user id. Returns false if the client was refused.
bool answer_zap(zmq::socket_t& zap, const std::map<std::string, std::string>& keys)
{
    zmq::multipart_t request;
    if (!receive_parts(zap, request))
        return true;
    constexpr std::size_t parts_with_key = 7;
    std::string user;
    if (request.size() >= parts_with_key && request[6].size() == key_bytes)
    {
        std::array<char, key_text_size> encoded_key{};
        zmq_z85_encode(encoded_key.data(), static_cast<const std::uint8_t*>(request[6].data()),
                       key_bytes);
        for (const auto& [host, key] : keys)
            if (key == encoded_key.data())
                user = host;
    }
    zmq::multipart_t reply;
    reply.addstr("1.0");
    reply.addstr(request.size() > 1 ? part_to_string(request[1]) : "");
    reply.addstr(user.empty() ? "400" : "200");
    reply.addstr(user.empty() ? "unknown key" : "OK");
    reply.addstr(user);
    reply.addstr("");
    send_parts(zap, reply);
    return !user.empty();
}

} // namespace

void peer_bus::run()
{
    auto& s = *m_sockets;
    // Returns the socket that sends to `host` and connects it on first use. Returns null if the
    // host's address, or its key if keys are in use, is unknown.
    const auto sender_to = [&](const std::string& host) -> zmq::socket_t*
    {
        const auto existing = s.senders.find(host);
        if (existing != s.senders.end())
            return &existing->second;
        const auto address = s.addresses.find(host);
        const auto key = m_settings.peer_keys.find(host);
        const bool secured = !m_settings.secret_key.empty();
        if (address == s.addresses.end() || (secured && key == m_settings.peer_keys.end()))
            return nullptr;
        zmq::socket_t socket(s.context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::sndhwm, high_water_mark);
        socket.set(zmq::sockopt::reconnect_ivl, min_reconnect_interval_ms);
        socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_interval_ms);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
        socket.set(zmq::sockopt::connect_timeout, heartbeat_timeout_ms);
        if (secured)
        {
            socket.set(zmq::sockopt::curve_serverkey, key->second);
            socket.set(zmq::sockopt::curve_publickey, m_settings.public_key);
            socket.set(zmq::sockopt::curve_secretkey, m_settings.secret_key);
        }
        socket.connect(address->second);
        return &s.senders.emplace(host, std::move(socket)).first->second;
    };
    bool paused = false;
    const auto receive_messages = [&]
    {
        zmq::multipart_t message;
        for (int received = 0;
             !paused && received < max_receive_batch && receive_parts(s.receiver, message);
             ++received)
        {
            ++m_received;
            wire::PeerMessage peer_message;
            auto body = message.remove();
            if (!peer_message.ParseFromArray(body.data(), static_cast<int>(body.size())))
            {
                ++m_dropped;
                continue;
            }
            if (!m_settings.secret_key.empty() &&
                peer_message.from().name() != body.gets("User-Id"))
            {
                ++m_refused;
                continue;
            }
            if (!m_handler(std::move(peer_message)))
            {
                paused = true;
                ++m_pauses;
            }
        }
    };
    // Returns false on the stop command.
    const auto handle_commands = [&]
    {
        zmq::multipart_t message;
        for (int handled = 0;
             handled < max_command_batch && receive_parts(s.command_receiver, message); ++handled)
        {
            ++m_commands;
            const auto command_name = part_to_string(message[0]);
            if (command_name == command_stop)
                return false;
            if (command_name == command_resume)
            {
                paused = false;
                continue;
            }
            const auto host = part_to_string(message[1]);
            if (command_name == command_address)
            {
                const auto address = part_to_string(message[2]);
                if (s.addresses[host] != address)
                {
                    s.senders.erase(host);
                    s.unreachable.erase(host);
                }
                if (address.empty())
                    s.addresses.erase(host);
                else
                    s.addresses[host] = address;
                continue;
            }
            zmq::socket_t* sender = nullptr;
            try
            {
                sender = sender_to(host);
            }
            catch (const zmq::error_t& e)
            {
                if (s.unreachable.insert(host).second)
                    log_line("error", "event=peer_not_connected peer=" + host + " address=" +
                                          s.addresses[host] + " reason=\"" + e.what() + '"');
            }
            const auto size = message[2].size();
            if (sender == nullptr ||
                !retry_interrupted([&]
                                   { return sender->send(message[2], zmq::send_flags::dontwait); }))
                ++m_dropped;
            else
                m_bytes_sent += size;
        }
        return true;
    };
    std::vector<zmq::pollitem_t> items{{s.receiver.handle(), 0, ZMQ_POLLIN, 0},
                                       {s.command_receiver.handle(), 0, ZMQ_POLLIN, 0}};
    if (s.zap)
        items.push_back({s.zap->handle(), 0, ZMQ_POLLIN, 0});
    for (;;)
    {
        items[0].events = paused ? short{0} : short{ZMQ_POLLIN};
        retry_interrupted([&] { return zmq::poll(items, poll_timeout); });
        ++m_turns;
        receive_messages();
        if (!handle_commands())
            return;
        if (s.zap && (items[2].revents & ZMQ_POLLIN) != 0 &&
            !answer_zap(*s.zap, m_settings.peer_keys))
            ++m_refused;
    }
}

} // namespace egretledge
