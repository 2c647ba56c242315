#ifndef EGRETLEDGE_IO_HTTP_CLIENT_HPP
#define EGRETLEDGE_IO_HTTP_CLIENT_HPP

// An HTTP/1.1 client with a small pool of persistent connections for each address.
//
// The error of a failed request says whether the request may have taken effect: `unreachable` means
// that no byte of it was sent, so it had no effect. After any other error it may have taken effect.

#include "egretledge/types.hpp"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace egretledge
{

struct http_reply
{
    unsigned status = 0;
    std::string body;
};

struct http_call
{
    std::string address; // IP:PORT
    std::string method = "POST";
    std::string target;
    std::string body;
    std::string content_type = "application/json";
    std::string bearer;
    std::string idempotency_key;
    std::vector<std::pair<std::string, std::string>> headers;
    milliseconds timeout{1000};
};

class http_client
{
public:
    using callback = std::function<void(expected<http_reply>)>;

    // Opens at most `connections` connections to one address at a time; further requests wait
    // within their timeout. A connection that was idle for `idle_timeout` is not reused, because
    // the server may be closing it.
    http_client(boost::asio::io_context& context, std::uint32_t connections,
                milliseconds idle_timeout = std::chrono::minutes{1});
    ~http_client();

    // Sends one request. The callback runs once, on a thread of the context.
    void send(http_call call, callback done);

    // Numbers of all addresses together.
    struct totals
    {
        std::atomic<std::uint64_t> connections_in_use{0};
        std::atomic<std::uint64_t> idle_connections{0};
        std::atomic<std::uint64_t> waiting_requests{0}; // for a free connection
    };
    const totals& counts() const { return *m_totals; }

    class pool;

private:
    boost::asio::io_context& m_context;
    std::uint32_t m_connections;
    milliseconds m_idle_timeout;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<pool>> m_pools;
    std::shared_ptr<totals> m_totals = std::make_shared<totals>();
};

// Sends one request on a new connection and blocks until it ends; for command-line tools.
expected<http_reply> http_send(http_call call);

} // namespace egretledge

#endif
