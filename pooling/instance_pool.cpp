#include "pooling/instance_pool.h"

#include <algorithm>

namespace balsamdrift {
namespace {

bool is_idle(const pooled_link& it) { return it.session == 0; }

/// True when every value of the connection is one of the session's.
bool is_subset(const session_values& held, const session_values& wanted)
{
    return std::all_of(held.begin(), held.end(), [&](const auto& value) {
        const auto it = wanted.find(value.first);
        return it != wanted.end() && it->second == value.second;
    });
}

}  // namespace

int running_on(const instance_pool& pool)
{
    return static_cast<int>(std::count_if(pool.links.begin(), pool.links.end(),
                                          [](const auto& it) { return !is_idle(*it); }));
}

connection_availability supply_of(const instance_pool& pool, const std::string& customer,
                                  const session_values& values, int share, time_point now)
{
    if (find_fitting(pool, customer, values, {}) != nullptr) {
        return connection_availability::ready;
    }
    if (now < pool.full_until) {
        return connection_availability::none;
    }
    if (static_cast<int>(pool.links.size()) < share) {
        return connection_availability::can_open;
    }
    return find_replaceable(pool) != nullptr ? connection_availability::must_replace
                                             : connection_availability::none;
}

pooled_link_ptr find_fitting(const instance_pool& pool, const std::string& customer,
                             const session_values& values, const std::string& prepared)
{
    pooled_link_ptr best;
    std::size_t best_missing = 0;
    for (const pooled_link_ptr& it : pool.links) {
        if (!is_idle(*it) || it->customer != customer || !is_subset(it->values, values)) {
            continue;
        }
        const bool lacks = !prepared.empty() && !it->prepared.contains(prepared);
        const std::size_t missing = values.size() - it->values.size() + (lacks ? 1 : 0);
        if (best == nullptr || missing < best_missing) {
            best = it;
            best_missing = missing;
        }
    }
    return best;
}

pooled_link_ptr find_replaceable(const instance_pool& pool)
{
    pooled_link_ptr oldest;
    for (const pooled_link_ptr& it : pool.links) {
        if (is_idle(*it) && (oldest == nullptr || it->used_at < oldest->used_at)) {
            oldest = it;
        }
    }
    return oldest;
}

void note_latency(instance_pool& pool, const pool_options& options, duration took, time_point now)
{
    const duration before = pool.latency == duration{} ? options.first_latency : pool.latency;
    pool.latency = before + scaled(took - before, options.latency_weight);
    note_reachable(pool, now);
}

void note_unreachable(instance_pool& pool, const pool_options& options, time_point now)
{
    if (pool.pause == duration{}) {
        pool.unreachable_since = now;
    }
    pool.pause = std::clamp(pool.pause * 2, options.shortest_pause, options.longest_pause);
    pool.paused_until = now + pool.pause;
    pool.failed_at = now;
}

void note_reachable(instance_pool& pool, time_point now)
{
    pool.pause = duration{};
    pool.paused_until = time_point{};
    pool.served_at = now;
}

}  // namespace balsamdrift
