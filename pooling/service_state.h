#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "core/registry/primary_record.h"
#include "core/routing/position_history.h"
#include "pooling/instance_pool.h"

namespace balsamdrift {

/// Place in a queue: higher priority first, then first come, first served.
using queue_key = std::pair<int, std::uint64_t>;

/// What this VM knows of a service and the statements that wait for it.
struct service_state {
    primary_record record;
    /// When the record last changed here.
    time_point record_since{};
    position_history book;
    std::map<std::string, instance_pool> pools;
    /// Sessions whose statement waits.
    std::map<queue_key, std::uint64_t> queue;
    /// How long a statement holds a connection, on average.
    duration mean_hold = milliseconds(20);
    /// Newest record epoch under which no older work runs here any more.
    std::uint64_t settled_epoch = 0;
};

/// Where a connection belongs; both null once its instance is no longer known.
struct link_home {
    service_state* service = nullptr;
    instance_pool* pool = nullptr;
};

}  // namespace balsamdrift
