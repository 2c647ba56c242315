#ifndef EGRETLEDGE_HARNESS_SEEDS_HPP
#define EGRETLEDGE_HARNESS_SEEDS_HPP

// Seeds of random schedules: the recorded ones that once failed, and the first one of a soak run.

#include <cstdint>
#include <string>
#include <vector>

namespace egretledge::harness
{

// Returns the seeds of one kind of schedule, "keys" or "pool", in tests/failed_seeds.txt, in the
// order of the file. Throws std::runtime_error if the file cannot be read, or if a line has no kind
// and seed; the message then quotes the line.
std::vector<std::uint64_t> failed_seeds(const std::string& kind);

// Returns the first seed of a soak run: `given`, or a random one if that is 0. Prints it, so that
// the run can be repeated.
std::uint64_t first_seed(std::uint64_t given);

} // namespace egretledge::harness

#endif
