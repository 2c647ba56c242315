// Each address has a pool on its own strand: idle connections, the number in use, and the requests
// that wait. A request takes an idle connection, or opens one, or waits.
//
// A kept connection may have been closed by the other side meanwhile. If writing the request fails,
// or the connection ends before any byte of an answer, the request may still have arrived: that is
// reported as timed_out, never repeated here. Whoever asked knows whether repeating is safe.

#include "io/http_client.hpp"
#include <boost/asio/connect.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <netinet/tcp.h>

namespace egretledge
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using error_code = boost::system::error_code;

namespace
{

constexpr std::uint64_t reply_limit = 256ULL << 20;

expected<tcp::endpoint> parse_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    error_code code;
    const auto ip = net::ip::make_address(address.substr(0, colon), code);
    int port = 0;
    if (!code && colon != std::string::npos)
        port = std::atoi(address.c_str() + colon + 1);
    if (code || port <= 0 || port > 65535)
        return tl::make_unexpected(
            error{error_kind::bad_input, "'" + address + "' is not IP:PORT"});
    return tcp::endpoint{ip, static_cast<std::uint16_t>(port)};
}

http::request<http::string_body> to_message(http_call& call)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(call.method);
    message.target(call.target);
    message.set(http::field::host, call.address);
    if (!call.body.empty() || call.method == "POST")
        message.set(http::field::content_type, call.content_type);
    if (!call.bearer.empty())
        message.set(http::field::authorization, "Bearer " + call.bearer);
    if (!call.idempotency_key.empty())
        message.set("Idempotency-Key", call.idempotency_key);
    for (const auto& [name, value] : call.headers)
        message.set(name, value);
    message.body() = std::move(call.body);
    message.prepare_payload();
    return message;
}

// A connection that went silent without a reset is found by keep-alive probes within about 3 s,
// also while a long poll waits on it.
void set_socket_options(tcp::socket& socket)
{
    constexpr int probe_s = 1;
    constexpr int probes = 2;
    constexpr int unacknowledged_ms = 3000;
    const auto handle = socket.native_handle();
    const auto set = [&](int level, int name, int value)
    { return ::setsockopt(handle, level, name, &value, sizeof value) == 0; };
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(net::socket_base::keep_alive(true), ignored);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probe_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probe_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

} // namespace

class http_client::pool : public std::enable_shared_from_this<pool>
{
public:
    pool(net::io_context& context, std::string address, std::uint32_t most, milliseconds idle_limit)
        : m_strand(net::make_strand(context)), m_address(std::move(address)), m_most(most),
          m_idle_limit(idle_limit)
    {
    }

    void send(http_call call, callback done)
    {
        net::post(
            m_strand,
            [self = shared_from_this(), call = std::move(call), done = std::move(done)]() mutable
            {
                self->m_waiting.push_back(
                    {std::move(call), std::move(done), std::chrono::steady_clock::now()});
                self->next();
            });
    }

private:
    struct request
    {
        http_call call;
        callback done;
        std::chrono::steady_clock::time_point since;
    };
    struct exchange
    {
        explicit exchange(const net::strand<net::io_context::executor_type>& strand)
            : stream(strand)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::string_body> message;
        std::optional<http::response_parser<http::string_body>> parser;
        callback done;
        std::chrono::steady_clock::time_point idle_since;
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    void next()
    {
        while (!m_waiting.empty() && m_used < m_most)
        {
            auto request = std::move(m_waiting.front());
            m_waiting.pop_front();
            const auto waited = std::chrono::steady_clock::now() - request.since;
            if (waited >= request.call.timeout)
            {
                request.done(tl::make_unexpected(
                    error{error_kind::unreachable, m_address + ": no connection was free"}));
                continue;
            }
            ++m_used;
            begin(std::move(request));
        }
    }

