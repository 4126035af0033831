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
    /// Newest position that the session has seen. The data of a read must include it.
    log_position min_position;
    /// Greatest age of the data that the caller accepts; absent for the default of the options.
    std::optional<duration> max_age;
};

/// Settings of routing.
struct route_options {
    /// Most statements that run on one instance at once.
    int slots = 1;
    /// Greatest age of the data of a read when the caller sets no limit.
    duration default_max_age = seconds(10);
    /// Failure domain of this VM. Of equally loaded replicas, one in this domain is preferred.
    std::string failure_domain;
};

/// Number of statements that run now, by instance.
using running_counts = std::map<std::string, int>;

/// Run the statement here.
struct use_instance {
    std::string instance;
};

/// No instance can run the statement now. It stays in the queue until the state of the group or the
/// load changes.
struct wait_for_instance {};

/// No instance will be able to run the statement before the group changes, for example because a
/// replica becomes reachable again.
struct cannot_route {
    std::string reason;
};

/// The result of choose_instance().
using routing_decision = std::variant<use_instance, wait_for_instance, cannot_route>;

/// Chooses the instance for a statement. Writes go to the primary. A read goes to the least loaded
/// replica that has a free slot and passes is_fresh_enough(), otherwise to the primary.
routing_decision choose_instance(const group_state& group, const running_counts& running,
                                 const route_request& request, const route_options& options,
                                 time_point now);

/// True when the data of the instance is new enough for the read: it has applied the session's
/// newest position, and an upper bound of its age is known and within the limit. While no primary
/// serves, no such bound is known, and the age counts only if the caller set a limit.
bool is_fresh_enough(const group_state& group, const std::string& instance,
                     const route_request& request, const route_options& options, time_point now);

}  // namespace balsamdrift
