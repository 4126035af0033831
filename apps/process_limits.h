#pragma once

#include <cstddef>

#include "base/outcome.h"

namespace balsamdrift {

/// Opens /dev/null for each of the descriptors 0 to 2 that is closed. A socket or file would get
/// its number otherwise, and the log would be written into it.
void open_standard_descriptors();

/// Limits the memory that threads take beside what they use: the arenas of the allocator and the
/// address space of stacks. Must be called before the first thread starts.
void limit_thread_memory();

/// Fails unless this many more threads can run now. Libraries start theirs without a way to report
/// that one is missing.
outcome<std::monostate> check_threads(std::size_t count);

}  // namespace balsamdrift
