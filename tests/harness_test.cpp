#define BOOST_TEST_MODULE harness
#include "harness/scenario.hpp"
#include "harness/schedule.hpp"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <mutex>
#include <thread>

using namespace egretledge::harness;

BOOST_AUTO_TEST_CASE(every_scenario_holds)
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry :
         std::filesystem::directory_iterator(std::string(EGRETLEDGE_SOURCE_DIR) + "/scenarios"))
        files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    BOOST_REQUIRE_GE(files.size(), 21U);
    for (const auto& file : files)
    {
        const auto result = run_scenario(file.string());
        for (const auto& failure : result.failures)
            BOOST_ERROR(file.filename().string() << ": " << result.name << ": " << failure);
    }
}

BOOST_AUTO_TEST_CASE(random_schedules_keep_every_promise_and_recover)
{
    constexpr std::uint64_t schedules = 2000;
    std::atomic<std::uint64_t> next{1};
    std::mutex guard;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::vector<std::string> faults;
    std::vector<std::thread> pool;
    for (unsigned t = 0; t < std::max(1U, std::thread::hardware_concurrency()); ++t)
        pool.emplace_back(
            [&]
            {
                for (auto seed = next++; seed <= schedules; seed = next++)
                {
                    const auto run = run_schedule(seed);
                    const std::lock_guard lock(guard);
                    complete += run.complete;
                    refused += run.not_run;
                    if (!run.violation.empty() || !run.stuck.empty())
                        faults.push_back("seed " + std::to_string(seed) + ": " + run.violation +
                                         run.stuck);
                }
            });
    for (auto& thread : pool)
        thread.join();
    for (const auto& fault : faults)
        BOOST_ERROR(fault);
    // The schedules mean something: most calls complete, and some are refused.
    BOOST_TEST(complete > schedules * 20);
    BOOST_TEST(refused > schedules);
}

BOOST_AUTO_TEST_CASE(the_checker_sees_workers_that_ignore_fences)
{
    std::size_t seen = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        seen += run_schedule(seed, sabotage::workers_ignore_fences).violation.empty() ? 0 : 1;
    BOOST_TEST(seen > 0U);
}

BOOST_AUTO_TEST_CASE(a_schedule_is_repeated_exactly_by_its_seed)
{
    const auto first = run_schedule(17);
    const auto second = run_schedule(17);
    BOOST_TEST(first.calls == second.calls);
    BOOST_TEST(first.complete == second.complete);
    BOOST_TEST(first.starts == second.starts);
    BOOST_TEST(first.counters.starts_sent == second.counters.starts_sent);
}
