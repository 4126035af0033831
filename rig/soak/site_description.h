#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift::soak {

/// A zone with the machines of each class in it.
struct zone_description {
    std::string name;
    std::string region;
    int entries = 0;
    int controls = 0;
};

/// What one class of machines has; only the limit of descriptors is enforced.
struct machine_limits {
    int descriptors = 0;
    int memory_mb = 0;
    double cpu_share = 1;
    double link_mbps = 1000;
    int disk_mb = 0;
};

/// A deployment: its machines, its databases, its load and its bounds. Read from a file in sites/.
struct site_description {
    std::string name;
    std::vector<zone_description> zones;
    machine_limits entry;
    machine_limits control;
    int services = 1;
    /// Instances of each service, spread over the zones.
    int instances = 3;
    int slots = 3;
    int connections = 20;
    milliseconds replica_lag{};
    milliseconds promotion{};
    /// Usual time of a statement in a slot.
    milliseconds work{};
    int sessions = 1;
    double operations_per_second = 1;
    int tenants = 1;
    /// Time from the start of the processes to the first caller.
    seconds lead{};
    int machines_lost_at_once = 2;
    /// Bounds under the platform's names, as they go into the settings of a process.
    nlohmann::json bounds;

    milliseconds bound_ms(const std::string& bound) const
    {
        return milliseconds(bounds.at(bound).get<int>());
    }
    seconds bound_s(const std::string& bound) const { return seconds(bounds.at(bound).get<int>()); }
};

/// Throws YAML::Exception or std::exception if the file cannot be used.
site_description read_site(const std::string& path);

}  // namespace balsamdrift::soak
