#ifndef EGRETLEDGE_TESTS_POOL_HELPERS_HPP
#define EGRETLEDGE_TESTS_POOL_HELPERS_HPP

// Helpers shared by the source files of pool_test.

#include "pool/pool_types.hpp"

namespace egretledge::pool
{

// Demand of a usual task. A worker with 16 cores has resources for two of them.
constexpr resources usual_task{6800, 64, 0};

inline microseconds at_ms(std::int64_t ms)
{
    return microseconds{ms * 1000};
}

} // namespace egretledge::pool

#endif
