#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "core/registry/primary_record.h"
#include "core/routing/locality.h"
#include "core/routing/position_history.h"
#include "pooling/instance_pool.h"

namespace balsamdrift {

/// Position in a queue: the route's priority, of which lower values are served first, then the
/// order in which statements were queued.
using queue_key = std::pair<int, std::uint64_t>;

/// What this VM knows of a service, and the statements that wait for it.
struct service_state {
    primary_record record;
    /// When this VM applied the current record.
    time_point record_changed_at{};
    position_history positions;
    /// Connections by instance.
    std::map<std::string, instance_pool> pools;
    /// Numbers of the sessions whose statements wait, in the order of service.
    std::map<queue_key, std::uint64_t> queue;
    /// Which reads leave the nearest failure domain.
    locality_state locality;
    /// Moving average of the time for which a statement holds a connection.
    duration mean_hold_time = milliseconds(20);
    /// Epoch of the newest primary record for which no work of an earlier record remains on this
    /// VM.
    std::uint64_t settled_epoch = 0;
};

/// The service and the pool that a connection belongs to; both null if its instance is no longer
/// known.
struct pool_location {
    service_state* service = nullptr;
    instance_pool* pool = nullptr;
};

}  // namespace balsamdrift
