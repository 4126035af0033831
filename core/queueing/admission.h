#pragma once

#include <variant>

#include "base/time.h"

namespace balsamdrift {

/// State of the queue when a statement arrives and no connection is free.
struct admission_request {
    /// Number of waiting statements that are served first.
    int queued_ahead = 0;
    /// Number of statements that run in parallel.
    int connections = 1;
    /// Mean time for which a statement holds its connection.
    duration mean_hold_time{};
    /// Minimum interval between two starts; zero if the starts are not limited.
    duration start_interval{};
    /// Expected time until statements can be served again, for example while a primary is replaced.
    /// Zero if they can be served now.
    duration blocked_for{};
    /// Time until the statement's deadline.
    duration time_left{};
};

/// Result: the statement may wait, because it is predicted to start in time.
struct admission_granted {
    duration predicted_wait{};
};

/// Result: the statement is refused at once, because it is predicted to wait too long.
struct admission_refused {
    /// Predicted time until the statement would be admitted.
    duration retry_after{};
};

/// Settings of the admission decision.
struct admission_options {
    /// Fraction of the remaining time that a statement may wait. The rest is for its execution.
    double max_wait_fraction = 0.8;
    /// Shortest retry delay that callers are given.
    duration min_retry_after = milliseconds(50);
};

/// Decides on arrival whether a statement waits or is refused, so that no statement waits only to
/// time out.
std::variant<admission_granted, admission_refused> admit(const admission_request& request,
                                                         const admission_options& options);

}  // namespace balsamdrift
