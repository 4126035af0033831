#pragma once

#include <cstdint>
#include <map>

#include "base/event.h"
#include "base/time.h"

namespace balsamdrift {

/// Settings of log_rate_limiter.
struct log_rate_limit_options {
    /// Lines that one event may write per second. With more, a process that refuses a flood of
    /// statements would spend more time on its log than on the refusals.
    std::uint32_t lines_per_second = 100;
};

/// Lines of one event within its current window of one second.
struct log_rate_window {
    time_point started_at{};
    std::uint32_t lines = 0;
};

/// Limits the log rate under load. Each event has a limit of its own, so that a flood of one event
/// does not suppress others.
struct log_rate_limiter {
    std::map<event_id, log_rate_window> windows;
};

/// Returns whether a line of this event may be written now, and counts it if so.
inline bool allow_log_line(log_rate_limiter& limiter, const log_rate_limit_options& options,
                           event_id id, time_point now)
{
    log_rate_window& window = limiter.windows[id];
    if (now - window.started_at >= seconds(1)) {
        window = {.started_at = now, .lines = 0};
    }
    if (window.lines >= options.lines_per_second) {
        return false;
    }
    ++window.lines;
    return true;
}

}  // namespace balsamdrift
