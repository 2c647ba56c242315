#ifndef EGRETLEDGE_CORE_CHECK_HPP
#define EGRETLEDGE_CORE_CHECK_HPP

// Assertions of invariants that stay on in release builds: a broken invariant in a program whose
// promise is "runs once" must stop the process rather than let it go on.

#include <cstdio>
#include <cstdlib>

// Ends the process with file, line and `text` when `condition` does not hold.
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
