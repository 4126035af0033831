#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

#include "base/time.h"

namespace balsamdrift {

/// Shares of resources by name, each a fraction between 0 and 1 of the whole. The connections that
/// instances accept are divided among the entries in this way.
using share_map = std::map<std::string, double>;

/// The shares that an entry may use, and the number of the grant.
struct share_grant {
    share_map shares;
    std::uint64_t number = 0;
    MSGPACK_DEFINE(shares, number)
};

/// An entry's demand per second by name, and the grant that it holds. Names without demand are
/// missing.
struct share_request {
    std::map<std::string, double> demand;
    share_grant held;
    /// False while the entry has not measured its demand yet.
    bool measured = false;
    MSGPACK_DEFINE(demand, held, measured)
};

/// A resource that is divided into shares.
struct divided_resource {
    /// Usual demand of all entries together.
    double usual_demand = 0;
    /// Shares are multiples of this, for example one connection, because a part of it is useless.
    /// Smaller shares are not granted, so that grants stay short when there are many entries. Zero
    /// if every share is useful.
    double unit = 0;
};

/// The shares of one entry process.
struct entry_shares {
    std::uint64_t incarnation = 0;
    bool measured = false;
    std::map<std::string, double> demand;
    /// The newest grant.
    share_grant granted;
    /// Upper bounds of the shares that the entry may hold until it confirms the newest grant.
    share_map held;
    time_point last_request_at{};
};

/// Sums over the entries of a share table for one name.
struct share_sums {
    /// Upper bound of the shares that the entries may hold together.
    double held = 0;
    double demand = 0;
};

/// The shares of all entries. The shares of a name that entries may hold never add up to more than
/// the whole, even if grants are delayed or lost or an entry is cut off.
struct share_table {
    std::map<std::string, entry_shares> entries;
    /// When this leader began to lead.
    time_point leading_since{};
    /// Running sums by name, so that the work for a request does not grow with the number of
    /// entries.
    std::map<std::string, share_sums> sums;
    /// Number of entries that have measured their demand.
    std::size_t measured_entries = 0;
    /// When entries that sent no request for long are next removed.
    time_point next_expiry_at{};
};

/// Settings of the allocation.
struct share_allocation_options {
    /// Share that an entry without demand keeps, relative to an even share.
    double idle_fraction = 0.2;
    /// Fraction of the whole that is kept free, so that entries that start get a share while the
    /// others still hold the rest.
    double reserved_fraction = 0.08;
    /// The shares of an entry that sent no request for this long are granted to others.
    duration entry_timeout = seconds(30);
    /// For this long after its election, a leader does not yet know the shares that entries hold
    /// and raises no share above an even one.
    duration settling_time = seconds(2);
};

/// Grants an entry process its shares of the resources by demand. `entry_count` is the number of
/// known entry processes.
share_grant grant_shares(share_table& table, const share_allocation_options& options,
                         const std::string& entry, std::uint64_t incarnation,
                         const share_request& request,
                         const std::map<std::string, divided_resource>& resources,
                         std::size_t entry_count, time_point now);

/// Frees the shares of an entry that is known to have ended.
void release_shares(share_table& table, const std::string& entry);

}  // namespace balsamdrift
