#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/consensus/consensus_message.h"

namespace balsamdrift {

/// Timers may be due. Sent at short, regular intervals.
struct clock_ticked {};

/// A message arrived from a member.
struct member_message {
    replica_id from;
    /// Recipient that the sender addressed; an empty name or a zero incarnation stands for any.
    replica_id to;
    consensus_message message;
    /// `address:port` for answers to the sender; empty if the transport does not provide it.
    std::string address;
};

/// Commands to append, in order. Ignored unless this member leads.
struct commands_proposed {
    std::vector<std::string> commands;
};

/// The registry was encoded at an applied index; log entries up to it can be dropped.
struct snapshot_taken {
    std::uint64_t index = 0;
    /// Encoded registry.
    std::string state;
};

/// An input of step().
using consensus_event =
    std::variant<clock_ticked, member_message, commands_proposed, snapshot_taken>;

}  // namespace balsamdrift
