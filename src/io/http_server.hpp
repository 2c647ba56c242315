#ifndef EGRETLEDGE_IO_HTTP_SERVER_HPP
#define EGRETLEDGE_IO_HTTP_SERVER_HPP

// An HTTP/1.1 server over Boost.Beast, with or without TLS. Requests go to one handler, which
// answers now or later through the responder it is given, from any thread, once.

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
    std::string bearer;           // of the Authorization header
    std::string idempotency_key;  // of the header of that name
    std::string host;             // of the Host header
    std::uint32_t timeout_ms = 0; // of the Timeout-Ms header; 0 if absent or not a number
    // Tells one request of this server from another; see http_server_settings::on_disconnect.
    std::uint64_t number = 0;
};

struct http_response
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::uint32_t retry_after_s = 0; // 0: no such header
};

using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0: any free one
    std::uint32_t header_limit = 8192;
    std::uint64_t body_limit = 8ULL << 20;
    std::uint32_t max_connections = 10000;
    // How long a caller may take to send one request, and to take one answer.
    std::chrono::milliseconds transfer_timeout{10000};
    // How long a connection may be idle between requests.
    std::chrono::milliseconds idle_timeout{60000};
    std::string certificate_file; // PEM; empty: no TLS
    std::string key_file;
    // Called with a request's number when its connection ends before it was answered. Without TLS
    // only. The responder may still be called, to no effect.
    std::function<void(std::uint64_t)> on_disconnect;
};

class http_server
{
public:
    // Listens at once. Throws boost::system::system_error if the address cannot be had, or a
    // certificate cannot be read.
    http_server(boost::asio::io_context& context, http_server_settings settings,
                http_handler handler);
    ~http_server();

    std::uint16_t port() const;
    // From now on every answer ends its connection, so that callers move elsewhere one by one.
    void drain();
    // Accepts no more connections; open requests are still answered, then closed.
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
