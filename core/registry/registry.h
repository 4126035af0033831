#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "core/registry/records.h"
#include "core/registry/registry_command.h"

namespace balsamdrift {

/// Number of answers to operators' changes that are kept for resends. The oldest are dropped.
inline constexpr std::size_t max_kept_change_results = 10'000;

/// Number of leaving instances that are kept. The oldest are dropped.
inline constexpr std::size_t max_leaving_instances = 10'000;

/// The replicated state that control members and entries build by applying the commands of the
/// control log. Registries with the same index are equal, except that entries that received a patch
/// lack the document of the declared configuration.
struct registry {
    /// Index of the last applied log entry.
    std::uint64_t index = 0;
    /// Number of accepted changes by operators; shown to operators as the configuration version.
    std::uint64_t version = 0;
    preset_record preset;
    std::map<std::string, customer_record> customers;
    /// Keys by the hash of their secret.
    std::map<std::string, key_record> keys;
    std::map<std::string, group_record> groups;
    std::map<std::string, entry_record> entries;
    /// Owners by the name of the item.
    std::map<std::string, owner_record> owners;
    /// Key that signs session tokens; set once.
    std::string session_secret;
    /// First answers to operators' changes, by operator and change id.
    std::map<std::string, change_result> results;
    /// Keys of `results`, oldest first.
    std::deque<std::string> result_order;
    declared_configuration declared;
    /// Primaries by the name of the declared service.
    std::map<std::string, primary_record> primaries;
    /// Start of the newest incarnation of each instance that announced that it is leaving, in Unix
    /// milliseconds.
    std::map<std::string, std::int64_t> leaving;
    /// Keys of `leaving`, oldest first.
    std::deque<std::string> leaving_order;
    /// Failure domains whose instances get no statements, by order of an operator.
    std::set<std::string> evacuated_domains;
    /// Failure domains in which an entry is or was registered.
    std::set<std::string> entry_domains;
    /// Failure domains that an order of an operator has ever named. A repeated order for one of
    /// them is accepted like the first, even if nothing else knows the domain any more.
    std::set<std::string> ordered_domains;
    /// Term of the control leader that used the reserve of the customers' rates
    /// (core/rates/restart_reserve.h); zero while it is whole.
    std::uint64_t rate_reserve_term = 0;
    /// Instances as a control leader last recorded them. Only the next leader starts from them;
    /// entries use the directory that a leader sends.
    recorded_instances instances;
    /// Instances that may hold acknowledged commits, by service with synchronous replicas.
    std::map<std::string, commit_holders> holders;

    bool operator==(const registry&) const = default;
    MSGPACK_DEFINE(index, version, preset, customers, keys, groups, entries, owners, session_secret,
                   results, result_order, declared, primaries, leaving, leaving_order,
                   evacuated_domains, entry_domains, ordered_domains, rate_reserve_term, instances,
                   holders)
};

/// Applies the command at a log index. Deterministic, so that equal registries stay equal.
change_result apply(registry& state, std::uint64_t index, const registry_command& command);

/// Encodes a command for the log. Long commands are compressed here, once for all receivers.
std::string encode_command(const registry_command& command);

/// Converts an encoded command to the form sent to entries. `before` and `after` are the declared
/// configurations around its application: if it replaced the configuration, entries get a patch.
std::string command_for_entries(const std::string& data, const declared_configuration& before,
                                const declared_configuration& after);

/// Applies an encoded command. Commands that cannot be decoded change only the index.
change_result apply_encoded(registry& state, std::uint64_t index, const std::string& data);

/// True when this incarnation of an instance, or a later one, announced that it is leaving.
/// `born_ms` is the start of the incarnation in Unix milliseconds.
bool is_leaving(const registry& state, const std::string& instance, std::int64_t born_ms);

/// True while an operator's order keeps statements away from the instances of a failure domain.
bool is_evacuated(const registry& state, const std::string& failure_domain);

/// Hash of the whole registry, to compare copies on different VMs.
std::uint64_t state_hash(const registry& state);

/// Name of a preset in the operators' interface.
std::string to_string(preset value);

}  // namespace balsamdrift
