#ifndef EGRETLEDGE_REVIEW_STANDIN_3_NET_HPP
#define EGRETLEDGE_REVIEW_STANDIN_3_NET_HPP

// A small blocking HTTP/1.1 server and client on loopback addresses. Each connection has a thread.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using std::chrono::milliseconds;

// Milliseconds of the steady clock.
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

struct message
{
    std::string method;
    std::string target;
    unsigned status = 0;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    // Returns a parameter of the query, without percent-decoding.
    std::string query(const std::string& name) const
    {
        const auto start = target.find('?');
        if (start == std::string::npos)
            return "";
        const std::string text = "&" + target.substr(start + 1) + "&";
        const auto at = text.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        const auto from = at + name.size() + 2;
        return text.substr(from, text.find('&', from) - from);
    }
    std::string path() const { return target.substr(0, target.find('?')); }
};

inline sockaddr_in endpoint(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline bool send_all(int fd, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();)
    {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Why a read of a message ended.
enum class read_result
{
    whole,
    closed,
    timed_out
};

// Reads one message with a Content-Length body. `rest` keeps what was read beyond it. `limit_ms` is
// a time of now_ms(); 0: none.
inline read_result read_message(int fd, std::string& rest, message& out, std::int64_t limit_ms = 0)
{
    std::size_t head_size = std::string::npos;
    std::size_t body_size = 0;
    for (;;)
    {
        if (head_size == std::string::npos && rest.find("\r\n\r\n") != std::string::npos)
        {
            head_size = rest.find("\r\n\r\n") + 4;
            out = {};
            std::size_t line_start = 0;
            for (std::size_t line = 0; line_start < head_size - 2; ++line)
            {
                const auto end = rest.find("\r\n", line_start);
                const auto text = rest.substr(line_start, end - line_start);
                line_start = end + 2;
                if (line == 0)
                {
                    const auto first = text.find(' ');
                    const auto second = text.find(' ', first + 1);
                    out.method = text.substr(0, first);
                    out.target = text.substr(first + 1, second - first - 1);
                    if (text.starts_with("HTTP/"))
                        out.status = static_cast<unsigned>(std::atoi(out.target.c_str()));
                    continue;
                }
                const auto colon = text.find(':');
                if (colon == std::string::npos)
                    continue;
                auto name = text.substr(0, colon);
                for (auto& c : name)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                auto value = text.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                out.headers[name] = value;
            }
            body_size = std::strtoul(out.header("content-length").c_str(), nullptr, 10);
        }
        if (head_size != std::string::npos && rest.size() >= head_size + body_size)
        {
            out.body = rest.substr(head_size, body_size);
            rest.erase(0, head_size + body_size);
            return read_result::whole;
        }
        if (limit_ms > 0)
        {
            const auto left = limit_ms - now_ms();
            pollfd item{fd, POLLIN, 0};
            if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) == 0)
                return read_result::timed_out;
        }
        char buffer[65536];
        const auto n = ::recv(fd, buffer, sizeof buffer, 0);
        if (n <= 0)
            return read_result::closed;
        rest.append(buffer, static_cast<std::size_t>(n));
    }
}

struct reply
{
    unsigned status = 200;
    std::string body = "{}";
    std::string content_type = "application/json";
};

// Serves requests until it is destroyed. The handler may block.
class server
{
public:
    using handler = std::function<reply(const message&)>;

    server(const std::string& ip, std::uint16_t port, handler on_request)
        : m_handler(std::move(on_request)),
          m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = endpoint(ip, port);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(m_listener, 256) != 0)
            throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
        m_accepting = std::thread([this] { accept_connections(); });
    }
    ~server()
    {
        m_stopping = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open)
                ::shutdown(fd, SHUT_RDWR);
        }
        while (m_threads > 0)
            std::this_thread::sleep_for(milliseconds{2});
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

private:
    void accept_connections()
    {
        while (!m_stopping)
        {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_threads;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd)
    {
        std::string rest;
        message request;
        while (!m_stopping && read_message(fd, rest, request) == read_result::whole)
        {
            const auto answer = m_handler(request);
            if (!send_all(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                                  " X\r\nContent-Type: " + answer.content_type +
                                  "\r\nContent-Length: " + std::to_string(answer.body.size()) +
                                  "\r\n\r\n" + answer.body))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_open.erase(fd);
        }
        ::close(fd);
        --m_threads;
    }

    handler m_handler;
    int m_listener;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_threads{0};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_accepting;
};

// A caller's connection.
class connection
{
public:
    connection(const std::string& ip, std::uint16_t port)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto address = endpoint(ip, port);
        m_connected = ::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    ~connection() { ::close(m_fd); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool connected() const { return m_connected; }
    bool send(const std::string& method, const std::string& host, const std::string& path,
              const std::string& body, int timeout_ms)
    {
        return send_all(m_fd, method + " " + path + " HTTP/1.1\r\nHost: " + host +
                                  "\r\nContent-Type: application/json\r\nTimeout-Ms: " +
                                  std::to_string(timeout_ms) + "\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    read_result receive(message& out, int timeout_ms)
    {
        return read_message(m_fd, m_rest, out, now_ms() + timeout_ms);
    }

private:
    int m_fd;
    bool m_connected = false;
    std::string m_rest;
};

} // namespace review

#endif
