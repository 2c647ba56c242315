#ifndef EGRETLEDGE_IO_HTTP_CLIENT_HPP
#define EGRETLEDGE_IO_HTTP_CLIENT_HPP

// An HTTP/1.1 client with a small pool of kept connections for each address.
//
// The error of a failed request tells what can be concluded: `unreachable` means that no byte of
// it was sent, so it had no effect; anything else means that it may have taken effect.

#include "egretledge/types.hpp"
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

    // At most `connections` at once to one address; further requests wait within their timeout. A
    // connection that was idle for `idle_timeout` is not used again, since the other side may be
    // closing it.
    http_client(boost::asio::io_context& context, std::uint32_t connections,
                milliseconds idle_timeout = std::chrono::minutes{1});
    ~http_client();

    // The callback runs on a thread of the context, once.
    void send(http_call call, callback done);

    class pool;

private:
    boost::asio::io_context& m_context;
    std::uint32_t m_connections;
    milliseconds m_idle_timeout;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<pool>> m_pools;
};

// One request on a connection of its own, for command-line tools; blocks.
expected<http_reply> http_send(http_call call);

} // namespace egretledge

#endif
