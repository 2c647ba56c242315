// A host that is the only one of its zone stands still for one and a half seconds. Its caller left
// meanwhile and sent the job again to another host, as the pages say. TWICE: the host that wakes
// starts a task that runs elsewhere at that time.

#include "deployment.hpp"
#include <boost/json/src.hpp>

namespace
{

using namespace review;

constexpr int rounds = 5;
constexpr int retry_ms = 1300;
constexpr int first_ms = 60;   // run time of the first step's task
constexpr int second_ms = 600; // and of the second step's
constexpr int leave_ms = 100;  // the caller leaves so long after it has sent the job
constexpr int pause_ms = 1530;

std::vector<run_record> runs_of(const deployment& platform, const std::string& id)
{
    auto runs = platform.runs();
    std::erase_if(runs, [&](const run_record& run) { return !run.task.starts_with(id); });
    return runs;
}

// Returns whether two runs of one task overlapped, on different executors.
bool ran_twice_at_once(deployment& platform, const std::vector<run_record>& runs)
{
    bool found = false;
    for (std::size_t i = 0; i < runs.size(); ++i)
        for (std::size_t j = i + 1; j < runs.size(); ++j)
        {
            const auto& a = runs[i];
            const auto& b = runs[j];
            const auto end = [](const run_record& run)
            { return run.ended == 0 ? now_ms() : run.ended; };
            const auto overlap = std::min(end(a), end(b)) - std::max(a.began, b.began);
            if (a.task != b.task || a.worker == b.worker || overlap <= 0)
                continue;
            found = true;
            platform.record.add("task " + a.task + " ran on " + a.worker + " and on " + b.worker +
                                " at the same time for " + std::to_string(overlap) + " ms");
        }
    return found;
}

int test(deployment& platform, bool trouble)
{
    for (int zone = 1; zone <= rounds; ++zone)
    {
        for (int i = 0; i < 2; ++i)
        {
            worker_settings settings;
            settings.id = "w-" + std::to_string(zone) + "-" + std::to_string(i);
            settings.zone = "z" + std::to_string(zone);
            platform.add_worker(settings);
        }
        platform.add_host("edge-" + std::to_string(zone), "z" + std::to_string(zone));
    }
    platform.publish({{"orders", "svc", 60, 5000}});
    for (int zone = 1; zone <= rounds; ++zone)
        if (!platform.wait_ready("edge-" + std::to_string(zone)))
            return exit_not_run;
    if (!platform.wait_held(2 * rounds))
        return exit_not_run;
    int broken = 0;
    for (int round = 0; round < rounds; ++round)
    {
        // Each round has a host and a zone of its own.
        const auto paused = "edge-" + std::to_string(round + 1);
        const auto other = "edge-" + std::to_string((round + 1) % rounds + 1);
        std::this_thread::sleep_for(milliseconds{3000 + 70 * round});
        // Four callers of five stay until they have their answers.
        std::vector<std::unique_ptr<connection>> staying;
        for (int number = 0; number < 4; ++number)
        {
            staying.push_back(platform.connect(other));
            if (!staying.back()->send("POST", "jobs.example",
                                      "/orders/" + job_id(1000 + 4 * round + number),
                                      job_body({{1, 100}}, 3400, "0:100"), 5000))
                return exit_not_run;
        }
        for (auto& one : staying)
        {
            message answer;
            if (one->receive(answer, 5000) != read_result::whole || answer.status != 200)
                return exit_not_run;
        }
        std::this_thread::sleep_for(milliseconds{500});
        const auto id = job_id(round);
        const auto body =
            job_body({{1, first_ms}, {1, second_ms}}, 6800,
                     "0:" + std::to_string(first_ms) + ",1:" + std::to_string(second_ms));
        const auto sent = now_ms();
        auto caller = platform.connect(paused);
        if (!caller->send("POST", "jobs.example", "/orders/" + id, body, 5000))
            return exit_not_run;
        platform.record.add("caller: job " + id + " sent to " + paused);
        while (runs_of(platform, id).empty() && now_ms() < sent + 40)
            std::this_thread::sleep_for(milliseconds{1});
        if (trouble)
        {
            platform.signal(paused, SIGSTOP);
            platform.record.add(paused + " stands still");
        }
        const auto stopped = now_ms();
        const auto sleep_until = [](std::int64_t time)
        { std::this_thread::sleep_for(milliseconds{std::max<std::int64_t>(0, time - now_ms())}); };
        sleep_until(sent + leave_ms);
        caller.reset();
        platform.record.add("caller leaves " + paused);
        sleep_until(sent + leave_ms + retry_ms);
        auto again = platform.connect(other);
        if (!again->send("POST", "jobs.example", "/orders/" + id, body, 5000))
            return exit_not_run;
        platform.record.add("caller: job " + id + " sent again to " + other);
        sleep_until(stopped + pause_ms);
        if (trouble)
        {
            platform.signal(paused, SIGCONT);
            platform.record.add(paused + " wakes");
        }
        message answer;
        const auto got = again->receive(answer, 5000);
        platform.record.add("caller: job " + id + " answered " +
                            (got == read_result::whole
                                 ? std::to_string(answer.status) + " " + answer.body
                                 : std::string("not at all")));
        broken += ran_twice_at_once(platform, runs_of(platform, id)) ? 1 : 0;
    }
    platform.record.add("in " + std::to_string(broken) + " of " + std::to_string(rounds) +
                        " rounds a task ran twice at the same time");
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_test(argc, argv, test);
}
