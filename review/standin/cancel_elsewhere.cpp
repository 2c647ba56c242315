// A job whose cancelling reaches another entry host than the job did.
//
// A client has a channel to host A. With trouble, A freezes for 4 s, so that the client's second
// channel goes to host B; without, both go to A. Well after A is back, the client submits a job
// on the first channel and cancels it on the second one. Exits with 1 if a task of the job begins
// later than cancel_ms, or still runs later than cancel_ms + stop_ms, after the DELETE was
// answered.

#include "platform.hpp"

using namespace review;

namespace
{

constexpr milliseconds freeze{4000};
constexpr milliseconds calm{9000}; // several times stable_window_ms
constexpr int time_budget_ms = 14000;
constexpr double cancel_ms = 3000;
constexpr double stop_ms = 50;
constexpr const char* short_job = R"j({"spec":"{\"ms\":[100],\"cpu\":6800}","best_effort":true,)j"
                                  R"j("steps":[{"count":2,"cpu":6800,"mem_mb":64,"est_ms":100}]})j";
// Two steps: the second begins when the first has ended.
constexpr const char* long_job =
    R"j({"spec":"{\"ms\":[4500,1500],\"cpu\":6800}","best_effort":true,)j"
    R"j("steps":[{"count":2,"cpu":6800,"mem_mb":64,"est_ms":4500},)j"
    R"j({"count":2,"cpu":6800,"mem_mb":64,"est_ms":1500,"after":[0]}]})j";

// The platform's balancer for one zone: checks each host once a second; after two misses a host
// gets no new channels until it responds with 200 again. A client's hash prefers the first host.
class balancer
{
public:
    explicit balancer(const std::vector<std::unique_ptr<entry_host>>& hosts, record& lines)
        : m_hosts(hosts), m_lines(lines), m_misses(hosts.size())
    {
        for (std::size_t i = 0; i < hosts.size(); ++i)
            m_checks.emplace_back([this, i] { check(i); });
    }
    ~balancer()
    {
        m_over = true;
        for (auto& thread : m_checks)
            thread.join();
    }
    bool in_rotation(std::size_t host) const { return m_misses[host] < 2; }
    std::size_t choose() const { return in_rotation(0) ? 0 : 1; }

private:
    void check(std::size_t i)
    {
        while (!m_over)
        {
            const auto next = steady::now() + std::chrono::seconds{1};
            const bool was_in = in_rotation(i);
            m_misses[i] = m_hosts[i]->ready() ? 0 : m_misses[i] + 1;
            if (was_in != in_rotation(i))
                m_lines.line(m_hosts[i]->name() + (was_in ? " leaves" : " returns to") +
                             " the rotation");
            std::this_thread::sleep_until(next);
        }
    }

    const std::vector<std::unique_ptr<entry_host>>& m_hosts;
    record& m_lines;
    std::vector<std::atomic<int>> m_misses;
    std::atomic<bool> m_over{false};
    std::vector<std::thread> m_checks;
};

} // namespace

int main(int, char** argv)
{
    const std::string folder = argv[1];
    record lines(argv[2]);
    store platform_store;
    std::vector<std::unique_ptr<executor>> executors;
    for (int i = 0; i < 8; ++i)
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
    balancer front(hosts, lines);
    std::this_thread::sleep_for(milliseconds{3000});

    const auto open_channel = [&](const char* which)
    {
        const auto host = front.choose();
        lines.line(std::string("the client opens its ") + which + " channel, to " +
                   hosts[host]->name());
        return std::make_unique<channel>(hosts[host]->at().callers);
    };
    const auto served = [&](channel& caller, const char* which)
    {
        const auto answer =
            caller.call("POST", "/q/" + new_id(), "orders.example", short_job, milliseconds{6000});
        lines.line(std::string("a short job on the ") + which +
                   " channel: " + std::to_string(answer.status) + " " + answer.body);
        return answer.status == 200;
    };
    const auto first = open_channel("first");
    if (!served(*first, "first"))
        return 2;
    const bool trouble = trouble_wanted();
    if (trouble)
    {
        lines.line(hosts[0]->name() + " freezes");
        hosts[0]->signal(SIGSTOP);
    }
    const auto thaw = steady::now() + freeze;
    std::this_thread::sleep_for(milliseconds{3200}); // two misses
    const auto second = open_channel("second");
    const bool second_served = served(*second, "second");
    std::this_thread::sleep_until(thaw);
    if (trouble)
    {
        hosts[0]->signal(SIGCONT);
        lines.line(hosts[0]->name() + " wakes");
    }
    const auto until = steady::now() + calm;
    while (steady::now() < until)
    {
        std::this_thread::sleep_for(milliseconds{1500});
        for (auto* caller : {first.get(), second.get()})
            caller->call("GET", "/q/", "orders.example", "", milliseconds{1000});
    }
    if (!second_served || !served(*first, "first") || !served(*second, "second") ||
        !front.in_rotation(0) || !front.in_rotation(1))
        return 2;

    const auto id = new_id();
    response posted;
    std::thread caller(
        [&]
        {
            lines.line("POST " + id + " on the first channel");
            posted = first->call("POST", "/q/" + id, "orders.example", long_job,
                                 milliseconds{time_budget_ms}, time_budget_ms);
            lines.line("POST " + id + ": " + std::to_string(posted.status) + " " + posted.body);
        });
    std::this_thread::sleep_for(milliseconds{500});
    lines.line("DELETE " + id + " on the second channel");
    const auto cancelled =
        second->call("DELETE", "/q/" + id, "orders.example", "", milliseconds{2000});
    const auto acknowledged = lines.now();
    lines.line("DELETE " + id + ": " + std::to_string(cancelled.status) + " " + cancelled.body);
    caller.join();
    std::this_thread::sleep_for(milliseconds{500});

    int begun_late = 0;
    int run_on = 0;
    int begun = 0;
    for (const auto& worker : executors)
        for (const auto& run : worker->history())
        {
            if (!run.task.starts_with(id))
                continue;
            ++begun;
            lines.line("executor " + worker->id() + ": " + run.task + " from " +
                       std::to_string(static_cast<long>(run.started - acknowledged)) + " to " +
                       std::to_string(static_cast<long>(run.ended - acknowledged)) +
                       " ms after the DELETE was answered, " + run.how);
            begun_late += run.started > acknowledged + cancel_ms ? 1 : 0;
            run_on += run.ended < 0 || run.ended > acknowledged + cancel_ms + stop_ms ? 1 : 0;
        }
    if (begun == 0 || (cancelled.status / 100 != 2 && cancelled.status != 410))
        return 2;
    const bool broken = begun_late > 0 || run_on > 0;
    const auto verdict = std::string(broken ? "BROKEN: " : "held: ") + std::to_string(begun_late) +
                         " tasks began and " + std::to_string(run_on) +
                         " ran on too long after the cancelling was acknowledged";
    lines.line(verdict);
    std::cout << verdict << "\n";
    return broken ? 1 : 0;
}
