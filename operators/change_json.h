#pragma once

#include <string>

#include "base/outcome.h"
#include "core/registry/registry_command.h"

namespace balsamdrift {

/// Reads an operator's change from its JSON form; docs/OPERATIONS.md lists the forms.
outcome<operator_change> parse_change(const std::string& text);

/// Name of a status as operators see it.
std::string to_string(change_status status);

}  // namespace balsamdrift
