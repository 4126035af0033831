#pragma once

#include "base/time.h"

namespace balsamdrift {

/// Settings of is_dial_overdue().
struct connect_options {
    /// A connection that is not established within this time is dialled anew. The opening packet to
    /// a VM that is still starting is lost, and the operating system repeats it only after a
    /// second; this covers ten round trips between regions.
    duration timeout = milliseconds(250);
    /// The same once the peer has sent something since the dial: it is up, and its answers wait for
    /// this connection. Covers three round trips between regions.
    duration timeout_of_running_peer = milliseconds(80);
    /// Both times double with each further dial, up to this, so that a slow VM is not dialled anew
    /// before it can answer.
    duration max_timeout = milliseconds(1000);
    /// A peer that sends something after it was silent for this long has probably restarted. Every
    /// running peer that is in contact sends several messages in this time.
    duration silence_of_absent_peer = milliseconds(1000);
    /// Smallest interval of attempts on the first socket. It doubles with each further dial up to
    /// max_attempt_interval.
    duration min_attempt_interval = milliseconds(20);
    /// Largest interval of attempts to reach a peer that stays away. Half of the least time that an
    /// election takes. Each attempt wakes about ten threads here.
    duration max_attempt_interval = milliseconds(500);
};

/// Interval of the attempts that a socket makes while its connections are refused: it begins with
/// `min` and doubles up to `max`.
struct attempt_interval {
    duration min{};
    duration max{};
};

/// What is known of a connection to a peer that is being established. Load pattern: all VMs lose
/// power and start one after another; those that start first have dialled the others in vain.
struct connect_watch {
    time_point dialed_at{};
    /// When the peer last sent a message.
    time_point heard_at{};
    /// When the peer last sent a message after a silence.
    time_point returned_at{};
    /// Dials in a row without a connection.
    int dials = 0;
};

/// Records that the connection is dialled.
void record_dial(connect_watch& watch, time_point now);

/// Records that the peer has sent a message.
void record_heard(connect_watch& watch, const connect_options& options, time_point now);

/// Interval of attempts for the socket that is dialled next.
attempt_interval next_attempt_interval(const connect_watch& watch, const connect_options& options);

/// True if the connection, which is not established yet, should be dialled anew.
bool is_dial_overdue(const connect_watch& watch, const connect_options& options, time_point now);

}  // namespace balsamdrift
