// Stand-ins of the platform for the cases of the second review: the store, executors and clients
// that follow PROTOCOL.md, and the processes under test. Header only; each case is one program.

#ifndef EGRETLEDGE_REVIEW_STANDIN_HPP
#define EGRETLEDGE_REVIEW_STANDIN_HPP

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin
{

namespace json = boost::json;
using clock_type = std::chrono::steady_clock;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

inline const clock_type::time_point program_start = clock_type::now();

// Milliseconds since the program started.
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - program_start)
        .count();
}

inline void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time});
}

inline void sleep_until_ms(std::int64_t time)
{
    sleep_ms(std::max<std::int64_t>(0, time - now_ms()));
}

// Makes an object that lives until the process ends, since detached threads use it.
template <class Kept, class... Arguments>
Kept& keep(Arguments&&... arguments)
{
    return *new Kept(std::forward<Arguments>(arguments)...);
}

// Whether the disruption is made; TROUBLE=0 plays the case without it.
inline bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// record.txt: what was sent, answered and run, with the time in milliseconds.
class record
{
public:
    explicit record(const std::string& path) : m_file(path) {}
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << now_ms() << " " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct reply
{
    int status = 200;
    std::string body = "{}";
    std::string type = "application/json";
    bool drop = false; // ends the channel without an answer
};

inline std::string reason_of(int status)
{
    return status == 200 ? "OK" : "Status";
}

// Reads from `socket` into `buffer` until it contains a whole message; returns false at the end of
// the channel or after `timeout` ms (-1: none). A message's head ends at `head_end`.
inline bool read_message(int socket, std::string& buffer, std::size_t& head_end,
                         std::size_t& body_size, std::int64_t timeout = -1)
{
    const auto until = now_ms() + timeout;
    for (;;)
    {
        head_end = buffer.find("\r\n\r\n");
        if (head_end != std::string::npos)
        {
            head_end += 4;
            std::string head = buffer.substr(0, head_end);
            std::transform(head.begin(), head.end(), head.begin(), ::tolower);
            const auto field = head.find("content-length:");
            body_size = field == std::string::npos
                            ? 0
                            : std::strtoull(head.c_str() + field + 15, nullptr, 10);
            if (buffer.size() >= head_end + body_size)
                return true;
        }
        pollfd item{socket, POLLIN, 0};
        const auto left = timeout < 0 ? 1000 : std::max<std::int64_t>(0, until - now_ms());
        const int ready = ::poll(&item, 1, static_cast<int>(left));
        if (ready == 0 && timeout < 0)
            continue;
        char bytes[65536];
        const auto got = ready > 0 ? ::recv(socket, bytes, sizeof bytes, 0) : -1;
        if (got <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(got));
    }
}

inline bool write_all(int socket, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();)
    {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline sockaddr_in to_address(const std::string& address)
{
    sockaddr_in result{};
    const auto colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

// An HTTP/1.1 server; each channel has a thread, and each request on it is handled in turn.
class http_server
{
public:
    using handler = std::function<reply(const request&)>;
    http_server(const std::string& ip, handler handle) : m_handle(std::move(handle))
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = to_address(ip + ":0");
        socklen_t size = sizeof address;
        if (::bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(m_socket, 256) != 0)
            throw std::runtime_error("cannot listen on " + ip);
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_address = ip + ":" + std::to_string(ntohs(address.sin_port));
        std::thread([this] { accept(); }).detach();
    }
    const std::string& address() const { return m_address; }

private:
    void accept()
    {
        for (;;)
        {
            const int channel = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (channel < 0)
                continue;
            const int on = 1;
            ::setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, channel] { serve(channel); }).detach();
        }
    }
    void serve(int channel)
    {
        std::string buffer;
        std::size_t head_end = 0;
        std::size_t body_size = 0;
        while (read_message(channel, buffer, head_end, body_size))
        {
            auto message = parse(buffer.substr(0, head_end));
            message.body = buffer.substr(head_end, body_size);
            buffer.erase(0, head_end + body_size);
            const auto answer = m_handle(message);
            if (answer.drop ||
                !write_all(channel,
                           "HTTP/1.1 " + std::to_string(answer.status) + " " +
                               reason_of(answer.status) + "\r\nContent-Type: " + answer.type +
                               "\r\nContent-Length: " + std::to_string(answer.body.size()) +
                               "\r\n\r\n" + answer.body))
                break;
        }
        ::close(channel);
    }
    static request parse(const std::string& head)
    {
        request result;
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        std::istringstream first(line);
        std::string target;
        first >> result.method >> target;
        const auto question = target.find('?');
        result.path = target.substr(0, question);
        if (question != std::string::npos)
        {
            std::istringstream pairs(target.substr(question + 1));
            std::string pair;
            while (std::getline(pairs, pair, '&'))
                result.query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
        }
        while (std::getline(lines, line) && line != "\r")
        {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            result.headers[name] = value;
        }
        return result;
    }

