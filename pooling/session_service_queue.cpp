#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// Time constant of the success rate of attempts, which spans a few attempts at one entry.
constexpr seconds attempts_time_constant(2);

/// Fraction of its latency objective within which the primary has to run a statement that only it
/// can run; otherwise the statement counts as delayed.
constexpr double delayed_fraction = 0.5;

std::string priority_label(int priority)
{
    return metric_label("priority", std::to_string(priority));
}

void publish_limits(const service_state& service, const instance_pool& pool,
                    const limit_options& options)
{
    for (const auto& [priority, objective] : service.latency_objectives) {
        const duration interval = start_interval(
            pool.limit, options, {.priority = priority, .latency_objective = objective});
        set_metric("balsamdrift_instance_start_interval_seconds",
                   metric_label("instance", pool.heartbeat.instance) + "," +
                       priority_label(priority),
                   float_seconds(interval).count());
    }
}

}  // namespace

int session_service::excess_of(const std::string& customer, time_point now) const
{
    const auto it = customer_demand_.find(customer);
    return it == customer_demand_.end() ? 0 : excess_level(it->second, options_.shedding, now);
}

limited_work session_service::work_of(const caller_session& session, const service_state& service,
                                      time_point now) const
{
    const declared_route& route = route_of(session);
    double total = 0;
    double more_urgent = 0;
    double less_urgent = 0;
    for (const auto& [priority, it] : service.demand) {
        const double count = count_at(it, options_.demand_time_constant, now);
        total += count;
        more_urgent += priority < route.priority ? count : 0;
        less_urgent += priority > route.priority ? count : 0;
    }
    total = std::max(total, std::numeric_limits<double>::min());
    return {.priority = route.priority,
            .latency_objective = route.latency_objective,
            .more_urgent = more_urgent / total,
            .less_urgent = less_urgent / total,
            .excess = excess_of(customer_of(session), now)};
}

void session_service::record_demand(const caller_session& session, service_state& service)
{
    const time_point now = hooks_.now();
    const declared_route& route = route_of(session);
    add_event(service.demand[route.priority], options_.demand_time_constant, now);
    service.latency_objectives[route.priority] = route.latency_objective;
    if (!customer_of(session).empty()) {
        record_arrival(customer_demand_[customer_of(session)], options_.shedding, now);
    }
    pending_statement& pending = *session.pending;
    pending.returned_on_time = is_on_time(session.promised_at, options_.returns, now);
    pending.ordered_at = pending.returned_on_time ? session.refused_ordered_at : pending.arrived_at;
}

time_point session_service::held_back_until(const caller_session& session,
                                            const service_state& service, const instance_pool& pool,
                                            time_point now) const
{
    const int priority = route_of(session).priority;
    time_point until{};
    const bool primary_delayed = now < service.primary_delayed_until &&
                                 priority > service.delayed_priority &&
                                 pool.heartbeat.instance == service.record.instance;
    if (primary_delayed && !needs_primary(session)) {
        const bool has_replica =
            std::any_of(service.pools.begin(), service.pools.end(), [&](const auto& entry) {
                const instance_pool& it = entry.second;
                return entry.first != service.record.instance && !it.heartbeat.leaving &&
                       now >= it.backoff_until && now >= it.lagging_until;
            });
        until = has_replica ? service.primary_delayed_until : time_point{};
    }
    if (pool.limit.by_priority.empty() || has_credit(service.credits, priority)) {
        return until;
    }
    return std::max(until,
                    opens_at(pool.limit, options_.pool.limits, work_of(session, service, now)));
}

void session_service::record_overload(service_state& service, instance_pool& pool, int priority)
{
    const time_point now = hooks_.now();
    record_busy(pool.limit, options_.pool.limits, priority, now);
    add_event(service.attempts[priority].refused, attempts_time_constant, now);
    count_metric("balsamdrift_busy_answers_total", priority_label(priority));
    publish_limits(service, pool, options_.pool.limits);
    if (!service.overloaded) {
        service.overloaded = true;
        log_event(event_id::service_overloaded,
                  {{"service", pool.heartbeat.service},
                   {"instance", pool.heartbeat.instance},
                   {"priority", std::to_string(priority)},
                   {"waiting", std::to_string(service.queue.size())}});
    }
}

