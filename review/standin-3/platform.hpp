#ifndef EGRETLEDGE_REVIEW_STANDIN_3_PLATFORM_HPP
#define EGRETLEDGE_REVIEW_STANDIN_3_PLATFORM_HPP

// Stand-ins of the platform's store, as a log with keyed topics, and of executors that are ordered
// by invocation, as PROTOCOL.md describes them.

#include "net.hpp"
#include <algorithm>
#include <boost/json.hpp>
#include <condition_variable>
#include <fstream>
#include <optional>

namespace review
{

namespace json = boost::json;

// Writes record.txt: one line an event, with the milliseconds since the start of the test.
class recorder
{
public:
    explicit recorder(const std::string& path) : m_file(path), m_start(now_ms()) {}
    void add(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << (now_ms() - m_start) << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_start;
};

inline std::string encode_base64(const std::string& bytes)
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
            text.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=');
    }
    return text;
}

// The store.
class store
{
public:
    store(const std::string& ip, std::uint16_t port)
        : m_server(ip, port, [this](const message& request) { return answer(request); })
    {
    }
    // Appends a record to partition 0 of a keyed topic. No value: the key is dropped.
    void put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_topics[topic].push_back({key, value});
        }
        m_appended.notify_all();
    }

private:
    struct record
    {
        std::string key;
        std::optional<std::string> value;
    };

    static std::string big_endian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text.push_back(static_cast<char>(number >> (8 * i) & 255));
        return text;
    }
    reply answer(const message& request)
    {
        const auto topic = request.query("topic");
        std::unique_lock lock(m_mutex);
        auto& records = m_topics[topic];
        if (request.path() == "/log-append")
        {
            const auto at = request.query("at");
            if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != records.size())
                return {412, "{\"end\":" + std::to_string(records.size()) + "}"};
            const auto offset = records.size();
            for (std::size_t from = 0; from + 4 < request.body.size();)
            {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = size << 8 | static_cast<unsigned char>(request.body[from + i]);
                const auto bytes = request.body.substr(from + 4, size);
                from += 4 + size;
                const auto key_size = static_cast<unsigned char>(bytes[0]);
                record added{bytes.substr(1, key_size), std::nullopt};
                if (bytes.size() > 1U + key_size)
                    added.value = bytes.substr(1 + key_size);
                records.push_back(added);
            }
            lock.unlock();
            m_appended.notify_all();
            return {200, "{\"offset\":" + std::to_string(offset) + "}"};
        }
        if (request.path() == "/log-newest")
        {
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < records.size(); ++i)
                newest[records[i].key] = i;
            json::array items;
            for (const auto& [key, offset] : newest)
                if (records[offset].value)
                    items.push_back(json::object{{"key", key},
                                                 {"value", encode_base64(*records[offset].value)},
                                                 {"offset", offset}});
            return {200, json::serialize(json::object{
                             {"items", items}, {"has_more", false}, {"end", records.size()}})};
        }
        if (request.path() != "/log-read")
            return {404, "{}"};
        const auto from = std::strtoull(request.query("from").c_str(), nullptr, 10);
        const auto wait = std::strtol(request.query("wait_ms").c_str(), nullptr, 10);
        m_appended.wait_for(lock, milliseconds{wait},
                            [&] { return m_topics[topic].size() > from; });
        const auto& known = m_topics[topic];
        std::string body = big_endian(known.size(), 8) + big_endian(0, 8);
        for (std::size_t i = from; i < known.size(); ++i)
        {
            const auto bytes = std::string(1, static_cast<char>(known[i].key.size())) +
                               known[i].key + known[i].value.value_or("");
            body += big_endian(bytes.size(), 4) + bytes;
        }
        return {200, body, "application/octet-stream"};
    }

    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, std::vector<record>> m_topics;
    server m_server;
};

// One run on an executor, also after it has ended.
struct run_record
{
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::int64_t began = 0; // now_ms()
    std::int64_t ended = 0; // 0: still running
    std::string how;
};

struct worker_settings
{
    std::string id;
    std::string ip;
    std::uint16_t port = 0;
    std::string service = "svc";
    std::string zone = "z1";
    std::int64_t cpu = 16000;
    std::vector<std::string> labels{"a", "r1-1"};
};

