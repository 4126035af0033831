#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

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

/// Removes a customer, its keys and its grants.
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

/// Withdraws a key.
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

/// Lets a customer reach a group.
struct grant_group {
    std::string customer;
    std::string group;
    MSGPACK_DEFINE(customer, group)
};

/// Takes a grant back.
struct revoke_group {
    std::string customer;
    std::string group;
    MSGPACK_DEFINE(customer, group)
};

/// Starts the switch to a preset.
struct switch_preset {
    preset target = preset::ordinary;
    MSGPACK_DEFINE(target)
};

/// What an operator can change.
using change_body = std::variant<put_customer, remove_customer, give_key, withdraw_key, put_group,
                                 grant_group, revoke_group, switch_preset>;

/// A change with what makes it safe to race and to resend.
struct operator_change {
    std::string operator_name;
    /// Chosen by the operator's tool. The same operator and id always get the first answer.
    std::string change_id;
    /// Version of the changed record that the operator saw; absent to change any version.
    std::optional<std::uint64_t> expected_version;
    /// An encoded change_body.
    std::string body;
    MSGPACK_DEFINE(operator_name, change_id, expected_version, body)
};

/// An entry process came, with what it listens on.
struct register_entry {
    std::string entry;
    entry_record record;
    MSGPACK_DEFINE(entry, record)
};

/// An entry process is gone or gave its lease back; its items are free.
struct expire_entry {
    replica_id entry;
    MSGPACK_DEFINE(entry)
};

/// One new owner.
struct item_assignment {
    std::string item;
    replica_id entry;
    MSGPACK_DEFINE(item, entry)
};

/// Gives free items to entries.
struct assign_items {
    std::vector<item_assignment> items;
    MSGPACK_DEFINE(items)
};

/// Asks owners to hand items back, so that they can move.
struct recall_items {
    std::vector<std::string> items;
    MSGPACK_DEFINE(items)
};

/// An owner handed an item back; valid only in the epoch in which it owned it.
struct release_item {
    std::string item;
    std::uint64_t epoch = 0;
    std::map<std::string, double> bucket_levels;
    MSGPACK_DEFINE(item, epoch, bucket_levels)
};

/// The owner of a group, in its epoch, names the instance that may act as primary.
struct record_primary {
    std::string group;
    std::uint64_t epoch = 0;
    std::string primary;
    std::uint64_t term = 0;
    MSGPACK_DEFINE(group, epoch, primary, term)
};

/// All VMs confirmed the switch; the pending preset comes in force.
struct activate_preset {
    std::uint64_t switch_index = 0;
    MSGPACK_DEFINE(switch_index)
};

/// Sets the key that signs session tokens, unless one is set.
struct set_session_secret {
    std::string secret;
    MSGPACK_DEFINE(secret)
};

/// Replaces the declared configuration if this version is higher than the one in force.
struct replace_declared {
    declared_configuration configuration;
    MSGPACK_DEFINE(configuration)
};

/// An instance said that it leaves: it gets no new work. An instance that starts anew under the
/// same name is another one, told apart by when it was born.
struct mark_leaving {
    std::string instance;
    std::int64_t born_ms = 0;
    MSGPACK_DEFINE(instance, born_ms)
};

/// Moves the record of a service's primary to another phase, unless it changed meanwhile.
struct change_primary {
    std::string service;
    /// Epoch of the record that the proposer saw; zero when it saw none.
    std::uint64_t seen_epoch = 0;
    std::string instance;
    primary_phase phase = primary_phase::serving;
    bool planned = false;
    MSGPACK_DEFINE(service, seen_epoch, instance, phase, planned)
};

/// Any command in the control log.
using registry_command =
    std::variant<operator_change, register_entry, expire_entry, assign_items, recall_items,
                 release_item, record_primary, activate_preset, set_session_secret,
                 replace_declared, mark_leaving, change_primary, patch_declared>;

/// How a command ended.
enum class change_status : std::uint8_t {
    accepted,
    /// The record has another version than the operator expected.
    conflict,
    /// The change names something that does not exist, or has values out of range.
    invalid,
    /// The sender's epoch is over.
    fenced,
};

/// The answer to a command. A resend gets the first answer again.
struct change_result {
    change_status status = change_status::accepted;
    /// Version of the changed record afterwards.
    std::uint64_t version = 0;
    std::string message;

    bool operator==(const change_result&) const = default;
    MSGPACK_DEFINE(status, version, message)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::change_status)
