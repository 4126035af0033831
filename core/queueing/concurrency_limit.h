#pragma once

#include <map>

#include "base/time.h"

namespace balsamdrift {

// Load pattern: about a hundred entries share an instance, which runs a few statements at a time,
// queues some more in the order of arrival and answers BUSY when that queue is full. Each entry
// sends it about one statement a second. During a burst of the least urgent kind, urgent work is
// delayed behind it in the instance's queue, where no entry can reorder anything. Entries can only
// send the instance less of what is not urgent. Since an entry has fewer than one statement in
// progress there, its concurrency limit is a fraction, and is kept as the minimum interval between
// two starts: the hold time divided by the limit.

/// Settings of the limits.
struct limit_options {
    /// First interval after BUSY without more urgent demand: a few statements finish within it.
    duration base_interval = milliseconds(30);
    /// First interval for the most urgent kind while there is less urgent demand. It is about the
    /// time in which one of an instance's slots becomes free.
    duration urgent_interval = milliseconds(10);
    /// First and longest interval of less urgent work, in latency objectives of its kind, while the
    /// more urgent demand is at least `full_reserve_share`. In the first, work that waits can start
    /// several times within its objective; in the longest, once.
    double first_interval_objectives = 0.25;
    double max_interval_objectives = 1;
    /// The interval of less urgent work grows in proportion to the share of more urgent demand, up
    /// to this share.
    double full_reserve_share = 0.2;
    /// Longest interval without more urgent demand, in base intervals.
    int max_base_intervals = 4;
    /// Number of consecutive BUSY answers for which the interval doubles.
    int max_level = 5;
    /// A limit ends without BUSY or a start for this long. An instance works off a full queue
    /// within it.
    duration expiry = seconds(3);
    /// An answer that took longer than this fraction of the most urgent objective shows that the
    /// instance still has a queue that leaves urgent work no time for a second attempt. A limit is
    /// not relaxed by it.
    double slow_fraction = 0.25;
};

/// What an entry has learned about work of one priority on an instance.
struct urgency_limit {
    /// Number of BUSY answers, less the number of answers in good time; at least zero.
    int level = 0;
    time_point last_busy_at{};
    time_point last_start_at{};
};

/// The limits of one entry for one instance, by priority, of which lower values are more urgent.
/// Empty until the instance answers BUSY.
struct instance_limit {
    std::map<int, urgency_limit> by_priority;
};

/// Work that is to start on an instance.
struct limited_work {
    int priority = 0;
    duration latency_objective{};
    /// Fractions of the recent demand for the service that are more and less urgent than this work.
    double more_urgent = 0;
    double less_urgent = 0;
    /// How far the customer is above its usual rate, see excess_level().
    int excess = 0;
};

/// Minimum interval between two starts of such work on the instance; zero if there is no limit.
duration start_interval(const instance_limit& limit, const limit_options& options,
                        const limited_work& work);

/// When the next start of such work is allowed; the clock's epoch if there is no limit. Limits
/// depend only on BUSY answers to work of the same or a higher urgency.
time_point opens_at(const instance_limit& limit, const limit_options& options,
                    const limited_work& work);

/// Records that the instance answered BUSY to work of this priority.
void record_busy(instance_limit& limit, const limit_options& options, int priority, time_point now);

/// Records a start on the instance. No effect without a limit.
void record_start(instance_limit& limit, int priority, time_point now);

/// Records that the instance ran work of this priority within `latency`. Relaxes the limit of this
/// and more urgent priorities, unless the answer was slow compared with `urgent_objective`, the
/// shortest latency objective of the service's kinds.
void record_served(instance_limit& limit, const limit_options& options, int priority,
                   duration latency, duration urgent_objective);

/// Removes limits that are fully relaxed, or that neither BUSY nor a start has used for too long.
void expire_limits(instance_limit& limit, const limit_options& options, time_point now);

}  // namespace balsamdrift