void session_service::record_primary_delay(const caller_session& session, service_state& service)
{
    const time_point now = hooks_.now();
    const int priority = route_of(session).priority;
    const bool delayed_already = now < service.primary_delayed_until;
    service.delayed_priority =
        delayed_already ? std::min(service.delayed_priority, priority) : priority;
    service.primary_delayed_until = now + options_.pool.primary_delay;
}

void session_service::record_time_on_instance(const caller_session& session, service_state& service,
                                              instance_pool& pool)
{
    if (!service.overloaded) {
        return;
    }
    const time_point now = hooks_.now();
    const declared_route& route = route_of(session);
    const duration latency = now - session.pending->dispatched_at;
    add_event(service.attempts[route.priority].served, attempts_time_constant, now);
    if (needs_primary(session) && latency > scaled(route.latency_objective, delayed_fraction)) {
        record_primary_delay(session, service);
    }
    duration urgent_objective = route.latency_objective;
    for (const auto& [priority, objective] : service.latency_objectives) {
        urgent_objective = std::min(urgent_objective, objective);
    }
    record_served(pool.limit, options_.pool.limits, route.priority, latency, urgent_objective);
}

void session_service::expire_overload(const std::string& name, service_state& service,
                                      time_point now)
{
    if (!service.overloaded) {
        return;
    }
    bool limited = false;
    for (auto& [instance, pool] : service.pools) {
        const bool before = !pool.limit.by_priority.empty();
        expire_limits(pool.limit, options_.pool.limits, now);
        limited = limited || !pool.limit.by_priority.empty();
        if (before && pool.limit.by_priority.empty()) {
            publish_limits(service, pool, options_.pool.limits);
        }
    }
    if (!limited) {
        service.overloaded = false;
        log_event(event_id::service_recovered, {{"service", name}});
    }
}

void session_service::retry_busy(caller_session& session)
{
    pending_statement& pending = *session.pending;
    // BUSY costs the instance next to nothing, and the limits space the attempts, so that only the
    // deadline ends them.
    --pending.attempts;
    pending.request_sent = false;
    session.transaction->may_have_written = false;
    service_state& service = services_[route_of(session).service];
    count_metric("balsamdrift_retried_statements_total");
    if (needs_primary(session)) {
        record_primary_delay(session, service);
    }
    if (!dispatch(session, service)) {
        enqueue(session, service);
    }
}

duration session_service::blocked_for(const caller_session& session, const service_state& service,
                                      time_point now) const
{
    if (!candidates(session, service, now).empty()) {
        return duration{0};
    }
    std::optional<time_point> opens;
    for (const auto& [name, pool] : service.pools) {
        const bool usable = name == service.record.instance
                                ? may_use_primary(service, now)
                                : !needs_primary(session) && !pool.heartbeat.leaving;
        const time_point until = held_back_until(session, service, pool, now);
        if (usable && now >= pool.backoff_until && now < until) {
            opens = std::min(opens.value_or(until), until);
        }
    }
    if (opens) {
        return *opens - now;
    }
    // Only the primary could serve the statement, and it cannot be used now.
    const duration min_wait = options_.lease_renewal_time;
    if (service.record.phase != primary_phase::serving) {
        const duration time_left = options_.primary_change_time - (now - service.record_changed_at);
        return std::max(time_left, min_wait);
    }
    const auto primary = service.pools.find(service.record.instance);
    if (primary != service.pools.end() && now < primary->second.backoff_until) {
        const duration time_left =
            options_.primary_change_time - (now - primary->second.unreachable_since);
        return std::max(time_left, min_wait);
    }
    return expected_lease_wait(now);
}

duration session_service::hold_time_of(const caller_session& session,
                                       const service_state& service) const
{
    const auto it = service.hold_times.find(session.database);
    return it == service.hold_times.end() ? service.mean_hold_time : it->second;
}

