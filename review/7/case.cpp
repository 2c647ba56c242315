// UNASKED: a client that has moved to another zone cancels its job there. The answer says that no
// such job exists, and the job runs on.

#include "standin.hpp"

using namespace standin;

namespace
{

constexpr std::int64_t cancel_ms = 3000;
constexpr std::int64_t stop_ms = 50;
constexpr std::int64_t work_ms = 9000;
constexpr const char* service = "huvo11a";
constexpr const char* host = "nony24.example";

int play(const std::string& program, const std::string& record_path)
{
    auto& log = keep<record>(record_path);
    auto& runs = keep<run_list>(log);
    temporary_folder folder;
    const std::vector<std::string> ips{"127.0.0.2", "127.0.0.3", "127.0.0.4"};
    const std::vector<std::string> zones{"kinondoni", "ilala", "temeke"};
    const auto at = choose_ports(ips);
    auto& platform = keep<store>("127.0.0.9");
    json::array routes{route("r-1", "/lohu930/", service)};
    platform.put("keyed.op", "config", config(7, routes, service));

    std::vector<executor*> executors;
    for (int i = 0; i < 6; ++i)
        executors.push_back(
            &keep<executor>("127.0.0.9",
                            executor_options{"i-7f3a91c" + std::to_string(i), service,
                                             zones[static_cast<std::size_t>(i) % zones.size()]},
                            runs));
    const reporter reports(platform, executors);
    std::vector<std::unique_ptr<edge>> edges;
    for (std::size_t i = 0; i < ips.size(); ++i)
    {
        edges.push_back(std::make_unique<edge>(program, folder.path(), "edge-" + zones[i] + "-1",
                                               zones[i], ips[i], at, ips, platform.address()));
        edges.back()->start(true);
    }
    bool ready = true;
    for (auto& entry : edges)
        ready = entry->wait_until_ready(15000) && ready;
    sleep_ms(4000); // longer than stable_window_ms
    if (!ready)
        return exit_could_not_run;

    const auto id = job_id(1);
    std::thread client(
        [&]
        {
            log.line("the client in " + zones[0] + " sends job " + id + " to " + edges[0]->name());
            const auto answer =
                call(edges[0]->front(), "POST", "/lohu930/" + id, host,
                     job(work_ms, 2, 6800, work_ms), 15000, "Timeout-Ms: 15000\r\n");
            log.line("job " + id + " is answered: " + std::to_string(answer.status) + " " +
                     answer.body);
        });
    sleep_ms(1000);
    const auto& asked = with_trouble() ? edges[1] : edges[0];
    if (with_trouble())
        log.line("the client moves to " + zones[1]);
    const auto running = runs.all().size();
    const auto answer = call(asked->front(), "DELETE", "/lohu930/" + id, host, "", 4000);
    const auto acknowledged = now_ms();
    log.line(asked->name() + " answers the DELETE: " + std::to_string(answer.status) + " " +
             answer.body);
    client.join();
    sleep_ms(300);
    const bool cancelled = answer.status == 410 || answer.status / 100 == 2;
    if (running == 0 || !cancelled)
        return exit_could_not_run;
    int broken = 0;
    for (const auto& run : runs.all())
    {
        const auto until = run.ended < 0 ? now_ms() : run.ended;
        if (until <= acknowledged + cancel_ms + stop_ms)
            continue;
        ++broken;
        log.line("UNASKED broken: task " + run.task + " ran on for " +
                 std::to_string(until - acknowledged) + " ms after its job's cancelling was " +
                 "acknowledged with " + std::to_string(answer.status) + ", and ended " + run.how);
    }
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
