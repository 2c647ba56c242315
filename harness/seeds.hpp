#ifndef EGRETLEDGE_HARNESS_SEEDS_HPP
#define EGRETLEDGE_HARNESS_SEEDS_HPP

// Seeds of random schedules: those that once broke a promise, and the first one of a soak.

#include <cstdint>
#include <string>
#include <vector>

namespace egretledge::harness
{

// The seeds in tests/failed_seeds.txt of one kind of schedule, "keys" or "pool", in the order of
// the file. Throws std::runtime_error, naming the line, if the file cannot be read or a line has no
// seed.
std::vector<std::uint64_t> failed_seeds(const std::string& kind);

// The first seed of a soak: the given one, or a drawn one if that is 0. Prints it, so that the run
// can be repeated.
std::uint64_t first_seed(std::uint64_t given);

} // namespace egretledge::harness

#endif
