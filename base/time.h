#pragma once

#include <time.h>

#include <chrono>
#include <string>

namespace balsamdrift {

/// Monotonic clock for all timing decisions. It advances while the VM is suspended, so that a lease
/// that ended during a suspension is seen to have ended. Wall-clock time only labels events.
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

/// A point on the monotonic clock of one process. Must not be compared between processes.
using time_point = monotonic_clock::time_point;

/// A length of monotonic time.
using duration = monotonic_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Seconds with a fraction, for rates and averages.
using float_seconds = std::chrono::duration<double>;

/// Rounds up to whole milliseconds, so that a caller that waits this long does not retry too early.
inline milliseconds to_milliseconds(duration value)
{
    return std::chrono::ceil<milliseconds>(value);
}

/// Formats a duration as a number of whole milliseconds, rounded up.
inline std::string milliseconds_text(duration value)
{
    return std::to_string(to_milliseconds(value).count());
}

/// Multiplies a duration by a factor, which may be a fraction.
inline duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(value) * factor);
}

}  // namespace balsamdrift
