#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rig/soak/address.h"
#include "rig/soak/fleet_proxy.h"
#include "rig/soak/link.h"

namespace balsamdrift::soak {

/// A machine of the deployment with its one process.
struct machine {
    std::string name;
    bool is_control = false;
    std::string zone;
    std::string ip;
    address service_address;    // of callers, or of instances and the operator
    address readiness_address;  // of entries
    std::string folder;         // settings and data
    std::string log_path;
    std::vector<std::string> seeds;
    bool first_start = true;
    /// Limit of the size of files that the next start gets; 0: none.
    int file_limit_bytes = 0;

    pid_t pid = -1;
    int incarnation = 0;
    bool frozen = false;
    bool removed = false;
    /// The process is down, or going down, by order.
    bool ordered_down = false;
    time_point started_at{};
    std::optional<time_point> restart_at;
    std::optional<time_point> kill_at;
    /// Newest moment at which a disturbance acted on it.
    time_point disturbed_at{};
    /// Connections between it and the stand-ins.
    link path;

    /// Between the other processes and it; null without faults of such paths.
    std::unique_ptr<fleet_proxy> proxy;

    // What the platform sees of an entry.
    bool ready = false;
    int missed_probes = 0;

    // Usage over all incarnations that have ended.
    double processor_seconds = 0;
    long peak_memory_kb = 0;
};

}  // namespace balsamdrift::soak
