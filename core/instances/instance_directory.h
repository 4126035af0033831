#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace balsamdrift {

/// What an instance says of itself on each heartbeat.
struct instance_heartbeat {
    std::string instance;
    std::string service;
    /// `address:port` that statements go to.
    std::string address;
    std::string failure_domain;
    /// How the instance sees itself; the registry says which instance may act as primary.
    bool reports_primary = false;
    bool leaving = false;
    /// Statements that it runs at once.
    int slots = 0;
    /// When this incarnation started, in Unix milliseconds by its own clock; zero if not said.
    std::int64_t born_ms = 0;
    /// Grows with each heartbeat of an incarnation.
    std::int64_t sequence = 0;

    bool operator==(const instance_heartbeat&) const = default;
    MSGPACK_DEFINE(instance, service, address, failure_domain, reports_primary, leaving, slots,
                   born_ms, sequence)
};

/// An instance as it is known, and when it was last heard.
struct known_instance {
    instance_heartbeat last_heartbeat;
    time_point last_heartbeat_at{};
};

/// The live instances, built from their heartbeats.
struct instance_directory {
    std::map<std::string, known_instance> instances;
    /// Grows whenever something changes that entries use.
    std::uint64_t version = 0;
};

/// Settings of the directory.
struct directory_options {
    /// An instance that was silent for this long is dropped.
    duration expiry = seconds(15);
};

/// What became of a heartbeat.
enum class heartbeat_result : std::uint8_t {
    /// It is the newest word of its instance.
    accepted,
    /// A later one of the same instance, or a later owner of its address, is known already.
    outdated,
};

/// Notes a heartbeat. Late ones change nothing: they neither bring back an earlier incarnation nor
/// take an address from the instance that has it now.
heartbeat_result record_heartbeat(instance_directory& directory, const instance_heartbeat& it,
                                  time_point now);

/// Drops an instance that said goodbye.
void remove_instance(instance_directory& directory, const std::string& instance);

/// Drops instances that were silent for too long.
void remove_expired_instances(instance_directory& directory, const directory_options& options,
                              time_point now);

/// All instances, for entries.
std::vector<instance_heartbeat> list_instances(const instance_directory& directory);

}  // namespace balsamdrift
