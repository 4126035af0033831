#include "core/routing/route.h"

#include <algorithm>

namespace balsamdrift {
namespace {

int running_on(const running_counts& running, const std::string& instance)
{
    const auto it = running.find(instance);
    return it == running.end() ? 0 : it->second;
}

bool has_reachable_replica(const group_state& group)
{
    return std::any_of(group.instances.begin(), group.instances.end(), [&](const auto& it) {
        return it.first != group.primary && accepts_work(it.second) && it.second.in_recovery;
    });
}

routing_decision route_to_primary(const group_state& group, const running_counts& running,
                                  const route_options& options)
{
    const auto primary = group.instances.find(group.primary);
    const bool usable = primary != group.instances.end() && accepts_work(primary->second);
    const bool free = running_on(running, group.primary) < options.slots;
    if (group.primary_serves && usable && free) {
        return use_instance{group.primary};
    }
    return wait_for_instance{};
}

routing_decision route_write(const group_state& group, const running_counts& running,
                             const route_options& options)
{
    const bool needs_replica = group.options.replicated_acknowledgement;
    if (group.primary_serves && needs_replica && !has_reachable_replica(group)) {
        return cannot_route{"no replica is reachable that can store this write"};
    }
    return route_to_primary(group, running, options);
}

}  // namespace

bool is_fresh_enough(const group_state& group, const std::string& instance,
                     const route_request& request, const route_options& options, time_point now)
{
    const instance_state& it = group.instances.at(instance);
    if (it.applied < request.min_position) {
        return false;
    }
    const std::optional<duration> age = staleness_bound(group, instance, now);
    const duration limit = request.max_age.value_or(options.default_max_age);
    // Without a serving primary no bound of the age is known. A caller that set no limit of its own
    // is served all the same, since the check above still guarantees the session's own view.
    const bool age_waived = !group.primary_serves && !request.max_age;
    return age_waived || (age && *age <= limit);
}

routing_decision choose_instance(const group_state& group, const running_counts& running,
                                 const route_request& request, const route_options& options,
                                 time_point now)
{
    if (!request.read) {
        return route_write(group, running, options);
    }
    std::string best;
    bool best_is_local = false;
    for (const auto& [name, it] : group.instances) {
        const bool replica =
            accepts_work(it) && it.in_recovery && !it.leaving && name != group.primary;
        if (!replica || running_on(running, name) >= options.slots ||
            !is_fresh_enough(group, name, request, options, now)) {
            continue;
        }
        const bool is_local = it.failure_domain == options.failure_domain;
        const bool less_loaded =
            best.empty() || running_on(running, name) < running_on(running, best);
        const bool equally_loaded =
            !best.empty() && running_on(running, name) == running_on(running, best);
        if (less_loaded || (equally_loaded && is_local && !best_is_local)) {
            best = name;
            best_is_local = is_local;
        }
    }
    if (!best.empty()) {
        return use_instance{best};
    }
    // A session that has seen a later term is ahead of the primary that this owner knows.
    const bool primary_has_term = request.min_position.term <= group.primary_term;
    return primary_has_term ? route_to_primary(group, running, options) : wait_for_instance{};
}

}  // namespace balsamdrift
