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

/// Plans owners for free items over the entries that hold a lease, least loaded first, and recalls
/// at most `max_recalls` items from entries that hold at least two more than another. The same
/// input always gives the same plan.
assignment_plan plan_assignments(const registry& state, const std::set<replica_id>& live_entries,
                                 std::size_t max_recalls);

}  // namespace balsamdrift