    handler m_handle;
    int m_socket = -1;
    std::string m_address;
};

struct client_answer
{
    int status = 0; // 0: no answer
    std::string body;
};

// Sends one request on a new channel and waits for the answer; 0 if there is none in time or the
// channel breaks. `opened` receives the channel, which then stays open until the caller closes it.
inline client_answer call(const std::string& address, const std::string& method,
                          const std::string& path, const std::string& host, const std::string& body,
                          std::int64_t timeout, const std::string& more_headers = "")
{
    const int channel = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = to_address(address);
    client_answer result;
    if (::connect(channel, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 &&
        write_all(channel, method + " " + path + " HTTP/1.1\r\nHost: " + host +
                               "\r\nContent-Type: application/json\r\n" + more_headers +
                               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                               body))
    {
        std::string buffer;
        std::size_t head_end = 0;
        std::size_t body_size = 0;
        if (read_message(channel, buffer, head_end, body_size, timeout))
        {
            result.status = std::atoi(buffer.c_str() + 9);
            result.body = buffer.substr(head_end, body_size);
        }
    }
    ::close(channel);
    return result;
}

inline std::string to_base64(const std::string& bytes)
{
    constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

inline std::string big_endian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text.push_back(static_cast<char>(value >> (8 * i)));
    return text;
}

// The platform's store: a log with keyed topics of one partition each.
class store
{
public:
    explicit store(const std::string& ip)
        : m_server(ip, [this](const request& message) { return answer(message); })
    {
    }
    const std::string& address() const { return m_server.address(); }
    // Decides whether a call gets 503 instead of being done.
    std::function<bool(const request&)> refuses;
    // Opens another address of the same store, which `refused` decides for.
    std::string open_door(const std::string& ip, std::function<bool()> refused)
    {
        m_doors.push_back(std::make_unique<http_server>(
            ip,
            [this, refused = std::move(refused)](const request& message) {
                return refused() ? reply{503, "{}"} : answer(message, refused);
            }));
        return m_doors.back()->address();
    }

    // Adds a record at once; an empty value drops the key.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        add(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    }

    bool has(const std::string& topic, const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        return m_topics[topic].newest.contains(key);
    }

private:
    struct topic_state
    {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
    };
    void add(const std::string& topic, const std::string& content)
    {
        auto& state = m_topics[topic];
        const std::size_t key_size = static_cast<unsigned char>(content[0]);
        const auto key = content.substr(1, key_size);
        const auto value = content.substr(1 + key_size);
        if (value.empty())
            state.newest.erase(key);
        else
            state.newest[key] = {value, state.records.size()};
        state.records.push_back(content);
        m_changed.notify_all();
    }
    reply answer(const request& message, const std::function<bool()>& refused = {})
    {
        if (refuses && refuses(message))
            return {503, "{}"};
        const auto parameter = [&](const char* name)
        {
            const auto found = message.query.find(name);
            return found == message.query.end() ? std::string{} : found->second;
        };
        const auto topic = parameter("topic");
        std::unique_lock lock(m_mutex);
        if (message.path == "/log-append")
        {
            const auto offset = m_topics[topic].records.size();
            for (std::size_t at = 0; at + 4 <= message.body.size();)
            {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = size << 8 | static_cast<unsigned char>(message.body[at++]);
                add(topic, message.body.substr(at, size));
                at += size;
            }
            return {200, json::serialize(json::object{{"offset", offset},
                                                      {"end", m_topics[topic].records.size()}})};
        }
        if (message.path == "/log-newest")
        {
            json::array items;
            for (const auto& [key, value] : m_topics[topic].newest)
                items.push_back(json::object{
                    {"key", key}, {"value", to_base64(value.first)}, {"offset", value.second}});
            return {200, json::serialize(json::object{{"items", items},
                                                      {"has_more", false},
                                                      {"end", m_topics[topic].records.size()}})};
        }
        if (message.path != "/log-read")
            return {404, "{}"};
        const auto from = static_cast<std::size_t>(std::atoll(parameter("from").c_str()));
        const auto wait = std::chrono::milliseconds{std::atoll(parameter("wait_ms").c_str())};
        m_changed.wait_for(lock, wait, [&] { return m_topics[topic].records.size() > from; });
        // A call that began before the store turned this caller away is not served either.
        if ((refuses && refuses(message)) || (refused && refused()))
            return {503, "{}"};
        auto& records = m_topics[topic].records;
        std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (auto at = from; at < records.size(); ++at)
            body += big_endian(records[at].size(), 4) + records[at];
        return {200, body, "application/octet-stream"};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, topic_state> m_topics;
    std::vector<std::unique_ptr<http_server>> m_doors;
    http_server m_server;
};

// One start of a task, as the executor saw it.
struct run_seen
{
    std::string executor;
    std::string task;
    std::uint64_t number = 0;
    std::int64_t started = 0; // ms
    std::int64_t ended = -1;  // -1: still running
    std::string how;
};

// All runs on all executors.
class run_list
{
public:
    explicit run_list(record& to) : m_record(to) {}
    std::size_t start(const std::string& executor, const std::string& task, std::uint64_t number)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({executor, task, number, now_ms(), -1, ""});
        m_record.line("run starts executor=" + executor + " task=" + task +
                      " run=" + std::to_string(number));
        return m_runs.size() - 1;
    }
    void end(std::size_t index, const std::string& how)
    {
        const std::lock_guard lock(m_mutex);
        auto& run = m_runs[index];
        run.ended = now_ms();
        run.how = how;
        m_record.line("run ends executor=" + run.executor + " task=" + run.task +
                      " run=" + std::to_string(run.number) + " how=" + how);
    }
    std::vector<run_seen> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    record& m_record;
    mutable std::mutex m_mutex;
    std::vector<run_seen> m_runs;
};

struct executor_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::int64_t cpu = 16000;
    std::int64_t memory_mb = 32768;
    std::vector<std::string> labels{"a", "r1-1"};
};

