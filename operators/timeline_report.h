#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace balsamdrift {

/// Orders the events of several processes into one time line. Stamps follow causes across messages.
std::vector<nlohmann::json> merge_timelines(const std::vector<nlohmann::json>& answers);

/// The time line as text, one event a line.
std::string format_timeline(const std::vector<nlohmann::json>& events);

/// The time line as a page that needs nothing else.
std::string format_timeline_html(const std::vector<nlohmann::json>& events);

}  // namespace balsamdrift
