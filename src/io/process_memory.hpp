#ifndef EGRETLEDGE_IO_PROCESS_MEMORY_HPP
#define EGRETLEDGE_IO_PROCESS_MEMORY_HPP

// Memory and processor time of this process, as the system and the allocator report them.

#include <cstdint>
#include <egretledge/types.hpp>

namespace egretledge
{

// Returns the bytes of physical memory that this process uses; 0 if the system does not tell.
std::uint64_t resident_bytes();
// Returns the bytes that the allocator has given out and not got back.
std::uint64_t allocated_bytes();
// Returns the processor time that all threads of this process have used.
microseconds processor_time();

} // namespace egretledge

#endif
