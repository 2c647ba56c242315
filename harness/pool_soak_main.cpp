// egret-pool-soak runs random schedules of pooled hosts and workers.
//
//     egret-pool-soak --first 1 --seeds 500 [--grown | --deadly | --restart | --evacuations
//                     | --estimates]
//                     [--left-to-right] [--trace]
//
// With --grown it runs schedules of larger deployments with the faults seen on the platform, with
// --deadly the same with tasks that crash their workers, with --evacuations the same with evacuated
// data centres and a store that does not serve every host, with --estimates callers that estimate
// run times badly. --left-to-right draws the grown and
// deadly schedules that arm64 had until both machines drew the same ones. If --first is absent, it
// draws the first seed at random and prints it. The exit code is 1 if a run violated an invariant.

#include "harness/pool_schedule.hpp"
#include "harness/seeds.hpp"
#include "io/command_line.hpp"

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("egret-pool-soak");
    std::uint64_t first = 0;
    std::uint64_t seeds = 0;
    options.add_options()("help", "print this")("first", po::value(&first)->default_value(0),
                                                "the first seed; 0 draws one at random")(
        "seeds", po::value(&seeds)->default_value(200), "number of schedules to run")(
        "grown", "run larger deployments with the faults seen on the platform")(
        "deadly", "the same with tasks that crash their workers")(
        "restart", "end all hosts at once, on processors with little time to spare")(
        "evacuations", "the grown deployments with evacuated data centres")(
        "estimates", "let callers estimate run times badly, all of them in bursts")(
        "left-to-right", "draw grown and deadly schedules in the former order of arm64")(
        "trace", "print every event");
    po::variables_map given;
    if (const auto code = egretledge::read_options(argc, argv, options, given))
        return *code;
    first = egretledge::harness::first_seed(first);
    const auto run =
        given.contains("restart")       ? egretledge::harness::run_restart_pool_schedule
        : given.contains("evacuations") ? egretledge::harness::run_evacuation_pool_schedule
        : given.contains("estimates")   ? egretledge::harness::run_estimates_pool_schedule
        : given.contains("deadly")      ? egretledge::harness::run_deadly_pool_schedule
        : given.contains("grown")       ? egretledge::harness::run_grown_pool_schedule
                                        : egretledge::harness::run_pool_schedule;
    egretledge::harness::pool_schedule_options schedule_options;
    schedule_options.trace = given.contains("trace");
    if (given.contains("left-to-right"))
        schedule_options.order = egretledge::harness::draw_order::left_to_right;
    std::size_t calls = 0;
    std::size_t complete = 0;
    std::size_t starts = 0;
    std::size_t failed_runs = 0;
    // Schedules after whose restart less than this share of the former service was back.
    constexpr double partly_back_share = 0.9;
    std::size_t partly_back = 0;
    double served_before = 0;
    double served_after = 0;
    egretledge::microseconds longest_refusal{0};
    std::map<std::uint32_t, std::size_t> schedules_by_crashes;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        const auto result = run(seed, schedule_options);
        calls += result.calls;
        complete += result.complete;
        starts += result.starts;
        ++schedules_by_crashes[result.max_crashes_by_task];
        failed_runs += result.violations.empty() ? 0 : 1;
        partly_back += result.served_after < partly_back_share * result.served_before ? 1 : 0;
        served_before += result.served_before;
        served_after += result.served_after;
        longest_refusal = std::max(longest_refusal, result.longest_refusal);
        for (const auto& violation : result.violations)
            std::cout << "seed " << seed << ": " << violation << '\n';
    }
    std::cout << seeds << " schedules, " << calls << " calls, " << complete << " complete, "
              << starts << " starts, " << failed_runs << " with violations\n";
    if (given.contains("restart"))
        std::cout << partly_back << " schedules with less than " << partly_back_share
                  << " of the former service 15 s after the return; on average "
                  << served_after / static_cast<double>(seeds) << " of the calls served, "
                  << served_before / static_cast<double>(seeds) << " before\n";
    if (given.contains("estimates"))
        std::cout << "sound calls served: " << served_after / static_cast<double>(seeds)
                  << " after the last burst or fault, "
                  << served_before / static_cast<double>(seeds)
                  << " before the first; jobs for which there was room were refused for up to "
                  << longest_refusal.count() / 1000 << " ms\n";
    if (given.contains("deadly"))
        for (const auto& [crashes, schedules] : schedules_by_crashes)
            std::cout << schedules << " schedules with at most " << crashes
                      << " workers crashed by one task\n";
    return failed_runs == 0 ? 0 : 1;
}
