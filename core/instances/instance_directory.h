#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace balsamdrift {

/// What an instance reports about itself in each heartbeat.
struct instance_heartbeat {
    std::string instance;
    std::string service;
    /// `address:port` that statements go to.
    std::string address;
    std::string failure_domain;
    /// Whether the instance regards itself as primary. The registry decides which instance may act
    /// as primary.
    bool reports_primary = false;
    /// True while the instance drains before it stops.
    bool leaving = false;
    /// Number of statements that the instance runs in parallel.
    int slots = 0;
    /// Start time of this incarnation in Unix milliseconds by its own clock; zero if not reported.
    std::int64_t born_ms = 0;
    /// Increases with each heartbeat of an incarnation.
    std::int64_t sequence = 0;
    /// Milliseconds until the instance is warm; zero for a warm one.
    std::int64_t warmup_left_ms = 0;

    bool operator==(const instance_heartbeat&) const = default;
    MSGPACK_DEFINE(instance, service, address, failure_domain, reports_primary, leaving, slots,
                   born_ms, sequence, warmup_left_ms)
};

/// True while the instance warms up and takes fewer statements.
inline bool is_cold(const instance_heartbeat& it) { return it.warmup_left_ms > 0; }

/// The newest heartbeat of an instance, and when it arrived.
struct known_instance {
    instance_heartbeat last_heartbeat;
    time_point last_heartbeat_at{};
    /// Version of the directory at which something that entries use last changed.
    std::uint64_t changed_version = 0;
};

/// The live instances, built from their heartbeats.
struct instance_directory {
    std::map<std::string, known_instance> instances;
    /// Increases whenever something changes that entries use.
    std::uint64_t version = 0;
    /// Versions at which instances were removed, by name.
    std::map<std::string, std::uint64_t> removed;
    /// Removals up to this version have been forgotten.
    std::uint64_t removals_known_since = 0;
};

/// What changed in a directory since a version.
struct directory_changes {
    /// True if `changed` holds all instances, and others are to be forgotten.
    bool complete = false;
    std::vector<instance_heartbeat> changed;
    std::vector<std::string> removed;
};

/// The newest heartbeats that a control leader has recorded in the registry, by instance.
using recorded_instances = std::map<std::string, instance_heartbeat>;

/// What the record of the instances lacks.
struct instance_record_changes {
    std::vector<instance_heartbeat> changed;
    std::vector<std::string> removed;
};

struct directory_options {
    /// An instance is removed when no heartbeat arrived for longer than this.
    duration expiry = seconds(15);
};

/// Result of record_heartbeat().
enum class heartbeat_result : std::uint8_t {
    /// It is the newest heartbeat of its instance.
    accepted,
    /// A newer heartbeat of the same instance, or one of an instance that started later at the same
    /// address, is known already.
    outdated,
};

/// Records a heartbeat. An outdated one changes nothing, so that it neither brings back an earlier
/// incarnation nor takes an address from the instance that uses it now. An accepted one removes any
/// other instance with the same address.
heartbeat_result record_heartbeat(instance_directory& directory,
                                  const instance_heartbeat& heartbeat, time_point now);

/// Notes that an instance in the directory was heard at this time, other than by a heartbeat.
void record_sign_of_life(instance_directory& directory, const std::string& instance,
                         time_point heard_at);

/// Removes an instance of which the incarnation that started at `born_ms` deregistered. A later
/// incarnation stays.
void remove_instance(instance_directory& directory, const std::string& instance,
                     std::int64_t born_ms);

/// True if the heartbeat would move a known instance to another service, or take its address. If
/// nothing declares the service that the heartbeat names, it is another writer's, and the known
/// instance is the real one.
bool displaces_instance(const instance_directory& directory, const instance_heartbeat& heartbeat);

/// Removes what an instance of a declared service takes the name or address of: instances of
/// services for which `is_declared` is false.
void remove_undeclared(instance_directory& directory, const instance_heartbeat& heartbeat,
                       const std::function<bool(const std::string& service)>& is_declared);

/// Removes the instances whose last heartbeat is older than the expiry time.
void remove_expired_instances(instance_directory& directory, const directory_options& options,
                              time_point now);

/// The newest heartbeats of all instances.
std::vector<instance_heartbeat> list_instances(const instance_directory& directory);

/// What must change in the record so that the next leader finds the instances of this directory.
instance_record_changes changes_to_record(const instance_directory& directory,
                                          const recorded_instances& recorded);

/// Adds the recorded instances of which no newer heartbeat is known, as if their heartbeats had
/// just arrived. Load pattern: after a loss of all processes every caller waits for the new leader
/// to learn of the primaries, which takes the whole interval between two heartbeats. A recorded
/// instance may be gone: an instance refuses a connection that is meant for another one, and is
/// removed when no heartbeat arrives.
void restore_instances(instance_directory& directory, const recorded_instances& recorded,
                       time_point now);

/// What an entry that has the directory of `version` lacks. Complete for version 0.
directory_changes changes_since(const instance_directory& directory, std::uint64_t version);

}  // namespace balsamdrift