    // Drops the connections that have been idle for too long; the newest is at the back.
    void drop_stale()
    {
        const auto limit = std::chrono::steady_clock::now() - m_idle_limit;
        const auto fresh =
            std::find_if(m_idle.begin(), m_idle.end(),
                         [&](const exchange_ptr& work) { return work->idle_since > limit; });
        for (auto stale = m_idle.begin(); stale != fresh; ++stale)
            (*stale)->stream.close();
        m_idle.erase(m_idle.begin(), fresh);
    }

    void begin(request wanted)
    {
        drop_stale();
        const bool kept = !m_idle.empty();
        auto work = kept ? m_idle.back() : std::make_shared<exchange>(m_strand);
        if (kept)
            m_idle.pop_back();
        const auto timeout = wanted.call.timeout;
        work->done = std::move(wanted.done);
        work->message = to_message(wanted.call);
        work->parser.emplace();
        work->parser->body_limit(reply_limit);
        work->stream.expires_after(timeout);
        if (kept)
            return write(work);
        const auto endpoint = parse_address(m_address);
        if (!endpoint)
            return finish(work, tl::make_unexpected(endpoint.error()), false);
        work->stream.async_connect(
            *endpoint,
            [self = shared_from_this(), work](error_code code)
            {
                if (code)
                    return self->finish(
                        work,
                        tl::make_unexpected(error{error_kind::unreachable,
                                                  self->m_address + ": " + code.message()}),
                        false);
                set_socket_options(work->stream.socket());
                self->write(work);
            });
    }

    void write(const exchange_ptr& work)
    {
        http::async_write(work->stream, work->message,
                          [self = shared_from_this(), work](error_code code, std::size_t)
                          {
                              if (code)
                                  return self->fail(work, code);
                              self->read(work);
                          });
    }

    void read(const exchange_ptr& work)
    {
        http::async_read(
            work->stream, work->buffer, *work->parser,
            [self = shared_from_this(), work](error_code code, std::size_t)
            {
                if (code)
                    return self->fail(work, code);
                auto& reply = work->parser->get();
                const bool keep = reply.keep_alive();
                self->finish(work, http_reply{reply.result_int(), std::move(reply.body())}, keep);
            });
    }

    void fail(const exchange_ptr& work, error_code code)
    {
        finish(work,
               tl::make_unexpected(error{error_kind::timed_out, m_address + ": " + code.message()}),
               false);
    }

    void finish(const exchange_ptr& work, expected<http_reply> result, bool keep)
    {
        --m_used;
        const auto done = std::move(work->done);
        if (keep)
        {
            work->stream.expires_never();
            work->idle_since = std::chrono::steady_clock::now();
            m_idle.push_back(work);
        }
        else
            work->stream.close();
        done(std::move(result));
        next();
    }

    net::strand<net::io_context::executor_type> m_strand;
    std::string m_address;
    std::uint32_t m_most;
    milliseconds m_idle_limit;
    std::uint32_t m_used = 0;
    std::deque<request> m_waiting;
    std::vector<exchange_ptr> m_idle;
};

http_client::http_client(net::io_context& context, std::uint32_t connections,
                         milliseconds idle_limit)
    : m_context(context), m_connections(connections), m_idle_limit(idle_limit)
{
}

http_client::~http_client() = default;

void http_client::send(http_call call, callback done)
{
    std::shared_ptr<pool> target;
    {
        const std::lock_guard lock(m_guard);
        auto& entry = m_pools[call.address];
        if (!entry)
            entry = std::make_shared<pool>(m_context, call.address, m_connections, m_idle_limit);
        target = entry;
    }
    target->send(std::move(call), std::move(done));
}

expected<http_reply> http_send(http_call call)
{
    net::io_context context;
    http_client client(context, 1);
    expected<http_reply> result =
        tl::make_unexpected(error{error_kind::internal, "the request did not end"});
    bool ended = false;
    client.send(std::move(call),
                [&](expected<http_reply> reply)
                {
                    result = std::move(reply);
                    ended = true;
                });
    while (!ended && context.run_one() > 0)
    {
    }
    return result;
}

} // namespace egretledge