// An executor: checks fencing tokens and leases, runs what it is told to start, and lists what runs
// and what ended. A task's work in ms is the number that its spec begins with.
class executor
{
public:
    executor(const std::string& ip, executor_options options, run_list& runs)
        : m_options(std::move(options)), m_runs(runs), m_started(clock_type::now()),
          m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()),
          m_server(ip, [this](const request& message) { return answer(message); })
    {
        std::thread([this] { work(); }).detach();
    }
    const executor_options& options() const { return m_options; }
    // Returns after how many ms an order is carried out, without an answer; 0: at once, as usual.
    // The time that a late order grants counts from then. Set before any order arrives.
    std::function<std::int64_t(const request&)> late_by;
    // The next liveness report: the value of servers/ID.
    std::string next_report(const std::string& state)
    {
        json::array labels;
        for (const auto& label : m_options.labels)
            labels.emplace_back(label);
        const std::lock_guard lock(m_mutex);
        return json::serialize(json::object{
            {"service", m_options.service},
            {"addr", m_server.address()},
            {"zone", m_options.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", state},
            {"cold_remaining_ms", 0},
            {"capacity",
             json::object{{"cpu", m_options.cpu}, {"mem_mb", m_options.memory_mb}, {"gpu", 0}}},
            {"labels", labels},
            {"clock_ms", clock_ms()},
            {"born", m_born},
            {"seq", ++m_seq}});
    }

private:
    struct running
    {
        std::size_t seen = 0;
        std::int64_t work = 0;
        std::int64_t begun = 0;
        std::int64_t stop_at = -1;
    };
    using run_key = std::pair<std::string, std::uint64_t>;
    std::int64_t clock_ms() const
    {
        return 1000 +
               std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - m_started)
                   .count();
    }
    void end(const run_key& key, const std::string& how)
    {
        const auto entry = m_running.find(key);
        m_runs.end(entry->second.seen, how);
        m_running.erase(entry);
        m_ended.push_back({++m_ends, key, how});
        m_past[key.first] = std::max(m_past[key.first], key.second);
        m_changed.notify_all();
    }
    void work()
    {
        for (;;)
        {
            sleep_ms(2);
            const std::lock_guard lock(m_mutex);
            const auto now = clock_ms();
            std::vector<std::pair<run_key, std::string>> over;
            for (const auto& [key, run] : m_running)
                if (now >= run.begun + run.work)
                    over.emplace_back(key, "done");
                else if (run.stop_at >= 0 && now >= run.stop_at)
                    over.emplace_back(key, "stopped");
                else if (now >= m_deadline)
                    over.emplace_back(key, "lapsed");
            for (const auto& [key, how] : over)
                end(key, how);
        }
    }
    void extend(std::int64_t deadline)
    {
        constexpr std::int64_t max_hold_ms = 1000;
        m_deadline = std::max(m_deadline, std::min(deadline, clock_ms() + max_hold_ms));
    }
    reply with_clock(int status, json::object body)
    {
        body["clock_ms"] = clock_ms();
        body["born"] = m_born;
        return {status, json::serialize(body)};
    }
    reply answer(const request& message)
    {
        if (message.path == "/health")
            return {200, "{}"};
        const auto late = late_by ? late_by(message) : 0;
        if (late <= 0)
            return carry_out(message, 0);
        std::thread(
            [this, message, late]
            {
                sleep_ms(late);
                carry_out(message, late);
            })
            .detach();
        sleep_ms(late);
        return {0, "", "", true};
    }
    // `late`: how long ago the order came, in ms.
    reply carry_out(const request& message, std::int64_t late)
    {
        std::unique_lock lock(m_mutex);
        const auto instance = message.headers.find("expect-instance");
        if (instance != message.headers.end() && instance->second != m_options.id)
            return with_clock(421, {});
        boost::system::error_code code;
        const auto parsed = json::parse(message.body, code);
        if (code || !parsed.is_object())
            return with_clock(400, {});
        const auto& body = parsed.as_object();
        const auto deadline = [&]
        {
            const auto* value = body.if_contains("deadline_ms");
            return value == nullptr ? 0 : value->to_number<std::int64_t>() + late;
        }();
        const auto number = [&](const char* name) -> std::int64_t
        {
            const auto* value = body.if_contains(name);
            return value == nullptr ? 0 : value->to_number<std::int64_t>();
        };
        if (number("fence") < m_fence)
            return with_clock(409, {{"reason", "fence"}});
        m_fence = number("fence");
        if (message.path == "/hold")
            return hold(deadline, static_cast<std::uint64_t>(number("ack_cursor")),
                        number("wait_ms"), lock);
        const run_key key{std::string(body.at("task").as_string()),
                          static_cast<std::uint64_t>(number("run"))};
        if (message.path == "/run-stop")
            return stop(key);
        if (message.path != "/run-start")
            return with_clock(404, {});
        const auto past = m_past.find(key.first);
        if (m_running.contains(key))
            return with_clock(200, {});
        if (past != m_past.end() && past->second >= key.second)
        {
            extend(deadline);
            return with_clock(409, {{"reason", "old"}});
        }
        if (deadline <= clock_ms())
            return with_clock(409, {{"reason", "late"}});
        extend(deadline);
        const auto* spec = body.if_contains("spec");
        m_running[key] = {m_runs.start(m_options.id, key.first, key.second),
                          spec == nullptr ? 0 : std::atoll(spec->as_string().c_str()), clock_ms(),
                          -1};
        return with_clock(200, {});
    }
    reply stop(const run_key& key)
    {
        constexpr std::int64_t stop_takes_ms = 20;
        const auto entry = m_running.find(key);
        if (entry == m_running.end())
            m_past[key.first] = std::max(m_past[key.first], key.second);
        else if (entry->second.stop_at < 0)
            entry->second.stop_at = clock_ms() + stop_takes_ms;
        return with_clock(200, {});
    }
    reply hold(std::int64_t deadline, std::uint64_t ack, std::int64_t wait,
               std::unique_lock<std::mutex>& lock)
    {
        extend(deadline);
        std::erase_if(m_ended, [&](const auto& item) { return item.number <= ack; });
        m_changed.wait_for(lock, std::chrono::milliseconds{wait}, [&] { return !m_ended.empty(); });
        json::array rows;
        for (const auto& [key, run] : m_running)
            rows.push_back(json::array{
                key.first, key.second, "",
                run.work > 0
                    ? std::min<std::int64_t>(100, (clock_ms() - run.begun) * 100 / run.work)
                    : 100});
        json::array ends;
        for (const auto& item : m_ended)
            ends.push_back(json::array{item.number, item.key.first, item.key.second, item.how, ""});
        return with_clock(200, {{"running", rows}, {"ended", ends}});
    }

    struct end_seen
    {
        std::uint64_t number = 0;
        run_key key;
        std::string how;
    };
    executor_options m_options;
    run_list& m_runs;
    clock_type::time_point m_started;
    std::int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::uint64_t m_ends = 0;
    std::uint64_t m_seq = 0;
    std::map<run_key, running> m_running;
    std::map<std::string, std::uint64_t> m_past; // highest run that ended or was stopped, by task
    std::vector<end_seen> m_ended;
    http_server m_server;
};

