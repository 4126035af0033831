#pragma once

#include <nlohmann/json.hpp>

#include "rig/soak/machine.h"
#include "rig/soak/site_description.h"

namespace balsamdrift::soak {

/// What the platform tells a process, as plain tables under the platform's names.
nlohmann::json settings_fields(const site_description& site, const machine& it,
                               const std::string& role, const std::string& platform);

/// First and last port for connections between the processes.
inline constexpr int first_internal_port = 7560;
inline constexpr int last_internal_port = 7575;

}  // namespace balsamdrift::soak
