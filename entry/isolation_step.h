#pragma once

#include <optional>

#include "base/time.h"

namespace balsamdrift {

/// When an entry that control does not answer hands its callers over to other entries.
struct isolation_options {
    /// The entry reports unready after this long without an answer. A new control leader answers
    /// within about a second.
    duration unready_after = milliseconds(1000);
    /// Sessions are ended this long after the entry began to report unready, when the load balancer
    /// has noticed it. The load balancer asks once a second and acts on the second answer.
    duration end_sessions_after = milliseconds(2000);
};

/// What an entry does because control does not answer it.
struct isolation_step {
    bool ready = true;
    /// Sessions that were opened before this time are ended while they are idle. Not set while the
    /// entry keeps its sessions.
    std::optional<time_point> end_sessions_opened_before;
};

/// Answers the load of callers whose entries a network partition cuts off from control while other
/// entries still serve: without a lease an entry refuses nearly everything, so its callers are
/// better served elsewhere. Sessions are ended only once the lease has run out, and only those that
/// were opened before the load balancer could know; a caller that still comes back finds no other
/// entry and is not sent away again. `answered_at` is when the newest request that control has
/// answered was sent.
inline isolation_step step_isolation(const isolation_options& options, time_point answered_at,
                                     bool holds_lease, time_point now)
{
    if (answered_at == time_point{}) {
        // The process has just started; it is not ready before its first configuration anyway.
        return {};
    }
    const time_point unready_at = answered_at + options.unready_after;
    isolation_step step{.ready = now < unready_at};
    if (!holds_lease && now >= unready_at + options.end_sessions_after) {
        step.end_sessions_opened_before = unready_at + options.end_sessions_after;
    }
    return step;
}

}  // namespace balsamdrift
