#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "core/queueing/decayed_count.h"

namespace balsamdrift {

// Load pattern: a burst of the least urgent kind at 2.4 times its rate for 6 s, while a few
// customers send 4 to 6 times their usual rate. What waits at an entry has to be started in the
// order in which it is worth most to callers, and what cannot be served in time refused at once.

/// Settings of the order and of the queue.
struct shedding_options {
    /// Fraction of the starts that each priority gets while it waits, so that no kind starves.
    double min_start_fraction = 0.1;
    /// Most statements that wait at one entry for one service. At the slowest kind's objective an
    /// entry does not start more than this within it.
    int max_waiting = 64;
    /// Time constants of a customer's present and usual rate. The first spans a few statements of a
    /// customer at one entry, the second several bursts.
    duration present_time_constant = seconds(2);
    duration usual_time_constant = seconds(30);
    /// Number of statements that a customer may send at any time without being above its share, so
    /// that a few random arrivals do not count as a burst.
    double excess_allowance = 1;
};

/// A statement that waits for an instance.
struct waiting_statement {
    /// Number of the session.
    std::uint64_t number = 0;
    /// Lower values are more urgent.
    int priority = 0;
    /// When the statement arrived, or the caller was first refused if it came back on time.
    time_point arrived_at{};
    /// Time limit for the start such that the latency objective can still be met.
    time_point objective_start{};
    /// How far the customer is above its usual rate.
    int excess = 0;
};

/// True if `left` is served before `right`: by priority, then whether the latency objective can
/// still be met, then by the customer's excess, then by arrival.
bool is_served_before(const waiting_statement& left, const waiting_statement& right,
                      time_point now);

/// Starts that are due to priorities that waited while others were started, by priority.
struct start_credits {
    std::map<int, double> by_priority;
};

/// Sorts statements in the order of service. The first statement of a priority with a whole credit
/// comes before all others.
void sort_for_service(std::vector<waiting_statement>& waiting, const start_credits& credits,
                      time_point now);

/// Records a start of `started` while statements with these priorities waited.
void record_start(start_credits& credits, const shedding_options& options, int started,
                  const std::vector<waiting_statement>& waiting);

/// True if a start of this priority is due.
bool has_credit(const start_credits& credits, int priority);

/// Chooses the statement that is refused in favour of one that arrives at a full queue: the last
/// one in the order of service, if it is less urgent. Nothing if the arriving statement is refused.
std::optional<std::uint64_t> choose_displaced(const std::vector<waiting_statement>& waiting,
                                              const waiting_statement& arriving, time_point now);

/// Statements of one customer that arrived at this entry.
struct customer_demand {
    decayed_count present;
    decayed_count usual;
    time_point first_at{};
};

/// Records a statement of the customer.
void record_arrival(customer_demand& demand, const shedding_options& options, time_point now);

/// How far the customer is above its usual rate: 0 below twice that rate, 1 from two times, 2 from
/// four times, 3 from eight times.
int excess_level(const customer_demand& demand, const shedding_options& options, time_point now);

}  // namespace balsamdrift
