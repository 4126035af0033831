#include "pooling/instance_pool.h"

#include <algorithm>

namespace balsamdrift {
namespace {

bool is_idle(const pooled_connection& it) { return it.session == 0 && !it.rolls_back; }

}  // namespace

bool must_discard(const pooled_connection& connection, const session_values& values)
{
    return std::any_of(connection.values.begin(), connection.values.end(), [&](const auto& held) {
        const auto it = values.find(held.first);
        return it == values.end() || it->second != held.second;
    });
}

int running_count(const instance_pool& pool)
{
    return static_cast<int>(std::count_if(pool.connections.begin(), pool.connections.end(),
                                          [](const auto& it) { return !is_idle(*it); }));
}

connection_availability availability_of(const instance_pool& pool, const std::string& customer,
                                        const session_values& values,
                                        const connection_budget& budget, time_point now)
{
    if (find_fitting_connection(pool, customer, values, nullptr) != nullptr) {
        return connection_availability::ready;
    }
    const auto open = static_cast<int>(pool.connections.size());
    if (open >= budget.kept && find_replaceable_connection(pool) != nullptr) {
        return connection_availability::must_replace;
    }
    // After a refusal, one connection at a time finds out whether there is room again.
    const bool room_expected =
        now >= pool.full_until &&
        (pool.full_backoff == duration{} ||
         std::all_of(pool.connections.begin(), pool.connections.end(),
                     [](const pooled_connection_ptr& it) { return it->accepted; }));
    const bool may_open = open < budget.in_use && room_expected;
    return may_open ? connection_availability::can_open : connection_availability::none;
}

pooled_connection_ptr find_fitting_connection(const instance_pool& pool,
                                              const std::string& customer,
                                              const session_values& values,
                                              const prepared_statement* prepared)
{
    pooled_connection_ptr best;
    std::size_t best_missing = 0;
    for (const pooled_connection_ptr& it : pool.connections) {
        if (!is_idle(*it) || it->customer != customer) {
            continue;
        }
        const bool discards = must_discard(*it, values);
        const bool must_prepare =
            prepared != nullptr && (discards || !is_prepared(it->prepared, *prepared));
        const std::size_t missing = values.size() + (must_prepare ? 1 : 0) + (discards ? 1 : 0) -
                                    (discards ? 0 : it->values.size());
        if (best == nullptr || missing < best_missing) {
            best = it;
            best_missing = missing;
        }
    }
    return best;
}

pooled_connection_ptr find_replaceable_connection(const instance_pool& pool)
{
    pooled_connection_ptr oldest;
    for (const pooled_connection_ptr& it : pool.connections) {
        if (is_idle(*it) && (oldest == nullptr || it->last_used_at < oldest->last_used_at)) {
            oldest = it;
        }
    }
    return oldest;
}

void record_latency(instance_pool& pool, const pool_options& options, duration latency,
                    time_point now)
{
    const duration before = pool.latency == duration{} ? options.initial_latency : pool.latency;
    pool.latency = before + scaled(latency - before, options.latency_weight);
    pool.latency_recorded_at = now;
    record_reachable(pool, now);
}

void record_unreachable(instance_pool& pool, const pool_options& options, time_point now)
{
    if (pool.backoff == duration{}) {
        pool.unreachable_since = now;
    }
    pool.backoff = std::clamp(pool.backoff * 2, options.min_backoff, options.max_backoff);
    pool.backoff_until = now + pool.backoff;
    pool.last_failed_at = now;
}

void record_lagging(instance_pool& pool, const pool_options& options, time_point now)
{
    pool.lagging_backoff = std::clamp(pool.lagging_backoff * 2, options.min_lagging_backoff,
                                      options.max_lagging_backoff);
    pool.lagging_until = now + pool.lagging_backoff;
}

void record_caught_up(instance_pool& pool)
{
    pool.lagging_backoff = duration{};
    pool.lagging_until = time_point{};
}

void record_full(instance_pool& pool, const pool_options& options, time_point now)
{
    pool.full_backoff =
        std::clamp(pool.full_backoff * 2, options.min_full_backoff, options.max_full_backoff);
    pool.full_until = now + pool.full_backoff;
}

void record_reachable(instance_pool& pool, time_point now)
{
    pool.backoff = duration{};
    pool.backoff_until = time_point{};
    pool.last_served_at = now;
}

}  // namespace balsamdrift
