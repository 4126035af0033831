#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"

namespace balsamdrift::rig {

/// Settings of a stand-in instance.
struct instance_options {
    std::string group = "registry";
    std::string name = "registry-1";
    std::string failure_domain = "brest-port";
    endpoint listen{"127.0.0.1", 0};
    /// Where the instances of the group reach each other for replication.
    endpoint replication{"127.0.0.1", 0};
    std::vector<std::string> replication_peers;
    /// Platform endpoints of entries that announcements go to, in turn.
    std::vector<std::string> announce_to;
    bool starts_as_primary = false;
    /// Time from a commit on the primary until a replica has received it.
    duration ship_delay = milliseconds(1);
    /// Time from receiving a commit until reads on the replica see it.
    duration apply_lag = milliseconds(50);
    /// Time that a statement takes, and how many run at once.
    duration service_time = milliseconds(1);
    int slots = 3;
    int connection_limit = 20;
    duration connect_time = milliseconds(12);
    duration announce_interval = milliseconds(500);
    /// A replaced primary that hears of its successor follows it after this.
    duration rejoin_delay = seconds(2);
    /// File that every committed change is appended to; empty for none.
    std::string run_log;
};

}  // namespace balsamdrift::rig
