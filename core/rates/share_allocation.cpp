#include "core/rates/share_allocation.h"

#include <algorithm>

namespace balsamdrift {
namespace {

double value_or_zero(const std::map<std::string, double>& values, const std::string& key)
{
    const auto it = values.find(key);
    return it == values.end() ? 0 : it->second;
}

/// Upper bound of the shares of `name` that all entries except `self` may hold together.
double held_by_others(const share_table& table, const std::string& self, const std::string& name)
{
    double sum = 0;
    for (const auto& [entry, it] : table.entries) {
        if (entry != self) {
            sum += std::max(value_or_zero(it.held, name), value_or_zero(it.granted.shares, name));
        }
    }
    return sum;
}

/// The entry's share in proportion to its demand. Entries whose demand is unknown count as having
/// an even share of the usual demand.
double share_by_demand(const share_table& table, const share_allocation_options& options,
                       const std::string& self, const std::string& name, double usual_demand,
                       std::size_t entry_count)
{
    const double even_demand = usual_demand / static_cast<double>(entry_count);
    const double min_weight = even_demand * options.idle_fraction;
    const auto weight = [&](const entry_shares& it) {
        return it.demand.contains(name) ? value_or_zero(it.demand, name) + min_weight : even_demand;
    };
    double sum = 0;
    for (const auto& [entry, it] : table.entries) {
        sum += weight(it);
    }
    const std::size_t unknown =
        entry_count > table.entries.size() ? entry_count - table.entries.size() : 0;
    sum += even_demand * static_cast<double>(unknown);
    return sum > 0 ? weight(table.entries.at(self)) / sum : 0;
}

/// Updates the entry's demand and the bounds of its shares from its request.
void apply_request(share_table& table, const std::string& entry, std::uint64_t incarnation,
                   const share_request& request, time_point now)
{
    entry_shares& it = table.entries[entry];
    if (it.incarnation != incarnation) {
        it = {.incarnation = incarnation, .held = request.held.shares};
    }
    it.demand = request.demand;
    it.last_request_at = now;
    if (it.granted.number == 0 || request.held.number == it.granted.number) {
        it.held = request.held.shares;
    }
}

}  // namespace

share_grant grant_shares(share_table& table, const share_allocation_options& options,
                         const std::string& entry, std::uint64_t incarnation,
                         const share_request& request,
                         const std::map<std::string, double>& usual_demand, std::size_t entry_count,
                         time_point now)
{
    std::erase_if(table.entries, [&](const auto& other) {
        return now - other.second.last_request_at > options.entry_timeout;
    });
    apply_request(table, entry, incarnation, request, now);
    const bool settled = now - table.leading_since >= options.settling_time;
    const std::size_t divisor = std::max(entry_count, table.entries.size());
    entry_shares& own = table.entries.at(entry);
    share_grant next{.shares = {}, .number = own.granted.number + 1};
    for (const auto& [name, demand_of_all] : usual_demand) {
        const double held = value_or_zero(request.held.shares, name);
        const double by_demand =
            share_by_demand(table, options, entry, name, demand_of_all, divisor);
        const double free = std::max(0.0, 1 - held_by_others(table, entry, name));
        // Until the other entries have reported their shares, none is raised above an even share.
        const double even_share = 1.0 / static_cast<double>(divisor);
        const double limit = settled ? free : std::min(free, std::max(held, even_share));
        next.shares[name] = std::min(by_demand * (1 - options.reserved_fraction), limit);
    }
    for (const auto& [name, share] : own.granted.shares) {
        own.held[name] = std::max(value_or_zero(own.held, name), share);
    }
    own.granted = next;
    return next;
}

void release_shares(share_table& table, const std::string& entry) { table.entries.erase(entry); }

}  // namespace balsamdrift
