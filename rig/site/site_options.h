#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift::rig {

/// Size and settings of a site.
struct site_options {
    /// Folder for settings, data and logs; created if it does not exist.
    std::string folder;
    /// Folder of the programs balsamdrift, balsamctl and standin.
    std::string binaries;
    int control_members = 3;
    int entries = 3;
    std::vector<std::string> groups{"registry"};
    /// Instances of each group. The options up to `rejoin_delay` apply to each instance; see
    /// `instance_options`.
    int instances = 3;
    int slots = 3;
    int connections = 20;
    duration ship_delay = milliseconds(1);
    duration apply_lag = milliseconds(50);
    duration service_time = milliseconds(1);
    duration connect_time = milliseconds(12);
    duration rejoin_delay = seconds(2);
    /// Setting `stop.notice` of the entries.
    duration drain_notice = milliseconds(300);
    int caller_threads = 2;
    int database_threads = 2;
};

}  // namespace balsamdrift::rig
