#ifndef EGRETLEDGE_HARNESS_SCHEDULE_HPP
#define EGRETLEDGE_HARNESS_SCHEDULE_HPP

// Randomised short runs: a seed makes a small system, a load of submissions and resubmissions, and
// a schedule of faults; the history of the run is then checked.

#include "harness/simulation.hpp"

namespace egretledge::harness
{

// Promises broken on purpose, to show that the checker sees it.
enum class injected_defect : std::uint8_t
{
    none,
    workers_ignore_fences
};

struct schedule_result
{
    std::string violation; // empty if none
    std::string stuck;     // a probe job after the last fault that did not complete, if any
    std::uint64_t calls = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t starts = 0;
    node_counters counters;
    std::vector<std::string> faults; // what was done and when, for a reader
};

// With `trace`, the hosts' log lines are printed as they come.
schedule_result run_schedule(std::uint64_t seed, injected_defect defect = injected_defect::none,
                             bool trace = false);

} // namespace egretledge::harness

#endif
