// TWICE: an executor's orders are carried out late, and the time that they grant counts from then.
// A start that its host has given up begins beside the task's next run.

#include "standin.hpp"

using namespace standin;

namespace
{

constexpr std::int64_t late_start_ms = 2000; // 2 to 12 s are allowed
constexpr std::int64_t late_hold_ms = 8000;
constexpr std::int64_t spell_ms = 3000; // 5.5 s in the site file
constexpr std::int64_t work_ms = 5000;
constexpr int executor_count = 8;
constexpr const char* service = "huvo11a";
constexpr const char* zone = "iloilo-city";
constexpr const char* host = "nony24.example";

// Which orders are late: the first start of the long job's task, and what its executor is told in
// the spell that begins then.
struct lateness
{
    std::mutex mutex;
    std::string task_prefix;
    const executor* chosen = nullptr;
    std::int64_t since = 0;
    int all = 0; // orders of the spell, on all executors
    int late = 0;
};

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
    auto& spell = keep<lateness>();
    spell.task_prefix = "\"" + job_id(1) + ".";
    std::vector<executor*> executors;
    for (int i = 0; i < executor_count; ++i)
    {
        auto* entry = &keep<executor>(
            "127.0.0.9", executor_options{"i-7f3a91c" + std::to_string(i), service, zone}, runs);
        entry->late_by = [&spell, &log, entry](const request& order) -> std::int64_t
        {
            const std::lock_guard lock(spell.mutex);
            const bool start = order.path == "/run-start" &&
                               order.body.find(spell.task_prefix) != std::string::npos;
            if (start && spell.chosen == nullptr && with_trouble())
            {
                spell.chosen = entry;
                spell.since = now_ms();
                spell.late = spell.all = 1;
                log.line("executor=" + entry->options().id + " gives no answer to " + order.path +
                         " " + order.body + " and carries it out " + std::to_string(late_start_ms) +
                         " ms later");
                return late_start_ms;
            }
            if (spell.chosen == nullptr || now_ms() > spell.since + spell_ms)
                return 0;
            ++spell.all;
            if (entry != spell.chosen)
                return 0;
            ++spell.late;
            return late_hold_ms;
        };
        executors.push_back(entry);
    }
    const reporter reports(platform, executors);
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
            return exit_could_not_run;
    sleep_ms(3000);

    // Other clients keep the other executors at work.
    std::atomic<bool> stop{false};
    std::atomic<int> jobs{1};
    std::vector<std::thread> clients;
    for (int i = 0; i < 6; ++i)
        clients.emplace_back(
            [&]
            {
                while (!stop)
                    call(edges[1]->front(), "POST", "/lohu930/" + job_id(++jobs), host,
                         job(60, 1, 6800, 60), 1500, "Timeout-Ms: 1500\r\n");
            });
    sleep_ms(500);
    const auto answer = call(edges[0]->front(), "POST", "/lohu930/" + job_id(1), host,
                             job(work_ms, 1, 6800, work_ms), 14000, "Timeout-Ms: 14000\r\n");
    log.line("job " + job_id(1) + " is answered: " + std::to_string(answer.status) + " " +
             answer.body);
    sleep_ms(500);
    stop = true;
    for (auto& thread : clients)
        thread.join();

    int broken = 0;
    int own_runs = 0;
    const auto all = runs.all();
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        own_runs += all[i].task.starts_with(job_id(1)) ? 1 : 0;
        for (std::size_t j = i + 1; j < all.size(); ++j)
        {
            const auto& a = all[i];
            const auto& b = all[j];
            if (a.task != b.task || (a.ended >= 0 && a.ended <= b.started))
                continue;
            ++broken;
            log.line("TWICE broken: task " + a.task + " ran on " + a.executor + " from " +
                     std::to_string(a.started) + " to " + std::to_string(a.ended) + " and on " +
                     b.executor + " from " + std::to_string(b.started) + " to " +
                     std::to_string(b.ended));
        }
    }
    log.line("orders of the spell: " + std::to_string(spell.all) +
             ", late: " + std::to_string(spell.late));
    if (own_runs == 0 || 2 * spell.late > spell.all)
        return exit_could_not_run;
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
