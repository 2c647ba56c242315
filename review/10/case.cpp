// DRAIN: a liveness report that the store carries out late brings a draining executor back into
// use.

#include "standin.hpp"

using namespace standin;

namespace
{

constexpr std::int64_t drain_ms = 2000;
constexpr std::int64_t stable_window_ms = 3000;
constexpr std::int64_t report_interval = 1500; // heartbeat_ms
// The last report of "ready" gets no answer and is done this much later (1 to 6 s are allowed).
constexpr std::int64_t late_by = 4650;
constexpr const char* service = "huvo11a";
constexpr const char* zone = "iloilo-city";
constexpr const char* host = "nony24.example";

int play(const std::string& program, const std::string& record_path)
{
    auto& log = keep<record>(record_path);
    auto& runs = keep<run_list>(log);
    temporary_folder folder;
    const std::vector<std::string> ips{"127.0.0.2", "127.0.0.3"};
    const auto at = choose_ports(ips);
    auto& platform = keep<store>("127.0.0.9");
    json::array routes{route("r-1", "/lohu930/", service)};
    platform.put("keyed.op", "config", config(7, routes, service));

    std::vector<executor*> executors;
    for (int i = 0; i < 4; ++i)
        executors.push_back(&keep<executor>(
            "127.0.0.9", executor_options{"i-7f3a91c" + std::to_string(i), service, zone}, runs));
    const auto report = [&](executor& from, const char* state)
    { platform.put("keyed.servers", from.options().id, from.next_report(state)); };
    for (auto& entry : executors)
        report(*entry, "ready");

    std::vector<std::unique_ptr<edge>> edges;
    for (std::size_t i = 0; i < ips.size(); ++i)
    {
        edges.push_back(std::make_unique<edge>(program, folder.path(),
                                               "edge-" + std::to_string(i + 1), zone, ips[i], at,
                                               ips, platform.address()));
        edges.back()->start(true);
    }
    for (auto& entry : edges)
        if (!entry->wait_until_ready(15000))
        {
            log.line("an entry host did not become ready");
            return exit_could_not_run;
        }

    std::atomic<bool> stop{false};
    std::atomic<int> jobs{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 8; ++i)
        clients.emplace_back(
            [&, i]
            {
                while (!stop)
                {
                    const auto id = job_id(++jobs);
                    const auto answer =
                        call(edges[static_cast<std::size_t>(i) % edges.size()]->front(), "POST",
                             "/lohu930/" + id, host, job(150, 2, 6800, 150), 1500,
                             "Timeout-Ms: 1500\r\n");
                    served += answer.status == 200 ? 1 : 0;
                    log.line("job " + id + " status=" + std::to_string(answer.status));
                    sleep_ms(220);
                }
            });

    // Reports in turn, until the leaving executor's last report of "ready".
    const reporter reports(platform, {executors.begin() + 1, executors.end()});
    const auto begin = now_ms();
    auto& leaving = *executors[0];
    report(leaving, "ready");
    sleep_until_ms(begin + report_interval);
    report(leaving, "ready");
    sleep_until_ms(begin + 2 * report_interval);
    const auto last_ready = leaving.next_report("ready");
    const auto sent = now_ms();
    if (!with_trouble())
        platform.put("keyed.servers", leaving.options().id, last_ready);
    log.line(std::string("executor ") + leaving.options().id + " reports ready: " + last_ready +
             (with_trouble() ? " (not answered, done later)" : ""));
    sleep_until_ms(sent + 100);
    std::int64_t accepted = 0;
    std::int64_t done_late = -1;
    for (int n = 0; n < 6; ++n)
    {
        const auto value = leaving.next_report("draining");
        platform.put("keyed.servers", leaving.options().id, value);
        log.line("the store has accepted: " + value);
        if (n == 0)
            accepted = now_ms();
        const auto next = sent + 100 + (n + 1) * report_interval;
        if (with_trouble() && done_late < 0 && sent + late_by < next)
        {
            sleep_until_ms(sent + late_by);
            platform.put("keyed.servers", leaving.options().id, last_ready);
            done_late = now_ms();
            log.line("the store does the unanswered report now: " + last_ready);
        }
        sleep_until_ms(next);
    }
    stop = true;
    for (auto& thread : clients)
        thread.join();

    int crashed = 0;
    std::size_t known = 0;
    for (auto& entry : edges)
    {
        known += entry->log_lines("worker_listed worker=" + leaving.options().id).size();
        for (const auto& line : entry->log_lines("worker=" + leaving.options().id))
            log.line("log of " + entry->name() + ": " + line);
        crashed += entry->ended() ? 1 : 0;
    }
    // The machines have read the report within 0.7 s + a call; they count from a second later.
    const auto acknowledged = accepted + 1000;
    int broken = 0;
    for (const auto& run : runs.all())
        if (run.executor == leaving.options().id && run.started > acknowledged + drain_ms &&
            run.started > sent + stable_window_ms)
        {
            ++broken;
            log.line("DRAIN broken: task " + run.task + " starts on " + run.executor + " " +
                     std::to_string(run.started - accepted) +
                     " ms after its draining was accepted");
        }
    log.line("jobs " + std::to_string(jobs) + ", served " + std::to_string(served) +
             ", starts after the bound " + std::to_string(broken));
    if (served < 50 || known == 0 || crashed > 0)
        return exit_could_not_run;
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
