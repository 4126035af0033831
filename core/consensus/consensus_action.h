#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/consensus/consensus_message.h"
#include "core/consensus/known_leader.h"

namespace balsamdrift {

/// Saves the term, the vote and the last leader. Must be on disk before any later action is carried
/// out.
struct save_vote {
    std::uint64_t term = 0;
    std::string voted_for;
    known_leader last_leader;
};

/// Drops the stored entries from `first_index` on and appends `entries`. Must be on disk before any
/// later action is carried out.
struct save_entries {
    std::uint64_t first_index = 0;
    std::vector<log_entry> entries;
};

/// Saves a snapshot of this member's registry and drops the stored entries that it covers.
struct save_snapshot {
    log_snapshot snapshot;
};

/// Saves a snapshot that the leader sent and replaces the registry by it.
struct adopt_snapshot {
    log_snapshot snapshot;
};

/// Sends a message to one incarnation of a member, or to any if `to.incarnation` is zero.
struct send_to_member {
    replica_id to;
    std::string address;
    consensus_message message;
};

/// Applies committed entries, in order.
struct apply_entries {
    std::vector<log_entry> entries;
};

/// The member started or stopped leading.
struct leadership_changed {
    bool leads = false;
    std::uint64_t term = 0;
};

/// This member formed the first membership.
struct formation_completed {};

/// An action of step().
using consensus_action =
    std::variant<save_vote, save_entries, save_snapshot, adopt_snapshot, send_to_member,
                 apply_entries, leadership_changed, formation_completed>;

}  // namespace balsamdrift
