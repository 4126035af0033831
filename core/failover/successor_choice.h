#pragma once

#include <vector>

#include "core/failover/primary_change_steps.h"

namespace balsamdrift {

/// Instances that may take over. Replicas that are leaving are used only when there are no others,
/// and instances in evacuated failure domains never.
/// The recorded instance, which is being replaced or could not be promoted, comes last: once no
/// entry uses it any more, it has every commit that was acknowledged, if it is running.
std::vector<const known_instance*> eligible_replicas(const primary_change_state& state,
                                                     const primary_change_view& view,
                                                     const primary_change_options& options,
                                                     time_point now);

/// Chooses the replica to promote once enough instances have reported their positions. Without
/// synchronous replicas that is as many as answer in time. With them, no acknowledged commit may be
/// lost: every instance that may hold one is asked, whether it stays, leaves or is evacuated, and
/// the successor must have received all that any of them has. Enough answers are that of the old
/// primary while it still is one, or those of so many holders that a commit cannot be missing from
/// all of them.
void choose_successor(primary_change_state& state, actions& out, const primary_change_view& view,
                      const primary_change_options& options, time_point now);

}  // namespace balsamdrift
