#ifndef EGRETLEDGE_REVIEW_PLATFORM_HPP
#define EGRETLEDGE_REVIEW_PLATFORM_HPP

// Stand-ins of the platform's store and of executors, as PROTOCOL.md describes them, a record of
// what they see, and entry hosts as child processes.

#include "http.hpp"
#include <boost/json.hpp>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <iostream>
#include <optional>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review
{

namespace json = boost::json;

// The record of a run: one line for each event, with the time since the start.
class record
{
public:
    explicit record(const std::string& file) : m_file(file) {}
    double now() const
    {
        return std::chrono::duration<double, std::milli>(steady::now() - m_start).count();
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << static_cast<long>(now()) << " ms  " << text << std::endl;
    }

private:
    steady::time_point m_start = steady::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::string base64(const std::string& bytes)
{
    constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

inline std::string big_endian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(number >> (8 * i) & 255);
    return text;
}

// The platform's store: a log of topics with one partition each.
class store
{
public:
    store() : m_server([this](const request& got) { return handle(got); }) {}
    std::uint16_t port() const { return m_server.port(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    }

    // The number of keys in a topic.
    std::size_t keys(const std::string& topic)
    {
        const std::lock_guard lock(m_mutex);
        return m_topics[topic].newest.size();
    }

private:
    void append(const std::string& topic, const std::string& bytes)
    {
        auto& log = m_topics[topic];
        log.records.push_back(bytes);
        const auto size = static_cast<unsigned char>(bytes[0]);
        log.newest[bytes.substr(1, size)] = log.records.size() - 1;
        m_changed.notify_all();
    }

    response handle(const request& got)
    {
        const auto topic = got.query.contains("topic") ? got.query.at("topic") : "";
        std::unique_lock lock(m_mutex);
        auto& log = m_topics[topic];
        if (got.path == "/log-append")
        {
            const auto offset = log.records.size();
            for (std::size_t at = 0; at + 4 <= got.body.size();)
            {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = size << 8 | static_cast<unsigned char>(got.body[at++]);
                append(topic, got.body.substr(at, size));
                at += size;
            }
            return {200,
                    json::serialize(json::object{{"offset", offset}, {"end", log.records.size()}})};
        }
        if (got.path == "/log-newest")
        {
            json::array items;
            bool more = false;
            for (const auto& [key, offset] : log.newest)
            {
                const auto& bytes = log.records[offset];
                const auto value = bytes.substr(1 + key.size());
                const bool after = !got.query.contains("after") || key > got.query.at("after");
                if (!after || value.empty())
                    continue;
                more = items.size() >= 500;
                if (more)
                    break;
                items.push_back(
                    json::object{{"key", key}, {"value", base64(value)}, {"offset", offset}});
            }
            return {200, json::serialize(json::object{
                             {"items", items}, {"has_more", more}, {"end", log.records.size()}})};
        }
        if (got.path != "/log-read")
            return {404, "{}"};
        const std::size_t from = std::stoul(got.query.at("from"));
        if (got.query.contains("wait_ms"))
            m_changed.wait_for(lock, milliseconds{std::stol(got.query.at("wait_ms"))},
                               [&] { return log.records.size() > from; });
        std::string body = big_endian(log.records.size(), 8) + big_endian(0, 8);
        for (auto at = from; at < log.records.size(); ++at)
            body += big_endian(log.records[at].size(), 4) + log.records[at];
        return {200, body, "application/octet-stream"};
    }

    struct topic_log
    {
        std::vector<std::string> records;
        std::map<std::string, std::size_t> newest; // offset of each key's newest record
    };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, topic_log> m_topics;
    server m_server;
};

// An executor's kind, which a new lifetime may change.
struct kind
{
    std::string label;
    int cpu = 16000;
    int mem_mb = 32768;
};

// An executor that starts whatever it is told to. The `spec` of a job tells how long each task
// works and what it takes: {"ms": [per step], "cpu": 6800, "label": ""}.
class executor
{
public:
    // What an executor saw of one run. Times are those of the record.
    struct seen_run
    {
        std::string worker;
        std::string task;
        std::string run_spec;
        double started = 0;
        double ended = -1; // -1: it runs
        std::string how;
        std::string worker_label; // the kind of the lifetime that ran it
        int worker_cpu = 0;
        int used_cpu = 0; // by all that ran there when this run had started
    };

    executor(record& lines, store& registry, std::string id, std::string zone, kind first)
        : m_lines(lines), m_store(registry), m_id(std::move(id)), m_zone(std::move(zone)),
          m_kind(std::move(first)), m_server([this](const request& got) { return handle(got); })
    {
        begin_life();
        m_timer = std::thread([this] { run_timer(); });
    }
    ~executor()
    {
        m_ended_for_good = true;
        m_timer.join();
        m_server.stop();
    }

    const std::string& id() const { return m_id; }

    // Ends this lifetime. Nothing of it remains.
    void crash()
    {
        m_up = false;
        {
            const std::lock_guard lock(m_mutex);
            m_lines.line("executor " + m_id + " crashes with " + std::to_string(m_runs.size()) +
                         " runs");
            while (!m_runs.empty())
                end_run(m_runs.begin()->first, "broken");
            m_changed.notify_all();
        }
        m_server.stop();
    }
    // Begins a new lifetime under the same id and address.
    void restart(kind next)
    {
        m_kind = std::move(next);
        begin_life();
        m_server.start();
    }

    std::vector<seen_run> history()
    {
        const std::lock_guard lock(m_mutex);
        return m_history;
    }

private:
    using run_key = std::pair<std::string, long>; // task and run number
    struct running
    {
        steady::time_point begun;
        steady::time_point ends;
        std::optional<steady::time_point> stops;
        int cpu = 0;
        std::size_t seen = 0; // index in m_history
    };
    struct ended
    {
        long number = 0;
        run_key run;
        std::string how;
    };

    void begin_life()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_born = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
            m_begun = steady::now();
            m_fence = 0;
            m_lease_ms = 0;
            m_ended.clear();
            m_next_end = 1;
            m_highest_ended.clear();
            m_seq = 0;
            m_lines.line("executor " + m_id + " begins a lifetime: label " + m_kind.label +
                         ", cpu " + std::to_string(m_kind.cpu));
        }
        m_up = true;
        report();
    }

    // Writes this executor's entry in the store.
    void report()
    {
        const std::lock_guard lock(m_mutex);
        m_next_report = steady::now() + milliseconds{1500};
        m_store.put("keyed.servers", m_id,
                    json::serialize(json::object{
                        {"service", "orders"},
                        {"addr", "127.0.0.1:" + std::to_string(m_server.port())},
                        {"zone", m_zone},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"capacity",
                         json::object{{"cpu", m_kind.cpu}, {"mem_mb", m_kind.mem_mb}, {"gpu", 0}}},
                        {"labels", json::array{json::string(m_kind.label), "r1-1"}},
                        {"clock_ms", clock_ms()},
                        {"born", m_born},
                        {"seq", ++m_seq}}));
    }

    long clock_ms() const
    {
        return 1000 + std::chrono::duration_cast<milliseconds>(steady::now() - m_begun).count();
    }

    void end_run(run_key run, const std::string& how)
    {
        const auto entry = m_runs.find(run);
        m_used_cpu -= entry->second.cpu;
        auto& seen = m_history[entry->second.seen];
        seen.ended = m_lines.now();
        seen.how = how;
        m_runs.erase(entry);
        auto& highest = m_highest_ended[run.first];
        highest = std::max(highest, run.second);
        m_ended.push_back({m_next_end++, run, how});
        m_changed.notify_all();
    }

    void run_timer()
    {
        while (!m_ended_for_good)
        {
            std::this_thread::sleep_for(milliseconds{2});
            if (!m_up)
                continue;
            if (steady::now() >= m_next_report)
                report();
            const std::lock_guard lock(m_mutex);
            const auto now = steady::now();
            const bool lapsed = clock_ms() > m_lease_ms;
            std::vector<std::pair<run_key, std::string>> over;
            for (const auto& [key, run] : m_runs)
                if (now >= run.ends)
                    over.emplace_back(key, "done");
                else if (run.stops && now >= *run.stops)
                    over.emplace_back(key, "stopped");
                else if (lapsed)
                    over.emplace_back(key, "lapsed");
            for (const auto& [key, how] : over)
                end_run(key, how);
        }
    }

    void extend_lease(const json::object& body)
    {
        if (const auto* until = body.if_contains("deadline_ms"))
            m_lease_ms =
                std::max(m_lease_ms, std::min<long>(until->to_number<long>(), clock_ms() + 1000));
    }

    response conflict(const char* reason) const
    {
        return {409, json::serialize(json::object{{"clock_ms", clock_ms()}, {"reason", reason}})};
    }

    response handle(const request& got)
    {
        if (got.path == "/health")
            return {200, "{}"};
        const auto body = json::parse(got.body).as_object();
        std::unique_lock lock(m_mutex);
        if (!m_up)
            return {};
        const auto expected = got.headers.find("expect-instance");
        if (expected != got.headers.end() && expected->second != m_id)
            return {421, json::serialize(json::object{{"clock_ms", clock_ms()}})};
        const auto* fence = body.if_contains("fence");
        const auto token = fence == nullptr ? 0UL : fence->to_number<std::uint64_t>();
        if (token < m_fence)
            return conflict("fence");
        m_fence = token;
        if (got.path == "/hold")
            return hold(body, lock);
        const run_key run{json::value_to<std::string>(body.at("task")),
                          body.at("run").to_number<long>()};
        if (got.path == "/run-start")
            return start(body, run);
        if (const auto known = m_runs.find(run); known != m_runs.end())
            known->second.stops = steady::now() + milliseconds{20};
        else
        {
            auto& highest = m_highest_ended[run.first];
            highest = std::max(highest, run.second);
        }
        return {200, json::serialize(json::object{{"clock_ms", clock_ms()}})};
    }

    response hold(const json::object& body, std::unique_lock<std::mutex>& lock)
    {
        extend_lease(body);
        const auto seen = body.at("ack_cursor").to_number<long>();
        std::erase_if(m_ended, [&](const ended& end) { return end.number <= seen; });
        const auto born = m_born;
        if (const auto* wait = body.if_contains("wait_ms"))
            m_changed.wait_for(lock, milliseconds{wait->to_number<long>()},
                               [&] { return !m_ended.empty() || !m_up || m_born != born; });
        if (!m_up || m_born != born)
            return {};
        json::array runs;
        for (const auto& [key, run] : m_runs)
        {
            const auto total = std::max<long>(1, (run.ends - run.begun).count());
            const auto percent = (steady::now() - run.begun).count() * 100 / total;
            runs.push_back(json::array{key.first, key.second, "", percent, 0});
        }
        json::array ends;
        for (const auto& end : m_ended)
            ends.push_back(json::array{end.number, end.run.first, end.run.second, end.how, ""});
        return {
            200,
            json::serialize(json::object{
                {"clock_ms", clock_ms()}, {"born", m_born}, {"running", runs}, {"ended", ends}})};
    }

    response start(const json::object& body, const run_key& run)
    {
        if (body.at("deadline_ms").to_number<long>() <= clock_ms())
            return conflict("late");
        extend_lease(body);
        if (m_runs.contains(run))
            return {200, json::serialize(json::object{{"clock_ms", clock_ms()}})};
        const auto highest = m_highest_ended.find(run.first);
        if (highest != m_highest_ended.end() && run.second <= highest->second)
            return conflict("old");
        const auto spec_text = json::value_to<std::string>(body.at("spec"));
        const auto spec = json::parse(spec_text).as_object();
        const auto step_end = run.first.rfind('.');
        const auto step_begin = run.first.rfind('.', step_end - 1) + 1;
        const auto step = std::stoul(run.first.substr(step_begin, step_end - step_begin));
        const auto now = steady::now();
        running state;
        state.begun = now;
        state.ends = now + milliseconds{spec.at("ms").as_array().at(step).to_number<long>()};
        state.cpu = spec.at("cpu").to_number<int>();
        state.seen = m_history.size();
        m_used_cpu += state.cpu;
        m_history.push_back({m_id, run.first, spec_text, m_lines.now(), -1, "", m_kind.label,
                             m_kind.cpu, m_used_cpu});
        m_runs[run] = state;
        return {200, json::serialize(json::object{{"clock_ms", clock_ms()}})};
    }

    record& m_lines;
    store& m_store;
    std::string m_id;
    std::string m_zone;
    kind m_kind;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_up{false};
    std::atomic<bool> m_ended_for_good{false};
    std::int64_t m_born = 0;
    steady::time_point m_begun;
    steady::time_point m_next_report;
    std::uint64_t m_fence = 0;
    long m_lease_ms = 0;
    long m_next_end = 1;
    long m_seq = 0;
    int m_used_cpu = 0;
    std::map<run_key, running> m_runs;
    std::vector<ended> m_ended;
    std::map<std::string, long> m_highest_ended;
    std::vector<seen_run> m_history;
    server m_server;
    std::thread m_timer;
};

