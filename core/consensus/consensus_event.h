#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/consensus/consensus_message.h"

namespace balsamdrift {

/// Time has passed.
struct clock_ticked {};

/// A message arrived from a member.
struct member_message {
    replica_id from;
    /// Incarnation that the sender meant; zero for any.
    replica_id to;
    consensus_message message;
    /// `address:port` that answers to the sender go to; empty when the transport does not tell.
    std::string address;
};

/// Commands to append, in order. Ignored unless this member leads.
struct commands_proposed {
    std::vector<std::string> commands;
};

/// The registry was saved up to an applied index; the log before it can go.
struct snapshot_taken {
    std::uint64_t index = 0;
    std::string state;
};

/// Anything that can happen to a member.
using consensus_event =
    std::variant<clock_ticked, member_message, commands_proposed, snapshot_taken>;

}  // namespace balsamdrift
