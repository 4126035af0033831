#include "core/ownership/assignment.h"

#include <algorithm>
#include <map>

#include "core/registry/item_id.h"

namespace balsamdrift {
namespace {

/// Number of items that each live entry owns, with the least loaded at hand.
class load_table {
public:
    explicit load_table(const std::set<replica_id>& live_entries)
    {
        for (const replica_id& it : live_entries) {
            loads_[it] = 0;
            order_.insert({0, it});
        }
    }

    bool contains(const replica_id& entry) const { return loads_.contains(entry); }
    std::size_t load_of(const replica_id& entry) const { return loads_.at(entry); }
    const replica_id& least_loaded() const { return order_.begin()->entry; }

    void change(const replica_id& entry, int by)
    {
        std::size_t& load = loads_.at(entry);
        order_.erase({load, entry});
        load += static_cast<std::size_t>(by);
        order_.insert({load, entry});
    }

private:
    struct ordered_load {
        std::size_t load = 0;
        replica_id entry;
        auto operator<=>(const ordered_load&) const = default;
    };
    std::map<replica_id, std::size_t> loads_;
    std::set<ordered_load> order_;
};

bool is_group(const std::string& item) { return !group_of_item(item).empty(); }

std::size_t recalls_under_way(const registry& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.owners.begin(), state.owners.end(),
                      [](const auto& it) { return it.second.recalled; }));
}

/// Plans the items of one kind. Groups weigh more than customer shards do, so the two kinds are
/// balanced separately.
void plan_kind(const registry& state, bool groups, const std::set<replica_id>& live_entries,
               std::size_t max_recalls, assignment_plan& plan)
{
    load_table loads(live_entries);
    for (const auto& [item, owner] : state.owners) {
        if (is_group(item) == groups && loads.contains(owner.entry) && !owner.recalled) {
            loads.change(owner.entry, 1);
        }
    }
    for (const auto& [item, owner] : state.owners) {
        if (is_group(item) == groups && owner.entry.name.empty()) {
            const replica_id chosen = loads.least_loaded();
            loads.change(chosen, 1);
            plan.assign.items.push_back({item, chosen});
        }
    }
    for (const auto& [item, owner] : state.owners) {
        const bool movable =
            is_group(item) == groups && loads.contains(owner.entry) && !owner.recalled;
        if (!movable || plan.recall.items.size() >= max_recalls) {
            continue;
        }
        const replica_id receiver = loads.least_loaded();
        if (loads.load_of(owner.entry) >= loads.load_of(receiver) + 2) {
            loads.change(owner.entry, -1);
            loads.change(receiver, 1);
            plan.recall.items.push_back(item);
        }
    }
}

}  // namespace

assignment_plan plan_assignments(const registry& state, const std::set<replica_id>& live_entries,
                                 std::size_t max_recalls)
{
    assignment_plan plan;
    if (live_entries.empty()) {
        return plan;
    }
    const std::size_t under_way = recalls_under_way(state);
    const std::size_t allowed = max_recalls > under_way ? max_recalls - under_way : 0;
    plan_kind(state, true, live_entries, allowed, plan);
    plan_kind(state, false, live_entries, allowed, plan);
    return plan;
}

}  // namespace balsamdrift
