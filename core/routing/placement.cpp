#include "core/routing/placement.h"

namespace balsamdrift {
namespace {

duration distance_cost(proximity distance, const placement_options& options)
{
    switch (distance) {
        case proximity::same_failure_domain: return duration{0};
        case proximity::same_region: return options.same_region_cost;
        case proximity::other_region: return options.other_region_cost;
    }
    return duration{0};
}

duration connection_cost(connection_availability availability, const placement_options& options)
{
    switch (availability) {
        case connection_availability::can_open: return options.connect_cost;
        case connection_availability::must_replace:
            return options.connect_cost + options.replace_cost;
        default: return duration{0};
    }
}

/// Estimated latency of a statement on the candidate plus the costs of the options.
duration cost_of(const placement_candidate& it, const placement_options& options)
{
    const duration primary_cost = it.is_primary ? options.primary_cost : duration{0};
    return distance_cost(it.distance, options) + connection_cost(it.availability, options) +
           primary_cost + it.latency * (it.running + 1);
}

}  // namespace

std::optional<std::string> choose_placement(const std::vector<placement_candidate>& candidates,
                                            const placement_options& options)
{
    const placement_candidate* best = nullptr;
    for (const placement_candidate& it : candidates) {
        if (it.availability == connection_availability::none) {
            continue;
        }
        if (best == nullptr || cost_of(it, options) < cost_of(*best, options)) {
            best = &it;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->instance);
}

}  // namespace balsamdrift
