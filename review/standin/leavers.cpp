// Clients that leave before their time budget, at one entry host.
//
// Traffic of short jobs for up to 90 s. With trouble, two fifths of the clients close their
// connection 60 ms after they sent the request, in spells of 12 s. Afterwards nobody leaves, and
// the host is judged from `calm_wait` on: each request that is not served is sent again after
// 1.3 s, as clients do. Exits with 1 if no request was served then, although the host says that it
// is ready.

#include "platform.hpp"

using namespace review;

namespace
{

constexpr double jobs_per_s = 125;
constexpr double leaving_share = 0.4;
constexpr milliseconds leave_after{60};
constexpr milliseconds spell{12000};
constexpr milliseconds spell_gap{500};
constexpr int spells = 6;
constexpr milliseconds calm_wait{4000}; // more than stable_window_ms
constexpr milliseconds judged{8000};
constexpr milliseconds time_budget{1500};
constexpr milliseconds retry{1300};
constexpr const char* job = R"j({"spec":"{\"ms\":[100],\"cpu\":6800}","best_effort":true,)j"
                            R"j("steps":[{"count":2,"cpu":6800,"mem_mb":64,"est_ms":100}]})j";

struct counts
{
    std::atomic<int> sent{0}, served{0}, refused{0}, broken{0}, left{0};
    std::string text() const
    {
        return "sent " + std::to_string(sent) + ", served " + std::to_string(served) +
               ", answered otherwise " + std::to_string(refused) + ", channel ended unanswered " +
               std::to_string(broken) + ", left by the client " + std::to_string(left);
    }
};

// One client: a new channel, one job, and with `retries` the same job again after `retry`.
void submit(std::uint16_t port, bool leaves, int retries, counts& total)
{
    const auto id = new_id();
    for (int attempt = 0;; ++attempt)
    {
        ++total.sent;
        channel caller(port);
        const auto answer =
            caller.call("POST", "/q/" + id, "orders.example", job,
                        leaves ? leave_after : time_budget, static_cast<int>(time_budget.count()));
        if (answer.status == 200)
            ++total.served;
        else if (answer.status != 0)
            ++total.refused;
        else if (leaves)
            ++total.left;
        else
            ++total.broken;
        if (leaves || answer.status == 200 || attempt >= retries)
            return;
        std::this_thread::sleep_for(retry);
    }
}

void traffic(std::uint16_t port, milliseconds length, double share, int retries, counts& total)
{
    static std::atomic<int> open{0};
    const auto begun = steady::now();
    double leavers = 0;
    for (int i = 0;; ++i)
    {
        const auto due = begun + std::chrono::microseconds{static_cast<long>(i * 1e6 / jobs_per_s)};
        if (due - begun >= length)
            break;
        std::this_thread::sleep_until(due);
        leavers += share;
        const bool leaves = leavers >= 1;
        leavers -= leaves ? 1 : 0;
        if (open >= 400)
            continue;
        ++open;
        std::thread(
            [&total, port, leaves, retries]
            {
                submit(port, leaves, retries, total);
                --open;
            })
            .detach();
    }
    while (open > 0)
        std::this_thread::sleep_for(milliseconds{5});
}

} // namespace

int main(int, char** argv)
{
    const std::string folder = argv[1];
    record lines(argv[2]);
    store platform_store;
    std::vector<std::unique_ptr<executor>> executors;
    for (int i = 0; i < 24; ++i)
        executors.push_back(std::make_unique<executor>(
            lines, platform_store, "i-" + std::to_string(100 + i), "iloilo-city", kind{"a"}));
    platform_store.put("keyed.op", "config", config_text(1500));
    std::vector<std::unique_ptr<entry_host>> hosts;
    hosts.push_back(std::make_unique<entry_host>(folder, "edge-iloilo-city-1", "iloilo-city",
                                                 platform_store.port()));
    auto& host = *hosts.front();
    if (!wait_until_ready(hosts, milliseconds{15000}))
        return 2;
    std::this_thread::sleep_for(milliseconds{1000});
    const bool trouble = trouble_wanted();
    lines.line(trouble ? "traffic begins; two fifths of the clients leave early"
                       : "traffic begins; no client leaves early");
    counts before;
    for (int i = 0; i < spells; ++i)
    {
        counts part;
        traffic(host.at().callers, spell, trouble ? leaving_share : 0, 0, part);
        lines.line("spell " + std::to_string(i + 1) + ": " + part.text());
        before.sent += part.sent;
        before.served += part.served;
        before.left += part.left;
        std::this_thread::sleep_for(spell_gap);
    }
    lines.line("all spells: " + before.text());
    if (before.served == 0)
        return 2;
    counts settling;
    traffic(host.at().callers, calm_wait, 0, 0, settling);
    lines.line("nobody leaves any more, not judged yet: " + settling.text());
    counts after;
    traffic(host.at().callers, judged, 0, 2, after);
    const bool ready = host.ready();
    lines.line("nobody leaves, judged: " + after.text());
    lines.line(std::string("GET /ready answers ") + (ready ? "200" : "something else") +
               "; the process " + (host.running() ? "runs" : "has ended"));
    const bool broken = after.served == 0;
    lines.line(broken ? "BROKEN: no request is served" : "held");
    std::cout << "before: " << before.text() << "\nafter: " << after.text() << "\n"
              << (broken ? "broken" : "held") << "\n";
    return broken ? 1 : 0;
}
