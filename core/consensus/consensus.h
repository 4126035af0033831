#pragma once

#include <vector>

#include "core/consensus/consensus_action.h"
#include "core/consensus/consensus_event.h"
#include "core/consensus/consensus_state.h"

namespace balsamdrift {

/// Builds the initial state of a member from its settings and what its data folder holds.
consensus_state make_consensus(const consensus_options& options, stored_consensus stored,
                               time_point now);

/// Handles one event: updates the state and returns the actions that the caller must carry out, in
/// order. The result depends on the arguments only.
std::vector<consensus_action> step(consensus_state& state, const consensus_event& event,
                                   time_point now);

/// When `clock_ticked` is due next, unless another event comes first.
time_point next_tick_at(const consensus_state& state, time_point now);

/// True while this member leads and no other member can: a quorum answered appends sent within the
/// last election timeout, shortened by the possible clock drift, and an entry of this term is
/// committed, so that the applied registry is the newest one.
bool holds_leadership(const consensus_state& state, time_point now);

}  // namespace balsamdrift
