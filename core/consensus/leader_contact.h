#pragma once

#include <cstdint>
#include <string>

#include "core/consensus/consensus_message.h"
#include "core/consensus/consensus_state.h"

namespace balsamdrift {

/// Decides whether this member may help to elect a leader. A leader relies on the answers of a
/// quorum for up to an election timeout, so a member that answered one grants no vote for that
/// long, unless the leader itself is known to have stopped leading. Load pattern: all members are
/// killed at once and return together, while every caller waits for the next leader.

/// True if a leader may still rely on an answer of this member.
bool may_have_leader(const consensus_state& state, time_point now);

/// Records a message of the leader of the current term. Returns true if the leader is a new one,
/// which must be saved: this member may restart and has to know whom it answered.
bool record_leader(consensus_state& state, const std::string& name, time_point now);

/// Records what a request of another member for a vote says about its own leadership. A member that
/// asks for votes in a later term than the one that it led never leads the earlier term again.
/// Returns true if the last leader is thereby known to have stopped leading.
bool record_candidate(consensus_state& state, const std::string& name, const vote_request& request);

/// When a member whose process has just started, or whose leader has stopped leading, next asks for
/// votes; nothing once an election timeout has passed without a leader.
std::optional<time_point> early_election_at(consensus_state& state, time_point now);

}  // namespace balsamdrift