// Writes the executors' liveness reports to the store, each `interval` ms, until it is destroyed.
class reporter
{
public:
    reporter(store& to, std::vector<executor*> from, std::int64_t interval = 1500)
        : m_thread(
              [&to, from = std::move(from), interval](const std::stop_token& stop)
              {
                  for (auto next = now_ms(); !stop.stop_requested(); sleep_ms(20))
                  {
                      if (now_ms() < next)
                          continue;
                      next += interval;
                      for (auto* entry : from)
                          to.put("keyed.servers", entry->options().id, entry->next_report("ready"));
                  }
              })
    {
    }

private:
    std::jthread m_thread;
};

// A folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        m_path = pattern;
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

// Returns a port that is free at all these addresses.
inline int free_port(const std::vector<std::string>& ips)
{
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 200; ++attempt)
    {
        const int port = std::uniform_int_distribution<int>(20000, 32000)(random);
        bool free = true;
        for (const auto& ip : ips)
        {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = to_address(ip + ":" + std::to_string(port));
            free = free &&
                   ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
            ::close(socket);
        }
        if (free)
            return port;
    }
    throw std::runtime_error("no free port");
}

// The ports that are the same on all machines of a deployment.
struct ports
{
    int front = 0;
    int ready = 0;
    int control = 0;
    int metrics = 0;
    int peers = 0;
};