// An entry host: the program of the deploy file as a child process.
class entry_host
{
public:
    struct ports
    {
        std::uint16_t callers, readiness, control, metrics, peers;
    };

    // `ip` and `given` place the host at a loopback address and ports of its own; by default it
    // gets free ports at 127.0.0.1.
    entry_host(const std::string& folder, std::string name, std::string zone, std::uint16_t store,
               const std::string& ip = "127.0.0.1", std::optional<ports> given = std::nullopt,
               const std::vector<std::string>& seeds = {}, bool first_start = true)
        : m_folder(folder), m_name(std::move(name)), m_file(folder + "/" + m_name + ".yaml"),
          m_ip(ip), m_ports(given ? *given : choose_ports())
    {
        m_write_settings = [=, this](bool first) { write_settings(zone, store, seeds, first); };
        m_write_settings(first_start);
        spawn();
    }
    ~entry_host() { kill(); }
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    static ports choose_ports()
    {
        const auto free = free_ports(5);
        return {free[0], free[1], free[2], free[3], free[4]};
    }

    // Starts the process anew, with the settings of a later start. Call it on the main thread.
    void start()
    {
        m_write_settings(false);
        spawn();
    }
    // Kills the process if it runs.
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    const std::string& name() const { return m_name; }
    const std::string& ip() const { return m_ip; }
    const ports& at() const { return m_ports; }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    // Returns true while the process runs; else `m_status` has how it ended.
    bool running()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid)
            m_pid = -1;
        return m_pid > 0;
    }
    // How the process ended.
    std::string how_ended() const
    {
        return WIFSIGNALED(m_status) ? "by signal " + std::to_string(WTERMSIG(m_status))
                                     : "with code " + std::to_string(WEXITSTATUS(m_status));
    }
    // One check of the balancer.
    bool ready() const
    {
        return channel(m_ports.readiness, m_ip)
                   .call("GET", "/ready", "balancer", "", milliseconds{900})
                   .status == 200;
    }

