#ifndef EGRETLEDGE_HARNESS_POOL_SCHEDULE_HPP
#define EGRETLEDGE_HARNESS_POOL_SCHEDULE_HPP

// Random load and faults for a pool_simulation, all drawn from one seed.

#include "harness/pool_simulation.hpp"

namespace egretledge::harness
{

struct pool_schedule_result
{
    std::vector<std::string> violations;
    std::size_t calls = 0;
    std::size_t complete = 0;
    std::size_t starts = 0;
};

// Runs one schedule: 10 s of load with kills, freezes, planned stops, cuts, crashed, slow and
// failing workers and late orders, then a quiet end.
pool_schedule_result run_pool_schedule(std::uint64_t seed, bool trace);

// Runs one schedule of the grown kind: 9 s of more and longer jobs on larger data centres, callers
// that come back as on the platform, data centres that are cut off, hosts that restart in turn, are
// deaf or slow, connections that are reset and messages that arrive after a cut. The same seed
// means another schedule than above.
pool_schedule_result run_grown_pool_schedule(std::uint64_t seed, bool trace);

// What came of a run that has reached its end.
pool_schedule_result collect_result(pool_simulation& simulation);

} // namespace egretledge::harness

#endif
