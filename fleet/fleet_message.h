#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>

namespace balsamdrift {

/// Which part of a process a fleet message is for.
enum class fleet_channel : std::uint8_t {
    /// Between control members: the replicated log.
    consensus,
    /// Between entries and control: leases, configuration, ownership.
    lease,
    /// Between entries: statements, tokens, announcements.
    work,
};

/// A received message. Delivery is at most once: a message may arrive late or not at all.
struct fleet_message {
    fleet_channel channel = fleet_channel::work;
    /// `address:port` to which answers are sent.
    std::string sender;
    std::string body;
};

/// Encoded form of a message. On the wire, an HMAC signature over the encoded frame precedes it.
struct fleet_frame {
    std::uint8_t channel = 0;
    std::string sender;
    /// Hybrid logical clock of the sender; see timeline_event::stamp.
    std::uint64_t stamp = 0;
    std::string body;
    /// Stamp of the newest frame that the sender has received from the receiver; zero if it has
    /// received none, not set by versions that do not confirm frames.
    std::optional<std::uint64_t> received_stamp;
    /// True if the sender reads short frames (frame_codec.h); not set by builds that do not.
    bool reads_short_frames = false;
    MSGPACK_DEFINE(channel, sender, stamp, body, received_stamp, reads_short_frames)
};

}  // namespace balsamdrift
