#ifndef EGRETLEDGE_IO_PROCESS_MEMORY_HPP
#define EGRETLEDGE_IO_PROCESS_MEMORY_HPP

// Memory of this process, as the system and the allocator report it.

#include <cstdint>

namespace egretledge
{

// Returns the bytes of physical memory that this process uses; 0 if the system does not tell.
std::uint64_t resident_bytes();
// Returns the bytes that the allocator has given out and not got back.
std::uint64_t allocated_bytes();

} // namespace egretledge

#endif
