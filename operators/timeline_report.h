#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace balsamdrift {

/// Merges the events of several processes into one timeline, ordered by stamp. Messages between
/// processes carry stamps, so an event always has a greater stamp than its cause.
std::vector<nlohmann::json> merge_timelines(const std::vector<nlohmann::json>& answers);

/// Formats a timeline as text, one event per line.
std::string format_timeline(const std::vector<nlohmann::json>& events);

/// Formats a timeline as an HTML page without external resources.
std::string format_timeline_html(const std::vector<nlohmann::json>& events);

}  // namespace balsamdrift
