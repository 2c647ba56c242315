#ifndef EGRETLEDGE_REVIEW_HTTP_HPP
#define EGRETLEDGE_REVIEW_HTTP_HPP

// A blocking HTTP/1.1 server and client on loopback addresses, with a thread for each connection.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct response
{
    int status = 0; // 0: no complete response arrived
    std::string body;
    std::string content_type = "application/json";
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

inline sockaddr_in loopback(std::uint16_t port, const std::string& ip = "127.0.0.1")
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
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads one message with a Content-Length into its start line, headers and body. `buffer` keeps
// the bytes that follow it. Returns false if the connection ends, fails, or `until` passes.
inline bool read_message(int fd, std::string& buffer, std::string& start_line,
                         std::map<std::string, std::string>& headers, std::string& body,
                         steady::time_point until)
{
    const auto read_more = [&]
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - steady::now()).count() + 1;
        pollfd waiting{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(std::min<long>(left, 600000))) <= 0)
            return false;
        char bytes[16384];
        const auto count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!read_more())
            return false;
    auto head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    const auto line_end = head.find("\r\n");
    start_line = head.substr(0, line_end);
    headers.clear();
    for (auto at = line_end; at != std::string::npos;)
    {
        const auto next = head.find("\r\n", at + 2);
        const auto line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            const auto value = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        at = next;
    }
    const auto length = headers.find("content-length");
    const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size)
        if (!read_more())
            return false;
    body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

class server
{
public:
    using handler = std::function<response(const request&)>;

    explicit server(handler on_request) : m_handler(std::move(on_request)) { start(); }
    ~server() { stop(); }

    std::uint16_t port() const { return m_port; }

    // Starts to listen, at the same port as before if there was one.
    void start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const int yes = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        auto address = loopback(m_port);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(m_listener, 512) != 0)
            throw std::runtime_error("cannot listen at port " + std::to_string(m_port));
        socklen_t size = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_running = true;
        m_acceptor = std::thread([this] { accept(); });
    }

    // Closes the listening socket and resets all connections, like the end of a process.
    void stop()
    {
        if (!m_running.exchange(false))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open)
            {
                const linger reset{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        while (m_threads > 0)
            std::this_thread::sleep_for(milliseconds{1});
    }
    bool running() const { return m_running; }

private:
    void accept()
    {
        while (m_running)
        {
            const int fd = ::accept(m_listener, nullptr, nullptr);
            if (fd < 0)
                continue;
            const std::lock_guard lock(m_mutex);
            m_open.insert(fd);
            ++m_threads;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        const int yes = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        std::string buffer;
        std::string line;
        request got;
        while (m_running && read_message(fd, buffer, line, got.headers, got.body,
                                         steady::now() + std::chrono::seconds{60}))
        {
            const auto first = line.find(' ');
            const auto target = line.substr(first + 1, line.rfind(' ') - first - 1);
            got.method = line.substr(0, first);
            got.path = target.substr(0, target.find('?'));
            got.query.clear();
            for (auto at = target.find('?'); at != std::string::npos;)
            {
                const auto next = target.find('&', at + 1);
                const auto item =
                    target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
                const auto equals = item.find('=');
                if (equals != std::string::npos)
                    got.query[item.substr(0, equals)] = item.substr(equals + 1);
                at = next;
            }
            const auto answer = m_handler(got);
            if (!m_running || answer.status == 0)
                break;
            if (!send_all(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                                  " -\r\nContent-Type: " + answer.content_type +
                                  "\r\nContent-Length: " + std::to_string(answer.body.size()) +
                                  "\r\n\r\n" + answer.body))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        ::close(fd);
        --m_threads;
    }

    handler m_handler;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_running{false};
    std::atomic<int> m_threads{0};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
};

// A client's connection. A request that fails or times out closes it.
class channel
{
public:
    explicit channel(std::uint16_t port, const std::string& ip = "127.0.0.1") : m_port(port)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int yes = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const auto address = loopback(port, ip);
        if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            close();
    }
    ~channel() { close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    std::uint16_t port() const { return m_port; }
    bool open() const { return m_fd >= 0; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    // Sends a request and waits up to `wait` for the response.
    response call(const std::string& method, const std::string& path, const std::string& host,
                  const std::string& body, milliseconds wait, int timeout_ms = 0)
    {
        response answer;
        const auto until = steady::now() + wait;
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
        if (timeout_ms > 0)
            text += "Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
        if (!body.empty())
            text += "Content-Type: application/json\r\n";
        if (method != "GET")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        std::string line;
        std::map<std::string, std::string> headers;
        if (m_fd < 0 || !send_all(m_fd, text + "\r\n" + body) ||
            !read_message(m_fd, m_buffer, line, headers, answer.body, until))
        {
            close();
            return answer;
        }
        answer.status = std::stoi(line.substr(line.find(' ') + 1));
        if (lower(headers["connection"]) == "close")
            close();
        return answer;
    }

private:
    std::uint16_t m_port;
    int m_fd = -1;
    std::string m_buffer;
};

// Returns ports that are free now.
inline std::vector<std::uint16_t> free_ports(std::size_t count)
{
    std::vector<int> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = loopback(0);
        socklen_t size = sizeof address;
        if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0)
            throw std::runtime_error("no free port");
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        sockets.push_back(fd);
        ports.push_back(ntohs(address.sin_port));
    }
    for (const int fd : sockets)
        ::close(fd);
    return ports;
}

} // namespace review

#endif
