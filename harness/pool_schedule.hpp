#ifndef EGRETLEDGE_HARNESS_POOL_SCHEDULE_HPP
#define EGRETLEDGE_HARNESS_POOL_SCHEDULE_HPP

// Random load and faults for a pool_simulation. The seed determines the whole schedule, and the
// same one on every machine that has libstdc++, since the standard leaves the algorithms of the
// distributions open.

#include "harness/pool_simulation.hpp"

namespace egretledge::harness
{

struct pool_schedule_result
{
    std::vector<std::string> violations;
    std::size_t calls = 0;
    std::size_t complete = 0;
    std::size_t starts = 0;
    std::uint32_t max_crashes_by_task = 0; // workers that one task of make_task_deadly() crashed
    // Of run_restart_pool_schedule(): the shares of calls served before the restart of all hosts,
    // and from 15 s after it.
    // Of run_estimates_pool_schedule(): the shares of sound calls served before the first burst,
    // and after the last one.
    double served_before = 0;
    double served_after = 0;
    microseconds longest_refusal{0}; // pool_simulation::longest_refusal_with_room()
    std::uint64_t digest = 0;        // of pool_schedule_options::draw_only
};

// The order in which the numbers of one call's arguments are drawn: that of g++ on x86-64, or that
// of g++ on arm64 before both drew the same schedules.
enum class draw_order : std::uint8_t
{
    right_to_left,
    left_to_right
};

struct pool_schedule_options
{
    bool trace = false;     // print every event
    bool draw_only = false; // compute the digest of the drawn schedule and run no host
    draw_order order = draw_order::right_to_left; // of grown and deadly schedules
};

// Runs one schedule: 10 s of load, then a period without load or new faults. The faults are killed
// and frozen hosts, planned stops, network partitions, crashed, slow and failing workers, and
// orders to workers that get no answer and may be executed late.
pool_schedule_result run_pool_schedule(std::uint64_t seed,
                                       const pool_schedule_options& options = {});

// Runs one schedule of a grown deployment: 9 s of more and longer jobs in larger data centres, with
// callers that retry as on the platform. The faults include partitions of whole data centres,
// rolling restarts, hosts that are slow or don't read their peers' messages, reset connections and
// messages that arrive after a partition. The same seed gives a different schedule than
// run_pool_schedule().
pool_schedule_result run_grown_pool_schedule(std::uint64_t seed,
                                             const pool_schedule_options& options = {});

// Runs a schedule of run_grown_pool_schedule() in which one to three jobs have a task that crashes
// each worker that starts it, and workers are back after 0.3 to 8 s. The load and the other faults
// are those of the grown schedule of this seed.
pool_schedule_result run_deadly_pool_schedule(std::uint64_t seed,
                                              const pool_schedule_options& options = {});

// Runs a schedule in which all hosts end at once and return, once or twice, on processors with
// little time to spare; beside other faults and crowds, which end 3 s later at the latest. A
// violation is also that service is not back 15 s after the return.
pool_schedule_result run_restart_pool_schedule(std::uint64_t seed,
                                               const pool_schedule_options& options = {});

// Runs a schedule of run_grown_pool_schedule() in which data centres are evacuated, one or more at
// a time, while the store does not serve some hosts. The load and the other faults are those of the
// grown schedule of this seed.
pool_schedule_result run_evacuation_pool_schedule(std::uint64_t seed,
                                                  const pool_schedule_options& options = {});

// Runs a schedule in which callers estimate run times badly: a part of them all the time, and in
// bursts all of them, beside restarts of hosts and slow workers. A violation is also that callers
// with sound estimates are not served once the bursts and faults are over, though workers are idle.
pool_schedule_result run_estimates_pool_schedule(std::uint64_t seed,
                                                 const pool_schedule_options& options = {});

// Collects the result of a run that has reached its end.
pool_schedule_result collect_result(pool_simulation& simulation);

} // namespace egretledge::harness

#endif
