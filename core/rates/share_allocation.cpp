#include "core/rates/share_allocation.h"

#include <algorithm>

namespace balsamdrift {
namespace {

double value_at(const std::map<std::string, double>& values, const std::string& key)
{
    const auto it = values.find(key);
    return it == values.end() ? 0 : it->second;
}

/// What all entries but one may hold of a thing.
double held_by_others(const share_table& table, const std::string& self, const std::string& name)
{
    double sum = 0;
    for (const auto& [entry, it] : table.entries) {
        if (entry != self) {
            sum += std::max(value_at(it.held, name), value_at(it.granted.shares, name));
        }
    }
    return sum;
}

/// The entry's part by demand. Entries whose demand is not known count as even ones.
double wanted_part(const share_table& table, const share_allocation_options& options,
                   const std::string& self, const std::string& name, double usual,
                   std::size_t entries)
{
    const double even = usual / static_cast<double>(entries);
    const double floor = even * options.idle_part;
    const auto weight = [&](const entry_shares& it) {
        return it.demand.contains(name) ? value_at(it.demand, name) + floor : even;
    };
    double sum = 0;
    for (const auto& [entry, it] : table.entries) {
        sum += weight(it);
    }
    const std::size_t unknown = entries > table.entries.size() ? entries - table.entries.size() : 0;
    sum += even * static_cast<double>(unknown);
    return sum > 0 ? weight(table.entries.at(self)) / sum : 0;
}

/// Takes over what the entry says of itself.
void note_claim(share_table& table, const std::string& entry, std::uint64_t incarnation,
                const share_request& claim, time_point now)
{
    entry_shares& it = table.entries[entry];
    if (it.incarnation != incarnation) {
        it = {.incarnation = incarnation, .held = claim.held.shares};
    }
    it.demand = claim.demand;
    it.heard_at = now;
    if (it.granted.number == 0 || claim.held.number == it.granted.number) {
        it.held = claim.held.shares;
    }
}

}  // namespace

share_grant grant_shares(share_table& table, const share_allocation_options& options,
                         const std::string& entry, std::uint64_t incarnation,
                         const share_request& claim, const std::map<std::string, double>& whole,
                         std::size_t entries, time_point now)
{
    std::erase_if(table.entries,
                  [&](const auto& other) { return now - other.second.heard_at > options.silence; });
    note_claim(table, entry, incarnation, claim, now);
    const bool settled = now - table.leading_since >= options.settle;
    const std::size_t count = std::max(entries, table.entries.size());
    entry_shares& own = table.entries.at(entry);
    share_grant next{.shares = {}, .number = own.granted.number + 1};
    for (const auto& [name, usual] : whole) {
        const double held = value_at(claim.held.shares, name);
        const double wanted = wanted_part(table, options, entry, name, usual, count);
        const double free = std::max(0.0, 1 - held_by_others(table, entry, name));
        // Until the others have told what they hold, nobody gets more than it has or an even part.
        const double even = 1.0 / static_cast<double>(count);
        const double most = settled ? free : std::min(free, std::max(held, even));
        next.shares[name] = std::min(wanted * (1 - options.reserved_fraction), most);
    }
    for (const auto& [name, part] : own.granted.shares) {
        own.held[name] = std::max(value_at(own.held, name), part);
    }
    own.granted = next;
    return next;
}

void release_shares(share_table& table, const std::string& entry) { table.entries.erase(entry); }

}  // namespace balsamdrift
