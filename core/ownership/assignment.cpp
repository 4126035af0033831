#include "core/ownership/assignment.h"

#include <algorithm>
#include <map>

#include "core/registry/item_id.h"

namespace balsamdrift {
namespace {

/// Number of items that each live entry owns. Groups weigh more than customer shards do, so the two
/// kinds are balanced separately.
using load_map = std::map<replica_id, std::size_t>;

load_map empty_loads(const std::set<replica_id>& live_entries)
{
    load_map loads;
    for (const replica_id& it : live_entries) {
        loads[it] = 0;
    }
    return loads;
}

const replica_id& least_loaded(const load_map& loads)
{
    const auto it = std::min_element(loads.begin(), loads.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
    });
    return it->first;
}

bool is_group(const std::string& item) { return !group_of_item(item).empty(); }

std::size_t recalls_under_way(const registry& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.owners.begin(), state.owners.end(),
                      [](const auto& it) { return it.second.recalled; }));
}

/// Plans the items of one kind.
void plan_kind(const registry& state, bool groups, load_map loads, std::size_t most_recalls,
               assignment_plan& plan)
{
    for (const auto& [item, owner] : state.owners) {
        if (is_group(item) == groups && loads.contains(owner.entry) && !owner.recalled) {
            ++loads[owner.entry];
        }
    }
    for (const auto& [item, owner] : state.owners) {
        if (is_group(item) == groups && owner.entry.name.empty()) {
            const replica_id chosen = least_loaded(loads);
            ++loads[chosen];
            plan.assign.items.push_back({item, chosen});
        }
    }
    for (const auto& [item, owner] : state.owners) {
        const auto load = loads.find(owner.entry);
        const bool movable = is_group(item) == groups && load != loads.end() && !owner.recalled;
        if (!movable || plan.recall.items.size() >= most_recalls) {
            continue;
        }
        const replica_id receiver = least_loaded(loads);
        if (load->second >= loads[receiver] + 2) {
            --load->second;
            ++loads[receiver];
            plan.recall.items.push_back(item);
        }
    }
}

}  // namespace

assignment_plan plan_assignments(const registry& state, const std::set<replica_id>& live_entries,
                                 std::size_t most_recalls)
{
    assignment_plan plan;
    if (live_entries.empty()) {
        return plan;
    }
    const std::size_t under_way = recalls_under_way(state);
    const std::size_t allowed = most_recalls > under_way ? most_recalls - under_way : 0;
    plan_kind(state, true, empty_loads(live_entries), allowed, plan);
    plan_kind(state, false, empty_loads(live_entries), allowed, plan);
    return plan;
}

}  // namespace balsamdrift
