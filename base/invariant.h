#pragma once

#include <cstdio>
#include <cstdlib>

/// Aborts the process if the condition is false. It checks for programming errors only; functions
/// return other errors as values (base/outcome.h).
#define BALSAMDRIFT_INVARIANT(condition)                                                           \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            std::fprintf(stderr, "broken invariant at %s:%d: %s\n", __FILE__, __LINE__,            \
                         #condition);                                                              \
            std::abort();                                                                          \
        }                                                                                          \
    } while (false)
