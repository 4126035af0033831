#pragma once

#include <set>
#include <vector>

#include "core/registry/registry.h"

namespace balsamdrift {

/// What the control leader should propose so that every item has an owner.
struct assignment_plan {
    assign_items assign;
    recall_items recall;
};

/// Plans owners for the items that have none: each goes to the least loaded of `live_entries`, the
/// entries that hold a lease. Also plans recalls of items from entries that own at least two more
/// than another, so that no more than `max_recalls` items are recalled at once, earlier recalls
/// that are still in progress included. The same input always gives the same plan.
assignment_plan plan_assignments(const registry& state, const std::set<replica_id>& live_entries,
                                 std::size_t max_recalls);

}  // namespace balsamdrift
