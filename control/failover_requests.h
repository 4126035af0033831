#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/failover/primary_change.h"

namespace balsamdrift {

/// A request to the platform to promote an instance to the primary of its service.
struct promotion_request {
    std::string service;
    std::string instance;
    /// Name of the control member that is the leader.
    std::string leader;
    /// The leader's term. It increases with every leader, so that the platform can reject requests
    /// of an earlier one.
    std::uint64_t fencing_token = 0;
    /// False once another member may lead. Checked when the request is sent, which may be long
    /// after it was made: the platform may be slow to accept the connection, or this process may
    /// have been stopped meanwhile. A late request would follow one with a higher token.
    std::function<bool()> may_send = [] { return true; };
};

/// Requests that service_coordinator sends to instances and to the platform. The answer handlers
/// are called on the coordinator's thread.
struct failover_requests {
    /// Requests the status of an instance.
    std::function<void(const instance_heartbeat&, std::function<void(status_result)>)>
        request_status;
    /// Tells an instance that reports itself as primary that a newer term has begun.
    std::function<void(const instance_heartbeat&, std::uint64_t term)> step_down;
    /// Requests the promotion of an instance from the platform.
    std::function<void(const promotion_request&, std::function<void(promotion_answer)>)> promote;
};

}  // namespace balsamdrift