waiting_statement session_service::waiting_of(const caller_session& session,
                                              const service_state& service, time_point now) const
{
    const declared_route& route = route_of(session);
    return {.number = session.number,
            .priority = route.priority,
            .arrived_at = session.pending->ordered_at,
            .objective_start = session.pending->arrived_at + route.latency_objective -
                               hold_time_of(session, service),
            .excess = excess_of(customer_of(session), now)};
}

std::vector<waiting_statement> session_service::waiting_for(const service_state& service,
                                                            time_point now) const
{
    std::vector<waiting_statement> waiting;
    waiting.reserve(service.queue.size());
    for (const auto& [key, number] : service.queue) {
        const auto it = sessions_.find(number);
        if (it != sessions_.end() && it->second->pending && it->second->transaction) {
            waiting.push_back(waiting_of(*it->second, service, now));
        }
    }
    sort_for_service(waiting, service.credits, now);
    return waiting;
}

duration session_service::start_spacing(const caller_session& session, const service_state& service,
                                        time_point now) const
{
    const limited_work work = work_of(session, service, now);
    double starts_per_second = 0;
    for (const auto& [name, pool] : service.pools) {
        if (name != service.record.instance && needs_primary(session)) {
            continue;
        }
        const duration interval = start_interval(pool.limit, options_.pool.limits, work);
        if (interval == duration{0}) {
            return duration{0};
        }
        starts_per_second += 1 / float_seconds(interval).count();
    }
    const auto attempts = service.attempts.find(work.priority);
    if (starts_per_second == 0 || attempts == service.attempts.end()) {
        return duration{0};
    }
    // Several attempts may be needed until the instance takes one.
    const double served = count_at(attempts->second.served, attempts_time_constant, now);
    const double refused = count_at(attempts->second.refused, attempts_time_constant, now);
    const double success_rate = (served + 1) / (served + refused + 1);
    return std::chrono::duration_cast<duration>(
        float_seconds(1 / (starts_per_second * success_rate)));
}

std::variant<admission_granted, admission_refused>
session_service::predict(const caller_session& session, const service_state& service,
                         const std::vector<waiting_statement>& waiting, time_point now) const
{
    const waiting_statement own = waiting_of(session, service, now);
    duration work = hold_time_of(session, service);
    int ahead = 0;
    for (const waiting_statement& it : waiting) {
        const auto other = sessions_.find(it.number);
        // Statements that were refused since `waiting` was taken no longer wait.
        if (other == sessions_.end() || !other->second->pending || !other->second->transaction) {
            continue;
        }
        // What only the primary can run delays nothing that replicas can run.
        const bool competes = needs_primary(session) || !needs_primary(*other->second);
        if (it.number != own.number && competes && is_served_before(it, own, now)) {
            work += hold_time_of(*other->second, service);
            ++ahead;
        }
    }
    int parallel = 0;
    for (const auto& [name, pool] : service.pools) {
        if (name == service.record.instance || !needs_primary(session)) {
            const int in_use = budget_for(pool).in_use;
            parallel += pool.heartbeat.slots > 0 ? std::min(in_use, pool.heartbeat.slots) : in_use;
        }
    }
    return admit({.queued_ahead = ahead,
                  .connections = parallel,
                  .mean_hold_time = work / (ahead + 1),
                  .start_interval = start_spacing(session, service, now),
                  .blocked_for = blocked_for(session, service, now),
                  .time_left = session.pending->deadline - now},
                 options_.admission);
}

