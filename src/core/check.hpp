#ifndef EGRETLEDGE_CORE_CHECK_HPP
#define EGRETLEDGE_CORE_CHECK_HPP

// Assertions that stay enabled in release builds. After a violated invariant the guarantee that
// each job runs once no longer holds, so the process must stop and not continue.

#include <cstdio>
#include <cstdlib>

// Prints file, line, condition and `text` to stderr and aborts the process if `condition` is false.
#define EGRET_CHECK(condition, text)                                                               \
    do                                                                                             \
    {                                                                                              \
        if (!(condition))                                                                          \
        {                                                                                          \
            std::fprintf(stderr, "%s:%d: check failed: %s (%s)\n", __FILE__, __LINE__, #condition, \
                         text);                                                                    \
            std::abort();                                                                          \
        }                                                                                          \
    } while (false)

#endif
