#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/consensus/consensus_message.h"

namespace balsamdrift {

/// Saves the term and vote. Must be on disk before any later action is carried out.
struct save_vote {
    std::uint64_t term = 0;
    std::string voted_for;
};

/// Drops stored entries from `first_index` on and appends these. Must be on disk before any later
/// action is carried out.
struct save_entries {
    std::uint64_t first_index = 0;
    std::vector<log_entry> entries;
};

/// Saves a snapshot of the own registry and drops the stored entries that it covers.
struct save_snapshot {
    log_snapshot snapshot;
};

/// Saves a snapshot that came from the leader and replaces the registry by it.
struct adopt_snapshot {
    log_snapshot snapshot;
};

/// Sends a message to one incarnation of a member.
struct send_to_member {
    replica_id to;
    std::string address;
    consensus_message message;
};

/// Applies committed entries, in order.
struct apply_entries {
    std::vector<log_entry> entries;
};

/// The member began or ceased to lead.
struct leadership_changed {
    bool leads = false;
    std::uint64_t term = 0;
};

/// The members agreed on their first membership.
struct formation_completed {};

/// The actions of one step, carried out in order.
using consensus_action =
    std::variant<save_vote, save_entries, save_snapshot, adopt_snapshot, send_to_member,
                 apply_entries, leadership_changed, formation_completed>;

}  // namespace balsamdrift
