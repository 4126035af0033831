#pragma once

#include <vector>

#include "base/time.h"

namespace balsamdrift {

// Load pattern: callers that are refused during a burst come back after the time that they are
// told. If all are told the same time they return as a second wave, which is refused again, until
// the burst has been over for a while.

/// Settings of the schedule.
struct return_options {
    /// Shortest time to come back. Earlier returns cost callers and entries more than they gain.
    duration min_return = milliseconds(50);
    /// A caller that returns up to this much before or after its time is on time.
    duration early_tolerance = milliseconds(10);
    duration late_tolerance = milliseconds(250);
};

/// The time at which a refused caller was told to come back.
struct promised_return {
    int priority = 0;
    time_point at{};
};

/// The promised times of the callers that one entry refused for one service, in order of time.
struct return_schedule {
    std::vector<promised_return> promises;
};

/// A caller that is refused.
struct return_request {
    int priority = 0;
    /// Time until the service can start such work again.
    duration blocked_for{};
    /// Time from one start of such work to the next at the rate at which the service drains.
    duration spacing{};
    /// Time after which a return is no longer useful to the caller.
    duration useful_for{};
};

/// Adds a caller to the schedule and returns its time to come back, counted from `now`. Times of
/// the same or a higher urgency are at least one spacing apart, in the order of refusal; less
/// urgent callers do not delay more urgent ones. If no such time is within the useful time, the
/// caller gets the middle of the widest gap in it.
duration schedule_return(return_schedule& schedule, const return_options& options,
                         const return_request& request, time_point now);

/// True if a caller that was told to come back at `promised` is on time at `now`.
bool is_on_time(time_point promised, const return_options& options, time_point now);

}  // namespace balsamdrift
