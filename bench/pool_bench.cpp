// egret-pool-bench measures pooled hosts in virtual time: how calls fare at a given load, against
// one omniscient dispatcher that holds all workers and sees all calls.
//
//     egret-pool-bench --load 80 --seconds 20 [--seed 1]
//     egret-pool-bench --all            loads of 80, 100, 130 and 160 percent, calm and with
//     crashes
//
// A call is in aim if its answer came within its objective, late if within three times that.

#include "harness/pool_world.hpp"
#include "io/command_line.hpp"
#include <array>
#include <cmath>
#include <iomanip>

using namespace egretledge;
using namespace egretledge::harness;
using std::chrono::milliseconds;

namespace
{

// The two users' three kinds of calls: tasks, time of each, and calls a second at 82% load of 48
// workers with room for two tasks each.
struct call_kind
{
    std::uint32_t tasks;
    milliseconds time;
    double per_s;
};
constexpr std::array kinds{call_kind{8, milliseconds{60}, 34.4},
                           call_kind{4, milliseconds{900}, 6.25},
                           call_kind{2, milliseconds{200}, 100}};
constexpr double load_of_kinds = 82;
constexpr pool::resources task_need{6800, 64, 0};
constexpr microseconds warm_up{2500000};
constexpr microseconds cool_down{4000000};

struct plan
{
    int load = 80; // percent
    bool crashes = false;
    bool omniscient = false;
    std::int64_t seconds = 20;
    std::uint64_t seed = 1;
};

struct row
{
    std::size_t asked = 0;
    std::size_t in_aim = 0;
    std::size_t late = 0;
    std::size_t refused_at_once = 0; // within 50 ms
    std::size_t refused_later = 0;
    std::size_t other = 0;
    double response_over_ideal = 0;
    double p99_over_ideal = 0;
};

pool_world_settings settings_of(const plan& what)
{
    pool_world_settings settings;
    settings.seed = what.seed;
    settings.workers_per_centre = 16;
    if (what.omniscient)
    {
        settings.data_centres = 1;
        settings.hosts_per_centre = 1;
        settings.workers_per_centre = 48;
        settings.host.assignment.max_workers = 48;
    }
    return settings;
}

void arrivals(pool_world& world, const plan& what, std::map<std::string, milliseconds>& times)
{
    std::mt19937_64 random(what.seed);
    for (const auto& kind : kinds)
    {
        std::exponential_distribution<double> gap(kind.per_s * what.load / load_of_kinds / 1e6);
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        for (double at = 0; at < static_cast<double>(what.seconds) * 1e6; at += gap(random))
        {
            const auto id = "job" + std::to_string(times.size());
            const microseconds time{static_cast<std::int64_t>(
                spread(random) * static_cast<double>(kind.time.count()) * 1e3)};
            times[id] = std::chrono::duration_cast<milliseconds>(time);
            const auto host = static_cast<std::uint32_t>(random() % world.host_count());
            world.at(warm_up + microseconds{static_cast<std::int64_t>(at)},
                     [&world, host, id, tasks = kind.tasks, time]
                     { world.submit(host, id, tasks, task_need, time); });
        }
    }
}

// An eighth of the workers is lost in the middle of the run, and comes back after 4 s.
void crashes(pool_world& world, const plan& what)
{
    const auto half = warm_up + std::chrono::seconds{what.seconds / 2};
    for (std::uint32_t worker = 0; worker < world.worker_count(); worker += 8)
    {
        world.at(half, [&world, worker] { world.crash_worker(worker); });
        world.at(half + std::chrono::seconds{4},
                 [&world, worker] { world.restart_worker(worker); });
    }
}

row measure(const plan& what)
{
    pool_world world(settings_of(what));
    std::map<std::string, milliseconds> times;
    arrivals(world, what, times);
    if (what.crashes)
        crashes(world, what);
    world.run_until(warm_up + std::chrono::seconds{what.seconds} + cool_down);
    row sums;
    double ideal = 0;
    double actual = 0;
    std::vector<double> ratios;
    for (const auto& call : world.calls())
    {
        ++sums.asked;
        const auto took = call.answered - call.sent;
        const auto time = microseconds{times.at(call.job)};
        const auto objective = time * 8 / 5 + milliseconds{60};
        if (call.answered.count() < 0)
            ++sums.other;
        else if (call.answer.kind == answer_kind::ok)
        {
            sums.in_aim += took <= objective ? 1 : 0;
            sums.late += took > objective && took <= 3 * objective ? 1 : 0;
            ideal += static_cast<double>(time.count());
            actual += static_cast<double>(took.count());
            ratios.push_back(static_cast<double>(took.count()) /
                             static_cast<double>(std::max<std::int64_t>(1, time.count())));
        }
        else if (row_of(call.answer.kind).result == outcome::not_run)
            ++(took < milliseconds{50} ? sums.refused_at_once : sums.refused_later);
        else
            ++sums.other;
    }
    std::sort(ratios.begin(), ratios.end());
    sums.response_over_ideal = actual / ideal;
    sums.p99_over_ideal = ratios.empty() ? 0 : ratios[ratios.size() * 99 / 100];
    return sums;
}

void print(const plan& what)
{
    const auto r = measure(what);
    const auto share = [&](std::size_t n) {
        return 100.0 * static_cast<double>(n) /
               static_cast<double>(std::max<std::size_t>(1, r.asked));
    };
    std::cout << std::fixed << std::setprecision(1) << std::setw(4) << what.load << "%  "
              << (what.crashes ? "crashes  " : "calm     ")
              << (what.omniscient ? "omniscient " : "pools      ") << std::setw(6) << r.asked
              << std::setw(8) << share(r.in_aim) << std::setw(8) << share(r.late) << std::setw(8)
              << share(r.refused_at_once) << std::setw(8) << share(r.refused_later) << std::setw(8)
              << share(r.other) << std::setprecision(2) << std::setw(8) << r.response_over_ideal
              << std::setw(8) << r.p99_over_ideal << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    plan what;
    po::options_description options("egret-pool-bench");
    options.add_options()("help", "print this")("load", po::value(&what.load),
                                                "percent of capacity")(
        "seconds", po::value(&what.seconds), "span of arrivals")("seed", po::value(&what.seed),
                                                                 "seed")(
        "crashes", po::bool_switch(&what.crashes),
        "an eighth of the workers is lost for 4 s")("all", "every load, calm and with crashes");
    po::variables_map given;
    if (const auto code = read_options(argc, argv, options, given))
        return *code;
    std::cout << "load  faults   dispatcher  calls  in aim%   late%  refused% later%  other%  "
                 "mean/ideal p99/ideal\n";
    const std::vector<int> loads =
        given.contains("all") ? std::vector<int>{80, 100, 130, 160} : std::vector<int>{what.load};
    for (const auto load : loads)
        for (const bool crashing : {false, true})
            for (const bool omniscient : {false, true})
            {
                if (!given.contains("all") && crashing != what.crashes)
                    continue;
                auto one = what;
                one.load = load;
                one.crashes = crashing;
                one.omniscient = omniscient;
                print(one);
            }
    return 0;
}