// An executor that does not guard its capacity. The payload of a job names how long each task of a
// step runs: "STEP:MS,STEP:MS,..."; a step that is not named runs 100 ms.
class worker
{
public:
    worker(worker_settings settings, store& registry, recorder& record)
        : m_settings(std::move(settings)), m_registry(registry), m_record(record),
          m_base(now_ms() - 1000), m_born(std::chrono::duration_cast<milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count()),
          m_server(m_settings.ip, m_settings.port,
                   [this](const message& request) { return answer(request); })
    {
        m_ticking = std::thread([this] { tick(); });
    }
    ~worker()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        m_ticking.join();
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    const worker_settings& settings() const { return m_settings; }
    // All runs so far.
    std::vector<run_record> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_all;
    }
    // The entry that the executor writes about itself.
    json::object entry(const char* state)
    {
        json::array labels;
        for (const auto& label : m_settings.labels)
            labels.push_back(json::string(label));
        return {{"service", m_settings.service},
                {"addr", m_settings.ip + ":" + std::to_string(m_settings.port)},
                {"zone", m_settings.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", state},
                {"cold_remaining_ms", 0},
                {"capacity", {{"cpu", m_settings.cpu}, {"mem_mb", 32768}, {"gpu", 0}}},
                {"labels", labels},
                {"clock_ms", clock_ms()},
                {"born", m_born},
                {"seq", ++m_seq}};
    }
    void report()
    {
        m_registry.put("keyed.servers", m_settings.id, json::serialize(entry("ready")));
    }
    // Stops the regular reports.
    void set_reporting(bool reporting) { m_reporting = reporting; }

private:
    struct running_task
    {
        std::size_t index = 0; // in m_all
        std::int64_t ends_at = 0;
        std::int64_t stop_at = 0; // 0: no stop was ordered
    };
    struct ended_task
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    std::int64_t clock_ms() const { return now_ms() - m_base; }

    // Holding m_mutex.
    void end(std::map<std::string, running_task>::iterator task, const std::string& how)
    {
        auto& run = m_all[task->second.index];
        run.ended = now_ms();
        run.how = how;
        m_highest[run.task] = std::max(m_highest[run.task], run.run);
        m_ended.push_back({++m_end_number, run.task, run.run, how});
        m_record.add("executor " + m_settings.id + ": run " + run.task + " #" +
                     std::to_string(run.run) + " ends " + how);
        m_running.erase(task);
        m_changed.notify_all();
    }
    void tick()
    {
        std::int64_t next_report = 0;
        std::unique_lock lock(m_mutex);
        while (!m_stopping)
        {
            const auto now = now_ms();
            for (auto entry = m_running.begin(); entry != m_running.end();)
            {
                const auto task = entry++;
                if (clock_ms() > m_lease)
                    end(task, "lapsed");
                else if (task->second.stop_at > 0 && now >= task->second.stop_at)
                    end(task, "stopped");
                else if (now >= task->second.ends_at)
                    end(task, "done");
            }
            if (now >= next_report && m_reporting)
            {
                next_report = now + 1500;
                lock.unlock();
                report();
                lock.lock();
            }
            m_changed.wait_for(lock, milliseconds{2}, [this] { return m_stopping; });
        }
    }
    static std::int64_t duration_of(const std::string& spec, const std::string& task)
    {
        const auto last = task.rfind('.');
        const auto before = task.rfind('.', last - 1);
        const auto step = task.substr(before + 1, last - before - 1);
        const auto at = ("," + spec).find("," + step + ":");
        return at == std::string::npos
                   ? 100
                   : std::strtoll(spec.c_str() + at + step.size() + 1, nullptr, 10);
    }
    reply refuse(const char* reason) const
    {
        return {409, json::serialize(json::object{
                         {"clock_ms", clock_ms()}, {"born", m_born}, {"reason", reason}})};
    }
    reply accept() const
    {
        return {200, json::serialize(json::object{{"clock_ms", clock_ms()}, {"born", m_born}})};
    }
    reply answer(const message& request)
    {
        const auto intended = request.header("expect-instance");
        if (!intended.empty() && intended != m_settings.id)
            return {421, "{}"};
        boost::system::error_code code;
        const auto value = json::parse(request.body, code);
        if (code || !value.is_object())
            return {400, "{}"};
        const auto& order = value.get_object();
        const auto number = [&](const char* name) -> std::int64_t
        {
            const auto* field = order.if_contains(name);
            return field != nullptr && field->is_number() ? field->to_number<std::int64_t>() : 0;
        };
        const auto text = [&](const char* name)
        {
            const auto* field = order.if_contains(name);
            return field != nullptr && field->is_string() ? std::string(field->get_string())
                                                          : std::string();
        };
        std::unique_lock lock(m_mutex);
        const auto fence = number("fence");
        if (fence < m_fence)
        {
            m_record.add("executor " + m_settings.id + ": refuses " + request.path() + " " +
                         text("task") + " (fence)");
            return refuse("fence");
        }
        m_fence = fence;
        const auto deadline = number("deadline_ms");
        if (request.path() == "/run-start")
            return start(text("task"), number("run"), text("spec"), deadline);
        if (request.path() == "/run-stop")
        {
            const auto task = text("task");
            const auto found = m_running.find(task);
            if (found != m_running.end() && m_all[found->second.index].run == number("run") &&
                found->second.stop_at == 0)
                found->second.stop_at = now_ms() + 20;
            m_highest[task] = std::max(m_highest[task], number("run"));
            m_record.add("executor " + m_settings.id + ": stop of " + task + " #" +
                         std::to_string(number("run")));
            return accept();
        }
        if (request.path() != "/hold")
            return {404, "{}"};
        extend_lease(deadline);
        const auto acknowledged = number("ack_cursor");
        std::erase_if(m_ended,
                      [&](const ended_task& ended) { return ended.number <= acknowledged; });
        const auto arrived = now_ms();
        m_changed.wait_for(lock, milliseconds{number("wait_ms")},
                           [&] { return m_stopping || !m_ended.empty(); });
        if (std::getenv("RECORD_HOLDS") != nullptr)
            m_record.add("executor " + m_settings.id + ": hold of " +
                         std::to_string(now_ms() - arrived) + " of " +
                         std::to_string(number("wait_ms")) + " ms lists " +
                         std::to_string(m_running.size()) + " runs, " +
                         std::to_string(m_ended.size()) + " ends");
        json::array running;
        for (const auto& [task, state] : m_running)
            running.push_back(json::array{task, m_all[state.index].run, "", 50, 6800});
        json::array ended;
        for (const auto& item : m_ended)
            ended.push_back(json::array{item.number, item.task, item.run, item.how, ""});
        return {200, json::serialize(json::object{{"clock_ms", clock_ms()},
                                                  {"born", m_born},
                                                  {"running", running},
                                                  {"ended", ended}})};
    }
    void extend_lease(std::int64_t deadline)
    {
        m_lease = std::max(m_lease, std::min(deadline, clock_ms() + 1000));
    }
    reply start(const std::string& task, std::int64_t run, const std::string& spec,
                std::int64_t deadline)
    {
        const auto found = m_running.find(task);
        if (found != m_running.end() && m_all[found->second.index].run == run)
            return accept();
        if (deadline <= clock_ms())
            return refuse("late");
        extend_lease(deadline);
        const auto highest = m_highest.find(task);
        if ((highest != m_highest.end() && run <= highest->second) || found != m_running.end())
            return refuse("old");
        m_running[task] = {m_all.size(), now_ms() + duration_of(spec, task), 0};
        m_all.push_back({m_settings.id, task, run, now_ms(), 0, ""});
        m_record.add("executor " + m_settings.id + ": run " + task + " #" + std::to_string(run) +
                     " starts");
        return accept();
    }

    worker_settings m_settings;
    store& m_registry;
    recorder& m_record;
    std::int64_t m_base;
    std::int64_t m_born;
    std::atomic<std::int64_t> m_seq{0};
    std::atomic<bool> m_reporting{true};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::int64_t m_fence = 0;
    std::int64_t m_lease = 0;
    std::int64_t m_end_number = 0;
    std::map<std::string, running_task> m_running;
    std::map<std::string, std::int64_t> m_highest;
    std::vector<ended_task> m_ended;
    std::vector<run_record> m_all;
    server m_server;
    std::thread m_ticking;
};

} // namespace review

#endif
