#include "core/registry/item_id.h"

#include <xxhash.h>

namespace balsamdrift {
namespace {

constexpr std::string_view group_prefix = "group/";
constexpr std::string_view customer_prefix = "customers/";

}  // namespace

std::string group_item(std::string_view group) { return std::string(group_prefix).append(group); }

std::string customer_shard_item(std::size_t shard)
{
    return std::string(customer_prefix).append(std::to_string(shard));
}

std::string customer_item(std::string_view customer)
{
    return customer_shard_item(XXH64(customer.data(), customer.size(), 0) % customer_shard_count);
}

std::string_view group_of_item(std::string_view item)
{
    return item.starts_with(group_prefix) ? item.substr(group_prefix.size()) : std::string_view();
}

}  // namespace balsamdrift
