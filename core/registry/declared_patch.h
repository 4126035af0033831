#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "core/registry/declared_configuration.h"

namespace balsamdrift {

/// What changed in a map.
template<class Value>
struct map_patch {
    /// Values that are new or different.
    std::map<std::string, Value> changed;
    std::vector<std::string> gone;

    bool operator==(const map_patch&) const = default;
    MSGPACK_DEFINE(changed, gone)
};

/// The step from one declared configuration to the next, without the document. Entries get it in
/// place of the whole: of a thousand routes mostly a few change.
struct patch_declared {
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    map_patch<declared_route> routes;
    map_patch<declared_service> services;
    map_patch<declared_customer> customers;
    map_patch<std::string> customer_of_key;
    milliseconds transaction_idle_timeout{0};

    bool operator==(const patch_declared&) const = default;
    MSGPACK_DEFINE(base_version, version, routes, services, customers, customer_of_key,
                   transaction_idle_timeout)
};

/// The step between two configurations.
patch_declared make_patch(const declared_configuration& before,
                          const declared_configuration& after);

/// Takes the step. False, and no change, when the configuration is not the one it starts from.
bool take_patch(declared_configuration& state, const patch_declared& patch);

}  // namespace balsamdrift
