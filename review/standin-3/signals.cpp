// Hosts that are stopped one after the other while each has jobs open, right after their settings
// file has changed: SIGHUP, then SIGTERM. Each job is at work on an executor by then and ends
// within a second, long before the grace period. LOST: its caller gets no complete answer.

#include "deployment.hpp"
#include <boost/json/src.hpp>

namespace
{

using namespace review;

constexpr int rounds = 18;
constexpr int run_ms = 700;
constexpr int grace_ms = 6000;

int test(deployment& platform, bool trouble)
{
    const std::vector<std::string> hosts{"edge-1", "edge-2", "edge-3"};
    for (int i = 0; i < 4; ++i)
    {
        worker_settings settings;
        settings.id = "w-" + std::to_string(i);
        platform.add_worker(settings);
    }
    platform.publish({{"orders"}});
    for (const auto& name : hosts)
        platform.add_host(name, "z1");
    for (const auto& name : hosts)
        if (!platform.wait_ready(name))
            return exit_not_run;
    if (!platform.wait_held(4))
        return exit_not_run;
    std::this_thread::sleep_for(milliseconds{1000});
    int lost = 0;
    int aborted = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const auto& name = hosts[static_cast<std::size_t>(round) % hosts.size()];
        const auto id = job_id(round);
        const auto body = job_body({{1, run_ms}}, 6800, "0:" + std::to_string(run_ms));
        auto caller = platform.connect(name);
        if (!caller->connected() ||
            !caller->send("POST", "jobs.example", "/orders/" + id, body, 1500))
            return exit_not_run;
        platform.record.add("caller: job " + id + " sent to " + name);
        std::this_thread::sleep_for(milliseconds{150});
        const auto runs = platform.runs();
        const bool at_work = std::any_of(runs.begin(), runs.end(),
                                         [&](const run_record& run)
                                         { return run.task.starts_with(id) && run.ended == 0; });
        if (trouble)
        {
            platform.write_settings(name, false, "# changed by the platform\n");
            platform.signal(name, SIGHUP);
        }
        platform.signal(name, SIGTERM);
        platform.record.add("platform: " + std::string(trouble ? "SIGHUP and " : "") +
                            "SIGTERM to " + name);
        message answer;
        const auto got = caller->receive(answer, grace_ms);
        if (got == read_result::whole)
            platform.record.add("caller: job " + id + " answered " + std::to_string(answer.status) +
                                " " + answer.body);
        else
        {
            platform.record.add("caller: job " + id +
                                (got == read_result::closed
                                     ? ": the connection ended without an answer"
                                     : ": no answer") +
                                (at_work ? ", it was at work on an executor" : ""));
            lost += at_work ? 1 : 0;
        }
        const auto status = platform.wait_end(name, grace_ms + 1000);
        if (!status)
            platform.kill_now(name);
        else if (WIFSIGNALED(*status))
            ++aborted;
        platform.record.add("host " + name + " ended: " +
                            (!status ? "killed after the grace period"
                             : WIFSIGNALED(*status)
                                 ? "by signal " + std::to_string(WTERMSIG(*status))
                                 : "exit code " + std::to_string(WEXITSTATUS(*status))));
        platform.start_host(name, false);
        if (!platform.wait_ready(name))
            return exit_not_run;
        std::this_thread::sleep_for(milliseconds{300});
    }
    platform.record.add("of " + std::to_string(rounds) + " stops, " + std::to_string(lost) +
                        " lost a job's answer and " + std::to_string(aborted) +
                        " processes ended by a signal of their own");
    return lost > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_test(argc, argv, test);
}
