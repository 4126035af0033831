#include "core/rates/warmup_allocation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamdrift {
namespace {

/// The upper bits of a grant's number are the leader's term.
constexpr unsigned term_shift = 32;

/// Largest demand per second of one entry, and largest limit, that are taken into account.
constexpr double max_rate = 1e6;

/// Allowance for clocks that run at different speeds.
constexpr double drift_factor = 1.01;

int value_or_zero(const std::map<std::string, int>& values, const std::string& key)
{
    const auto it = values.find(key);
    return it == values.end() ? 0 : it->second;
}

void raise(std::map<std::string, int>& bounds, const std::map<std::string, int>& values)
{
    for (const auto& [name, value] : values) {
        bounds[name] = std::max(bounds[name], value);
    }
}

/// Lowers the bounds to `values`. The difference is free from `free_at` on.
void lower(warmup_table& table, std::map<std::string, int>& bounds,
           const std::map<std::string, int>& values, time_point free_at)
{
    for (const auto& [name, bound] : bounds) {
        if (const int amount = bound - value_or_zero(values, name); amount > 0) {
            table.releases.push_back({name, amount, free_at});
        }
    }
    bounds = values;
}

void remove_expired(warmup_table& table, const warmup_options& options,
                    const std::map<std::string, int>& limits, duration validity, time_point now)
{
    for (auto it = table.entries.begin(); it != table.entries.end();) {
        const bool expired = now - it->second.last_request_at > validity;
        if (expired) {
            lower(table, it->second.bounds, {}, now + options.window);
        }
        it = expired ? table.entries.erase(it) : std::next(it);
    }
    std::erase_if(table.releases, [&](const auto& it) { return now >= it.free_at; });
    std::erase_if(table.cold_since, [&](const auto& it) { return !limits.contains(it.first); });
    for (const auto& [name, limit] : limits) {
        table.cold_since.emplace(name, now);
    }
}

/// Takes the request into account: what the entry confirms, or may use otherwise.
void apply_request(warmup_table& table, const warmup_options& options, entry_warmup& own,
                   std::uint64_t incarnation, const warmup_request& request, duration validity,
                   time_point now)
{
    if (own.incarnation != incarnation) {
        // The earlier process may still run until its grant has expired.
        lower(table, own.bounds, {}, now + validity + options.window);
        own = {.incarnation = incarnation};
        if (now < table.leading_since + validity) {
            own.granted = {.per_second = request.held.per_second, .number = request.held.number};
        }
    }
    own.last_request_at = now;
    own.demand.clear();
    for (const auto& [name, demand] : request.demand) {
        own.demand[name] = demand > 0 ? std::min(demand, max_rate) : 0;
    }
    if (request.held.number == own.granted.number) {
        lower(table, own.bounds, own.granted.per_second, now + options.window);
    }
    else {
        raise(own.bounds, request.held.per_second);
        raise(own.bounds, own.granted.per_second);
    }
}

/// What the entry is to get of an instance's limit.
int next_allocation(const warmup_table& table, const std::string& entry,
                    const std::string& instance, int limit, bool may_rise)
{
    std::map<std::string, double> demand;
    int taken = 0;
    for (const auto& [name, it] : table.entries) {
        const auto found = it.demand.find(instance);
        demand[name] = found == it.demand.end() ? 0 : found->second;
        taken += name == entry ? 0 : value_or_zero(it.bounds, instance);
    }
    for (const warmup_release& it : table.releases) {
        taken += it.instance == instance ? it.amount : 0;
    }
    const std::map<std::string, int> targets = divide_by_demand(limit, demand);
    // Nothing is moved unless another entry lacks it, since a move leaves it unused for a time.
    const bool lacks = std::any_of(targets.begin(), targets.end(), [&](const auto& it) {
        const auto& granted = table.entries.at(it.first).granted.per_second;
        return it.first != entry && value_or_zero(granted, instance) < it.second;
    });
    const int current = value_or_zero(table.entries.at(entry).granted.per_second, instance);
    int next = targets.at(entry);
    if (next < current && !lacks) {
        next = current;
    }
    if (!may_rise) {
        next = std::min(next, current);
    }
    return std::min(next, std::max(limit - taken, 0));
}

}  // namespace

int warmup_limit(double rate, const warmup_options& options)
{
    const double limit = rate * options.overage + options.slack;
    return static_cast<int>(std::floor(std::clamp(limit, 0.0, max_rate)));
}

std::map<std::string, int> divide_by_demand(int limit, const std::map<std::string, double>& demand)
{
    double sum = 0;
    for (const auto& [name, it] : demand) {
        sum += it;
    }
    std::map<std::string, int> parts;
    std::vector<std::pair<double, std::string>> remainders;
    int left = limit;
    for (const auto& [name, it] : demand) {
        const double part = sum > 0 ? limit * (it / sum) : 0;
        parts[name] = std::min(static_cast<int>(std::floor(part)), left);
        left -= parts[name];
        if (it > 0) {
            remainders.emplace_back(part - std::floor(part), name);
        }
    }
    std::sort(remainders.begin(), remainders.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    for (std::size_t n = 0; n < remainders.size() && left > 0; ++n, --left) {
        ++parts[remainders[n].second];
    }
    return parts;
}

warmup_grant grant_warmup(warmup_table& table, const warmup_options& options,
                          const std::string& entry, std::uint64_t incarnation,
                          const warmup_request& request, const std::map<std::string, int>& limits,
                          duration validity, time_point now)
{
    const duration longest = scaled(validity, drift_factor);
    remove_expired(table, options, limits, longest, now);
    apply_request(table, options, table.entries[entry], incarnation, request, longest, now);
    entry_warmup& own = table.entries.at(entry);
    const bool settled = now >= table.leading_since + longest + options.window;
    std::map<std::string, int> next;
    for (const auto& [name, limit] : limits) {
        const bool may_rise = settled && now >= table.cold_since.at(name) + options.gathering_time;
        if (const int it = next_allocation(table, entry, name, limit, may_rise); it > 0) {
            next[name] = it;
        }
    }
    // Once the entry has a grant of this leader, it takes none of an earlier leader any more.
    const bool lacks_own_grant = own.granted.number >> term_shift != table.term &&
                                 (!limits.empty() || request.held.number > 0);
    if (next != own.granted.per_second || lacks_own_grant) {
        own.granted = {.per_second = next,
                       .number = (table.term << term_shift) + ++table.last_number};
        raise(own.bounds, next);
    }
    warmup_grant grant = own.granted;
    grant.valid_ms = to_milliseconds(validity).count();
    return grant;
}

}  // namespace balsamdrift
