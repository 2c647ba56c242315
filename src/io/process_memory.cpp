#include "io/process_memory.hpp"
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace egretledge
{

std::uint64_t resident_bytes()
{
    std::ifstream statistics("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    statistics >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::uint64_t allocated_bytes()
{
    const auto heap = ::mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

microseconds processor_time()
{
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::duration_cast<microseconds>(std::chrono::seconds{used.tv_sec} +
                                                    std::chrono::nanoseconds{used.tv_nsec});
}

} // namespace egretledge
