#include "core/rates/share_allocation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamdrift {
namespace {

/// Entries that sent no request for long are removed at this interval.
constexpr seconds expiry_interval(1);

/// Largest demand per second of one entry that is taken into account.
constexpr double max_demand = 1e6;

/// Bound of the error of dividing a share by a unit.
constexpr double division_error = 1e-6;

/// Shares and demands are rounded down to multiples of this, so that adding them to the running
/// sums and subtracting them again is exact.
constexpr double resolution = 1.0 / (1U << 24U);

double rounded(double value, double max)
{
    const double bounded = value > 0 ? std::min(value, max) : 0;
    return std::floor(bounded / resolution) * resolution;
}

double value_or_zero(const std::map<std::string, double>& values, const std::string& key)
{
    const auto it = values.find(key);
    return it == values.end() ? 0 : it->second;
}

/// Rounded copy of the values, each at most `max`, without zeros.
std::map<std::string, double> rounded_copy(const std::map<std::string, double>& values, double max)
{
    std::map<std::string, double> copy;
    for (const auto& [name, value] : values) {
        if (const double it = rounded(value, max); it > 0) {
            copy[name] = it;
        }
    }
    return copy;
}

/// Adds the entry's contribution to the running sums; subtracts it if `sign` is -1.
void add_to_sums(share_table& table, const entry_shares& it, int sign)
{
    for (const auto& [name, share] : it.held) {
        table.sums[name].held += sign * std::max(share, value_or_zero(it.granted.shares, name));
    }
    for (const auto& [name, share] : it.granted.shares) {
        if (!it.held.contains(name)) {
            table.sums[name].held += sign * share;
        }
    }
    for (const auto& [name, demand] : it.demand) {
        table.sums[name].demand += sign * demand;
    }
    if (it.measured) {
        table.measured_entries += static_cast<std::size_t>(sign);
    }
}

/// The entry's share in proportion to its demand. Entries whose demand is unknown count as having
/// an even share of the usual demand.
double share_by_demand(const share_table& table, const share_allocation_options& options,
                       const entry_shares& own, const std::string& name, double usual_demand,
                       std::size_t entry_count)
{
    const double even_demand = usual_demand / static_cast<double>(entry_count);
    const double min_weight = even_demand * options.idle_fraction;
    const auto measured = static_cast<double>(table.measured_entries);
    const double unmeasured = static_cast<double>(entry_count) - measured;
    const auto it = table.sums.find(name);
    const double demand = it == table.sums.end() ? 0 : it->second.demand;
    const double sum = demand + measured * min_weight + unmeasured * even_demand;
    const double weight = own.measured ? value_or_zero(own.demand, name) + min_weight : even_demand;
    return sum > 0 ? weight / sum : 0;
}

/// The whole units that are nearest to the share, within the limit. Rounding to the nearest number
/// leaves few units without use, as rounding down would.
double whole_units(double share, double limit, double unit)
{
    if (unit <= 0) {
        return std::min(share, limit);
    }
    // The shares of others are rounded down, so the limit is never below the units that are free.
    const double free_units = std::floor(limit / unit + division_error);
    return unit * std::min(std::round(share / unit), free_units);
}

/// Updates the entry's demand and the bounds of its shares from its request.
void apply_request(entry_shares& it, std::uint64_t incarnation, const share_request& request,
                   time_point now)
{
    const share_map reported = rounded_copy(request.held.shares, 1);
    if (it.incarnation != incarnation) {
        it = {.incarnation = incarnation, .held = reported};
    }
    it.measured = request.measured;
    it.demand = request.measured ? rounded_copy(request.demand, max_demand) : share_map{};
    it.last_request_at = now;
    if (it.granted.number == 0 || request.held.number == it.granted.number) {
        it.held = reported;
    }
}

void remove_expired_entries(share_table& table, const share_allocation_options& options,
                            time_point now)
{
    if (now < table.next_expiry_at) {
        return;
    }
    table.next_expiry_at = now + expiry_interval;
    std::erase_if(table.entries, [&](const auto& entry) {
        const bool expired = now - entry.second.last_request_at > options.entry_timeout;
        if (expired) {
            add_to_sums(table, entry.second, -1);
        }
        return expired;
    });
    // Names of resources that no longer exist.
    std::erase_if(table.sums,
                  [](const auto& it) { return it.second.held == 0 && it.second.demand == 0; });
}

}  // namespace

share_grant grant_shares(share_table& table, const share_allocation_options& options,
                         const std::string& entry, std::uint64_t incarnation,
                         const share_request& request,
                         const std::map<std::string, divided_resource>& resources,
                         std::size_t entry_count, time_point now)
{
    remove_expired_entries(table, options, now);
    entry_shares& own = table.entries[entry];
    add_to_sums(table, own, -1);
    apply_request(own, incarnation, request, now);
    // From here on the sums hold this entry's demand, but only the other entries' shares.
    const share_map held_before = std::exchange(own.held, {});
    const share_grant granted_before = std::exchange(own.granted, {});
    add_to_sums(table, own, 1);
    const bool settled = now - table.leading_since >= options.settling_time;
    const std::size_t divisor = std::max(entry_count, table.entries.size());
    const double even_share = 1.0 / static_cast<double>(divisor);
    share_grant next{.shares = {}, .number = granted_before.number + 1};
    for (const auto& [name, resource] : resources) {
        const double held = value_or_zero(request.held.shares, name);
        const double by_demand =
            share_by_demand(table, options, own, name, resource.usual_demand, divisor);
        const auto others = table.sums.find(name);
        const double held_by_others = others == table.sums.end() ? 0 : others->second.held;
        const double free = std::max(0.0, 1 - held_by_others);
        // Until the other entries have reported their shares, none is raised above an even share.
        const double limit = settled ? free : std::min(free, std::max(held, even_share));
        const double share = rounded(
            whole_units(by_demand * (1 - options.reserved_fraction), limit, resource.unit), 1);
        if (share > 0) {
            next.shares[name] = share;
        }
    }
    add_to_sums(table, own, -1);
    own.held = held_before;
    for (const auto& [name, share] : granted_before.shares) {
        own.held[name] = std::max(value_or_zero(own.held, name), share);
    }
    own.granted = next;
    add_to_sums(table, own, 1);
    return next;
}

void release_shares(share_table& table, const std::string& entry)
{
    const auto it = table.entries.find(entry);
    if (it != table.entries.end()) {
        add_to_sums(table, it->second, -1);
        table.entries.erase(it);
    }
}

}  // namespace balsamdrift
