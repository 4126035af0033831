#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift {

/// Distance between this VM and an instance.
enum class proximity : std::uint8_t { same_failure_domain, same_region, other_region };

/// What it takes to get a connection to an instance that fits the customer and its session values.
enum class connection_availability : std::uint8_t {
    /// An idle connection fits the customer and its session values.
    ready,
    /// A connection can be opened within this VM's share.
    can_open,
    /// An idle connection of another customer must be closed before a new one is opened.
    must_replace,
    /// All connections of this VM's share are in use, or the instance accepts no more for now.
    none,
};

/// An instance whose data is new enough for the statement.
struct placement_candidate {
    std::string instance;
    proximity distance = proximity::same_failure_domain;
    bool is_primary = false;
    connection_availability availability = connection_availability::none;
    /// Statements of this VM that run on the instance now.
    int running = 0;
    /// Estimate of the time that the instance takes for a statement.
    duration latency{};
};

/// Settings of placement. Each cost is the extra latency that is accepted to avoid the case.
struct placement_options {
    /// Time that it takes an instance to open a connection.
    duration connect_cost = milliseconds(12);
    /// Extra cost of a connection that replaces one of another customer, which has to connect
    /// again.
    duration replace_cost = milliseconds(12);
    /// Cost of a read on the primary: it takes a slot from writes, which can run nowhere else.
    duration primary_cost = milliseconds(15);
    /// Cost of another failure domain in the same region: traffic between failure domains is
    /// charged.
    duration same_region_cost = milliseconds(10);
    /// Cost of another region: traffic is charged at a higher rate and the round trip is longer.
    duration other_region_cost = milliseconds(60);
};

/// Returns the candidate with the lowest cost for a statement, or nothing when no candidate has a
/// connection available and the statement has to wait. The latency of an instance is part of its
/// cost, so a slow instance receives fewer statements.
std::optional<std::string> choose_placement(const std::vector<placement_candidate>& candidates,
                                            const placement_options& options);

}  // namespace balsamdrift
