#pragma once

#include <cstdint>
#include <map>

#include "base/event.h"
#include "base/time.h"

namespace balsamdrift {

/// How many lines an event may write.
struct log_budget_options {
    /// Lines of one event in a second. Beyond it a process would spend more time on its log than on
    /// the statements that it refuses.
    std::uint32_t lines_per_second = 100;
};

/// Lines of one event within the current second.
struct log_window {
    time_point began_at{};
    std::uint32_t lines = 0;
};

/// Bounds the log under load, each event on its own: a flood of refusals hides no failure.
struct log_budget {
    std::map<event_id, log_window> windows;
};

/// True when a line of this event may be written now.
inline bool take_log_line(log_budget& budget, const log_budget_options& options, event_id id,
                          time_point now)
{
    log_window& it = budget.windows[id];
    if (now - it.began_at >= seconds(1)) {
        it = {.began_at = now, .lines = 0};
    }
    if (it.lines >= options.lines_per_second) {
        return false;
    }
    ++it.lines;
    return true;
}

}  // namespace balsamdrift
