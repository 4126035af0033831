#pragma once

#include <string>

#include "base/outcome.h"
#include "core/registry/registry_command.h"

namespace balsamdrift {

/// Parses an operator's change from JSON; docs/OPERATIONS.md describes the format. The failure says
/// which member is wrong.
outcome<operator_change> parse_change(const std::string& text);

/// Returns the name of a status in answers to operators.
std::string to_string(change_status status);

}  // namespace balsamdrift
