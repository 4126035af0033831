#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace balsamdrift {

/// How long a peer may take to confirm a message before the connection counts as broken.
struct delivery_watch_options {
    /// For a small message. Every protocol of the fleet answers within a few hundred milliseconds.
    duration timeout = milliseconds(1000);
    /// Slowest transfer that still counts as progress, so that a large message is not given up
    /// halfway: about a third of the slowest link between two VMs.
    std::uint64_t min_bytes_per_second = std::uint64_t{64} * 1024;
};

/// A message whose arrival the peer has not confirmed yet.
struct watched_message {
    std::uint64_t stamp = 0;
    time_point sent_at{};
    /// The connection is overdue from this time on.
    time_point confirm_by{};
};

/// What a process knows about the delivery of its messages to one peer over one connection. A
/// network fault can leave a connection open that never delivers again, in one direction only:
/// that the peer still sends therefore proves nothing. Only what the peer says it has received
/// does. One message is watched at a time; those sent meanwhile follow it on the connection.
struct delivery_watch {
    std::optional<watched_message> watched;
    /// Bytes that were sent behind the watched message.
    std::uint64_t bytes_behind = 0;
};

/// Records that a message with this stamp is sent.
void record_sent(delivery_watch& watch, const delivery_watch_options& options, std::uint64_t stamp,
                 std::uint64_t bytes, time_point now);

/// Records a message of the peer. `received_stamp` is the stamp of the newest message that the peer
/// had received when it sent this one; it is not set by versions that do not confirm messages, for
/// which any message counts as a confirmation.
void record_confirmation(delivery_watch& watch, std::optional<std::uint64_t> received_stamp);

/// True if the peer should have confirmed the watched message by now.
bool is_overdue(const delivery_watch& watch, time_point now);

}  // namespace balsamdrift
