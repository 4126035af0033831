#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/failover/commit_holder.h"
#include "core/instances/instance_directory.h"
#include "core/registry/declared_configuration.h"
#include "core/registry/declared_patch.h"
#include "core/registry/primary_record.h"
#include "core/registry/records.h"

namespace balsamdrift {

/// Creates a customer or changes its limits.
struct put_customer {
    std::string customer;
    double rate = 0;
    double burst = 0;
    MSGPACK_DEFINE(customer, rate, burst)
};

/// Removes a customer together with its keys and grants.
struct remove_customer {
    std::string customer;
    MSGPACK_DEFINE(customer)
};

/// Gives a key to a customer. The hash is the SHA-256 of the key in lower-case hexadecimal.
struct give_key {
    std::string customer;
    std::string key_id;
    std::string key_hash;
    MSGPACK_DEFINE(customer, key_id, key_hash)
};

struct withdraw_key {
    std::string key_id;
    MSGPACK_DEFINE(key_id)
};

/// Declares a database group or changes its limits.
struct put_group {
    std::string group;
    int instances = 0;
    int connections = 0;
    int slots = 0;
    acknowledgement ack = acknowledgement::replicated;
    MSGPACK_DEFINE(group, instances, connections, slots, ack)
};

/// Grants a customer access to a group.
struct grant_group {
    std::string customer;
    std::string group;
    MSGPACK_DEFINE(customer, group)
};

/// Revokes a customer's access to a group.
struct revoke_group {
    std::string customer;
    std::string group;
    MSGPACK_DEFINE(customer, group)
};

/// Starts to switch to a preset. It comes into force with activate_preset.
struct switch_preset {
    preset target = preset::ordinary;
    MSGPACK_DEFINE(target)
};

/// Orders that nothing more is sent to the instances of a failure domain. Idempotent.
struct evacuate_domain {
    std::string domain;
    MSGPACK_DEFINE(domain)
};

/// Withdraws the order of evacuate_domain. Idempotent.
struct restore_domain {
    std::string domain;
    MSGPACK_DEFINE(domain)
};

/// The changes that an operator can make.
using change_body =
    std::variant<put_customer, remove_customer, give_key, withdraw_key, put_group, grant_group,
                 revoke_group, switch_preset, evacuate_domain, restore_domain>;

/// A change by an operator, with the id and the version that make it safe to resend it and to race
/// with other operators.
struct operator_change {
    std::string operator_name;
    /// Chosen by the operator's tool. A change with the operator and id of an earlier one is not
    /// applied again but gets the first answer.
    std::string change_id;
    /// Version that the changed record must have; absent to change any version.
    std::optional<std::uint64_t> expected_version;
    /// An encoded change_body.
    std::string body;
    MSGPACK_DEFINE(operator_name, change_id, expected_version, body)
};

/// Registers an entry process with its endpoints. Items of an earlier incarnation become free.
struct register_entry {
    std::string entry;
    entry_record record;
    MSGPACK_DEFINE(entry, record)
};

/// Removes an entry process that is lost or has released its lease. Its items become free.
struct expire_entry {
    replica_id entry;
    MSGPACK_DEFINE(entry)
};

/// The new owner of an item.
struct item_assignment {
    std::string item;
    replica_id entry;
    MSGPACK_DEFINE(item, entry)
};

/// Assigns free items to entries. Items that have an owner and entries that are not registered are
/// skipped.
struct assign_items {
    std::vector<item_assignment> items;
    MSGPACK_DEFINE(items)
};

/// Requests the owners of items to release them, so that they can be assigned to other entries.
struct recall_items {
    std::vector<std::string> items;
    MSGPACK_DEFINE(items)
};

/// Releases an item. Valid only from its owner, in the epoch of that ownership.
struct release_item {
    std::string item;
    std::uint64_t epoch = 0;
    /// Tokens left in each customer's bucket; empty for groups.
    std::map<std::string, double> bucket_levels;
    MSGPACK_DEFINE(item, epoch, bucket_levels)
};

/// Records the instance that may act as primary of a group. Valid only from the owner of the group,
/// in the epoch of that ownership.
struct record_primary {
    std::string group;
    std::uint64_t epoch = 0;
    std::string primary;
    std::uint64_t term = 0;
    MSGPACK_DEFINE(group, epoch, primary, term)
};

/// Puts the pending preset into force after all VMs have confirmed the switch.
struct activate_preset {
    std::uint64_t switch_index = 0;
    MSGPACK_DEFINE(switch_index)
};

/// Sets the key that signs session tokens, unless one is set.
struct set_session_secret {
    std::string secret;
    MSGPACK_DEFINE(secret)
};

/// Replaces the declared configuration if the new version is higher than the one in force.
struct replace_declared {
    declared_configuration configuration;
    MSGPACK_DEFINE(configuration)
};

/// Marks an instance as leaving, so that it gets no new statements. An instance that restarts under
/// the same name is another incarnation, with another start time, and not affected.
struct mark_leaving {
    std::string instance;
    /// Start of the leaving incarnation, in Unix milliseconds by the clock of the instance.
    std::int64_t born_ms = 0;
    MSGPACK_DEFINE(instance, born_ms)
};

/// Moves the primary record of a service to another phase unless it has changed in the meantime.
struct change_primary {
    std::string service;
    /// Epoch that the record must have; zero if the service must have none yet.
    std::uint64_t expected_epoch = 0;
    std::string instance;
    primary_phase phase = primary_phase::serving;
    bool planned = false;
    /// Highest term that an instance reported.
    std::uint64_t newest_term = 0;
    /// See primary_record.
    std::string late_promotion;
    MSGPACK_DEFINE(service, expected_epoch, instance, phase, planned, newest_term, late_promotion)
};

/// Records which leader used the reserve of the customers' rates, unless the record has changed in
/// the meantime.
struct record_rate_reserve {
    std::uint64_t expected_term = 0;
    /// Term of the leader that uses it; zero once it is whole again.
    std::uint64_t term = 0;
    MSGPACK_DEFINE(expected_term, term)
};

/// Records instances as the control leader knows them, for the next leader.
struct record_instances {
    std::vector<instance_heartbeat> changed;
    std::vector<std::string> removed;
    MSGPACK_DEFINE(changed, removed)
};

/// Records the instances of a service that may hold acknowledged commits.
struct record_commit_holders {
    std::string service;
    commit_holders holders;
    MSGPACK_DEFINE(service, holders)
};

/// Any command in the control log.
using registry_command =
    std::variant<operator_change, register_entry, expire_entry, assign_items, recall_items,
                 release_item, record_primary, activate_preset, set_session_secret,
                 replace_declared, mark_leaving, change_primary, patch_declared, evacuate_domain,
                 restore_domain, record_rate_reserve, record_instances, record_commit_holders>;

/// Outcome of a command.
enum class change_status : std::uint8_t {
    accepted,
    /// The record has another version than the operator expected.
    conflict,
    /// The change names something that does not exist, or has values out of range.
    invalid,
    /// The command refers to an epoch, term or switch that is no longer current.
    fenced,
};

/// The answer to a command.
struct change_result {
    change_status status = change_status::accepted;
    /// Version of the record after the command.
    std::uint64_t version = 0;
    std::string message;

    bool operator==(const change_result&) const = default;
    MSGPACK_DEFINE(status, version, message)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::change_status)
