#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/registry/records.h"
#include "core/registry/registry_command.h"

namespace balsamdrift {

/// How many answers to changes are kept for resends.
inline constexpr std::size_t kept_change_results = 10'000;

/// How many leaving instances are remembered.
inline constexpr std::size_t kept_leaving_instances = 10'000;

/// Everything the control log decides on: the state machine that control members and entries run
/// over the same commands. Two registries with the same index are equal.
struct registry {
    /// Index of the last applied log entry.
    std::uint64_t index = 0;
    /// Counts accepted changes by operators; the configuration version that operators see.
    std::uint64_t version = 0;
    preset_record preset;
    std::map<std::string, customer_record> customers;
    /// Keys by the hash of their secret.
    std::map<std::string, key_record> keys;
    std::map<std::string, group_record> groups;
    std::map<std::string, entry_record> entries;
    std::map<std::string, owner_record> owners;
    /// Key that signs session tokens; drawn when the registry is made.
    std::string session_secret;
    /// First answers to changes, by operator and change id, and the order they came in.
    std::map<std::string, change_result> results;
    std::deque<std::string> result_order;
    /// Declared as a whole by operators of the platform.
    declared_configuration declared;
    /// Primaries of the declared services.
    std::map<std::string, primary_record> primaries;
    /// When the newest leaving incarnation of each instance was born, and the order they came in.
    std::map<std::string, std::int64_t> leaving;
    std::deque<std::string> leaving_order;

    bool operator==(const registry&) const = default;
    MSGPACK_DEFINE(index, version, preset, customers, keys, groups, entries, owners, session_secret,
                   results, result_order, declared, primaries, leaving, leaving_order)
};

/// Applies one command at a log index. Deterministic: equal registries stay equal.
change_result apply(registry& state, std::uint64_t index, const registry_command& command);

/// A command as it stands in the log. Long ones are compressed once, for all who get them.
std::string encode_command(const registry_command& command);

/// The same command as entries get it, once it is applied: a new declared configuration becomes the
/// step from the one before.
std::string command_for_entries(const std::string& data, const declared_configuration& before,
                                const declared_configuration& after);

/// Applies an encoded command; unknown commands change only the index.
change_result apply_encoded(registry& state, std::uint64_t index, const std::string& data);

/// True when this incarnation of an instance said that it leaves.
bool is_leaving(const registry& state, const std::string& instance, std::int64_t born_ms);

/// Hash over the whole registry, to compare copies on different VMs.
std::uint64_t state_hash(const registry& state);

/// Name of a preset as operators write it.
std::string to_string(preset value);

}  // namespace balsamdrift
