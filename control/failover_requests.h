#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/failover/primary_change.h"

namespace balsamdrift {

/// An order to make an instance the primary of its service.
struct promotion_request {
    std::string service;
    std::string instance;
    /// Name of the control member that leads.
    std::string leader;
    /// Grows with each leader, so that an order of an earlier one can be told.
    std::uint64_t fencing_token = 0;
};

/// What the coordinator of primaries needs from outside. Answers come on the coordinator's thread.
struct failover_requests {
    /// Asks an instance for its status; nothing when it refused or was silent.
    std::function<void(const instance_heartbeat&,
                       std::function<void(std::optional<instance_status>)>)>
        request_status;
    /// Tells an instance that a newer term began.
    std::function<void(const instance_heartbeat&, std::uint64_t term)> step_down;
    /// Asks the platform to promote an instance.
    std::function<void(const promotion_request&, std::function<void(promotion_answer)>)> promote;
};

}  // namespace balsamdrift
