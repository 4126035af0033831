#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "core/registry/declared_configuration.h"

namespace balsamdrift {

/// The changes from one map to another.
template<class Value>
struct map_patch {
    /// New or different values.
    std::map<std::string, Value> changed;
    std::vector<std::string> removed;

    bool operator==(const map_patch&) const = default;
    MSGPACK_DEFINE(changed, removed)
};

/// The changes from one declared configuration to the next, without the document. Entries receive
/// this instead of the whole configuration, since a new version usually changes only a few of a
/// thousand routes.
struct patch_declared {
    /// Version of the configuration that the patch applies to.
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

patch_declared make_patch(const declared_configuration& before,
                          const declared_configuration& after);

/// Applies a patch. Returns false and changes nothing if the configuration does not have the base
/// version.
bool apply_patch(declared_configuration& state, const patch_declared& patch);

}  // namespace balsamdrift
