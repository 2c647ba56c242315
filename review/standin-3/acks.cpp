// One of three seeds in the settings is stale: no machine is at its address. Callers cancel jobs
// that were accepted, just after they had their answer. Acks: a cancel has neither 2xx nor 410
// after `ack_ms`.

#include "deployment.hpp"
#include <boost/json/src.hpp>

namespace
{

using namespace review;

constexpr int callers = 5;
constexpr int jobs_per_caller = 4;
constexpr int ack_ms = 4000;
constexpr int retry_ms = 500;

int test(deployment& platform, bool trouble)
{
    if (trouble)
        platform.seeds = {11, 12, 90};
    for (int i = 0; i < 4; ++i)
    {
        worker_settings settings;
        settings.id = "w-" + std::to_string(i);
        platform.add_worker(settings);
    }
    platform.publish({{"orders"}});
    const std::vector<std::string> hosts{"edge-1", "edge-2", "edge-3"};
    for (const auto& name : hosts)
        platform.add_host(name, "z1");
    for (const auto& name : hosts)
        if (!platform.wait_ready(name))
            return exit_not_run;
    if (!platform.wait_held(4))
        return exit_not_run;
    // Long enough for every host to have been in touch for `stable_window_ms` and `ack_ms`.
    std::this_thread::sleep_for(milliseconds{8000});
    std::atomic<int> accepted{0};
    std::atomic<int> confirmed{0};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
        threads.emplace_back(
            [&, caller]
            {
                for (int number = 0; number < jobs_per_caller; ++number)
                {
                    const auto id = job_id(caller * 100 + number);
                    const auto& name =
                        hosts[static_cast<std::size_t>(caller + number) % hosts.size()];
                    message answer;
                    auto post = platform.connect(name);
                    if (!post->send("POST", "jobs.example", "/orders/" + id,
                                    job_body({{1, 60}}, 3400, "0:60"), 1500) ||
                        post->receive(answer, 2000) != read_result::whole || answer.status != 200)
                    {
                        platform.record.add("caller: job " + id + " was not accepted");
                        continue;
                    }
                    ++accepted;
                    platform.record.add("caller: job " + id + " accepted by " + name);
                    const auto limit = now_ms() + ack_ms;
                    std::string answers;
                    bool done = false;
                    for (std::size_t attempt = 0; !done && now_ms() < limit; ++attempt)
                    {
                        const auto& at =
                            hosts[(static_cast<std::size_t>(number) + attempt) % hosts.size()];
                        auto cancel = platform.connect(at);
                        const auto left = static_cast<int>(limit - now_ms());
                        const bool answered =
                            cancel->send("DELETE", "jobs.example", "/orders/" + id, "", left) &&
                            cancel->receive(answer, left) == read_result::whole;
                        done = answered && (answer.status / 100 == 2 || answer.status == 410);
                        answers += " " + at + ":" +
                                   (answered ? std::to_string(answer.status) + " " + answer.body
                                             : std::string("none"));
                        if (!done)
                            std::this_thread::sleep_for(milliseconds{retry_ms});
                    }
                    confirmed += done ? 1 : 0;
                    platform.record.add("caller: cancel of job " + id +
                                        (done ? " confirmed:" : " not confirmed in time:") +
                                        answers);
                }
            });
    for (auto& thread : threads)
        thread.join();
    const int open = accepted - confirmed;
    platform.record.add(std::to_string(open) + " of " + std::to_string(accepted) +
                        " cancels of accepted jobs had neither 2xx nor 410 after " +
                        std::to_string(ack_ms) + " ms");
    if (accepted < callers * jobs_per_caller / 2)
        return exit_not_run;
    return open >= 3 && open * 10 > accepted ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_test(argc, argv, test);
}
