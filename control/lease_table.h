#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/consensus/replica_id.h"

namespace balsamdrift {

/// What the leader knows about the lease of one entry process.
struct entry_lease {
    std::string address;
    /// Set when the entry asked through the one at `address`: its own address.
    std::string origin = {};
    /// Until when the entry may serve, seen from the leader: never before the entry's own end.
    time_point ends_at{};
    /// Registry index that the entry confirmed to have in force.
    std::uint64_t index = 0;
    /// True when the entry stops and must not get new items.
    bool draining = false;
    /// No statement runs on the entry under a record of a primary older than this index.
    std::uint64_t settled_index = 0;
};

/// The leases that a leader granted. A new leader knows none and waits a whole lease before it
/// treats an entry as gone.
struct lease_table {
    std::map<replica_id, entry_lease> leases;
    time_point leading_since{};
};

/// Notes a grant. It counts from when the answer leaves, so it ends after the entry's own.
/// `confirmed` holds what the entry said of itself.
void grant(lease_table& table, const replica_id& entry, const entry_lease& confirmed,
           duration lease, time_point now);

/// Entry processes whose lease runs and that may get new items.
std::set<replica_id> live_entries(const lease_table& table, time_point now);

/// Of the registered processes, those that certainly serve no longer.
std::vector<replica_id> expired_entries(const lease_table& table,
                                        const std::vector<replica_id>& registered, duration lease,
                                        time_point now);

/// True when every process that may still serve has confirmed the index.
bool all_confirmed(const lease_table& table, const std::vector<replica_id>& registered,
                   std::uint64_t index, duration lease, time_point now);

/// True when no process that may still serve runs work under records older than the index.
bool all_settled(const lease_table& table, const std::vector<replica_id>& registered,
                 std::uint64_t index, duration lease, time_point now);

}  // namespace balsamdrift
