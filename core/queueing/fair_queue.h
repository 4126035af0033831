#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift {

/// A statement that waits for a connection.
struct queued_statement {
    std::uint64_t id = 0;
    std::string customer;
    time_point deadline{};
};

/// The waiting statements of one customer.
struct customer_backlog {
    std::deque<queued_statement> waiting;
    /// Virtual time at which the customer's next statement starts.
    double next_start = 0;
};

/// Start-time fair queue. Every customer with waiting statements gets an equal share of the starts,
/// regardless of how many statements each one sends.
struct fair_queue {
    std::map<std::string, customer_backlog> customers;
    /// Latest virtual start time of the statements started so far.
    double virtual_time = 0;
    std::size_t size = 0;
};

/// Prediction for a new statement.
struct wait_estimate {
    /// Time until the statement starts.
    duration wait{};
};

/// Adds a statement at the end of its customer's backlog.
void push(fair_queue& queue, queued_statement statement);

/// Removes and returns the next statement in fair order for which `startable` is true. Only the
/// first statements of each customer are considered, up to a limit.
std::optional<queued_statement> pop(fair_queue& queue,
                                    const std::function<bool(const queued_statement&)>& startable);

/// Removes a statement, for example when its caller has disconnected. False if it is not queued.
bool remove(fair_queue& queue, const std::string& customer, std::uint64_t id);

/// Removes and returns the statements whose deadline has passed.
std::vector<queued_statement> take_expired(fair_queue& queue, time_point now);

/// Removes and returns all statements.
std::vector<queued_statement> take_all(fair_queue& queue);

/// Predicts the wait of a new statement if `slots` statements run in parallel and each takes
/// `service_time`.
wait_estimate estimate_wait(const fair_queue& queue, const std::string& customer, int slots,
                            duration service_time);

}  // namespace balsamdrift
