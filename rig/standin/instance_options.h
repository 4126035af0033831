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
    /// Address that the instance listens on for replication and fault commands.
    endpoint replication{"127.0.0.1", 0};
    /// Replication addresses of the other instances of the group.
    std::vector<std::string> replication_peers;
    /// Platform addresses of the entries; each announcement goes to the next of them.
    std::vector<std::string> announce_to;
    bool starts_as_primary = false;
    /// Time from a commit on the primary until a replica has received it.
    duration ship_delay = milliseconds(1);
    /// Time from receiving a commit until reads on the replica see it.
    duration apply_lag = milliseconds(50);
    /// Time that a statement occupies a slot.
    duration service_time = milliseconds(1);
    /// Statements that can run at the same time.
    int slots = 3;
    int connection_limit = 20;
    /// Time that establishing a connection takes.
    duration connect_time = milliseconds(12);
    duration announce_interval = milliseconds(500);
    /// Time from the first message of the new primary until a replaced primary follows it.
    duration rejoin_delay = seconds(2);
    /// File to which each statement that this instance commits as primary is appended, as JSON
    /// lines; empty for none.
    std::string run_log;
};

}  // namespace balsamdrift::rig
