// Two services with a queue each. Another writer puts an entry under the id of an executor of the
// second service that lacks most of an entry's fields, and so names no executor to use. ROUTE: a
// task of the first service's queue starts on that executor.

#include "deployment.hpp"
#include <boost/json/src.hpp>

namespace
{

using namespace review;

constexpr int jobs = 40;
constexpr int interval_ms = 400;

int test(deployment& platform, bool trouble)
{
    worker_settings settings;
    for (const char* id : {"w-orders-0", "w-orders-1"})
    {
        settings.id = id;
        settings.service = "orders";
        platform.add_worker(settings);
    }
    settings.id = "w-quotes-0";
    settings.service = "quotes";
    auto& other = platform.add_worker(settings);
    platform.publish({{"orders", "orders", 600, 3000}, {"quotes", "quotes", 600, 3000}});
    const std::vector<std::string> hosts{"edge-1", "edge-2", "edge-3"};
    for (const auto& name : hosts)
        platform.add_host(name, "z1");
    for (const auto& name : hosts)
        if (!platform.wait_ready(name))
            return exit_not_run;
    if (!platform.wait_held(3))
        return exit_not_run;
    int complete = 0;
    for (int number = 0; number < jobs; ++number)
    {
        if (trouble && number % 8 == 4)
        {
            const auto own = other.entry("ready");
            json::object odd{{"service", "orders"}};
            for (const char* field : {"addr", "zone", "state", "capacity"})
                odd[field] = own.at(field);
            platform.record.add("another writer: servers/" + other.settings().id + " " +
                                json::serialize(odd));
            platform.registry->put("keyed.servers", other.settings().id, json::serialize(odd));
        }
        const auto& name = hosts[static_cast<std::size_t>(number) % hosts.size()];
        const auto id = job_id(number);
        auto caller = platform.connect(name);
        const auto sent = now_ms();
        message answer;
        if (!caller->send("POST", "jobs.example", "/orders/" + id,
                          job_body({{3, 200}}, 10000, "0:200"), 3000))
            return exit_not_run;
        platform.record.add("caller: job " + id + " of queue orders sent to " + name);
        if (caller->receive(answer, 3500) == read_result::whole)
        {
            platform.record.add("caller: job " + id + " answered " + std::to_string(answer.status) +
                                " " + answer.body);
            complete += answer.status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(
            milliseconds{std::max<std::int64_t>(0, sent + interval_ms - now_ms())});
    }
    // Nobody sent a job to the queue of the other service.
    const auto misrouted = other.runs().size();
    platform.record.add(std::to_string(complete) + " of " + std::to_string(jobs) +
                        " jobs of queue orders complete; " + std::to_string(misrouted) +
                        " of their tasks started on an executor of service quotes");
    if (complete < jobs / 2)
        return exit_not_run;
    return misrouted > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_test(argc, argv, test);
}
