#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

#include "base/time.h"

namespace balsamdrift {

/// Parts of each customer's rate and burst, by customer, each between 0 and 1.
using rate_shares = std::map<std::string, double>;

/// What one entry process holds.
struct entry_allotment {
    std::uint64_t incarnation = 0;
    /// Operations per second that callers asked for, by customer.
    std::map<std::string, double> demand;
    /// What the newest grant gave.
    rate_shares granted;
    /// The most that the entry may hold until it confirms the newest grant.
    rate_shares held;
    std::uint64_t grant_number = 0;
    time_point heard_at{};
};

/// How the customers' limits are divided among the entries. The parts that entries may hold never
/// add up to more than the whole, also while grants are on their way or an entry is cut off.
struct allotment_table {
    std::map<std::string, entry_allotment> entries;
    time_point began_at{};
};

/// Settings of the division.
struct allotment_options {
    /// A part that an entry without demand keeps, relative to an even division.
    double idle_part = 0.2;
    /// What a silent entry holds is given to others after this.
    duration silence = seconds(30);
    /// A new leader gives nothing away before the entries have told it what they hold.
    duration settle = seconds(2);
};

/// What an entry tells when it asks.
struct allotment_request {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::map<std::string, double> demand;
    /// What the entry holds, and the number of the grant that it came with.
    rate_shares held;
    std::uint64_t grant_number = 0;
};

/// Grants an entry its parts by demand. `customers` gives each customer's rate in operations per
/// second; `entries` is how many entry processes are known.
rate_shares grant_shares(allotment_table& table, const allotment_options& options,
                         const allotment_request& request,
                         const std::map<std::string, double>& customers, std::size_t entries,
                         time_point now);

}  // namespace balsamdrift
