// Each connection has one session object on its own strand. A session reads one request, passes it
// to the handler, and reads the next request only after the response is written. This bounds the
// work that one connection can queue. Each read has a timeout, so a slow or silent caller occupies
// only a small object. The bodies that are being received are counted together: a stated length
// before the body is read, a body in chunks as it grows.
//
// A session owns itself through shared pointers in its pending operations, as Asio requires, and
// shares the settings and the handler with the server.

#include "io/http_server.hpp"
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <charconv>

namespace egretledge
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using error_code = boost::system::error_code;

struct http_server::shared
{
    http_server_settings settings;
    http_handler handler;
    std::optional<net::ssl::context> tls;
    std::atomic<bool> draining{false};
    std::atomic<bool> stopping{false};
    std::atomic<std::uint32_t> connections{0};
    std::atomic<std::uint64_t> open_body_bytes{0};
    std::atomic<std::uint64_t> next_request_number{1};
};

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
// Bytes of the caller's next requests that a connection keeps while a request is open: one request
// of a usual size. What exceeds it stays in the socket.
constexpr std::size_t max_pipelined_bytes = 4096;

template <class Stream>
class session : public std::enable_shared_from_this<session<Stream>>
{
public:
    session(Stream stream, std::shared_ptr<http_server::shared> common)
        : m_stream(std::move(stream)), m_common(std::move(common))
    {
        ++m_common->connections;
    }
    ~session()
    {
        release_body();
        --m_common->connections;
    }

