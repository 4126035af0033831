#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <set>
#include <string>

#include "core/consensus/replica_id.h"

namespace balsamdrift {

/// The operating modes of the whole system. docs/OPERATIONS.md says what each changes.
enum class preset : std::uint8_t { ordinary, peak, maintenance };

/// The preset in force and, during a switch, the one that follows. While one is pending no VM
/// starts statements, so two presets are never in force at the same time.
struct preset_record {
    preset in_force = preset::ordinary;
    bool switching = false;
    preset pending = preset::ordinary;
    std::uint64_t version = 0;
    /// Registry index of the switch; entries confirm it before the pending preset comes in force.
    std::uint64_t switch_index = 0;

    bool operator==(const preset_record&) const = default;
    MSGPACK_DEFINE(in_force, switching, pending, version, switch_index)
};

/// A customer and its limits over all VMs together.
struct customer_record {
    /// Requests per second.
    double rate = 0;
    /// Requests that may come at once after a pause.
    double burst = 0;
    std::uint64_t version = 0;
    /// Registry index at which the customer was created.
    std::uint64_t created_index = 0;

    bool operator==(const customer_record&) const = default;
    MSGPACK_DEFINE(rate, burst, version, created_index)
};

/// A caller's key. Only its hash is known to the system.
struct key_record {
    std::string key_id;
    std::string customer;

    bool operator==(const key_record&) const = default;
    MSGPACK_DEFINE(key_id, customer)
};

/// When a write is acknowledged.
enum class acknowledgement : std::uint8_t {
    /// Once a replica has its position: it survives the loss of the primary.
    replicated,
    /// At the primary alone: faster, and lost with it.
    primary,
};

/// A database group and the customers that may reach it.
struct group_record {
    /// Instances that the group has when all are well.
    int instances = 0;
    /// Connections that the system may open to all instances of the group together.
    int connections = 0;
    /// Statements that one instance runs at once.
    int slots = 0;
    acknowledgement ack = acknowledgement::replicated;
    std::set<std::string> customers;
    std::uint64_t version = 0;
    /// The instance that may act as primary, and the lowest term it may do so in. Empty until the
    /// first owner saw a primary.
    std::string primary;
    std::uint64_t primary_term = 0;

    bool operator==(const group_record&) const = default;
    MSGPACK_DEFINE(instances, connections, slots, ack, customers, version, primary, primary_term)
};

/// A running entry process.
struct entry_record {
    std::uint64_t incarnation = 0;
    /// Fleet endpoint.
    std::string address;
    std::string failure_domain;
    /// Platform endpoint, where operators' tools find its status and time line.
    std::string platform_address;

    bool operator==(const entry_record&) const = default;
    MSGPACK_DEFINE(incarnation, address, failure_domain, platform_address)
};

/// Who owns a database group or a customer shard.
struct owner_record {
    /// Entry process; an empty name means nobody.
    replica_id entry;
    /// Grows with every assignment and fences earlier owners.
    std::uint64_t epoch = 0;
    /// True while the owner is asked to hand the item back.
    bool recalled = false;
    /// Registry index at which this epoch began.
    std::uint64_t epoch_start_index = 0;
    /// Customer shards: tokens that the previous owner left in each bucket when it handed the shard
    /// over. Customers that are missing here have nothing left.
    std::map<std::string, double> bucket_levels;

    bool operator==(const owner_record&) const = default;
    MSGPACK_DEFINE(entry, epoch, recalled, epoch_start_index, bucket_levels)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::preset)
MSGPACK_ADD_ENUM(balsamdrift::acknowledgement)