inline ports choose_ports(const std::vector<std::string>& ips)
{
    std::set<int> chosen;
    while (chosen.size() < 5)
        chosen.insert(free_port(ips));
    auto next = chosen.begin();
    ports result;
    for (int* port :
         {&result.front, &result.ready, &result.control, &result.metrics, &result.peers})
        *port = *next++;
    return result;
}

// An entry host: the program under test, as the deploy file starts it.
class edge
{
public:
    edge(std::string program, const std::filesystem::path& folder, std::string name,
         std::string zone, std::string ip, const ports& at, std::vector<std::string> seed_ips,
         std::string store_address)
        : m_program(std::move(program)), m_name(std::move(name)), m_ip(std::move(ip)), m_ports(at),
          m_settings((folder / (m_name + ".yaml")).string()),
          m_log((folder / (m_name + ".log")).string()), m_zone(std::move(zone)),
          m_seed_ips(std::move(seed_ips)), m_store(std::move(store_address))
    {
    }
    ~edge()
    {
        if (m_process > 0)
            kill(SIGKILL);
    }
    edge(const edge&) = delete;
    edge& operator=(const edge&) = delete;

    void start(bool first_start)
    {
        std::ofstream file(m_settings);
        const auto at = [&](int port) { return "\"" + m_ip + ":" + std::to_string(port) + "\"\n"; };
        file << "name: \"" << m_name << "\"\ndata_centre: \"" << m_zone
             << "\"\ncallers: " << at(m_ports.front) << "readiness: " << at(m_ports.ready)
             << "control: " << at(m_ports.control) << "metrics: " << at(m_ports.metrics)
             << "peers: \"tcp://" << m_ip << ":" << m_ports.peers << "\"\nseeds: [";
        for (std::size_t i = 0; i < m_seed_ips.size(); ++i)
            file << (i > 0 ? "," : "") << "\"" << m_seed_ips[i] << ":" << m_ports.control << "\"";
        file << "]\nstore: \"" << m_store << "\"\nconfig_bound_ms: 2000\nstop_limit_s: 6\n"
             << "first_start: " << (first_start ? "true" : "false") << "\n";
        file.close();
        m_process = ::fork();
        if (m_process != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // should the driver itself be killed
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("EGRETLEDGE_CONFIG", m_settings.c_str(), 1);
        ::execl(m_program.c_str(), m_program.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    void signal(int number) const { ::kill(m_process, number); }
    // Sends the signal and waits for the end.
    void kill(int number)
    {
        ::kill(m_process, SIGCONT);
        ::kill(m_process, number);
        int status = 0;
        ::waitpid(m_process, &status, 0);
        m_process = -1;
    }
    // Whether the process has ended by itself.
    bool ended()
    {
        int status = 0;
        if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process)
            m_process = -1;
        return m_process <= 0;
    }
    const std::string& name() const { return m_name; }
    const std::string& ip() const { return m_ip; }
    std::string front() const { return m_ip + ":" + std::to_string(m_ports.front); }
    bool ready() const
    {
        return call(m_ip + ":" + std::to_string(m_ports.ready), "GET", "/ready", m_ip, "", 500)
                   .status == 200;
    }
    bool wait_until_ready(std::int64_t limit) const
    {
        for (const auto until = now_ms() + limit; now_ms() < until; sleep_ms(50))
            if (ready())
                return true;
        return false;
    }
    // What the process wrote: the lines that contain `text`.
    std::vector<std::string> log_lines(const std::string& text) const
    {
        std::ifstream file(m_log);
        std::vector<std::string> lines;
        for (std::string line; std::getline(file, line);)
            if (line.find(text) != std::string::npos)
                lines.push_back(line);
        return lines;
    }
    std::string state() const
    {
        return call(m_ip + ":" + std::to_string(m_ports.control), "GET", "/statez", m_ip, "", 500)
            .body;
    }

private:
    std::string m_program;
    std::string m_name;
    std::string m_ip;
    ports m_ports;
    std::string m_settings;
    std::string m_log;
    std::string m_zone;
    std::vector<std::string> m_seed_ips;
    std::string m_store;
    pid_t m_process = -1;
};

// The id of the job with this number.
inline std::string job_id(int number)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << 0x5c0e7a2100000000LL + number;
    return text.str();
}

inline json::object route(const std::string& name, const std::string& prefix,
                          const std::string& service)
{
    return {{"name", name},          {"host", "nony24.example"},
            {"path_prefix", prefix}, {"kind", "non_idempotent"},
            {"timeout_ms", 1500},    {"slo_ms", 60},
            {"priority", 0},         {"service", service},
            {"max_attempts", 4},     {"stretch", 1.6}};
}

inline std::string config(std::uint64_t version, const json::array& routes,
                          const std::string& service)
{
    return json::serialize(
        json::object{{"version", version},
                     {"routes", routes},
                     {"services", json::array{json::object{{"name", service},
                                                           {"health_path", "/health"},
                                                           {"max_conns", 64},
                                                           {"protocol", "h1"},
                                                           {"tls", false},
                                                           {"enforces_capacity", false},
                                                           {"standby", false}}}},
                     {"limits", json::object{{"max_header_bytes", 16384},
                                             {"max_body_bytes", 262144},
                                             {"header_timeout_ms", 3000},
                                             {"idle_timeout_ms", 15000}}}});
}

// A job of one step that need not be stored. Its tasks work for `work` ms.
inline std::string job(std::int64_t work, int count, std::int64_t cpu, std::int64_t estimate)
{
    return json::serialize(json::object{
        {"spec", std::to_string(work)},
        {"best_effort", true},
        {"steps", json::array{json::object{
                      {"count", count}, {"cpu", cpu}, {"mem_mb", 64}, {"est_ms", estimate}}}}});
}

// Runs `play` with the program under test and the path of record.txt, and ends the process with its
// result. The stand-ins' threads end with the process.
inline int run_case(int argc, char** argv, int (*play)(const std::string&, const std::string&))
{
    int result = exit_could_not_run;
    try
    {
        if (argc == 3)
            result = play(argv[1], argv[2]);
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << std::endl;
    }
    std::cout << (result == exit_held     ? "the rule held"
                  : result == exit_broken ? "the rule was broken"
                                          : "the case could not run")
              << std::endl;
    std::_Exit(result);
}

} // namespace standin

#endif
