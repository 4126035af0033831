#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift::rig {

/// What a site on loopback consists of.
struct site_options {
    /// Folder for settings, data and logs; made if it does not exist.
    std::string folder;
    /// Folder of the binaries.
    std::string binaries;
    int control_members = 3;
    int entries = 3;
    std::vector<std::string> groups{"registry"};
    int instances = 3;
    int slots = 3;
    int connections = 20;
    duration ship_delay = milliseconds(1);
    duration apply_lag = milliseconds(50);
    duration service_time = milliseconds(1);
    duration connect_time = milliseconds(12);
    duration rejoin_delay = seconds(2);
    duration drain_notice = milliseconds(300);
    int caller_threads = 2;
    int database_threads = 2;
};

}  // namespace balsamdrift::rig
