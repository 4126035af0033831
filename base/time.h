#pragma once

#include <chrono>

namespace balsamdrift {

/// Monotonic clock that every decision is measured with. Wall clocks only label events.
using monotonic_clock = std::chrono::steady_clock;

/// A point on the monotonic clock of one process. Never compared between processes.
using time_point = monotonic_clock::time_point;

/// A span of monotonic time.
using duration = monotonic_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Rounds a span up to whole milliseconds, so that a caller never returns too early.
inline milliseconds to_milliseconds(duration span) { return std::chrono::ceil<milliseconds>(span); }

}  // namespace balsamdrift
