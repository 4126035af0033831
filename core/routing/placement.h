#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift {

/// How near an instance is.
enum class proximity : std::uint8_t { same_failure_domain, same_region, other_region };

/// What it takes to get a connection to an instance for the customer and its session values.
enum class connection_availability : std::uint8_t {
    /// An idle connection fits as it is.
    ready,
    /// A connection can be opened within this VM's share.
    can_open,
    /// An idle connection of another customer must be closed first.
    must_replace,
    /// All connections of the share are in use.
    none,
};

/// An instance that may serve a statement as far as its data goes.
struct placement_candidate {
    std::string instance;
    proximity distance = proximity::same_failure_domain;
    bool is_primary = false;
    connection_availability availability = connection_availability::none;
    /// Statements of this VM that run there.
    int running = 0;
    /// How long statements took there lately.
    duration latency{};
};

/// Settings of placement. The weights are latencies that are accepted to avoid something else.
struct placement_options {
    /// Time that an instance spends on a new connection.
    duration connect_cost = milliseconds(12);
    /// Extra cost of a connection that replaces another one: the other customer connects again.
    duration replace_cost = milliseconds(12);
    /// A read at the primary takes a slot that only writes could not take elsewhere.
    duration primary_cost = milliseconds(15);
    /// Bytes between failure domains of one region are priced by the operators.
    duration same_region_cost = milliseconds(10);
    /// Bytes between regions are priced higher, and the round trip is long.
    duration other_region_cost = milliseconds(60);
};

/// The candidate with the lowest cost for a statement, or nothing when none has a connection to
/// give: the statement waits then. A slow instance makes itself expensive and so gets less work.
std::optional<std::string> choose_placement(const std::vector<placement_candidate>& candidates,
                                            const placement_options& options);

}  // namespace balsamdrift
