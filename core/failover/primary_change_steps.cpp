#include "core/failover/primary_change_steps.h"

#include <algorithm>

namespace balsamdrift {

const known_instance* find_instance(const primary_change_view& view, const std::string& name)
{
    const auto it = std::find_if(
        view.instances.begin(), view.instances.end(),
        [&](const known_instance& other) { return other.last_heartbeat.instance == name; });
    return it == view.instances.end() ? nullptr : &*it;
}

void request_status_if_due(primary_change_state& state, actions& out, const std::string& instance,
                           duration interval, time_point now)
{
    const auto [it, first] = state.status_requested_at.try_emplace(instance, now);
    if (!first && now - it->second < interval) {
        return;
    }
    it->second = now;
    out.push_back(request_status{instance});
}

void propose(primary_change_state& state, actions& out, propose_phase phase, time_point now)
{
    state.proposed_at = now;
    phase.newest_term = state.newest_term;
    for (const auto& [name, until] : state.late_promotions) {
        if (now < until) {
            phase.late_promotion = name;
        }
    }
    out.push_back(std::move(phase));
}

bool is_fresh(const known_instance& it, const primary_change_options& options, time_point now)
{
    return now - it.last_heartbeat_at <= options.replica_heartbeat_timeout;
}

}  // namespace balsamdrift
