#pragma once

#include <string>
#include <vector>

#include "core/failover/primary_change.h"

namespace balsamdrift {

// Steps that the phases of a change of primary share. Used only in this folder.

using actions = std::vector<primary_action>;

/// A proposal is repeated if it has not changed the record within this time. Until then nothing
/// else is done.
constexpr milliseconds proposal_timeout(1000);

/// Newest heartbeat of an instance; null if it is not in the directory.
const known_instance* find_instance(const primary_change_view& view, const std::string& name);

/// Requests the status of an instance unless that was done within the interval. Requests are
/// repeated whether or not they were answered.
void request_status_if_due(primary_change_state& state, actions& out, const std::string& instance,
                           duration interval, time_point now);

void propose(primary_change_state& state, actions& out, propose_phase phase, time_point now);

/// True if the heartbeat of the instance is recent enough for it to become primary.
bool is_fresh(const known_instance& it, const primary_change_options& options, time_point now);

}  // namespace balsamdrift
