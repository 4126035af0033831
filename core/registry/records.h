#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <set>
#include <string>

#include "core/consensus/replica_id.h"

namespace balsamdrift {

/// Operating modes of the whole system. docs/OPERATIONS.md describes what each changes.
enum class preset : std::uint8_t { ordinary, peak, maintenance };

/// The preset in force and, during a switch, the pending one. No VM starts statements while a
/// preset is pending, so two presets are never in force at the same time.
struct preset_record {
    preset in_force = preset::ordinary;
    bool switching = false;
    preset pending = preset::ordinary;
    std::uint64_t version = 0;
    /// Registry index of the switch. The pending preset comes into force after all entries have
    /// confirmed this index.
    std::uint64_t switch_index = 0;

    bool operator==(const preset_record&) const = default;
    MSGPACK_DEFINE(in_force, switching, pending, version, switch_index)
};

/// A customer and its limits over all VMs together.
struct customer_record {
    /// Requests per second.
    double rate = 0;
    /// Requests that may arrive at once after a pause.
    double burst = 0;
    std::uint64_t version = 0;
    /// Registry index at which the customer was created.
    std::uint64_t created_index = 0;

    bool operator==(const customer_record&) const = default;
    MSGPACK_DEFINE(rate, burst, version, created_index)
};

/// A caller's key. The system stores only the hash of its secret.
struct key_record {
    std::string key_id;
    std::string customer;

    bool operator==(const key_record&) const = default;
    MSGPACK_DEFINE(key_id, customer)
};

/// When a write is acknowledged.
enum class acknowledgement : std::uint8_t {
    /// After a replica has received it, so that it survives the loss of the primary.
    replicated,
    /// After the primary has committed it. Faster, but lost if the primary is lost.
    primary,
};

/// A database group and the customers that may reach it.
struct group_record {
    /// Number of instances of the complete group.
    int instances = 0;
    /// Limit of the connections that the system opens to all instances of the group together.
    int connections = 0;
    /// Statements that one instance runs concurrently.
    int slots = 0;
    acknowledgement ack = acknowledgement::replicated;
    std::set<std::string> customers;
    std::uint64_t version = 0;
    /// The instance that may act as primary. Empty until an owner of the group has found one.
    std::string primary;
    /// Lowest term in which that instance may act as primary.
    std::uint64_t primary_term = 0;

    bool operator==(const group_record&) const = default;
    MSGPACK_DEFINE(instances, connections, slots, ack, customers, version, primary, primary_term)
};

/// A running entry process.
struct entry_record {
    std::uint64_t incarnation = 0;
    /// Endpoint for the other processes of the fleet.
    std::string address;
    std::string failure_domain;
    /// Endpoint for the platform, where operators' tools read the status and the timeline.
    std::string platform_address;

    bool operator==(const entry_record&) const = default;
    MSGPACK_DEFINE(incarnation, address, failure_domain, platform_address)
};

/// The owner of an item: of a database group or a customer shard.
struct owner_record {
    /// The owning entry process; the name is empty if the item is free.
    replica_id entry;
    /// Increases with every change of owner, so that commands of earlier owners are rejected.
    std::uint64_t epoch = 0;
    /// True while the owner is requested to release the item.
    bool recalled = false;
    /// Registry index at which this epoch began.
    std::uint64_t epoch_start_index = 0;
    /// For customer shards, the tokens that were left in each customer's bucket when the previous
    /// owner released the shard. Customers that are not listed have no tokens left.
    std::map<std::string, double> bucket_levels;

    bool operator==(const owner_record&) const = default;
    MSGPACK_DEFINE(entry, epoch, recalled, epoch_start_index, bucket_levels)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::preset)
MSGPACK_ADD_ENUM(balsamdrift::acknowledgement)
