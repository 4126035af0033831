#pragma once

#include <variant>

#include "base/time.h"

namespace balsamdrift {

/// What is known when a statement finds no free connection.
struct admission_request {
    /// Statements that wait already and are served first.
    int queued_ahead = 0;
    /// Connections that serve the queue.
    int connections = 1;
    /// How long a statement holds its connection, on average.
    duration mean_hold_time{};
    /// Until nothing can be served at all, for example while a primary is replaced.
    duration blocked_for{};
    /// Until the statement's own limit.
    duration time_left{};
};

/// The statement may wait; it is predicted to start in time.
struct admission_granted {
    duration predicted_wait{};
};

/// The statement would wait beyond its limit: it is refused at once.
struct admission_refused {
    /// When there is room again, as predicted.
    duration retry_after{};
};

/// Settings of admission.
struct admission_options {
    /// Part of the remaining time that a statement may spend waiting; the rest is for running it.
    double max_wait_fraction = 0.8;
    /// Callers are never asked to come back sooner than this.
    duration min_retry_after = milliseconds(50);
};

/// Decides at arrival whether a statement waits or is refused, so that nothing waits in vain.
std::variant<admission_granted, admission_refused> admit(const admission_request& request,
                                                         const admission_options& options);

}  // namespace balsamdrift
