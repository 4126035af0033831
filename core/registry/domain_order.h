#pragma once

#include <set>
#include <string>

#include "core/registry/registry.h"

namespace balsamdrift {

/// Failure domain that a command orders to evacuate or to restore; empty for any other command.
std::string ordered_domain(const registry_command& command);

/// Checks the failure domain of an order before it is proposed. It is known if the settings or
/// heartbeats name it (`seen`), if an entry is or was in it, or if an earlier order was accepted
/// for it, so that a repeated order is never refused. While no domain is known from settings,
/// instances or entries, every order is accepted. Returns why the order is refused, or an empty
/// text.
std::string check_ordered_domain(const registry& state, const std::set<std::string>& seen,
                                 const std::string& domain);

}  // namespace balsamdrift
