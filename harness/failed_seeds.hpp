#ifndef EGRETLEDGE_HARNESS_FAILED_SEEDS_HPP
#define EGRETLEDGE_HARNESS_FAILED_SEEDS_HPP

// The seeds of random schedules that once broke a promise, from tests/failed_seeds.txt.

#include <cstdint>
#include <string>
#include <vector>

namespace egretledge::harness
{

// The seeds of one kind of schedule, "keys" or "pool", in the order of the file. Throws
// std::runtime_error, naming the line, if the file cannot be read or a line has no seed.
std::vector<std::uint64_t> failed_seeds(const std::string& kind);

} // namespace egretledge::harness

#endif
