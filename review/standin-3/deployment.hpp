#ifndef EGRETLEDGE_REVIEW_STANDIN_3_DEPLOYMENT_HPP
#define EGRETLEDGE_REVIEW_STANDIN_3_DEPLOYMENT_HPP

// A small deployment on loopback addresses: the store, executors, and entry hosts that are started
// with the command of the deploy file. Each machine has an address of its own; the ports are the
// same on all machines.

#include "platform.hpp"
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

struct queue
{
    std::string name;
    std::string service = "svc";
    int slo_ms = 60;
    int timeout_ms = 1500;
};

class deployment
{
public:
    // `record_dir` is the folder of record.txt. Settings and logs go to a temporary folder.
    deployment(std::string edge_program, const std::string& record_dir)
        : record(record_dir + "/record.txt"), m_program(std::move(edge_program))
    {
        std::random_device random;
        m_net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250);
        std::string name = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
        m_dir = ::mkdtemp(name.data());
        m_first_port = free_ports();
        registry = std::make_unique<store>(address_of(1), port(0));
    }
    ~deployment()
    {
        for (auto& [name, host] : m_hosts)
            kill_now(name);
        workers.clear();
        registry.reset();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(m_dir, ignored);
        else
            std::cerr << "logs: " << m_dir << "\n";
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    std::string address_of(int machine) const { return m_net + "." + std::to_string(machine); }
    std::uint16_t port(int number) const
    {
        return static_cast<std::uint16_t>(m_first_port + number);
    }

    worker& add_worker(worker_settings settings)
    {
        settings.ip = address_of(100 + static_cast<int>(workers.size()));
        settings.port = port(6);
        workers.push_back(std::make_unique<worker>(std::move(settings), *registry, record));
        return *workers.back();
    }
    void publish(const std::vector<queue>& queues)
    {
        json::array routes;
        json::array services;
        std::set<std::string> names;
        for (const auto& item : queues)
        {
            routes.push_back(json::object{{"name", "r-" + item.name},
                                          {"host", "jobs.example"},
                                          {"path_prefix", "/" + item.name + "/"},
                                          {"kind", "non_idempotent"},
                                          {"timeout_ms", item.timeout_ms},
                                          {"slo_ms", item.slo_ms},
                                          {"priority", 0},
                                          {"service", item.service},
                                          {"max_attempts", 4},
                                          {"stretch", 1.6}});
            if (names.insert(item.service).second)
                services.push_back(json::object{{"name", item.service},
                                                {"health_path", "/health"},
                                                {"max_conns", 64},
                                                {"protocol", "h1"},
                                                {"tls", false},
                                                {"enforces_capacity", false},
                                                {"standby", false}});
        }
        registry->put("keyed.op", "config",
                      json::serialize(json::object{{"version", ++m_version},
                                                   {"routes", routes},
                                                   {"services", services},
                                                   {"limits",
                                                    {{"max_header_bytes", 16384},
                                                     {"max_body_bytes", 262144},
                                                     {"header_timeout_ms", 3000},
                                                     {"idle_timeout_ms", 15000}}}}));
        record.add("operator: config " + std::to_string(m_version) + " confirmed");
    }

    // Adds an entry host and starts it.
    void add_host(const std::string& name, const std::string& zone)
    {
        auto& host = m_hosts[name];
        host.zone = zone;
        host.machine = 10 + static_cast<int>(m_hosts.size());
        start_host(name, true);
    }
    // Writes the settings file of the host.
    void write_settings(const std::string& name, bool first_start, const std::string& note = "")
    {
        const auto& host = m_hosts.at(name);
        const auto ip = address_of(host.machine);
        const auto at = [&](int number) { return ip + ":" + std::to_string(port(number)); };
        std::string seed_list;
        for (const int machine : seeds)
            seed_list += (seed_list.empty() ? "\"" : ",\"") + address_of(machine) + ":" +
                         std::to_string(port(3)) + "\"";
        std::ofstream file(settings_file(name));
        file << note << "name: \"" << name << "\"\ndata_centre: \"" << host.zone
             << "\"\ncallers: \"" << at(1) << "\"\nreadiness: \"" << at(2) << "\"\ncontrol: \""
             << at(3) << "\"\nmetrics: \"" << at(4) << "\"\npeers: \"tcp://" << at(5)
             << "\"\nseeds: [" << seed_list << "]\nstore: \"" << address_of(1) << ":" << port(0)
             << "\"\nconfig_bound_ms: 2000\nevacuation_bound_ms: \nmax_lease_ms: 1000\n"
                "stop_limit_s: 6\nfirst_start: "
             << (first_start ? "true" : "false")
             << "\nprocessor_share: \"0.25\"\nprocessor_speed: \"1\"\nmemory_mb: \"260\"\n"
                "link_mbps: \"1000.0\"\n";
    }
    void start_host(const std::string& name, bool first_start)
    {
        auto& host = m_hosts.at(name);
        write_settings(name, first_start);
        const auto log = m_dir + "/" + name + ".log";
        const auto setting = "EGRETLEDGE_CONFIG=" + settings_file(name);
        const pid_t pid = ::fork();
        if (pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, however that ends
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            std::string path = "PATH=/usr/bin:/bin";
            char* const arguments[] = {m_program.data(), nullptr};
            auto variable = setting;
            char* const environment[] = {variable.data(), path.data(), nullptr};
            ::execve(m_program.c_str(), arguments, environment);
            ::_exit(127);
        }
        host.pid = pid;
        record.add("host " + name + " started");
    }
    // Returns true once the host reports itself ready, false after `timeout_ms`.
    bool wait_ready(const std::string& name, int timeout_ms = 15000)
    {
        const auto limit = now_ms() + timeout_ms;
        while (now_ms() < limit)
        {
            connection check(address_of(m_hosts.at(name).machine), port(2));
            message got;
            if (check.connected() && check.send("GET", "ready", "/ready", "", 1000) &&
                check.receive(got, 500) == read_result::whole && got.status == 200)
                return true;
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }
    std::unique_ptr<connection> connect(const std::string& name) const
    {
        return std::make_unique<connection>(address_of(m_hosts.at(name).machine), port(1));
    }
    void signal(const std::string& name, int number) const { ::kill(m_hosts.at(name).pid, number); }
    // Waits for the end of a host's process. Returns its wait status, or nothing after the timeout.
    std::optional<int> wait_end(const std::string& name, int timeout_ms)
    {
        auto& host = m_hosts.at(name);
        const auto limit = now_ms() + timeout_ms;
        do
        {
            int status = 0;
            if (host.pid > 0 && ::waitpid(host.pid, &status, WNOHANG) == host.pid)
            {
                host.pid = 0;
                return status;
            }
            std::this_thread::sleep_for(milliseconds{5});
        } while (now_ms() < limit);
        return std::nullopt;
    }
    void kill_now(const std::string& name)
    {
        auto& host = m_hosts.at(name);
        if (host.pid <= 0)
            return;
        ::kill(host.pid, SIGKILL);
        ::kill(host.pid, SIGCONT);
        ::waitpid(host.pid, nullptr, 0);
        host.pid = 0;
    }
    // Returns the host's state as its control address shows it.
    json::object state_of(const std::string& name) const
    {
        connection ask(address_of(m_hosts.at(name).machine), port(3));
        message got;
        boost::system::error_code code;
        if (!ask.connected() || !ask.send("GET", "x", "/statez", "", 1000) ||
            ask.receive(got, 1000) != read_result::whole)
            return {};
        const auto value = json::parse(got.body, code);
        return code || !value.is_object() ? json::object{} : value.get_object();
    }
    // Returns the hosts that hold workers, each with their number.
    std::map<std::string, std::size_t> holders() const
    {
        std::map<std::string, std::size_t> found;
        for (const auto& [name, host] : m_hosts)
        {
            const auto state = state_of(name);
            const auto* held = state.if_contains("held");
            if (held != nullptr && held->is_array() && !held->get_array().empty())
                found[name] = held->get_array().size();
        }
        return found;
    }
    bool wait_held(std::size_t count, int timeout_ms = 15000) const
    {
        const auto limit = now_ms() + timeout_ms;
        while (now_ms() < limit)
        {
            std::size_t sum = 0;
            for (const auto& [name, held] : holders())
                sum += held;
            if (sum >= count)
                return true;
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }
    std::vector<run_record> runs() const
    {
        std::vector<run_record> all;
        for (const auto& item : workers)
            for (const auto& run : item->runs())
                all.push_back(run);
        return all;
    }

    recorder record;
    // The machines that the settings name as seeds.
    std::vector<int> seeds{11, 12, 13};
    std::unique_ptr<store> registry;
    std::vector<std::unique_ptr<worker>> workers;

private:
    struct host_process
    {
        std::string zone;
        int machine = 0;
        pid_t pid = 0;
    };
    std::string settings_file(const std::string& name) const
    {
        return m_dir + "/" + name + ".yaml";
    }
    // Returns the first of seven ports that are free on the first address of this deployment.
    int free_ports() const
    {
        std::random_device random;
        for (int attempt = 0; attempt < 200; ++attempt)
        {
            const int first = 20000 + static_cast<int>(random() % 11000);
            bool free = true;
            for (int number = 0; number < 7 && free; ++number)
            {
                const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
                auto address = endpoint(address_of(1), static_cast<std::uint16_t>(first + number));
                free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
                ::close(fd);
            }
            if (free)
                return first;
        }
        throw std::runtime_error("no free ports");
    }

    std::string m_program;
    std::string m_net;
    std::string m_dir;
    int m_first_port = 0;
    int m_version = 0;
    std::map<std::string, host_process> m_hosts;
};

// A job of one or more steps, each of `count` tasks; a step waits for the one before it.
inline std::string job_body(const std::vector<std::pair<int, int>>& steps, int cpu,
                            const std::string& spec)
{
    json::array rows;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        json::object row{
            {"count", steps[i].first}, {"cpu", cpu}, {"mem_mb", 64}, {"est_ms", steps[i].second}};
        if (i > 0)
            row["after"] = json::array{i - 1};
        rows.push_back(row);
    }
    return json::serialize(json::object{{"spec", spec}, {"steps", rows}, {"best_effort", true}});
}

// Returns a job id: 16 hexadecimal digits.
inline std::string job_id(int number)
{
    static const auto base = std::random_device{}();
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", base, static_cast<unsigned>(number));
    return text;
}

// Common start of the test programs: PROGRAM EDGE_PROGRAM RECORD_DIR; TROUBLE=0 leaves out the
// disruption.
template <class Test>
int run_test(int argc, char** argv, const Test& test)
{
    if (argc != 3)
    {
        std::cerr << "usage: " << argv[0] << " EDGE_PROGRAM RECORD_DIR\n";
        return exit_not_run;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    try
    {
        deployment platform(argv[1], argv[2]);
        const int result = test(platform, trouble == nullptr || std::string(trouble) != "0");
        platform.record.add(result == exit_held     ? "the rule held"
                            : result == exit_broken ? "the rule was broken"
                                                    : "the case could not run");
        return result;
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << "\n";
        return exit_not_run;
    }
}

} // namespace review

#endif
