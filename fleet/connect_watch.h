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
};

/// What is known of a connection to a peer that is being established. Load pattern: all VMs lose
/// power and start one after another; those that start first have dialled the others in vain.
struct connect_watch {
    time_point dialed_at{};
    /// When the peer last sent a message.
    time_point heard_at{};
    /// Dials in a row without a connection.
    int dials = 0;
};

/// Records that the connection is dialled.
void record_dial(connect_watch& watch, time_point now);

/// True if the connection, which is not established yet, should be dialled anew.
bool is_dial_overdue(const connect_watch& watch, const connect_options& options, time_point now);

}  // namespace balsamdrift
