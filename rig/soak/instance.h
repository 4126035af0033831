#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rig/soak/connection.h"

namespace balsamdrift::soak {

/// A commit in the log of an instance.
struct log_entry {
    std::uint64_t term = 0;
    std::string id;
    std::vector<std::pair<std::string, std::string>> writes;
};

/// What an instance keeps for one connection.
struct instance_session {
    bool started = false;
    std::string tenant;
    char state = 'I';
    bool read_only = false;
    std::uint64_t term = 0;
    std::vector<std::string> write_ids;
    std::vector<std::pair<std::string, std::string>> writes;
    /// Kind and shape, by name.
    std::map<std::string, std::string> prepared;
};

/// A stand-in of a database instance.
struct instance {
    std::string id;
    address at;
    std::string zone;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    bool primary = false;
    std::uint64_t term = 1;
    std::uint64_t paused_term = 0;
    std::vector<log_entry> log;
    std::unordered_map<std::string, std::string> items;
    bool draining = false;
    bool down = false;
    /// Increases with each start, so that work of an earlier one ends.
    int starts = 0;
    double slow_factor = 1;
    time_point reaches_newer_since = time_point::max();
    int running = 0;
    std::deque<waiter*> queue;
    std::set<connection*> connections;
    std::unique_ptr<listener> door;
    std::unique_ptr<waiter> beat_now;
    std::string heartbeat_to;
    link path{.drops_dead_after = seconds(3)};
};

}  // namespace balsamdrift::soak
