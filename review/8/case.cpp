// RECOVER: the records of replaced hosts stay in the store. After all hosts were killed at once,
// they do not find each other among them and take the executors from each other.

#include "standin.hpp"

using namespace standin;

namespace
{

constexpr std::int64_t recovery_ms = 12000;
constexpr std::int64_t down_ms = 1100;
constexpr std::int64_t job_interval = 250;
constexpr int live_hosts = 8;
constexpr int replaced_hosts = 1050;
constexpr int at_once = 12; // replaced machines that run at the same time
constexpr const char* service = "huvo11a";
constexpr const char* zone = "iloilo-city";
constexpr const char* host = "nony24.example";

struct sent_job
{
    std::int64_t sent = 0;
    int status = 0;
};

int play(const std::string& program, const std::string& record_path)
{
    auto& log = keep<record>(record_path);
    auto& runs = keep<run_list>(log);
    temporary_folder folder;
    std::vector<std::string> ips;
    for (int i = 0; i < live_hosts; ++i)
        ips.push_back("127.0.0." + std::to_string(11 + i));
    const auto at = choose_ports(ips);
    auto& platform = keep<store>("127.0.0.9");
    json::array routes{route("r-1", "/lohu930/", service)};
    platform.put("keyed.op", "config", config(7, routes, service));

    std::vector<executor*> executors;
    for (int i = 0; i < 16; ++i)
        executors.push_back(&keep<executor>(
            "127.0.0.9", executor_options{"i-7f3a91" + std::to_string(10 + i), service, zone},
            runs));
    const reporter reports(platform, executors);
    std::vector<std::unique_ptr<edge>> edges;
    for (std::size_t i = 0; i < ips.size(); ++i)
    {
        edges.push_back(std::make_unique<edge>(
            program, folder.path(), "edge-" + std::to_string(9001 + i), zone, ips[i], at,
            std::vector<std::string>{ips[0], ips[1], ips[2]}, platform.address()));
        edges.back()->start(true);
    }
    for (auto& entry : edges)
        if (!entry->wait_until_ready(15000))
            return exit_could_not_run;
    sleep_ms(3000);

    if (with_trouble())
    {
        // Machines come and are removed for good, one after the other on `at_once` places.
        std::atomic<int> next{0};
        std::vector<std::thread> places;
        for (int place = 0; place < at_once; ++place)
            places.emplace_back(
                [&]
                {
                    for (int i = next++; i < replaced_hosts; i = next++)
                    {
                        edge machine(
                            program, folder.path(), "edge-" + std::to_string(1001 + i), zone,
                            "127.1." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200),
                            at, {ips[0], ips[1], ips[2]}, platform.address());
                        machine.start(false);
                        for (const auto until = now_ms() + 5000;
                             now_ms() < until &&
                             !platform.has("keyed.egret-hosts", machine.name());)
                            sleep_ms(5);
                        machine.kill(SIGKILL);
                    }
                });
        for (auto& place : places)
            place.join();
        log.line(std::to_string(replaced_hosts) + " machines have come and been removed");
    }
    sleep_ms(4000);
    std::mutex mutex;
    std::vector<sent_job> jobs;
    std::vector<std::thread> calls;
    const auto send_until = [&](std::int64_t until)
    {
        for (; now_ms() < until; sleep_ms(job_interval))
            calls.emplace_back(
                [&, number = static_cast<int>(calls.size()) + 2]
                {
                    const auto sent = now_ms();
                    const auto& to = edges[static_cast<std::size_t>(number) % edges.size()];
                    const auto answer =
                        call(to->front(), "POST", "/lohu930/" + job_id(number), host,
                             job(900, 4, 6800, 900), 1500, "Timeout-Ms: 1500\r\n");
                    const std::lock_guard lock(mutex);
                    jobs.push_back({sent, answer.status});
                    log.line("job " + job_id(number) + " of 4 tasks, sent to " + to->name() +
                             " at " + std::to_string(sent) +
                             ", is answered: " + std::to_string(answer.status) + " " + answer.body);
                });
    };
    const auto begin = now_ms();
    send_until(begin + 8000);
    const auto fault = now_ms();
    for (auto& entry : edges)
        entry->kill(SIGKILL);
    log.line("all machines are killed");
    send_until(fault + down_ms);
    for (auto& entry : edges)
        entry->start(false);
    log.line("all machines start");
    const auto back = now_ms();
    send_until(back + recovery_ms + 15000);
    for (auto& thread : calls)
        thread.join();

    const auto served_share = [&](std::int64_t from, std::int64_t to, const char* what)
    {
        int all = 0;
        int served = 0;
        for (const auto& item : jobs)
            if (item.sent >= from && item.sent < to)
            {
                ++all;
                served += item.status == 200 ? 1 : 0;
            }
        log.line(std::string(what) + ": " + std::to_string(served) + " of " + std::to_string(all) +
                 " jobs served");
        return all == 0 ? 0.0 : static_cast<double>(served) / all;
    };
    const auto before = served_share(begin, fault, "before the fault");
    const auto after =
        served_share(back + recovery_ms, now_ms(), "later than recovery_s after the fault");
    int ready = 0;
    for (auto& entry : edges)
    {
        ready += entry->ready() ? 1 : 0;
        log.line("state of " + entry->name() + ": " + entry->state());
        if (const auto refused = entry->log_lines("event=peer_not_connected"); !refused.empty())
            log.line("log of " + entry->name() + ", first of " + std::to_string(refused.size()) +
                     " such lines: " + refused.front());
        const auto lines = entry->log_lines("event=job_ended");
        for (std::size_t i = lines.size() < 2 ? 0 : lines.size() - 2; i < lines.size(); ++i)
            log.line("log of " + entry->name() + ": " + lines[i]);
    }
    constexpr double quarter = 0.25;
    if (before < quarter || ready == 0)
        return exit_could_not_run;
    return after < quarter ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
