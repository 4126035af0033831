#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift {

/// Settings of the division of a cold instance's limit.
///
/// Load pattern: an instance starts with empty caches and is at once the least loaded one of its
/// service, for up to a hundred entries that know nothing of each other.
struct warmup_options {
    /// Part of the service's warm-up rate that may be used; 1 for all of it.
    double overage = 1;
    /// Statements per second in addition.
    double slack = 0;
    /// The limit holds over any span of this length. An allocation that an entry gave up is free
    /// once this has passed, since what the entry started before still counts.
    duration window = seconds(1);
    /// How long entries report demand for an instance that has just become cold before it is
    /// divided, so that the first one to ask does not get all of it. Entries report twice a second.
    duration gathering_time = milliseconds(600);
};

/// Whole statements per second that all entries together may start on a cold instance. `rate` is
/// the warm-up rate of its service, per second.
int warmup_limit(double rate, const warmup_options& options);

/// Statements per second that one entry may start on each cold instance.
struct warmup_grant {
    std::map<std::string, int> per_second;
    /// Grows with each change. Its upper bits are the leader's term.
    std::uint64_t number = 0;
    /// Milliseconds for which the grant may be used, from when the entry asked for it.
    std::int64_t valid_ms = 0;
    MSGPACK_DEFINE(per_second, number, valid_ms)
};

/// What an entry reports: its demand per second for each cold instance, and the grant it uses.
struct warmup_request {
    std::map<std::string, double> demand;
    warmup_grant held;
    MSGPACK_DEFINE(demand, held)
};

/// The grants of one entry process.
struct entry_warmup {
    std::uint64_t incarnation = 0;
    std::map<std::string, double> demand;
    /// The newest grant.
    warmup_grant granted;
    /// Upper bounds of what the entry may use until it confirms the newest grant.
    std::map<std::string, int> bounds;
    time_point last_request_at{};
};

/// A part of an instance's limit that an entry gave up and that is not yet free.
struct warmup_release {
    std::string instance;
    int amount = 0;
    time_point free_at{};
};

/// The grants of all entries. What they may use of an instance never adds up to more than its
/// limit, also when grants are delayed or lost, an entry is cut off, or the leader changes.
struct warmup_table {
    std::map<std::string, entry_warmup> entries;
    std::vector<warmup_release> releases;
    /// When each instance was first seen to be cold.
    std::map<std::string, time_point> cold_since;
    /// When this leader began to lead, and its term.
    time_point leading_since{};
    std::uint64_t term = 0;
    std::uint64_t last_number = 0;
};

/// Grants an entry process its part of the limits. `limits` holds the limit of each cold instance.
/// `validity` is how long an entry may use a grant without a new one; a new leader raises no grant
/// for that time, since it does not know what entries got from the earlier leader.
warmup_grant grant_warmup(warmup_table& table, const warmup_options& options,
                          const std::string& entry, std::uint64_t incarnation,
                          const warmup_request& request, const std::map<std::string, int>& limits,
                          duration validity, time_point now);

/// An instance's limit in whole statements by the entries' demand, largest remainders first.
std::map<std::string, int> divide_by_demand(int limit, const std::map<std::string, double>& demand);

}  // namespace balsamdrift
