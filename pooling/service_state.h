#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/queueing/decayed_count.h"
#include "core/queueing/return_schedule.h"
#include "core/queueing/shedding.h"
#include "core/registry/primary_record.h"
#include "core/routing/locality.h"
#include "core/routing/position_history.h"
#include "pooling/instance_pool.h"

namespace balsamdrift {

/// Key of a waiting statement: the route's priority, then the order in which statements were
/// queued. sort_for_service() gives the order of service.
using queue_key = std::pair<int, std::uint64_t>;

/// Attempts that instances ran, and those that they answered with BUSY.
struct attempt_counts {
    decayed_count served;
    decayed_count refused;
};

/// What this VM knows of a service, and the statements that wait for it.
struct service_state {
    primary_record record;
    /// When this VM applied the current record.
    time_point record_changed_at{};
    position_history positions;
    /// Connections by instance.
    std::map<std::string, instance_pool> pools;
    /// Numbers of the sessions whose statements wait.
    std::map<queue_key, std::uint64_t> queue;
    /// Which reads leave the nearest failure domain.
    locality_state locality;
    /// Moving average of the time for which a statement holds a connection.
    duration mean_hold_time = milliseconds(20);
    /// The same average by database, since each is another kind of work.
    std::map<std::string, duration> hold_times;
    /// Statements and transactions that arrived, by priority.
    std::map<int, decayed_count> demand;
    /// Latency objectives of the routes to the service that were used, by priority.
    std::map<int, duration> latency_objectives;
    /// Recent attempts by priority, while the service is overloaded.
    std::map<int, attempt_counts> attempts;
    start_credits credits;
    return_schedule returns;
    /// True from the first BUSY answer until no instance of the service has a limit.
    bool overloaded = false;
    /// Until this time, work that is less urgent than `delayed_priority` and that replicas can run
    /// keeps off the primary, because work that only the primary can run is delayed there.
    time_point primary_delayed_until{};
    int delayed_priority = 0;
    /// Epoch of the newest primary record for which no work of an earlier record remains on this
    /// VM.
    std::uint64_t settled_epoch = 0;
    /// When a connection to the primary was last opened only to learn its position.
    time_point position_asked_at{};
};

/// The service and the pool that a connection belongs to; both null if its instance is no longer
/// known.
struct pool_location {
    service_state* service = nullptr;
    instance_pool* pool = nullptr;
};

}  // namespace balsamdrift
