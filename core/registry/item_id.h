#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsamdrift {

/// Customers are distributed over this many shards by a hash of their names. The owner of a shard
/// holds the token buckets of its customers. Shards and database groups are the items that entries
/// own.
inline constexpr std::size_t customer_shard_count = 64;

/// Item name of a database group.
std::string group_item(std::string_view group);

/// Item name of the shard that a customer belongs to.
std::string customer_item(std::string_view customer);

/// Item name of a customer shard by its number.
std::string customer_shard_item(std::size_t shard);

/// Name of the group that an item stands for; empty if the item is a customer shard.
std::string_view group_of_item(std::string_view item);

}  // namespace balsamdrift