private:
    // The process ends with the thread that called this.
    void spawn()
    {
        const auto parent = ::getpid();
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        ::setenv("EGRETLEDGE_CONFIG", m_file.c_str(), 1);
        const auto log = m_folder + "/" + m_name + ".log";
        if (std::freopen(log.c_str(), "a", stdout) == nullptr ||
            std::freopen(log.c_str(), "a", stderr) == nullptr)
            ::_exit(1);
        ::execl("target/egret-edge", "target/egret-edge", nullptr);
        ::_exit(1);
    }

    void write_settings(const std::string& zone, std::uint16_t store,
                        const std::vector<std::string>& seeds, bool first_start) const
    {
        const auto at = [&](std::uint16_t port) { return m_ip + ":" + std::to_string(port); };
        std::ofstream file(m_file);
        file << "name: \"" << m_name << "\"\ndata_centre: \"" << zone << "\"\ncallers: \""
             << at(m_ports.callers) << "\"\nreadiness: \"" << at(m_ports.readiness)
             << "\"\ncontrol: \"" << at(m_ports.control) << "\"\nmetrics: \"" << at(m_ports.metrics)
             << "\"\npeers: \"tcp://" << at(m_ports.peers) << "\"\nseeds: [";
        for (std::size_t i = 0; i < seeds.size(); ++i)
            file << (i > 0 ? "," : "") << '"' << seeds[i] << '"';
        file << "]\nstore: \"127.0.0.1:" << store
             << "\"\nconfig_bound_ms: 2000\nstop_limit_s: 6\nfirst_start: "
             << (first_start ? "true" : "false") << "\n";
    }

    std::string m_folder;
    std::string m_name;
    std::string m_file;
    std::string m_ip;
    ports m_ports;
    std::function<void(bool)> m_write_settings;
    pid_t m_pid = -1;
    int m_status = 0;
};

// Waits until all hosts are ready, at most for `limit`.
inline bool wait_until_ready(const std::vector<std::unique_ptr<entry_host>>& hosts,
                             milliseconds limit)
{
    const auto until = steady::now() + limit;
    for (const auto& host : hosts)
        while (!host->ready())
        {
            if (steady::now() > until)
                return false;
            std::this_thread::sleep_for(milliseconds{50});
        }
    return true;
}

// The configuration: one queue, whose callers wait `timeout_ms`.
inline std::string config_text(int timeout_ms)
{
    return R"({"version":7,"routes":[{"name":"r-1","host":"orders.example","path_prefix":"/q/",)"
           R"("kind":"non_idempotent","timeout_ms":)" +
           std::to_string(timeout_ms) +
           R"(,"slo_ms":60,"priority":0,"service":"orders","max_attempts":4,"stretch":1.6}],)"
           R"("services":[{"name":"orders","health_path":"/health","max_conns":64,)"
           R"("protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// A new job id: 16 hexadecimal digits.
inline std::string new_id()
{
    static std::atomic<std::uint64_t> last{0x5c0e7a2100000000ULL};
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

inline bool trouble_wanted()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review

#endif
