#include <algorithm>

#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// The limit of a cold instance holds over any span of this length.
constexpr seconds warmup_window(1);

/// An entry with fewer statements per second for a service asks for nothing of its cold instances.
constexpr double min_warmup_demand = 0.02;

}  // namespace

bool session_service::is_warmup_limited(const instance_pool& pool) const
{
    if (!is_cold(pool.heartbeat)) {
        return false;
    }
    const auto service = registry_->declared.services.find(pool.heartbeat.service);
    return service != registry_->declared.services.end() && service->second.warmup_rate > 0;
}

bool session_service::has_warmup_room(const instance_pool& pool, time_point now) const
{
    if (!is_warmup_limited(pool)) {
        return true;
    }
    const auto allocation = warmup_.per_second.find(pool.heartbeat.instance);
    if (allocation == warmup_.per_second.end() || now >= warmup_valid_until_ ||
        !hooks_.holds_lease(now)) {
        return false;
    }
    const auto recent = std::count_if(pool.cold_starts.begin(), pool.cold_starts.end(),
                                      [&](time_point it) { return now - it <= warmup_window; });
    return recent < allocation->second;
}

void session_service::record_cold_start(instance_pool& pool, time_point now) const
{
    while (!pool.cold_starts.empty() && now - pool.cold_starts.front() > warmup_window) {
        pool.cold_starts.pop_front();
    }
    if (is_warmup_limited(pool)) {
        pool.cold_starts.push_back(now);
        count_metric("balsamdrift_cold_starts_total");
    }
}

void session_service::apply_warmup_grant(const warmup_grant& grant)
{
    if (grant.valid_ms <= 0 || grant.number < warmup_.number) {
        return;
    }
    warmup_ = grant;
    warmup_valid_until_ = hooks_.answered_request_sent_at() + milliseconds(grant.valid_ms);
}

warmup_request session_service::warmup_demand() const
{
    warmup_request out{.held = warmup_};
    for (const auto& [name, service] : services_) {
        double demand = static_cast<double>(service.queue.size());
        for (const auto& [instance, pool] : service.pools) {
            const auto it = connection_demand_.find(instance);
            demand += it == connection_demand_.end() ? 0 : it->second;
        }
        for (const auto& [instance, pool] : service.pools) {
            if (is_warmup_limited(pool) && demand > min_warmup_demand) {
                out.demand[instance] = demand;
            }
        }
    }
    return out;
}

}  // namespace balsamdrift
