#pragma once

#include <cstdint>
#include <msgpack.hpp>
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

/// A message as it was received. The fleet delivers each at most once, possibly late, possibly
/// never.
struct fleet_message {
    fleet_channel channel = fleet_channel::work;
    /// `address:port` that answers go to.
    std::string sender;
    std::string body;
};

/// What travels: the message, the sender's time-line stamp and the signature over both.
struct fleet_frame {
    std::uint8_t channel = 0;
    std::string sender;
    std::uint64_t stamp = 0;
    std::string body;
    MSGPACK_DEFINE(channel, sender, stamp, body)
};

}  // namespace balsamdrift