    void start()
    {
        if constexpr (std::is_same_v<Stream, beast::tcp_stream>)
            read();
        else
        {
            beast::get_lowest_layer(m_stream).expires_after(m_common->settings.transfer_timeout);
            m_stream.async_handshake(net::ssl::stream_base::server,
                                     [self = this->shared_from_this()](error_code code)
                                     {
                                         if (!code)
                                             self->read();
                                     });
        }
    }

private:
    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(m_common->settings.header_limit);
        m_parser->body_limit(m_common->settings.body_limit);
        beast::get_lowest_layer(m_stream).expires_after(m_common->settings.idle_timeout);
        http::async_read_header(m_stream, m_buffer, *m_parser,
                                [self = this->shared_from_this()](error_code code, std::size_t)
                                { self->on_header(code); });
    }

    void on_header(error_code code)
    {
        if (code)
            return reject(code);
        beast::get_lowest_layer(m_stream).expires_after(m_common->settings.transfer_timeout);
        read_body();
    }

    void read_body()
    {
        const auto stated = m_parser->content_length().value_or(0);
        if (!reserve_body(std::max<std::uint64_t>(stated, m_parser->get().body().size())))
            return refuse_body();
        if (m_parser->is_done())
            return on_request();
        http::async_read_some(m_stream, m_buffer, *m_parser,
                              [self = this->shared_from_this()](error_code code, std::size_t)
                              {
                                  if (code)
                                      return self->reject(code);
                                  self->read_body();
                              });
    }

    // Counts `size` bytes for the body that is being received, instead of what was counted for it
    // before. Returns false if the open bodies of all connections would then be too large.
    bool reserve_body(std::uint64_t size)
    {
        if (size <= m_reserved_bytes)
            return true;
        auto& open = m_common->open_body_bytes;
        auto before = open.load();
        std::uint64_t others = 0;
        do
        {
            others = before - m_reserved_bytes;
            if (others > 0 && others + size > m_common->settings.max_open_body_bytes)
                return false;
        } while (!open.compare_exchange_weak(before, others + size));
        m_reserved_bytes = size;
        return true;
    }

    void release_body() { m_common->open_body_bytes -= std::exchange(m_reserved_bytes, 0); }

    // Refuses a request whose body is not received. The answer is not that the request had no
    // effect, since the same request may have arrived before.
    void refuse_body()
    {
        m_keep_alive = false;
        m_parser.emplace();
        release_body();
        write({504, R"({"outcome":"unknown","kind":"overloaded","remedy":"send it again"})",
               "application/json", 0});
    }

    void reject(error_code code)
    {
        m_keep_alive = false;
        release_body();
        if (code == http::error::body_limit)
            return write({413, R"({"outcome":"rejected","kind":"too_large","remedy":"send less"})",
                          "application/json", 0});
        if (code == http::error::header_limit)
            return write({431,
                          R"({"outcome":"rejected","kind":"bad_request","remedy":"send less"})",
                          "application/json", 0});
        const bool malformed =
            code.category() == http::make_error_code(http::error::bad_method).category() &&
            code != http::error::end_of_stream && code != http::error::partial_message;
        if (malformed)
            return write({400,
                          R"({"outcome":"rejected","kind":"bad_request","remedy":"send HTTP/1.1"})",
                          "application/json", 0});
        close();
    }

    void on_request()
    {
        beast::get_lowest_layer(m_stream).expires_never();
        auto& message = m_parser->get();
        m_keep_alive = message.keep_alive();
        http_request request;
        request.method = std::string(message.method_string());
        const std::string target(message.target());
        const auto query_start = target.find('?');
        request.path = target.substr(0, query_start);
        request.query = query_start == std::string::npos ? "" : target.substr(query_start + 1);
        request.body = std::move(message.body());
        request.idempotency_key = std::string(message["Idempotency-Key"]);
        const std::string_view authorization = message[http::field::authorization];
        if (authorization.starts_with(bearer_prefix))
            request.bearer = std::string(authorization.substr(bearer_prefix.size()));
        request.host = std::string(message[http::field::host]);
        const std::string_view timeout = message["Timeout-Ms"];
        std::from_chars(timeout.data(), timeout.data() + timeout.size(), request.timeout_ms);
        request.number = m_common->next_request_number++;
        if constexpr (std::is_same_v<Stream, beast::tcp_stream>)
            if (m_common->settings.on_disconnect)
            {
                // The caller of a broken connection may already have sent the request to another
                // host, so it is not handled here.
                if (is_disconnected())
                    return close();
                watch_connection(request.number);
            }
        release_body();
        m_common->handler(std::move(request),
                          [self = this->shared_from_this()](http_response response)
                          {
                              net::post(self->m_stream.get_executor(),
                                        [self, response = std::move(response)]() mutable
                                        { self->write(std::move(response)); });
                          });
    }

    // Returns true if the caller has reset the connection, or has closed it and no bytes that it
    // sent before remain unread.
    bool is_disconnected()
    {
        char byte = 0;
        const auto got =
            ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN);
    }

    // Waits for the caller to close or reset the connection while its request is open.
    void watch_connection(std::uint64_t number)
    {
        m_watched_request = number;
        wait_for_disconnect();
    }

    // Bytes that arrive during the wait belong to the caller's next request. They are kept for it,
    // so that the end of the connection behind them is seen. Once `max_pipelined_bytes` are kept,
    // only a reset is noticed.
    void wait_for_disconnect()
    {
        const auto number = m_watched_request;
        const bool full = m_buffer.size() >= max_pipelined_bytes;
        m_stream.socket().async_wait(
            full ? tcp::socket::wait_error : tcp::socket::wait_read,
            [self = this->shared_from_this(), number, full](error_code code)
            {
                if (code || self->m_watched_request != number)
                    return;
                if (!full && self->receive_pipelined())
                    return self->wait_for_disconnect();
                self->m_watched_request = 0;
                self->m_keep_alive = false;
                self->m_common->settings.on_disconnect(number);
            });
    }

    // Moves bytes that have arrived into the buffer, up to `max_pipelined_bytes` in all. Returns
    // false if the connection has ended.
    bool receive_pipelined()
    {
        const auto space = m_buffer.prepare(max_pipelined_bytes - m_buffer.size());
        const auto got =
            ::recv(m_stream.socket().native_handle(), space.data(), space.size(), MSG_DONTWAIT);
        if (got > 0)
            m_buffer.commit(static_cast<std::size_t>(got));
        return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
    }

    void stop_watching()
    {
        if (std::exchange(m_watched_request, 0) == 0)
            return;
        error_code ignored;
        beast::get_lowest_layer(m_stream).socket().cancel(ignored);
    }

    void write(http_response response)
    {
        stop_watching();
        m_response = {};
        m_response.version(11);
        m_response.result(response.status);
        m_response.set(http::field::content_type, response.content_type);
        if (response.retry_after_s > 0)
            m_response.set(http::field::retry_after, std::to_string(response.retry_after_s));
        m_keep_alive = m_keep_alive && !m_common->draining;
        m_response.keep_alive(m_keep_alive);
        m_response.body() = std::move(response.body);
        m_response.prepare_payload();
        beast::get_lowest_layer(m_stream).expires_after(m_common->settings.transfer_timeout);
        http::async_write(m_stream, m_response,
                          [self = this->shared_from_this()](error_code code, std::size_t)
                          {
                              if (code || !self->m_keep_alive)
                                  return self->close();
                              self->read();
                          });
    }

    void close()
    {
        error_code ignored;
        beast::get_lowest_layer(m_stream).socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    Stream m_stream;
    std::shared_ptr<http_server::shared> m_common;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::uint64_t m_reserved_bytes = 0; // counted in shared::open_body_bytes
    bool m_keep_alive = true;
    std::uint64_t m_watched_request = 0; // the open request's number; 0 if not watched
};

} // namespace

