#pragma once

#include "core/failover/primary_change_steps.h"

namespace balsamdrift {

/// Keeps the record of the instances that may hold acknowledged commits, with synchronous replicas.
/// Part of advance() in every phase.
void track_holders(primary_change_state& state, actions& out, const primary_change_view& view,
                   const primary_change_options& options, time_point now);

}  // namespace balsamdrift
