#pragma once

#include <time.h>

#include <chrono>
#include <string>

namespace balsamdrift {

/// Monotonic clock that every decision is measured with. It goes on while the VM is suspended, so a
/// lease that ran out during a suspension is seen to have run out. Wall clocks only label events.
struct monotonic_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec ts{};
        ::clock_gettime(CLOCK_BOOTTIME, &ts);
        return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
    }
};

/// A point on the monotonic clock of one process. Never compared between processes.
using time_point = monotonic_clock::time_point;

/// A span of monotonic time.
using duration = monotonic_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Seconds with a fraction, for rates and averages.
using float_seconds = std::chrono::duration<double>;

/// Rounds a span up to whole milliseconds, so that a caller never returns too early.
inline milliseconds to_milliseconds(duration span) { return std::chrono::ceil<milliseconds>(span); }

/// The span in whole milliseconds, as texts and log lines hold it.
inline std::string milliseconds_text(duration span)
{
    return std::to_string(to_milliseconds(span).count());
}

/// A multiple or a part of a span.
inline duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(span) * factor);
}

}  // namespace balsamdrift
