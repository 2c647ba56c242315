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
#include <memory>

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

    // The most requests that wait for a connection to one address. A request to a worker carries a
    // job's payload of up to 4 KB, so they take about 2 MB.
    static constexpr std::size_t max_waiting_requests = 512;

    // Enough for a page of egretd's log, which is bounded in records but not in bytes.
    static constexpr std::uint64_t default_max_reply_bytes = 256ULL << 20;

    // Opens at most `connections` connections to one address at a time; up to max_waiting_requests
    // further requests wait within their timeout. What can't be sent is `unreachable`. A connection
    // that was idle for `idle_timeout` is closed, because the server may be closing it. A request
    // whose reply has a body of more than `max_reply_bytes` is `timed_out`.
    http_client(boost::asio::io_context& context, std::uint32_t connections,
                milliseconds idle_timeout = std::chrono::minutes{1},
                std::uint64_t max_reply_bytes = default_max_reply_bytes);
    ~http_client();

    // Sends one request. The callback runs once, on a thread of the context.
    void send(http_call call, callback done);

    // Numbers of all addresses together.
    struct totals
    {
        std::atomic<std::uint64_t> connections_in_use{0};
        std::atomic<std::uint64_t> idle_connections{0};
        std::atomic<std::uint64_t> waiting_requests{0};   // for a free connection
        std::atomic<std::uint64_t> opened_connections{0}; // so far
        std::atomic<std::uint64_t> failed_requests{0};    // so far; without a whole reply
    };
    const totals& counts() const { return *m_totals; }
    // Returns the number of addresses to which a connection or a request is open.
    std::size_t addresses() const;

    class pool;
    struct pool_map;

private:
    boost::asio::io_context& m_context;
    std::uint32_t m_connections;
    milliseconds m_idle_timeout;
    std::uint64_t m_max_reply_bytes;
    std::shared_ptr<pool_map> m_pools;
    std::shared_ptr<totals> m_totals = std::make_shared<totals>();
};

// Sends one request on a new connection and blocks until it ends; for command-line tools.
expected<http_reply> http_send(http_call call);

} // namespace egretledge

#endif
