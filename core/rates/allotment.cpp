#include "core/rates/allotment.h"

#include <algorithm>

namespace balsamdrift {
namespace {

double value_at(const std::map<std::string, double>& values, const std::string& key)
{
    const auto it = values.find(key);
    return it == values.end() ? 0 : it->second;
}

/// What all entries but one may hold of a customer.
double held_by_others(const allotment_table& table, const std::string& self,
                      const std::string& customer)
{
    double sum = 0;
    for (const auto& [name, it] : table.entries) {
        if (name != self) {
            sum += std::max(value_at(it.held, customer), value_at(it.granted, customer));
        }
    }
    return sum;
}

/// The entry's part of the customer's demand; without any demand, an even part.
double wanted_part(const allotment_table& table, const allotment_options& options,
                   const std::string& self, const std::string& customer, double rate,
                   std::size_t entries)
{
    const double floor = rate * options.idle_part / static_cast<double>(entries);
    const auto weight = [&](const entry_allotment& it) {
        return value_at(it.demand, customer) + floor;
    };
    double sum = 0;
    for (const auto& [name, it] : table.entries) {
        sum += weight(it);
    }
    const std::size_t unknown = entries > table.entries.size() ? entries - table.entries.size() : 0;
    sum += floor * static_cast<double>(unknown);
    return sum > 0 ? weight(table.entries.at(self)) / sum : 0;
}

/// Takes over what the entry says of itself.
void note_request(allotment_table& table, const allotment_request& request, time_point now)
{
    entry_allotment& it = table.entries[request.entry];
    if (it.incarnation != request.incarnation) {
        it = {.incarnation = request.incarnation, .held = request.held};
    }
    it.demand = request.demand;
    it.heard_at = now;
    if (it.grant_number == 0 || request.grant_number == it.grant_number) {
        it.held = request.held;
    }
}

}  // namespace

rate_shares grant_shares(allotment_table& table, const allotment_options& options,
                         const allotment_request& request,
                         const std::map<std::string, double>& customers, std::size_t entries,
                         time_point now)
{
    std::erase_if(table.entries,
                  [&](const auto& entry) { return now - entry.second.heard_at > options.silence; });
    note_request(table, request, now);
    const bool settled = now - table.began_at >= options.settle;
    const std::size_t count = std::max(entries, table.entries.size());
    rate_shares granted;
    for (const auto& [customer, rate] : customers) {
        const double held = value_at(request.held, customer);
        const double wanted = wanted_part(table, options, request.entry, customer, rate, count);
        const double free = std::max(0.0, 1 - held_by_others(table, request.entry, customer));
        // Until the others have told what they hold, nobody gets more than it has or an even part.
        const double most = settled ? free : std::min(free, std::max(held, 1.0 / count));
        granted[customer] = std::min(wanted, most);
    }
    entry_allotment& it = table.entries[request.entry];
    for (const auto& [customer, part] : it.granted) {
        it.held[customer] = std::max(value_at(it.held, customer), part);
    }
    it.granted = granted;
    ++it.grant_number;
    return granted;
}

}  // namespace balsamdrift
