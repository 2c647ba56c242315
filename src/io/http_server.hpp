#ifndef EGRETLEDGE_IO_HTTP_SERVER_HPP
#define EGRETLEDGE_IO_HTTP_SERVER_HPP

// An HTTP/1.1 server on Boost.Beast, with or without TLS. All requests go to one handler. It
// answers each request once, immediately or later and from any thread, by calling the responder.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace egretledge
{

struct http_request
{
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    std::string bearer;           // token of the Authorization header
    std::string idempotency_key;  // value of the Idempotency-Key header
    std::string host;             // value of the Host header
    std::uint32_t timeout_ms = 0; // value of the Timeout-Ms header; 0 if absent or not a number
    // Identifies the request within this server; see http_server_settings::on_disconnect.
    std::uint64_t number = 0;
};

struct http_response
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::uint32_t retry_after_s = 0; // 0: no Retry-After header
};

using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;                // 0: any free port
    std::uint32_t header_limit = 8192;     // bytes
    std::uint64_t body_limit = 8ULL << 20; // bytes
    // The most bytes of the bodies that are being received at the same time, on all connections: a
    // quarter of the 256 MB that a host spends. A body that would exceed it, and isn't the only
    // one, is refused with 504.
    std::uint64_t max_open_body_bytes = 64ULL << 20;
    std::uint32_t max_connections = 10000;
    // The time limit for receiving one request from a caller, and for sending one response.
    std::chrono::milliseconds transfer_timeout{10000};
    // The time for which a connection may stay idle between requests.
    std::chrono::milliseconds idle_timeout{60000};
    std::string certificate_file; // PEM; empty: no TLS
    std::string key_file;
    // Called with the number of a request whose connection ends before the response is sent. Only
    // without TLS. The responder may still be called; it then has no effect.
    std::function<void(std::uint64_t)> on_disconnect;
};

class http_server
{
public:
    // Starts to listen before it returns. Throws boost::system::system_error if the address cannot
    // be bound or the certificate or key cannot be read.
    http_server(boost::asio::io_context& context, http_server_settings settings,
                http_handler handler);
    ~http_server();

    std::uint16_t port() const;
    // Closes every connection after its next response from now on, so that callers move to other
    // hosts gradually.
    void drain();
    // Stops accepting connections. Open requests are still answered, after which their connections
    // are closed.
    void stop();
    std::uint32_t connections() const;

    struct shared;
    class listener;

private:
    std::shared_ptr<shared> m_shared;
    std::shared_ptr<listener> m_listener;
};

} // namespace egretledge

#endif
