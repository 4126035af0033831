#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

#include "base/time.h"

namespace balsamdrift {

/// Parts of what is divided among the entries, by name, each between 0 and 1. Instances'
/// connections are divided by it.
using share_parts = std::map<std::string, double>;

/// The parts that an entry may use, and the number of the grant that they came with.
struct share_grant {
    share_parts shares;
    std::uint64_t number = 0;
    MSGPACK_DEFINE(shares, number)
};

/// What an entry needs, per second and by name, and the parts that it holds. A name that is missing
/// from the demand has not been measured yet.
struct share_request {
    std::map<std::string, double> demand;
    share_grant held;
    MSGPACK_DEFINE(demand, held)
};

/// What one entry process holds.
struct entry_shares {
    std::uint64_t incarnation = 0;
    std::map<std::string, double> demand;
    /// What the newest grant gave.
    share_grant granted;
    /// The most that the entry may hold until it confirms the newest grant.
    share_parts held;
    time_point heard_at{};
};

/// How things are divided among the entries. The parts that entries may hold never add up to more
/// than the whole, also while grants are on their way or an entry is cut off.
struct share_table {
    std::map<std::string, entry_shares> entries;
    time_point leading_since{};
};

/// Settings of the division.
struct share_allocation_options {
    /// A part that an entry without demand keeps, relative to an even division.
    double idle_part = 0.2;
    /// Part of the whole that is left for entries that start, while others hold the rest.
    double reserved_fraction = 0.08;
    /// What a silent entry holds is given to others after this.
    duration silence = seconds(30);
    /// A new leader gives nothing away before the entries have told it what they hold.
    duration settle = seconds(2);
};

/// Grants an entry process its parts by demand. `whole` names what is divided, with the demand of
/// all entries that is usual for it; `entries` is how many entry processes are known.
share_grant grant_shares(share_table& table, const share_allocation_options& options,
                         const std::string& entry, std::uint64_t incarnation,
                         const share_request& claim, const std::map<std::string, double>& whole,
                         std::size_t entries, time_point now);

/// Frees what an entry held that has ended for certain.
void release_shares(share_table& table, const std::string& entry);

}  // namespace balsamdrift
