// A host that is stopped as planned while jobs of its callers wait for room at another host's pool.
//
// Two hosts, four executors, all of them busy with tasks that take longer than estimated. Jobs are
// submitted at the host that holds no executors; the other host's pool takes them on, and they wait
// there. With trouble, the callers' host gets SIGTERM 0.5 s later, as in a rolling restart. Exits
// with 1 if a caller's channel ends without an answer, before its time budget is over and without
// any task of its job having been started.

#include "platform.hpp"

using namespace review;

namespace
{

constexpr int time_budget_ms = 14000;
constexpr milliseconds before_submission{1500};
constexpr milliseconds before_stop{500};
constexpr double loss_slack_ms = 200;
constexpr int waiting_jobs = 3;
// Estimated at 3 s, and works for 9 s.
constexpr const char* long_job = R"j({"spec":"{\"ms\":[9000],\"cpu\":6800}","best_effort":true,)j"
                                 R"j("steps":[{"count":2,"cpu":6800,"mem_mb":64,"est_ms":3000}]})j";
constexpr const char* waiting_job =
    R"j({"spec":"{\"ms\":[1000],\"cpu\":6800}","best_effort":true,)j"
    R"j("steps":[{"count":1,"cpu":6800,"mem_mb":64,"est_ms":3000}]})j";

struct call
{
    std::string id;
    double sent = 0;
    double ended = 0;
    response answer;
    std::thread thread;
};

} // namespace

int main(int, char** argv)
{
    const std::string folder = argv[1];
    record lines(argv[2]);
    store platform_store;
    std::vector<std::unique_ptr<executor>> executors;
    for (int i = 0; i < 4; ++i)
        executors.push_back(std::make_unique<executor>(
            lines, platform_store, "i-" + std::to_string(100 + i), "iloilo-city", kind{"a"}));
    platform_store.put("keyed.op", "config", config_text(time_budget_ms));
    std::vector<std::unique_ptr<entry_host>> hosts;
    for (int i = 0; i < 2; ++i)
        hosts.push_back(std::make_unique<entry_host>(folder,
                                                     "edge-iloilo-city-" + std::to_string(i + 1),
                                                     "iloilo-city", platform_store.port()));
    if (!wait_until_ready(hosts, milliseconds{15000}))
        return 2;
    std::this_thread::sleep_for(milliseconds{5000});
    // The host that holds the executors, by its operators' page.
    std::size_t holder = hosts.size();
    for (std::size_t i = 0; i < hosts.size(); ++i)
        if (channel(hosts[i]->at().control)
                .call("GET", "/statez", "operator", "", milliseconds{1000})
                .body.find("\"held\":[\"") != std::string::npos)
            holder = i;
    if (holder == hosts.size())
        return 2;
    auto& callers_host = *hosts[1 - holder];
    lines.line(hosts[holder]->name() + " holds the executors; jobs are submitted at " +
               callers_host.name());

    std::vector<std::unique_ptr<call>> calls;
    const auto submit = [&](entry_host& host, const char* job)
    {
        calls.push_back(std::make_unique<call>());
        auto& made = *calls.back();
        made.id = new_id();
        made.thread = std::thread(
            [&, job, port = host.at().callers]
            {
                channel caller(port);
                made.sent = lines.now();
                lines.line("POST " + made.id);
                made.answer = caller.call("POST", "/q/" + made.id, "orders.example", job,
                                          milliseconds{time_budget_ms + 500}, time_budget_ms);
                made.ended = lines.now();
                lines.line("POST " + made.id + ": " +
                           (made.answer.status == 0
                                ? "the channel ended without an answer"
                                : std::to_string(made.answer.status) + " " + made.answer.body) +
                           " after " + std::to_string(static_cast<long>(made.ended - made.sent)) +
                           " ms");
            });
    };
    for (int i = 0; i < 4; ++i)
        submit(*hosts[holder], long_job);
    std::this_thread::sleep_for(before_submission);
    for (int i = 0; i < waiting_jobs; ++i)
        submit(callers_host, waiting_job);
    std::this_thread::sleep_for(before_stop);
    if (trouble_wanted())
    {
        lines.line("SIGTERM to " + callers_host.name());
        callers_host.signal(SIGTERM);
    }
    for (auto& made : calls)
        made->thread.join();
    std::this_thread::sleep_for(milliseconds{500});
    lines.line(callers_host.name() + (callers_host.running()
                                          ? std::string(" runs")
                                          : " ended " + callers_host.how_ended()));

    int lost = 0;
    int complete = 0;
    for (std::size_t i = 4; i < calls.size(); ++i)
    {
        const auto& made = *calls[i];
        bool passed_on = false;
        for (const auto& worker : executors)
            for (const auto& run : worker->history())
                if (run.task.starts_with(made.id))
                {
                    passed_on = passed_on || run.started < made.ended;
                    lines.line("executor " + worker->id() + ": " + run.task + " from " +
                               std::to_string(static_cast<long>(run.started)) + " to " +
                               std::to_string(static_cast<long>(run.ended)) + " ms, " + run.how);
                }
        complete += made.answer.status == 200 ? 1 : 0;
        lost += made.answer.status == 0 && !passed_on && made.ended > made.sent + loss_slack_ms &&
                        made.ended < made.sent + time_budget_ms
                    ? 1
                    : 0;
    }
    const auto verdict = std::string(lost > 0 ? "BROKEN: " : "held: ") + std::to_string(lost) +
                         " of " + std::to_string(waiting_jobs) +
                         " requests were read and ended without an answer, " +
                         std::to_string(complete) + " were complete";
    lines.line(verdict);
    std::cout << verdict << "\n";
    return lost > 0 ? 1 : 0;
}
