#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace balsamdrift {

/// Logs which failure domains a command of the control log evacuated or restored. `index` is the
/// log index of the command.
void report_domain_changes(const std::set<std::string>& before, const std::set<std::string>& after,
                           std::uint64_t index);

}  // namespace balsamdrift
