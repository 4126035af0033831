#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {

void session_service::update_evacuations(time_point now)
{
    std::erase_if(evacuated_until_, [&](const auto& it) {
        const bool restored = !is_evacuated(*registry_, it.first);
        if (restored) {
            log_event(event_id::evacuation_ended, {{"domain", it.first}});
        }
        return restored;
    });
    for (const std::string& domain : registry_->evacuated_domains) {
        const time_point until = evacuation_deadline(options_.evacuation, now, last_contact_);
        if (evacuated_until_.emplace(domain, until).second) {
            log_event(event_id::evacuation_in_force,
                      {{"domain", domain},
                       {"grace_ms", milliseconds_text(std::max(until - now, duration{0}))}});
        }
    }
    set_metric("balsamdrift_evacuated_domains", "", static_cast<double>(evacuated_until_.size()));
    const auto is_restricted = [](const auto& it) { return !it.second.allowed_regions.empty(); };
    const declared_configuration& conf = registry_->declared;
    has_home_regions_ = std::any_of(conf.routes.begin(), conf.routes.end(), is_restricted) ||
                        std::any_of(conf.customers.begin(), conf.customers.end(), is_restricted);
}

std::optional<time_point> session_service::evacuated_until(const instance_pool& pool) const
{
    const auto it = evacuated_until_.find(pool.heartbeat.failure_domain);
    return it == evacuated_until_.end() ? std::nullopt : std::optional(it->second);
}

bool session_service::is_in_home_region(const caller_session& session,
                                        const instance_pool& pool) const
{
    if (!has_home_regions_) {
        return true;
    }
    const auto region = options_.regions.find(pool.heartbeat.failure_domain);
    const auto allows = [&](const std::set<std::string>& allowed) {
        return allowed.empty() ||
               (region != options_.regions.end() && allowed.contains(region->second));
    };
    // The configuration in force counts, also for a transaction that began under an earlier one.
    const declared_configuration& conf = registry_->declared;
    const auto route = conf.routes.find(session.database);
    const auto customer = conf.customers.find(customer_of(session));
    return allows(route == conf.routes.end() ? route_of(session).allowed_regions
                                             : route->second.allowed_regions) &&
           (customer == conf.customers.end() || allows(customer->second.allowed_regions));
}

restricted_instance session_service::restricted(const caller_session& session,
                                                const service_state& service,
                                                const instance_pool& pool) const
{
    return {.evacuated_until = evacuated_until(pool),
            .in_home_region = is_in_home_region(session, pool),
            .is_primary = pool.heartbeat.instance == service.record.instance,
            .leaving = pool.heartbeat.leaving};
}

restricted_statement session_service::restricted(const caller_session& session,
                                                 const service_state& service, time_point now) const
{
    // A read waits for the primary's position, unless the primary can no longer be asked for it.
    const auto primary = service.pools.find(service.record.instance);
    const bool is_askable = primary != service.pools.end() && !evacuated_until(primary->second);
    const bool lacks_position = !is_askable && !min_position_for(session, service, now);
    restricted_statement out{.needs_primary = needs_primary(session) || lacks_position,
                             .phase = service.record.phase};
    for (const auto& [name, pool] : service.pools) {
        out.instances.push_back(restricted(session, service, pool));
    }
    return out;
}

bool session_service::may_start(const caller_session& session, const service_state& service,
                                const instance_pool& pool, time_point now) const
{
    if (evacuated_until_.empty() && !has_home_regions_) {
        return true;
    }
    const restricted_instance it = restricted(session, service, pool);
    const bool only_primary = it.evacuated_until && it.is_primary &&
                              only_primary_may_run(restricted(session, service, now));
    return may_start_on(it, only_primary, service.record.phase, now);
}

bool session_service::may_send(const caller_session& session, time_point now) const
{
    const pooled_connection_ptr& connection = session.transaction->connection;
    if (connection == nullptr || (evacuated_until_.empty() && !has_home_regions_)) {
        return true;
    }
    const auto service = services_.find(connection->service);
    if (service == services_.end()) {
        return true;
    }
    const auto pool = service->second.pools.find(connection->instance);
    if (pool == service->second.pools.end()) {
        return true;
    }
    const bool is_first = session.pending && session.pending->attempts > 0;
    return is_first ? may_start(session, service->second, pool->second, now)
                    : may_continue_on(restricted(session, service->second, pool->second), now);
}

