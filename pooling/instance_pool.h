#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/instances/instance_directory.h"
#include "core/routing/placement.h"
#include "core/sessions/log_position.h"
#include "pooling/pooled_link.h"

namespace balsamdrift {

/// Settings of a pool.
struct pool_options {
    /// Weight of the newest statement in the latency estimate.
    double latency_weight = 0.1;
    duration first_latency = milliseconds(20);
    /// Nothing is sent to an instance that cannot be reached for this long, doubled each time.
    duration shortest_pause = milliseconds(100);
    duration longest_pause = milliseconds(1600);
    /// A replica that lacked a position is not asked for a later one before this.
    duration lagging_pause = milliseconds(100);
    /// An instance whose queue is full is left alone for this long: a few of its statements end.
    duration busy_pause = milliseconds(30);
    /// After a refusal for too many connections no further one is opened for this long.
    duration full_pause = milliseconds(300);
};

/// The connections of this VM to one instance, and how the instance fares.
struct instance_pool {
    instance_heartbeat info;
    std::vector<pooled_link_ptr> links;
    /// Statements and transactions that were sent there since the last report.
    int dispatched = 0;
    /// Newest position that the instance told.
    log_position position;
    std::uint64_t position_generation = 0;
    duration latency{};
    time_point paused_until{};
    duration pause{};
    /// Since when the instance could not be reached, while it is paused.
    time_point unreachable_since{};
    time_point lagging_until{};
    time_point full_until{};
    time_point served_at{};
    time_point failed_at{};
    /// When this VM heard that the instance leaves.
    time_point leaving_since{};
    /// Since when control no longer lists the instance; the epoch while it does.
    time_point missing_since{};
};

/// Statements or transactions that use a connection now.
int running_on(const instance_pool& pool);

/// What it takes to get a connection for the customer whose session has these values.
/// `share` is how many connections this VM may have to the instance.
connection_availability supply_of(const instance_pool& pool, const std::string& customer,
                                  const session_values& values, int share, time_point now);

/// The idle connection that needs the least to serve the session, or null. One that holds a value
/// that the session has not set never fits, since a value cannot be taken back.
pooled_link_ptr find_fitting(const instance_pool& pool, const std::string& customer,
                             const session_values& values, const std::string& prepared);

/// The idle connection that was used longest ago, or null.
pooled_link_ptr find_replaceable(const instance_pool& pool);

/// Notes that a statement took this long at the instance.
void note_latency(instance_pool& pool, const pool_options& options, duration took, time_point now);

/// Notes that the instance could not be reached.
void note_unreachable(instance_pool& pool, const pool_options& options, time_point now);

/// Notes that the instance answered.
void note_reachable(instance_pool& pool, time_point now);

}  // namespace balsamdrift
