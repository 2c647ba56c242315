// egret-soak runs random schedules and prints the seed of each one that violates a guarantee or
// does not recover from its faults.
//
//     egret-soak --first 1 --seeds 20000
//     egret-soak --first 4711 --seeds 1 --trace     repeats one run with the hosts' log lines
//
// Without --first it draws a random first seed and prints it. Exits with 0 if all runs kept every
// guarantee and recovered, otherwise with 1.

#include "harness/schedule.hpp"
#include "harness/seeds.hpp"
#include "io/command_line.hpp"
#include <atomic>
#include <mutex>
#include <thread>

using namespace egretledge::harness;

namespace
{

struct totals
{
    schedule_result sum;
    std::uint64_t violations = 0;
    std::uint64_t stuck = 0;
};

void add(totals& sums, const schedule_result& run)
{
    sums.sum.calls += run.calls;
    sums.sum.complete += run.complete;
    sums.sum.failed += run.failed;
    sums.sum.not_run += run.not_run;
    sums.sum.unknown += run.unknown;
    sums.sum.starts += run.starts;
    sums.violations += run.violation.empty() ? 0 : 1;
    sums.stuck += run.stuck.empty() ? 0 : 1;
}

void print(std::uint64_t seed, const schedule_result& run)
{
    if (!run.violation.empty())
        std::cout << "seed " << seed << " violation: " << run.violation << '\n';
    if (!run.stuck.empty())
        std::cout << "seed " << seed << " stuck: " << run.stuck << '\n';
    for (const auto& fault : run.faults)
        std::cout << "    " << fault << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::uint64_t first = 0;
    std::uint64_t seeds = 0;
    unsigned threads = std::max(1U, std::thread::hardware_concurrency());
    po::options_description options("egret-soak");
    options.add_options()("help", "print this help")("first", po::value(&first),
                                                     "the first seed; 0 for a random one")(
        "seeds", po::value(&seeds)->default_value(1000), "number of seeds to run")(
        "threads", po::value(&threads), "number of threads")("trace", "print the hosts' log lines")(
        "quiet", "print the totals only")("unsafe-workers",
                                          "let workers ignore fences, to test the checker");
    po::variables_map given;
    if (const auto code = egretledge::read_options(argc, argv, options, given))
        return *code;
    first = first_seed(first);
    const auto defect = given.contains("unsafe-workers") ? injected_defect::workers_ignore_fences
                                                         : injected_defect::none;
    const bool trace = given.contains("trace");
    std::atomic<std::uint64_t> next{first};
    std::mutex output_mutex;
    totals sums;
    std::vector<std::thread> workers;
    for (unsigned t = 0; t < (trace ? 1 : threads); ++t)
        workers.emplace_back(
            [&]
            {
                for (auto seed = next++; seed < first + seeds; seed = next++)
                {
                    const auto run = run_schedule(seed, defect, trace);
                    const std::lock_guard lock(output_mutex);
                    add(sums, run);
                    const bool has_failure = !run.violation.empty() || !run.stuck.empty();
                    if ((has_failure || trace) && !given.contains("quiet"))
                        print(seed, run);
                }
            });
    for (auto& thread : workers)
        thread.join();
    std::cout << "schedules=" << seeds << " calls=" << sums.sum.calls
              << " complete=" << sums.sum.complete << " failed=" << sums.sum.failed
              << " not_run=" << sums.sum.not_run << " unknown=" << sums.sum.unknown
              << " starts=" << sums.sum.starts << " violations=" << sums.violations
              << " stuck=" << sums.stuck << '\n';
    return sums.violations + sums.stuck == 0 ? 0 : 1;
}
