// CONFIG: a machine that the store turns away runs tasks of a new queue for the others, and then
// answers its own callers that there is no such queue.

#include "standin.hpp"

using namespace standin;

namespace
{

constexpr std::int64_t rollback_slack_ms = 250;
constexpr const char* service = "huvo11a";
constexpr const char* zone = "iloilo-city";
constexpr const char* host = "nony24.example";

int play(const std::string& program, const std::string& record_path)
{
    auto& log = keep<record>(record_path);
    auto& runs = keep<run_list>(log);
    temporary_folder folder;
    const std::vector<std::string> ips{"127.0.0.2", "127.0.0.3", "127.0.0.4"};
    const auto at = choose_ports(ips);
    auto& platform = keep<store>("127.0.0.9");
    auto& turned_away = keep<std::vector<std::atomic<bool>>>(ips.size());
    json::array routes{route("r-1", "/lohu930/", service)};
    platform.put("keyed.op", "config", config(7, routes, service));

    std::vector<executor*> executors;
    for (int i = 0; i < 4; ++i)
        executors.push_back(&keep<executor>(
            "127.0.0.9", executor_options{"i-7f3a91c" + std::to_string(i), service, zone}, runs));
    const reporter reports(platform, executors);
    std::vector<std::unique_ptr<edge>> edges;
    for (std::size_t i = 0; i < ips.size(); ++i)
    {
        const auto door = platform.open_door("127.0.0.9", [&, i] { return turned_away[i].load(); });
        edges.push_back(std::make_unique<edge>(
            program, folder.path(), "edge-" + std::to_string(i + 1), zone, ips[i], at, ips, door));
        edges.back()->start(true);
    }
    bool ready = true;
    for (auto& entry : edges)
        ready = entry->wait_until_ready(15000) && ready;
    sleep_ms(4000); // longer than stable_window_ms
    std::size_t holder = edges.size();
    for (std::size_t i = 0; i < edges.size(); ++i)
    {
        log.line("state of " + edges[i]->name() + ": " + edges[i]->state());
        for (const auto& entry : executors)
            if (edges[i]->state().find("\"" + entry->options().id + "\"") != std::string::npos)
                holder = i;
    }
    if (!ready || holder == edges.size())
        return exit_could_not_run;
    const auto other = (holder + 1) % edges.size();

    turned_away[holder] = with_trouble();
    if (with_trouble())
        log.line("the store turns " + edges[holder]->name() + " away");
    sleep_ms(300);
    routes.push_back(route("r-2", "/pufi791/", service));
    platform.put("keyed.op", "config", config(9, routes, service));
    const auto confirmed = now_ms();
    log.line("the store confirms version 9, which adds /pufi791/");
    sleep_ms(100);
    // A client in front of another machine uses the new queue.
    const auto first = call(edges[other]->front(), "POST", "/pufi791/" + job_id(1), host,
                            job(60, 2, 6800, 60), 1500, "Timeout-Ms: 1500\r\n");
    log.line(edges[other]->name() + " answers a job on /pufi791/: " + std::to_string(first.status) +
             " " + first.body);
    std::int64_t effect = -1;
    std::string effect_at;
    for (const auto& run : runs.all())
        if (run.task.starts_with(job_id(1)) && effect < 0)
        {
            effect = run.started;
            effect_at = run.executor;
        }
    const bool sent_by_holder =
        edges[holder]->state().find("\"" + effect_at + "\"") != std::string::npos;
    if (first.status != 200 || effect < 0 || !sent_by_holder)
    {
        log.line("the job did not run on an executor of " + edges[holder]->name());
        return exit_could_not_run;
    }
    int broken = 0;
    for (int n = 2; n < 12; ++n)
    {
        sleep_until_ms(effect + rollback_slack_ms + 30 + (n - 2) * 100);
        const auto sent = now_ms();
        const auto answer = call(edges[holder]->front(), "POST", "/pufi791/" + job_id(n), host,
                                 job(60, 2, 6800, 60), 1500, "Timeout-Ms: 1500\r\n");
        log.line(edges[holder]->name() + " answers a job on /pufi791/ sent " +
                 std::to_string(sent - effect) + " ms after it started a task of that queue, " +
                 std::to_string(sent - confirmed) + " ms after the confirmation: " +
                 std::to_string(answer.status) + " " + answer.body);
        broken += answer.status == 404 ? 1 : 0;
    }
    for (const auto& line : edges[holder]->log_lines("config"))
        log.line("log of " + edges[holder]->name() + ": " + line);
    log.line("requests handled as only the older version allows: " + std::to_string(broken));
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
