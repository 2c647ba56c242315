// Each address has a pool on its own strand, which holds the idle connections, the number of
// connections in use, and the queue of waiting requests. A request uses an idle connection, opens a
// new one, or waits; a timer refuses waiting requests at their time limits. Another timer closes
// the connections that stay idle. A pool with neither connections nor requests removes itself from
// the client's map, so that what is kept follows the addresses in use. A request is counted under
// the map's mutex before it is posted to the strand. The pool is therefore not removed under it,
// and there is never a second pool for the same address.
//
// The server may have closed an idle connection in the meantime. If writing the request fails, or
// the connection ends before any byte of the response, the request may still have arrived. This is
// reported as timed_out and never retried here, because only the caller knows whether its request
// is idempotent.

#include "io/http_client.hpp"
#include "io/ip_port.hpp"
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <mutex>
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

expected<tcp::endpoint> parse_address(const std::string& address)
{
    const auto parts = parse_ip_port(address);
    if (!parts)
        return tl::make_unexpected(parts.error());
    return tcp::endpoint{net::ip::make_address(parts->ip), parts->port};
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

// Keep-alive probes detect a connection that went silent without a reset within about 3 s, also
// while a long poll is open on it.
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

// The pools by address. The pools outlive the client while their operations are pending.
struct http_client::pool_map
{
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<pool>> pools;
};

class http_client::pool : public std::enable_shared_from_this<pool>
{
public:
    pool(net::io_context& context, std::weak_ptr<pool_map> pools, std::string address,
         std::uint32_t max_connections, milliseconds idle_timeout, std::uint64_t max_reply_bytes,
         std::shared_ptr<http_client::totals> totals)
        : m_strand(net::make_strand(context)), m_pools(std::move(pools)),
          m_address(std::move(address)), m_max_connections(max_connections),
          m_idle_timeout(idle_timeout), m_max_reply_bytes(max_reply_bytes),
          m_waiting_timer(m_strand), m_idle_timer(m_strand), m_totals(std::move(totals))
    {
    }

    // Announces one call of send(). The caller holds the map's mutex.
    void expect_request() { ++m_expected_requests; }

    void send(http_call call, callback done)
    {
        net::post(
            m_strand,
            [self = shared_from_this(), call = std::move(call), done = std::move(done)]() mutable
            {
                --self->m_expected_requests;
                if (self->m_waiting.size() >= max_waiting_requests)
                    return self->refuse(done, "too many requests wait for a connection");
                const auto deadline = std::chrono::steady_clock::now() + call.timeout;
                ++self->m_totals->waiting_requests;
                self->m_waiting.push_back({std::move(call), std::move(done), deadline});
                self->start_waiting_requests();
                if (!self->m_waiting.empty())
                    self->refuse_overdue_at(deadline);
                self->remove_if_unused();
            });
    }

private:
    struct request
    {
        http_call call;
        callback done;
        std::chrono::steady_clock::time_point deadline; // for a connection to become free
    };
    struct connection
    {
        explicit connection(const net::strand<net::io_context::executor_type>& strand)
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
    using connection_ptr = std::shared_ptr<connection>;

    // The time of the next refusal while no request waits.
    static constexpr auto no_refusal = std::chrono::steady_clock::time_point::max();

    void start_waiting_requests()
    {
        while (!m_waiting.empty() && m_connections_in_use < m_max_connections)
        {
            auto request = std::move(m_waiting.front());
            m_waiting.pop_front();
            --m_totals->waiting_requests;
            if (std::chrono::steady_clock::now() >= request.deadline)
            {
                refuse(request.done, "no connection was free");
                continue;
            }
            ++m_connections_in_use;
            ++m_totals->connections_in_use;
            start_request(std::move(request));
        }
    }

    // Ends a request of which nothing was sent.
    void refuse(const callback& done, const char* reason) const
    {
        done(tl::make_unexpected(error{error_kind::unreachable, m_address + ": " + reason}));
    }

    // Sets the timer that refuses overdue requests to `deadline` unless it is set to an earlier
    // time.
    void refuse_overdue_at(std::chrono::steady_clock::time_point deadline)
    {
        if (deadline >= m_next_refusal)
            return;
        m_next_refusal = deadline;
        m_waiting_timer.expires_at(deadline);
        m_waiting_timer.async_wait(
            [weak = weak_from_this()](error_code code)
            {
                const auto self = weak.lock();
                if (code || !self)
                    return;
                self->m_next_refusal = no_refusal;
                self->refuse_overdue_requests();
                self->remove_if_unused();
            });
    }

    void refuse_overdue_requests()
    {
        const auto now = std::chrono::steady_clock::now();
        std::vector<callback> overdue;
        auto next_refusal = no_refusal;
        for (auto& request : m_waiting)
            if (request.deadline <= now)
                overdue.push_back(std::move(request.done));
            else
                next_refusal = std::min(next_refusal, request.deadline);
        std::erase_if(m_waiting, [now](const request& r) { return r.deadline <= now; });
        m_totals->waiting_requests -= overdue.size();
        refuse_overdue_at(next_refusal);
        for (const auto& done : overdue)
            refuse(done, "no connection was free");
    }

    // Closes the connections that have been idle for at least m_idle_timeout. m_idle is ordered by
    // age, with the most recently used connection at the back.
    void close_idle_connections()
    {
        const auto idle_cutoff = std::chrono::steady_clock::now() - m_idle_timeout;
        const auto first_current = std::find_if(m_idle.begin(), m_idle.end(),
                                                [&](const connection_ptr& conn)
                                                { return conn->idle_since > idle_cutoff; });
        for (auto stale = m_idle.begin(); stale != first_current; ++stale)
            (*stale)->stream.close();
        m_totals->idle_connections -= static_cast<std::uint64_t>(first_current - m_idle.begin());
        m_idle.erase(m_idle.begin(), first_current);
    }

    // Starts the timer that closes the connections that stay idle, unless it runs. The timer does
    // not own the pool, so that it doesn't outlive the client by the idle timeout.
    void watch_idle_connections()
    {
        if (m_idle.empty() || std::exchange(m_idle_timer_runs, true))
            return;
        m_idle_timer.expires_at(m_idle.front()->idle_since + m_idle_timeout);
        m_idle_timer.async_wait(
            [weak = weak_from_this()](error_code code)
            {
                const auto self = weak.lock();
                if (code || !self)
                    return;
                self->m_idle_timer_runs = false;
                self->close_idle_connections();
                self->watch_idle_connections();
                self->remove_if_unused();
            });
    }

    // Removes the pool from the client's map unless it has connections or requests. It may already
    // be removed, and another pool may be in its place.
    void remove_if_unused()
    {
        if (m_connections_in_use > 0 || !m_waiting.empty() || !m_idle.empty())
            return;
        const auto map = m_pools.lock();
        if (!map)
            return;
        const std::lock_guard lock(map->mutex);
        const auto entry = map->pools.find(m_address);
        if (m_expected_requests == 0 && entry != map->pools.end() && entry->second.get() == this)
            map->pools.erase(entry);
    }

    void start_request(request next_request)
    {
        close_idle_connections();
        const bool reused = !m_idle.empty();
        auto conn = reused ? m_idle.back() : std::make_shared<connection>(m_strand);
        if (reused)
        {
            m_idle.pop_back();
            --m_totals->idle_connections;
        }
        const auto timeout = next_request.call.timeout;
        conn->done = std::move(next_request.done);
        // Checked before the message is made: a header field has a maximum size.
        const auto endpoint = parse_address(m_address);
        if (!endpoint)
            return finish(conn, tl::make_unexpected(endpoint.error()), false);
        conn->message = to_message(next_request.call);
        conn->parser.emplace();
        conn->parser->body_limit(m_max_reply_bytes);
        conn->stream.expires_after(timeout);
        if (reused)
            return write(conn);
        ++m_totals->opened_connections;
        conn->stream.async_connect(
            *endpoint,
            [self = shared_from_this(), conn](error_code code)
            {
                if (code)
                    return self->finish(
                        conn,
                        tl::make_unexpected(error{error_kind::unreachable,
                                                  self->m_address + ": " + code.message()}),
                        false);
                set_socket_options(conn->stream.socket());
                self->write(conn);
            });
    }

    void write(const connection_ptr& conn)
    {
        http::async_write(conn->stream, conn->message,
                          [self = shared_from_this(), conn](error_code code, std::size_t)
                          {
                              if (code)
                                  return self->fail(conn, code);
                              self->read(conn);
                          });
    }

    void read(const connection_ptr& conn)
    {
        http::async_read(conn->stream, conn->buffer, *conn->parser,
                         [self = shared_from_this(), conn](error_code code, std::size_t)
                         {
                             if (code)
                                 return self->fail(conn, code);
                             auto& reply = conn->parser->get();
                             const bool keep_alive = reply.keep_alive();
                             self->finish(conn,
                                          http_reply{reply.result_int(), std::move(reply.body())},
                                          keep_alive);
                         });
    }

    void fail(const connection_ptr& conn, error_code code)
    {
        finish(conn,
               tl::make_unexpected(error{error_kind::timed_out, m_address + ": " + code.message()}),
               false);
    }

    void finish(const connection_ptr& conn, expected<http_reply> result, bool keep_alive)
    {
        m_totals->failed_requests += result ? 0 : 1;
        --m_connections_in_use;
        --m_totals->connections_in_use;
        const auto done = std::move(conn->done);
        if (keep_alive)
        {
            conn->stream.expires_never();
            conn->idle_since = std::chrono::steady_clock::now();
            m_idle.push_back(conn);
            ++m_totals->idle_connections;
            watch_idle_connections();
        }
        else
            conn->stream.close();
        done(std::move(result));
        start_waiting_requests();
        remove_if_unused();
    }

    net::strand<net::io_context::executor_type> m_strand;
    std::weak_ptr<pool_map> m_pools;
    std::string m_address;
    std::uint32_t m_max_connections;
    milliseconds m_idle_timeout;
    std::uint64_t m_max_reply_bytes;
    std::uint32_t m_connections_in_use = 0;
    std::deque<request> m_waiting;
    net::steady_timer m_waiting_timer;
    std::chrono::steady_clock::time_point m_next_refusal = no_refusal;
    std::vector<connection_ptr> m_idle;
    net::steady_timer m_idle_timer;
    bool m_idle_timer_runs = false;
    // Requests that were announced and have not reached the strand.
    std::atomic<std::uint32_t> m_expected_requests{0};
    std::shared_ptr<http_client::totals> m_totals;
};

http_client::http_client(net::io_context& context, std::uint32_t connections,
                         milliseconds idle_timeout, std::uint64_t max_reply_bytes)
    : m_context(context), m_connections(connections), m_idle_timeout(idle_timeout),
      m_max_reply_bytes(max_reply_bytes), m_pools(std::make_shared<pool_map>())
{
}

http_client::~http_client() = default;

void http_client::send(http_call call, callback done)
{
    std::shared_ptr<pool> target;
    {
        const std::lock_guard lock(m_pools->mutex);
        auto& entry = m_pools->pools[call.address];
        if (!entry)
            entry = std::make_shared<pool>(m_context, m_pools, call.address, m_connections,
                                           m_idle_timeout, m_max_reply_bytes, m_totals);
        entry->expect_request();
        target = entry;
    }
    target->send(std::move(call), std::move(done));
}

std::size_t http_client::addresses() const
{
    const std::lock_guard lock(m_pools->mutex);
    return m_pools->pools.size();
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
