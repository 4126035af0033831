#pragma once

#include <vector>

#include "core/consensus/consensus_action.h"
#include "core/consensus/consensus_event.h"
#include "core/consensus/consensus_state.h"

namespace balsamdrift {

/// Builds the state of a member that starts with what its data folder holds.
consensus_state make_consensus(const consensus_options& options, stored_consensus stored,
                               time_point now);

/// Carries out one event and returns what must be done, in order. Pure: no input but its arguments.
std::vector<consensus_action> step(consensus_state& state, const consensus_event& event,
                                   time_point now);

/// True while no other member can lead: a quorum answered appends sent less than an election
/// timeout ago, and an entry of this term is committed, so the applied registry is the newest there
/// is.
bool holds_leadership(const consensus_state& state, time_point now);

}  // namespace balsamdrift
