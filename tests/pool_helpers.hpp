#ifndef EGRETLEDGE_TESTS_POOL_HELPERS_HPP
#define EGRETLEDGE_TESTS_POOL_HELPERS_HPP

// What the files of pool_test share.

#include "pool/pool_types.hpp"

namespace egretledge::pool
{

// Two of these fit on a worker of 16 cores.
constexpr room usual_task{6800, 64, 0};

inline microseconds at_ms(std::int64_t ms)
{
    return microseconds{ms * 1000};
}

} // namespace egretledge::pool

#endif
