#include "control/lease_table.h"

#include <algorithm>

namespace balsamdrift {
namespace {

/// Largest drift between the monotonic clocks of two VMs, in thousandths.
constexpr int max_clock_drift_permille = 10;

/// Longest time that passes on this VM's clock while `span` passes on another's.
duration with_drift(duration span) { return span + span * max_clock_drift_permille / 1000; }

/// Returns until when the process may serve under a lease of this leader or of an earlier one.
time_point may_serve_until(const lease_table& table, const replica_id& entry, duration lease)
{
    const time_point earlier_leases_end = table.leading_since + with_drift(lease);
    const auto it = table.leases.find(entry);
    return it == table.leases.end() ? earlier_leases_end
                                    : std::max(earlier_leases_end, it->second.ends_at);
}

}  // namespace

void record_grant(lease_table& table, const replica_id& entry, const entry_lease& reported,
                  duration lease, time_point now)
{
    entry_lease& it = table.leases[entry];
    it.address = reported.address;
    it.origin = reported.origin;
    it.ends_at = now + with_drift(lease);
    it.confirmed_index = std::max(it.confirmed_index, reported.confirmed_index);
    it.draining = reported.draining;
    it.settled_index = std::max(it.settled_index, reported.settled_index);
    it.directory_version = reported.directory_version;
}

std::set<replica_id> live_entries(const lease_table& table, time_point now)
{
    std::set<replica_id> live;
    for (const auto& [entry, lease] : table.leases) {
        if (lease.ends_at > now && !lease.draining) {
            live.insert(entry);
        }
    }
    return live;
}

std::vector<replica_id> expired_entries(const lease_table& table,
                                        const std::vector<replica_id>& registered, duration lease,
                                        time_point now)
{
    std::vector<replica_id> expired;
    for (const replica_id& it : registered) {
        if (may_serve_until(table, it, lease) <= now) {
            expired.push_back(it);
        }
    }
    return expired;
}

bool all_confirmed(const lease_table& table, const std::vector<replica_id>& registered,
                   std::uint64_t index, duration lease, time_point now)
{
    return std::all_of(registered.begin(), registered.end(), [&](const replica_id& it) {
        const auto found = table.leases.find(it);
        const bool confirmed =
            found != table.leases.end() && found->second.confirmed_index >= index;
        return confirmed || may_serve_until(table, it, lease) <= now;
    });
}

bool all_settled(const lease_table& table, const std::map<std::string, entry_record>& registered,
                 std::uint64_t index, duration lease, time_point now)
{
    return std::all_of(registered.begin(), registered.end(), [&](const auto& entry) {
        const replica_id id{entry.first, entry.second.incarnation};
        const auto found = table.leases.find(id);
        const bool settled = found != table.leases.end() && found->second.settled_index >= index;
        return settled || may_serve_until(table, id, lease) <= now;
    });
}

}  // namespace balsamdrift
