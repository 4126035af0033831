#include "fleet/report_delta.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace balsamdrift {
namespace {

/// Shares are multiples of the inverse of this, as share_allocation rounds them.
constexpr double share_units = 1U << 24U;

/// Demand is sent in units of a hundredth of a statement per second.
constexpr double demand_units = 100;

/// Largest number of names in a table, which limits what a broken sender can make a receiver store.
constexpr std::size_t max_names = 65536;

/// Finds the index of names, and adds those that the table does not have yet.
class name_table {
public:
    explicit name_table(const std::vector<std::string>& known) : known_count_(known.size())
    {
        for (const std::string& it : known) {
            indexes_.emplace(it, static_cast<std::uint32_t>(indexes_.size()));
        }
    }

    std::uint32_t index_of(const std::string& name)
    {
        const auto next = static_cast<std::uint32_t>(known_count_ + added_.size());
        const auto [it, inserted] = indexes_.emplace(name, next);
        if (inserted) {
            added_.push_back(name);
        }
        return it->second;
    }

    /// Names that were not known at construction, in the order of their indexes.
    std::vector<std::string> added() const { return added_; }

private:
    std::size_t known_count_;
    std::map<std::string, std::uint32_t> indexes_;
    std::vector<std::string> added_;
};

std::uint32_t in_units(double value, double units)
{
    const double scaled = std::round(value * units);
    return static_cast<std::uint32_t>(std::clamp(scaled, 0.0, 4294967295.0));
}

bool is_exact_share(double share)
{
    return in_units(share, share_units) / share_units == share;  // NOLINT: exact by intention
}

/// Adds the values to `changed` that differ from the base as `differs` defines it, and those that
/// are missing now as zero.
template<class Differs>
void add_changes(name_table& names, const std::map<std::string, double>& base,
                 const std::map<std::string, double>& now, double units, const Differs& differs,
                 indexed_values& changed)
{
    for (const auto& [name, value] : now) {
        const auto before = base.find(name);
        if (before == base.end() || differs(before->second, value)) {
            changed[names.index_of(name)] = in_units(value, units);
        }
    }
    for (const auto& [name, value] : base) {
        if (!now.contains(name)) {
            changed[names.index_of(name)] = 0;
        }
    }
}

/// Applies changes to the values. False if an index has no name.
bool apply_changes(const std::vector<std::string>& names, const indexed_values& changed,
                   double units, std::map<std::string, double>& values)
{
    for (const auto& [index, value] : changed) {
        if (index >= names.size()) {
            return false;
        }
        if (value == 0) {
            values.erase(names[index]);
        }
        else {
            values[names[index]] = value / units;
        }
    }
    return true;
}

}  // namespace

numbered_report number_report(std::uint64_t number, entry_report report)
{
    std::set<std::string> names;
    for (const primary_evidence& it : report.primaries) {
        names.insert(it.service);
        names.insert(it.instance);
    }
    for (const auto& [name, value] : report.connections.demand) {
        names.insert(name);
    }
    for (const auto& [name, value] : report.connections.held.shares) {
        names.insert(name);
    }
    return {number, std::move(report), {names.begin(), names.end()}};
}

report_delta make_delta(const numbered_report& base, std::uint64_t number,
                        const entry_report& report, const report_delta_options& options)
{
    name_table names(base.names);
    report_delta delta{.number = number, .base = base.number, .rest = report};
    delta.rest.primaries.clear();
    delta.rest.connections.demand.clear();
    delta.rest.connections.held.shares.clear();
    for (const primary_evidence& it : report.primaries) {
        delta.primaries.push_back({names.index_of(it.service), names.index_of(it.instance),
                                   it.failing, it.since_last_served});
    }
    const auto demand_differs = [&](double before, double now) {
        return std::abs(now - before) >
               std::max(options.min_demand_change, options.min_relative_demand_change * before);
    };
    add_changes(names, base.report.connections.demand, report.connections.demand, demand_units,
                demand_differs, delta.demand);
    add_changes(names, base.report.connections.held.shares, report.connections.held.shares,
                share_units, std::not_equal_to<>(), delta.held);
    delta.names = names.added();
    return delta;
}

std::optional<numbered_report> apply_delta(const numbered_report& base, const report_delta& delta)
{
    if (delta.base != base.number || base.names.size() + delta.names.size() > max_names) {
        return std::nullopt;
    }
    numbered_report out{delta.number, delta.rest, base.names};
    out.names.insert(out.names.end(), delta.names.begin(), delta.names.end());
    for (const indexed_evidence& it : delta.primaries) {
        if (it.service >= out.names.size() || it.instance >= out.names.size()) {
            return std::nullopt;
        }
        out.report.primaries.push_back({.service = out.names[it.service],
                                        .instance = out.names[it.instance],
                                        .failing = it.failing,
                                        .since_last_served = it.since_last_served});
    }
    share_request& connections = out.report.connections;
    connections.demand = base.report.connections.demand;
    connections.held.shares = base.report.connections.held.shares;
    if (!apply_changes(out.names, delta.demand, demand_units, connections.demand) ||
        !apply_changes(out.names, delta.held, share_units, connections.held.shares)) {
        return std::nullopt;
    }
    return out;
}

std::optional<share_changes> make_share_changes(const numbered_report& report,
                                                const share_map& granted)
{
    const bool exact = std::all_of(granted.begin(), granted.end(),
                                   [](const auto& it) { return is_exact_share(it.second); });
    if (!exact) {
        return std::nullopt;
    }
    name_table names(report.names);
    share_changes changes{.base = report.number};
    add_changes(names, report.report.connections.held.shares, granted, share_units,
                std::not_equal_to<>(), changes.shares);
    changes.names = names.added();
    return changes;
}

std::optional<share_map> apply_share_changes(const numbered_report& report,
                                             const share_changes& changes)
{
    if (changes.base != report.number) {
        return std::nullopt;
    }
    std::vector<std::string> names = report.names;
    names.insert(names.end(), changes.names.begin(), changes.names.end());
    share_map shares = report.report.connections.held.shares;
    if (!apply_changes(names, changes.shares, share_units, shares)) {
        return std::nullopt;
    }
    return shares;
}

}  // namespace balsamdrift
