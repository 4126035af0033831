#include "core/queueing/concurrency_limit.h"

#include <algorithm>

namespace balsamdrift {
namespace {

/// Smaller shares of demand are taken as none.
constexpr double min_share = 0.01;

/// Shortest and longest interval between starts of one kind.
struct interval_range {
    duration first{};
    duration longest{};
};

interval_range range_for(const limit_options& options, const limited_work& work)
{
    const duration most_without_reserve = options.base_interval * options.max_base_intervals;
    if (work.more_urgent >= min_share) {
        const double reserve = std::min(1.0, work.more_urgent / options.full_reserve_share);
        const auto between = [&](duration low, double objectives) {
            const duration high = std::max(low, scaled(work.latency_objective, objectives));
            return low + scaled(high - low, reserve);
        };
        return {between(options.base_interval, options.first_interval_objectives),
                between(most_without_reserve, options.max_interval_objectives)};
    }
    if (work.less_urgent >= min_share) {
        return {options.urgent_interval, options.base_interval};
    }
    return {options.base_interval, most_without_reserve};
}

}  // namespace

duration start_interval(const instance_limit& limit, const limit_options& options,
                        const limited_work& work)
{
    int level = 0;
    for (const auto& [priority, it] : limit.by_priority) {
        level = priority <= work.priority ? std::max(level, it.level) : level;
    }
    if (level == 0) {
        return duration{0};
    }
    const interval_range range = range_for(options, work);
    const duration interval = std::min(range.first * (1 << (level - 1)), range.longest);
    return interval * (1 + work.excess);
}

time_point opens_at(const instance_limit& limit, const limit_options& options,
                    const limited_work& work)
{
    if (limit.by_priority.empty()) {
        return {};
    }
    const duration interval = start_interval(limit, options, work);
    if (interval == duration{0}) {
        return {};
    }
    time_point last{};
    for (const auto& [priority, it] : limit.by_priority) {
        if (priority <= work.priority) {
            last = std::max(last, it.last_busy_at);
        }
        if (priority == work.priority) {
            last = std::max(last, it.last_start_at);
        }
    }
    return last + interval;
}

void record_busy(instance_limit& limit, const limit_options& options, int priority, time_point now)
{
    int level = 0;
    for (const auto& [other, it] : limit.by_priority) {
        level = other <= priority ? std::max(level, it.level) : level;
    }
    urgency_limit& own = limit.by_priority[priority];
    own.level = std::min(level + 1, options.max_level);
    own.last_busy_at = now;
}

void record_start(instance_limit& limit, int priority, time_point now)
{
    if (limit.by_priority.empty()) {
        return;
    }
    limit.by_priority[priority].last_start_at = now;
}

void record_served(instance_limit& limit, const limit_options& options, int priority,
                   duration latency, duration urgent_objective)
{
    if (latency > scaled(urgent_objective, options.slow_fraction)) {
        return;
    }
    for (auto& [other, it] : limit.by_priority) {
        if (other <= priority) {
            it.level = std::max(it.level - 1, 0);
        }
    }
}

void expire_limits(instance_limit& limit, const limit_options& options, time_point now)
{
    const bool relaxed = std::all_of(limit.by_priority.begin(), limit.by_priority.end(),
                                     [](const auto& it) { return it.second.level == 0; });
    std::erase_if(limit.by_priority, [&](const auto& it) {
        return relaxed ||
               now - std::max(it.second.last_busy_at, it.second.last_start_at) > options.expiry;
    });
}

}  // namespace balsamdrift
