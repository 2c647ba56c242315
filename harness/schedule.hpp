#ifndef EGRETLEDGE_HARNESS_SCHEDULE_HPP
#define EGRETLEDGE_HARNESS_SCHEDULE_HPP

// Short randomized runs of the simulation. A seed determines a small system, a load of submissions
// and resubmissions, and a schedule of faults. The history of the run is checked at the end.

#include "harness/simulation.hpp"

namespace egretledge::harness
{

// Defects injected on purpose, to test that the checker detects them.
enum class injected_defect : std::uint8_t
{
    none,
    workers_ignore_fences
};

struct schedule_result
{
    std::string violation; // empty if none
    std::string stuck;     // a probe job that did not complete after the faults ended, or empty
    std::uint64_t calls = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t starts = 0;
    node_counters counters;
    std::vector<std::string> faults; // the injected faults with start time and duration
    std::uint64_t digest = 0;        // of the drawn system, load and faults
};

// Runs the schedule of a seed. With `trace`, prints the hosts' log lines.
schedule_result run_schedule(std::uint64_t seed, injected_defect defect = injected_defect::none,
                             bool trace = false);

} // namespace egretledge::harness

#endif
