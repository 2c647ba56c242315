// egret-pool-bench measures response times and refusals of pooled hosts at a given load in virtual
// time, and compares them with one omniscient dispatcher that holds all workers and sees all calls.
//
//     egret-pool-bench --load 80 --seconds 20 [--seed 1]
//     egret-pool-bench --all       loads of 80, 100, 130 and 160 percent, without and with crashes
//
// The column "in aim%" counts calls that were completed within their objective, which is 1.6 times
// the task time plus 60 ms. "late%" counts calls that took longer, up to three times the objective.
// "refused%" counts calls that were refused as not run within 50 ms, and "later%" those refused
// later.

#include "harness/pool_simulation.hpp"
#include "io/command_line.hpp"
#include <array>
#include <cmath>
#include <iomanip>

using namespace egretledge;
using namespace egretledge::harness;
using std::chrono::milliseconds;

namespace
{

struct call_kind
{
    std::uint32_t tasks; // tasks of a call
    milliseconds time;   // mean time of a task
    double per_s;        // calls per second at a load of `base_load_percent`
};
// The three kinds of calls of the two users. The rates load 48 workers, with capacity for two tasks
// each, to 82 percent.
constexpr std::array kinds{call_kind{8, milliseconds{60}, 34.4},
                           call_kind{4, milliseconds{900}, 6.25},
                           call_kind{2, milliseconds{200}, 100}};
constexpr double base_load_percent = 82;
constexpr pool::resources task_demand{6800, 64, 0};
constexpr microseconds warm_up_time{2500000};
constexpr microseconds cool_down_time{4000000};

struct run_parameters
{
    int load = 80; // percent of the workers' capacity
    bool crashes = false;
    bool omniscient = false;
    std::int64_t seconds = 20; // duration of the load
    std::uint64_t seed = 1;
};

struct result_row
{
    std::size_t calls = 0;
    std::size_t in_objective = 0;
    std::size_t late = 0;
    std::size_t refused_early = 0; // within 50 ms
    std::size_t refused_later = 0;
    std::size_t other = 0;
    // Ratios to the time of one task, which is the ideal response time.
    double response_over_ideal = 0; // total response time / total ideal time
    double p99_over_ideal = 0;      // 99th percentile of the ratio per call
};

pool_simulation_settings settings_of(const run_parameters& parameters)
{
    pool_simulation_settings settings;
    settings.seed = parameters.seed;
    settings.workers_per_centre = 16;
    if (parameters.omniscient)
    {
        settings.data_centres = 1;
        settings.hosts_per_centre = 1;
        settings.workers_per_centre = 48;
        settings.host.assignment.max_workers = 48;
    }
    return settings;
}

// Schedules the calls of all kinds, with exponentially distributed gaps, and records the task time
// of each job in `times`.
void schedule_calls(pool_simulation& simulation, const run_parameters& parameters,
                    std::map<std::string, milliseconds>& times)
{
    std::mt19937_64 random(parameters.seed);
    for (const auto& kind : kinds)
    {
        std::exponential_distribution<double> gap(kind.per_s * parameters.load / base_load_percent /
                                                  1e6);
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        for (double at = 0; at < static_cast<double>(parameters.seconds) * 1e6; at += gap(random))
        {
            const auto id = "job" + std::to_string(times.size());
            const microseconds time{static_cast<std::int64_t>(
                spread(random) * static_cast<double>(kind.time.count()) * 1e3)};
            times[id] = std::chrono::duration_cast<milliseconds>(time);
            const auto host = static_cast<std::uint32_t>(random() % simulation.host_count());
            simulation.at(warm_up_time + microseconds{static_cast<std::int64_t>(at)},
                          [&simulation, host, id, tasks = kind.tasks, time]
                          { simulation.submit(host, id, tasks, task_demand, time); });
        }
    }
}

// Schedules the crash of one in eight workers in the middle of the load and their restart 4 s
// later.
void schedule_crashes(pool_simulation& simulation, const run_parameters& parameters)
{
    const auto half = warm_up_time + std::chrono::seconds{parameters.seconds / 2};
    for (std::uint32_t worker = 0; worker < simulation.worker_count(); worker += 8)
    {
        simulation.at(half, [&simulation, worker] { simulation.crash_worker(worker); });
        simulation.at(half + std::chrono::seconds{4},
                      [&simulation, worker] { simulation.restart_worker(worker); });
    }
}

result_row measure(const run_parameters& parameters)
{
    pool_simulation simulation(settings_of(parameters));
    std::map<std::string, milliseconds> times;
    schedule_calls(simulation, parameters, times);
    if (parameters.crashes)
        schedule_crashes(simulation, parameters);
    simulation.run_until(warm_up_time + std::chrono::seconds{parameters.seconds} + cool_down_time);
    result_row sums;
    double ideal = 0;
    double actual = 0;
    std::vector<double> ratios;
    for (const auto& call : simulation.calls())
    {
        ++sums.calls;
        const auto response_time = call.answered - call.sent;
        const auto time = microseconds{times.at(call.job)};
        const auto objective = time * 8 / 5 + milliseconds{60};
        if (call.answered.count() < 0)
            ++sums.other;
        else if (call.answer.kind == answer_kind::ok)
        {
            sums.in_objective += response_time <= objective ? 1 : 0;
            sums.late += response_time > objective && response_time <= 3 * objective ? 1 : 0;
            ideal += static_cast<double>(time.count());
            actual += static_cast<double>(response_time.count());
            ratios.push_back(static_cast<double>(response_time.count()) /
                             static_cast<double>(std::max<std::int64_t>(1, time.count())));
        }
        else if (row_of(call.answer.kind).result == outcome::not_run)
            ++(response_time < milliseconds{50} ? sums.refused_early : sums.refused_later);
        else
            ++sums.other;
    }
    std::sort(ratios.begin(), ratios.end());
    sums.response_over_ideal = actual / ideal;
    sums.p99_over_ideal = ratios.empty() ? 0 : ratios[ratios.size() * 99 / 100];
    return sums;
}

void print(const run_parameters& parameters)
{
    const auto r = measure(parameters);
    const auto share = [&](std::size_t n) {
        return 100.0 * static_cast<double>(n) /
               static_cast<double>(std::max<std::size_t>(1, r.calls));
    };
    std::cout << std::fixed << std::setprecision(1) << std::setw(4) << parameters.load << "%  "
              << (parameters.crashes ? "crashes  " : "calm     ")
              << (parameters.omniscient ? "omniscient " : "pools      ") << std::setw(6) << r.calls
              << std::setw(8) << share(r.in_objective) << std::setw(8) << share(r.late)
              << std::setw(8) << share(r.refused_early) << std::setw(8) << share(r.refused_later)
              << std::setw(8) << share(r.other) << std::setprecision(2) << std::setw(8)
              << r.response_over_ideal << std::setw(8) << r.p99_over_ideal << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    run_parameters parameters;
    po::options_description options("egret-pool-bench");
    options.add_options()("help", "print this")("load", po::value(&parameters.load),
                                                "percent of capacity")(
        "seconds", po::value(&parameters.seconds),
        "duration of the load")("seed", po::value(&parameters.seed), "seed")(
        "crashes", po::bool_switch(&parameters.crashes),
        "crash one in eight workers for 4 s")("all", "run every load, without and with crashes");
    po::variables_map given;
    if (const auto code = read_options(argc, argv, options, given))
        return *code;
    std::cout << "load  faults   dispatcher  calls  in aim%   late%  refused% later%  other%  "
                 "mean/ideal p99/ideal\n";
    const std::vector<int> loads = given.contains("all") ? std::vector<int>{80, 100, 130, 160}
                                                         : std::vector<int>{parameters.load};
    for (const auto load : loads)
        for (const bool crashing : {false, true})
            for (const bool omniscient : {false, true})
            {
                if (!given.contains("all") && crashing != parameters.crashes)
                    continue;
                auto run = parameters;
                run.load = load;
                run.crashes = crashing;
                run.omniscient = omniscient;
                print(run);
            }
    return 0;
}
