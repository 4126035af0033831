#pragma once

#include <cstdio>
#include <cstdlib>

/// Stops the process when an invariant is broken. Ordinary errors are values and never come here.
#define BALSAMDRIFT_INVARIANT(condition)                                                           \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            std::fprintf(stderr, "broken invariant at %s:%d: %s\n", __FILE__, __LINE__,            \
                         #condition);                                                              \
            std::abort();                                                                          \
        }                                                                                          \
    } while (false)