// Accepts connections until it is closed. Its pending operation shares ownership of it, so that the
// server may be destroyed while a connection is being accepted.
class http_server::listener : public std::enable_shared_from_this<http_server::listener>
{
public:
    listener(net::io_context& context, std::shared_ptr<shared> common)
        : m_context(context), m_common(std::move(common)), m_acceptor(net::make_strand(context))
    {
        const auto& options = m_common->settings;
        const tcp::endpoint endpoint{net::ip::make_address(options.address), options.port};
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(net::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(net::socket_base::max_listen_connections);
        m_port = m_acceptor.local_endpoint().port();
    }

    std::uint16_t port() const { return m_port; }

    void accept()
    {
        m_acceptor.async_accept(net::make_strand(m_context),
                                [self = shared_from_this()](error_code code, tcp::socket socket)
                                { self->on_accept(code, std::move(socket)); });
    }

    void close()
    {
        net::post(m_acceptor.get_executor(),
                  [self = shared_from_this()]
                  {
                      error_code ignored;
                      self->m_acceptor.close(ignored);
                  });
    }

private:
    void on_accept(error_code code, tcp::socket socket)
    {
        if (code == net::error::operation_aborted || m_common->stopping)
            return;
        if (!code && m_common->connections < m_common->settings.max_connections)
            start_session(std::move(socket));
        accept();
    }

    void start_session(tcp::socket socket)
    {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        beast::tcp_stream stream(std::move(socket));
        if (!m_common->tls)
            return std::make_shared<session<beast::tcp_stream>>(std::move(stream), m_common)
                ->start();
        using secure = beast::ssl_stream<beast::tcp_stream>;
        std::make_shared<session<secure>>(secure(std::move(stream), *m_common->tls), m_common)
            ->start();
    }

    net::io_context& m_context;
    std::shared_ptr<shared> m_common;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
};

http_server::http_server(net::io_context& context, http_server_settings settings,
                         http_handler handler)
    : m_shared(std::make_shared<shared>())
{
    m_shared->settings = std::move(settings);
    m_shared->handler = std::move(handler);
    const auto& options = m_shared->settings;
    if (!options.certificate_file.empty())
    {
        m_shared->tls.emplace(net::ssl::context::tls_server);
        m_shared->tls->use_certificate_chain_file(options.certificate_file);
        m_shared->tls->use_private_key_file(options.key_file, net::ssl::context::pem);
    }
    m_listener = std::make_shared<listener>(context, m_shared);
    m_listener->accept();
}

http_server::~http_server()
{
    stop();
}

std::uint16_t http_server::port() const
{
    return m_listener->port();
}

std::uint32_t http_server::connections() const
{
    return m_shared->connections;
}

void http_server::drain()
{
    m_shared->draining = true;
}

void http_server::stop()
{
    drain();
    m_shared->stopping = true;
    m_listener->close();
}

} // namespace egretledge
