#include "core/ownership/assignment.h"

#include <algorithm>
#include <map>

#include "core/registry/item_id.h"

namespace balsamdrift {
namespace {

/// Number of items that each live entry owns, ordered so that the least loaded entry is found at
/// once.
class load_table {
public:
    explicit load_table(const std::set<replica_id>& live_entries)
    {
        for (const replica_id& it : live_entries) {
            loads_[it] = 0;
            by_load_.insert({0, it});
        }
    }

    bool contains(const replica_id& entry) const { return loads_.contains(entry); }
    std::size_t load_of(const replica_id& entry) const { return loads_.at(entry); }
    const replica_id& least_loaded() const { return by_load_.begin()->entry; }

    void add(const replica_id& entry, int delta)
    {
        std::size_t& load = loads_.at(entry);
        by_load_.erase({load, entry});
        load += static_cast<std::size_t>(delta);
        by_load_.insert({load, entry});
    }

private:
    struct entry_load {
        std::size_t load = 0;
        replica_id entry;
        auto operator<=>(const entry_load&) const = default;
    };
    std::map<replica_id, std::size_t> loads_;
    std::set<entry_load> by_load_;
};

bool is_group(const std::string& item) { return !group_of_item(item).empty(); }

std::size_t count_recalls_in_progress(const registry& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.owners.begin(), state.owners.end(),
                      [](const auto& it) { return it.second.recalled; }));
}

/// Plans the items of one kind, groups or customer shards. The two kinds are balanced separately,
/// because a group causes more load than a customer shard.
void plan_items_of_kind(const registry& state, bool groups,
                        const std::set<replica_id>& live_entries, std::size_t max_recalls,
                        assignment_plan& plan)
{
    load_table loads(live_entries);
    for (const auto& [item, owner] : state.owners) {
        if (is_group(item) == groups && loads.contains(owner.entry) && !owner.recalled) {
            loads.add(owner.entry, 1);
        }
    }
    for (const auto& [item, owner] : state.owners) {
        if (is_group(item) == groups && owner.entry.name.empty()) {
            const replica_id chosen = loads.least_loaded();
            loads.add(chosen, 1);
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
            loads.add(owner.entry, -1);
            loads.add(receiver, 1);
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
    const std::size_t in_progress = count_recalls_in_progress(state);
    const std::size_t allowed = max_recalls > in_progress ? max_recalls - in_progress : 0;
    plan_items_of_kind(state, true, live_entries, allowed, plan);
    plan_items_of_kind(state, false, live_entries, allowed, plan);
    return plan;
}

}  // namespace balsamdrift
