#ifndef EGRETLEDGE_IO_CLOCKS_HPP
#define EGRETLEDGE_IO_CLOCKS_HPP

// The clocks of a process that serves pooled workers.

#include "egretledge/types.hpp"
#include <ctime>

namespace egretledge
{

// Returns the present time. Steady time is CLOCK_BOOTTIME, which includes suspended time: a lease
// that expired, or a message that waited, while the machine was suspended has done so.
inline instant read_clocks()
{
    timespec boot{};
    ::clock_gettime(CLOCK_BOOTTIME, &boot);
    return {std::chrono::duration_cast<microseconds>(std::chrono::seconds{boot.tv_sec} +
                                                     std::chrono::nanoseconds{boot.tv_nsec}),
            std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())};
}

} // namespace egretledge

#endif
