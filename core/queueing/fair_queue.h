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

/// The backlog of one customer.
struct customer_backlog {
    std::deque<queued_statement> waiting;
    /// Virtual time at which the customer's next statement starts.
    double next_start = 0;
};

/// Start-time fair queue: whatever one customer sends, every customer with waiting statements gets
/// an equal share of the starts.
struct fair_queue {
    std::map<std::string, customer_backlog> customers;
    double virtual_time = 0;
    std::size_t size = 0;
};

/// What the queue can predict about a new statement.
struct wait_estimate {
    /// Time until a new statement of this customer starts.
    duration wait{};
};

/// Adds a statement at the end of its customer's backlog.
void push(fair_queue& queue, queued_statement statement);

/// Removes and returns the next statement, in fair order, for which `startable` holds.
std::optional<queued_statement> pop(fair_queue& queue,
                                    const std::function<bool(const queued_statement&)>& startable);

/// Removes a statement whose caller left. False if it does not wait here.
bool remove(fair_queue& queue, const std::string& customer, std::uint64_t id);

/// Removes and returns the statements whose deadline has passed.
std::vector<queued_statement> take_expired(fair_queue& queue, time_point now);

/// Removes and returns everything.
std::vector<queued_statement> take_all(fair_queue& queue);

/// Predicts the wait of a new statement when `slots` statements run at once, `service_time` each.
wait_estimate estimate_wait(const fair_queue& queue, const std::string& customer, int slots,
                            duration service_time);

}  // namespace balsamdrift
