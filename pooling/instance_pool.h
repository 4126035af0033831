#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/instances/instance_directory.h"
#include "core/queueing/concurrency_limit.h"
#include "core/rates/connection_budget.h"
#include "core/routing/placement.h"
#include "core/sessions/log_position.h"
#include "pooling/pooled_connection.h"

namespace balsamdrift {

/// Settings of a pool.
struct pool_options {
    /// Weight of the newest statement in the latency estimate.
    double latency_weight = 0.1;
    /// Latency estimate of an instance that has not answered a statement yet.
    duration initial_latency = milliseconds(20);
    /// An instance that cannot be reached is not used for `min_backoff`. The time doubles with each
    /// further failure, up to `max_backoff`.
    duration min_backoff = milliseconds(100);
    duration max_backoff = milliseconds(1600);
    /// After a replica refused a read because it lags, it gets only reads whose position it is
    /// known to have for `min_lagging_backoff`. The time doubles with each further refusal, up to
    /// `max_lagging_backoff`: each refused read has cost a connection and one of the caller's
    /// attempts.
    duration min_lagging_backoff = milliseconds(100);
    duration max_lagging_backoff = milliseconds(800);
    /// Limits of the starts on an instance that answered BUSY because its queue is full.
    limit_options limits;
    /// Work that replicas can run keeps off the primary for this long after more urgent work was
    /// delayed there, which covers several answers of the primary.
    duration primary_delay = milliseconds(300);
    /// After an instance refused a connection because it has too many, no further one is opened for
    /// `min_full_backoff`. The time doubles with each further refusal, up to `max_full_backoff`.
    duration min_full_backoff = milliseconds(30);
    duration max_full_backoff = milliseconds(240);
    /// Limits of what is kept prepared on each connection.
    prepared_limits prepared;
};

/// This VM's connections to one instance, and the state of the instance as this VM sees it.
struct instance_pool {
    /// Newest heartbeat of the instance in control's directory. `leaving` is also set when the
    /// registry says that the instance is leaving.
    instance_heartbeat heartbeat;
    std::vector<pooled_connection_ptr> connections;
    /// Statements and transactions sent to the instance since demand was last measured.
    int dispatch_count = 0;
    /// Newest position that the instance reported, and the generation in which it did.
    log_position position;
    std::uint64_t position_generation = 0;
    /// Moving average of the latency of statements; zero until the first one.
    duration latency{};
    /// When the newest latency was recorded; the clock's epoch before the first statement.
    time_point latency_recorded_at{};
    /// No statement is sent to the instance before this time.
    time_point backoff_until{};
    /// Backoff after the newest failure to reach the instance; zero once it has answered again.
    duration backoff{};
    /// When the instance first could not be reached; valid while `backoff` is not zero.
    time_point unreachable_since{};
    /// What BUSY answers have taught about how much work the instance takes, by urgency.
    instance_limit limit;
    /// Until this time the instance gets only reads whose position it is known to have.
    time_point lagging_until{};
    /// Backoff after the newest refusal of that kind; zero once the instance served a read whose
    /// position it was not known to have.
    duration lagging_backoff{};
    /// Until this time no connection is opened, because the instance has too many.
    time_point full_until{};
    /// Backoff after the newest refusal of that kind; zero once the instance accepted a connection.
    duration full_backoff{};
    /// How many connections may be borrowed from the instance.
    borrow_limit borrowing;
    /// When the instance last accepted a connection or answered a statement.
    time_point last_served_at{};
    /// When the instance last could not be reached, broke a connection, or, as the recorded
    /// primary, answered that it is read-only.
    time_point last_failed_at{};
    /// When this VM learned that the instance is leaving.
    time_point leaving_since{};
    /// When statements and transactions were started on it in the last second while it was cold.
    std::deque<time_point> cold_starts;
    /// Since when control's directory lacks the instance; the clock's epoch while it is listed.
    time_point missing_since{};
};

/// Number of connections in use, each by one statement or transaction.
int running_count(const instance_pool& pool);

/// What it takes to get a connection for a session with the given customer and values.
connection_availability availability_of(const instance_pool& pool, const std::string& customer,
                                        const session_values& values,
                                        const connection_budget& budget, time_point now);

/// True if the connection has a value that the session has not set to the same. A single value
/// cannot be unset, so all values and prepared statements must be dropped before the session may
/// use it.
bool must_discard(const pooled_connection& connection, const session_values& values);

/// Returns the customer's idle connection that needs the fewest set-up statements for the session,
/// or null. `prepared` is the prepared statement to run; null if there is none.
pooled_connection_ptr find_fitting_connection(const instance_pool& pool,
                                              const std::string& customer,
                                              const session_values& values,
                                              const prepared_statement* prepared);

/// Returns the least recently used idle connection, or null.
pooled_connection_ptr find_replaceable_connection(const instance_pool& pool);

/// Adds the latency of a statement to the estimate, and records that the instance was reached.
void record_latency(instance_pool& pool, const pool_options& options, duration latency,
                    time_point now);

/// Records that the instance could not be reached, and extends its backoff.
void record_unreachable(instance_pool& pool, const pool_options& options, time_point now);

/// Records that the instance refused a read because it lags.
void record_lagging(instance_pool& pool, const pool_options& options, time_point now);

/// Records that the instance served a read whose position it was not known to have.
void record_caught_up(instance_pool& pool);

/// Records that the instance refused a connection because it has too many.
void record_full(instance_pool& pool, const pool_options& options, time_point now);

/// Records that the instance answered, and ends its backoff.
void record_reachable(instance_pool& pool, time_point now);

}  // namespace balsamdrift
