#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsamdrift {

/// Customers are spread over this many shards; the owner of a shard holds its customers' buckets.
inline constexpr std::size_t customer_shard_count = 64;

/// Name of a database group among the owned items.
std::string group_item(std::string_view group);

/// Name of the shard of a customer among the owned items.
std::string customer_item(std::string_view customer);

/// Name of a customer shard by number.
std::string customer_shard_item(std::size_t shard);

/// The group that an item names, or nothing if it names a customer shard.
std::string_view group_of_item(std::string_view item);

}  // namespace balsamdrift
