#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace balsamdrift::soak {

/// Fills in a deploy template from the fields of a process: `{{a.b}}`, `{{a|json}}`, sections
/// `{{#a}}..{{/a}}` and `{{^a}}..{{/a}}`, and `{{.}}`, `{{@}}` and `{{,}}` inside a section. Throws
/// std::invalid_argument if a placeholder or section is not closed.
std::string render_template(const std::string& text, const nlohmann::json& fields);

}  // namespace balsamdrift::soak