void session_service::enqueue(caller_session& session, service_state& service)
{
    if (refuse_restricted(session, service)) {
        return;
    }
    const time_point now = hooks_.now();
    pending_statement& pending = *session.pending;
    const std::vector<waiting_statement> waiting = waiting_for(service, now);
    const auto decision = predict(session, service, waiting, now);
    const bool exhausted = pending.attempts >= options_.max_attempts;
    const auto* const refused = std::get_if<admission_refused>(&decision);
    if (refused != nullptr || exhausted) {
        const bool unavailable = needs_primary(session) && !service.overloaded;
        refuse_waiting(session, service,
                       exhausted     ? "attempts"
                       : unavailable ? "primary_unavailable"
                                     : "overload",
                       refused != nullptr ? refused->retry_after
                                          : options_.admission.min_retry_after);
        return;
    }
    if (waiting.size() >= static_cast<std::size_t>(options_.shedding.max_waiting)) {
        const auto displaced = choose_displaced(waiting, waiting_of(session, service, now), now);
        caller_session* const other = displaced ? find_session(*displaced) : nullptr;
        if (other == nullptr) {
            refuse_waiting(session, service, "queue_full", start_spacing(session, service, now));
            return;
        }
        log_event(event_id::statement_displaced, {{"id", other->pending->request.id},
                                                  {"database", other->database},
                                                  {"displaced_by", pending.request.id}});
        count_metric("balsamdrift_displaced_statements_total",
                     priority_label(route_of(*other).priority));
        refuse_waiting(*other, service, "displaced", start_spacing(*other, service, now));
    }
    if (!pending.queue_number) {
        pending.queue_number = next_queue_number_++;
    }
    service.queue[{route_of(session).priority, *pending.queue_number}] = session.number;
}

void session_service::refuse_waiting(caller_session& session, service_state& service,
                                     const std::string& reason, duration blocked_for)
{
    const time_point now = hooks_.now();
    const pending_statement& pending = *session.pending;
    duration retry_after = std::max(blocked_for, options_.admission.min_retry_after);
    if (service.overloaded) {
        const duration time_left = pending.deadline - now;
        // A caller whose time is used up starts again with the whole time of the route.
        const duration useful_for = time_left > 2 * options_.returns.min_return
                                        ? time_left
                                        : duration(route_of(session).statement_timeout);
        retry_after = schedule_return(service.returns, options_.returns,
                                      {.priority = route_of(session).priority,
                                       .blocked_for = blocked_for,
                                       .spacing = start_spacing(session, service, now),
                                       .useful_for = useful_for},
                                      now);
        session.promised_at = now + retry_after;
        session.refused_ordered_at = pending.ordered_at;
    }
    log_refusal(session, reason, retry_after);
    fail_pending_statement(session, retry_after_text(retry_after, reason));
}

void session_service::remove_from_queue(caller_session& session)
{
    if (!session.pending || !session.pending->queue_number || !session.transaction) {
        return;
    }
    services_[route_of(session).service].queue.erase(
        {route_of(session).priority, *session.pending->queue_number});
}

void session_service::serve_queue(service_state& service)
{
    if (service.queue.empty()) {
        return;
    }
    // Statements that need the same as one that could not start are not tried again.
    std::set<std::tuple<std::string, std::string, bool>> blocked;
    for (const waiting_statement& it : waiting_for(service, hooks_.now())) {
        caller_session* const session = find_session(it.number);
        if (session == nullptr || !session->pending || !session->transaction) {
            continue;
        }
        const pending_statement& pending = *session->pending;
        const bool comparable =
            session->values.empty() && pending.excluded.empty() &&
            pending.attempts < options_.max_attempts &&
            route_of(*session).consistency != read_consistency::read_your_writes;
        const std::tuple needs(session->database, customer_of(*session), needs_primary(*session));
        if (comparable && blocked.contains(needs)) {
            continue;
        }
        if (!dispatch(*session, service) && comparable) {
            blocked.insert(needs);
        }
    }
}

void session_service::refuse_hopeless(service_state& service, time_point now)
{
    if (!service.overloaded || service.queue.empty()) {
        return;
    }
    const std::vector<waiting_statement> waiting = waiting_for(service, now);
    for (const waiting_statement& it : waiting) {
        caller_session* const session = find_session(it.number);
        if (session == nullptr || !session->pending || !session->transaction) {
            continue;
        }
        const auto decision = predict(*session, service, waiting, now);
        if (const auto* const refused = std::get_if<admission_refused>(&decision)) {
            refuse_waiting(*session, service, "overload", refused->retry_after);
        }
    }
}

}  // namespace balsamdrift
