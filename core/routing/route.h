#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "core/failover/group_state.h"

namespace balsamdrift {

/// What a statement needs from an instance.
struct route_request {
    bool read = false;
    /// Newest position that the session has seen; the answer must include it.
    log_position min_position;
    /// Oldest data that the caller accepts; absent for the default of the options.
    std::optional<duration> max_age;
};

/// Settings of routing.
struct route_options {
    /// Statements that one instance runs at once.
    int slots = 1;
    /// Data of a read is never older than this, also when the caller states nothing.
    duration default_max_age = seconds(10);
    /// Failure domain of this VM; its instances are preferred.
    std::string failure_domain;
};

/// Statements that run on each instance now.
using running_counts = std::map<std::string, int>;

/// Run the statement here.
struct use_instance {
    std::string instance;
};

/// Nothing can take the statement now; keep it until something changes.
struct wait_for_instance {};

/// Nothing will take the statement until a person or a failover changes the group.
struct cannot_route {
    std::string reason;
};

/// Where a statement goes.
using routing_decision = std::variant<use_instance, wait_for_instance, cannot_route>;

/// Chooses the instance for a statement. A replica is eligible for a read when what it has applied
/// covers the session and its age is proved to be within the limit; the primary serves the rest.
routing_decision choose_instance(const group_state& group, const running_counts& running,
                                 const route_request& request, const route_options& options,
                                 time_point now);

/// True when the instance may serve the read as far as its data goes.
bool is_fresh_enough(const group_state& group, const std::string& instance,
                     const route_request& request, const route_options& options, time_point now);

}  // namespace balsamdrift
