// All hosts are killed at once and started again. One caller of eight gives an estimate that is 0.4
// below the time that its task takes. It is the first one that is served after the return. RECOVER:
// from then on the others are refused, with idle executors.

#include "deployment.hpp"
#include <boost/json/src.hpp>

namespace
{

using namespace review;

constexpr int work_ms = 1050;
constexpr int rough_estimate_ms = 630; // 0.4 less
constexpr int rough_share = 8;         // one of so many callers
constexpr int interval_ms = 250;
constexpr int wait_ms = 1500;
constexpr int before_s = 24;
constexpr int down_ms = 1000;
constexpr int recovery_ms = 12000;
constexpr int after_s = 24;

struct outcome
{
    std::int64_t sent = 0;
    unsigned status = 0; // 0: none
};

int test(deployment& platform, bool trouble)
{
    for (int i = 0; i < 8; ++i)
    {
        worker_settings settings;
        settings.id = "w-" + std::to_string(i);
        platform.add_worker(settings);
    }
    platform.publish({{"releases"}});
    const std::vector<std::string> hosts{"edge-1", "edge-2", "edge-3"};
    for (const auto& name : hosts)
        platform.add_host(name, "z1");
    for (const auto& name : hosts)
        if (!platform.wait_ready(name))
            return exit_not_run;
    if (!platform.wait_held(8))
        return exit_not_run;
    std::mutex mutex;
    std::vector<outcome> outcomes;
    std::vector<std::thread> callers;
    int number = 0;
    // Sends a job each interval, the one numbered 0, 8, 16... with the rough estimate.
    const auto send_jobs = [&](std::int64_t until, int first)
    {
        for (int i = first; now_ms() < until; ++i)
        {
            const bool rough = i % rough_share == 0;
            const auto id = job_id(++number);
            callers.emplace_back(
                [&, id, rough, name = hosts[static_cast<std::size_t>(i) % hosts.size()]]
                {
                    outcome result{now_ms(), 0};
                    message answer;
                    auto caller = platform.connect(name);
                    const auto body = job_body({{1, rough ? rough_estimate_ms : work_ms}}, 6800,
                                               "0:" + std::to_string(work_ms));
                    if (caller->connected() &&
                        caller->send("POST", "jobs.example", "/releases/" + id, body, wait_ms) &&
                        caller->receive(answer, wait_ms) == read_result::whole)
                        result.status = answer.status;
                    platform.record.add("caller: job " + id + " to " + name + ", estimate " +
                                        std::to_string(rough ? rough_estimate_ms : work_ms) +
                                        " ms: " + std::to_string(result.status));
                    const std::lock_guard lock(mutex);
                    outcomes.push_back(result);
                });
            std::this_thread::sleep_for(milliseconds{interval_ms});
        }
    };
    send_jobs(now_ms() + before_s * 1000, 1);
    const auto fault_at = now_ms();
    if (trouble)
    {
        for (const auto& name : hosts)
            platform.signal(name, SIGKILL);
        platform.record.add("all hosts are killed");
        for (const auto& name : hosts)
            platform.kill_now(name);
        std::this_thread::sleep_for(milliseconds{down_ms});
        for (const auto& name : hosts)
            platform.start_host(name, false);
        for (const auto& name : hosts)
            if (!platform.wait_ready(name))
                return exit_not_run;
    }
    const auto back_at = now_ms();
    platform.record.add("the hosts are back");
    send_jobs(back_at + recovery_ms + after_s * 1000, 0);
    for (auto& caller : callers)
        caller.join();
    int sent_before = 0;
    int served_before = 0;
    int sent_after = 0;
    int served_after = 0;
    for (const auto& result : outcomes)
    {
        const bool served = result.status == 200;
        if (result.sent < fault_at)
        {
            ++sent_before;
            served_before += served ? 1 : 0;
        }
        else if (result.sent > back_at + recovery_ms)
        {
            ++sent_after;
            served_after += served ? 1 : 0;
        }
    }
    platform.record.add("before the fault " + std::to_string(served_before) + " of " +
                        std::to_string(sent_before) + " served, later than " +
                        std::to_string(recovery_ms) + " ms after the return " +
                        std::to_string(served_after) + " of " + std::to_string(sent_after));
    if (served_before * 4 < sent_before)
        return exit_not_run;
    return served_after * 4 < sent_after ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_test(argc, argv, test);
}
