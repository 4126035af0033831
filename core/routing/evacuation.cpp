#include "core/routing/evacuation.h"

#include <algorithm>

namespace balsamdrift {
namespace {

/// True if the instance runs the statement, or may after the change of primary that has begun,
/// when orders and home regions are left out of account.
bool could_run(const restricted_instance& it, bool needs_primary, primary_phase phase)
{
    if (it.is_primary) {
        // A suspended primary may be recorded as serving again.
        return true;
    }
    const bool may_succeed = phase == primary_phase::suspended;
    return !it.leaving && (!needs_primary || may_succeed);
}

}  // namespace

time_point evacuation_deadline(const evacuation_options& options, time_point learned_at,
                               time_point last_contact)
{
    if (last_contact == time_point{}) {
        return learned_at;
    }
    return std::min(learned_at + options.grace, last_contact + options.max_after_contact);
}

bool only_primary_may_run(const restricted_statement& it)
{
    return it.needs_primary ||
           std::none_of(it.instances.begin(), it.instances.end(), [](const auto& instance) {
               return !instance.is_primary && !instance.leaving && !instance.evacuated_until &&
                      instance.in_home_region;
           });
}

bool may_start_on(const restricted_instance& it, bool only_primary, primary_phase phase,
                  time_point now)
{
    if (!it.in_home_region) {
        return false;
    }
    return !it.evacuated_until || (it.is_primary && only_primary &&
                                   phase == primary_phase::serving && now < *it.evacuated_until);
}

bool may_continue_on(const restricted_instance& it, time_point now)
{
    return it.in_home_region && (!it.evacuated_until || now < *it.evacuated_until);
}

const char* to_string(restriction value)
{
    return value == restriction::evacuated ? "evacuated" : "home_region";
}

std::optional<restriction> find_restriction(const restricted_statement& it, time_point now)
{
    const bool only_primary = only_primary_may_run(it);
    bool found_any = false;
    bool found_at_home = false;
    for (const restricted_instance& instance : it.instances) {
        if (!could_run(instance, it.needs_primary, it.phase)) {
            continue;
        }
        if (may_start_on(instance, only_primary, it.phase, now)) {
            return std::nullopt;
        }
        found_any = true;
        found_at_home = found_at_home || instance.in_home_region;
    }
    if (!found_any) {
        return std::nullopt;
    }
    return found_at_home ? restriction::evacuated : restriction::home_region;
}

}  // namespace balsamdrift