void session_service::leave_connection(caller_session& session)
{
    const pooled_connection_ptr connection = session.transaction->connection;
    count_metric("balsamdrift_vacated_connections_total");
    if (session.pending->attempts == 0) {
        fail_pending_statement(session,
                               retry_after_text(rolled_back_retry_after, rolled_back_text));
        return;
    }
    // Nothing of the statement was sent, so it costs none of its attempts.
    --session.pending->attempts;
    session.transaction->connection = nullptr;
    close_connection(connection);
    retry(session, connection->instance, "the instance may no longer be used");
}

void session_service::ask_for_position(const caller_session& session, service_state& service,
                                       time_point now)
{
    const auto found = service.pools.find(service.record.instance);
    const bool is_due = now - service.position_asked_at >= options_.position_ask_interval;
    if (!is_due || found == service.pools.end() || needs_primary(session) ||
        min_position_for(session, service, now) || !may_use_primary(service, now)) {
        return;
    }
    instance_pool& primary = found->second;
    const connection_budget budget = budget_for(primary);
    const std::string& customer = customer_of(session);
    if (is_in_home_region(session, primary) || is_vacated(service, primary, now) ||
        now < primary.backoff_until ||
        availability_of(primary, customer, session.values, budget, now) ==
            connection_availability::none) {
        return;
    }
    service.position_asked_at = now;
    close_connection(find_fitting_connection(primary, customer, session.values, {}));
    if (static_cast<int>(primary.connections.size()) >= budget.kept) {
        close_connection(find_replaceable_connection(primary));
    }
    (void)open_connection(primary, customer);
}

bool session_service::refuse_restricted(caller_session& session, service_state& service)
{
    if (evacuated_until_.empty() && !has_home_regions_) {
        return false;
    }
    const time_point now = hooks_.now();
    const restricted_statement it = restricted(session, service, now);
    const auto reason = find_restriction(it, now);
    if (!reason) {
        ask_for_position(session, service, now);
        return false;
    }
    // Control replaces a primary in an evacuated domain if there is a replica elsewhere.
    const bool is_replaced =
        *reason == restriction::evacuated &&
        std::any_of(it.instances.begin(), it.instances.end(), [](const auto& instance) {
            return !instance.is_primary && !instance.leaving && !instance.evacuated_until &&
                   instance.in_home_region;
        });
    const duration retry_after =
        is_replaced ? options_.lease_renewal_time : options_.restricted_retry_after;
    log_refusal(session, to_string(*reason), retry_after);
    fail_pending_statement(session, retry_after_text(retry_after, to_string(*reason)));
    return true;
}

void session_service::apply_restrictions(time_point now)
{
    if (evacuated_until_.empty() && !has_home_regions_) {
        return;
    }
    for (const auto& [number, session] : sessions_) {
        const bool is_open = session->transaction && session->transaction->connection != nullptr;
        if (is_open && !session->pending && !may_send(*session, now)) {
            count_metric("balsamdrift_vacated_connections_total");
            abort_transaction(*session);
        }
    }
    for (auto& [name, service] : services_) {
        std::vector<std::uint64_t> waiting;
        for (const auto& [key, number] : service.queue) {
            waiting.push_back(number);
        }
        for (const std::uint64_t number : waiting) {
            caller_session* const session = find_session(number);
            if (session != nullptr && session->pending) {
                (void)refuse_restricted(*session, service);
            }
        }
    }
}

bool session_service::is_vacated(const service_state& service, const instance_pool& pool,
                                 time_point now) const
{
    const restricted_instance it{.evacuated_until = evacuated_until(pool),
                                 .is_primary = pool.heartbeat.instance == service.record.instance};
    return !may_start_on(it, true, service.record.phase, now);
}

}  // namespace balsamdrift
