#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/consensus/replica_id.h"
#include "core/registry/records.h"

namespace balsamdrift {

/// The leader's record of the lease of one entry process.
struct entry_lease {
    /// Fleet address to which grants are sent.
    std::string address;
    /// The entry's own fleet address if the entry at `address` forwards its requests; otherwise
    /// empty.
    std::string origin = {};
    /// Until when the entry may serve, by the leader's clock. Never earlier than the end that the
    /// entry itself computes.
    time_point ends_at{};
    /// Registry index that the entry reported to be in force.
    std::uint64_t confirmed_index = 0;
    /// True once the entry is stopping: it must not be assigned new items.
    bool draining = false;
    /// No statement runs on the entry under a primary record older than this index.
    std::uint64_t settled_index = 0;
    /// Version of the instance directory that the entry has reported.
    std::uint64_t directory_version = 0;
};

/// The leases that this leader granted. A new leader does not know those of earlier leaders, so it
/// waits for a whole lease duration before it considers any entry expired.
struct lease_table {
    std::map<replica_id, entry_lease> leases;
    /// When this leader began to lead.
    time_point leading_since{};
};

/// Records that a lease was granted. It is counted from `now`, when the grant is sent, while the
/// entry counts it from when it sent the request; the leader's record therefore ends later.
/// `reported` holds what the entry reported of itself; its `ends_at` is not used.
void record_grant(lease_table& table, const replica_id& entry, const entry_lease& reported,
                  duration lease, time_point now);

/// Returns the entry processes that hold a lease and may be assigned new items.
std::set<replica_id> live_entries(const lease_table& table, time_point now);

/// Returns those of the registered processes that certainly no longer serve.
std::vector<replica_id> expired_entries(const lease_table& table,
                                        const std::vector<replica_id>& registered, duration lease,
                                        time_point now);

/// True if every registered process that may still serve has confirmed the index.
bool all_confirmed(const lease_table& table, const std::vector<replica_id>& registered,
                   std::uint64_t index, duration lease, time_point now);

/// True if no process in `registered`, by name, that may still serve runs statements under primary
/// records older than the index.
bool all_settled(const lease_table& table, const std::map<std::string, entry_record>& registered,
                 std::uint64_t index, duration lease, time_point now);

}  // namespace balsamdrift
