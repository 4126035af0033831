#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// Name that a prepared statement has on every connection: the same for all sessions that prepare
/// the same shape, so that they share it.
std::string shared_name(const prepared_shape& it) { return (it.writes ? "w_" : "r_") + it.shape; }

/// Weight of the newest statement in the average time that a connection is held.
constexpr double hold_weight = 0.05;

}  // namespace

const declared_route& session_service::route_of(const caller_session& session) const
{
    return session.transaction->route;
}

const std::string& session_service::customer_of(const caller_session& session) const
{
    return session.transaction->customer;
}

bool session_service::writes(const caller_session& session, const statement& sent) const
{
    if (sent.kind == statement_kind::execute) {
        const auto it = session.prepared.find(sent.name);
        return it != session.prepared.end() && it->second.writes;
    }
    return sent.kind == statement_kind::write;
}

bool session_service::needs_primary(const caller_session& session) const
{
    const caller_transaction& transaction = *session.transaction;
    if (transaction.route.consistency == read_consistency::primary) {
        return true;
    }
    return is_single(transaction) ? writes(session, session.pending->sent) : !transaction.read_only;
}

bool session_service::may_use_primary(const service_state& service, time_point now) const
{
    if (service.record.phase != primary_phase::serving || !hooks_.holds_lease(now)) {
        return false;
    }
    const auto pool = service.pools.find(service.record.instance);
    if (pool == service.pools.end()) {
        return false;
    }
    const bool leaves = pool->second.info.leaving;
    return !leaves || now - pool->second.leaving_since < options_.leaving_grace;
}

std::optional<log_position> session_service::floor_of(const caller_session& session,
                                                      const service_state& service,
                                                      time_point now) const
{
    const declared_route& route = route_of(session);
    const time_point moment = now - route.max_staleness + options_.staleness_margin;
    auto floor = min_position_covering(service.book, moment);
    const bool own = route.consistency == read_consistency::read_your_writes &&
                     session.written_generation == service.book.generation;
    if (floor && own) {
        floor = std::max(*floor, session.written);
    }
    return floor;
}

bool session_service::is_eligible(const caller_session& session, const service_state& service,
                                  const instance_pool& pool, time_point now) const
{
    const std::string& name = pool.info.instance;
    if (session.pending->excluded.contains(name) || now < pool.paused_until) {
        return false;
    }
    if (name == service.record.instance && may_use_primary(service, now)) {
        return true;
    }
    if (needs_primary(session) || pool.info.leaving) {
        return false;
    }
    const auto floor = floor_of(session, service, now);
    if (!floor) {
        return false;
    }
    const bool known = pool.position_generation == service.book.generation;
    const bool covers = known && pool.position >= *floor;
    return covers || now >= pool.lagging_until;
}

int session_service::share_of(const instance_pool& pool) const
{
    const auto it = state_->declared.services.find(pool.info.service);
    const int connections = it == state_->declared.services.end() ? 1 : it->second.connections;
    const int entries = static_cast<int>(std::max(entry_count_, 1U));
    // One for every entry, and the rest by demand.
    const int rest = std::max(connections - options_.spare_connections - entries, 0);
    const auto part = connection_shares_.shares.find(pool.info.instance);
    const double own = part == connection_shares_.shares.end() ? 1.0 / entries : part->second;
    return 1 + static_cast<int>(rest * own);
}

proximity session_service::distance_to(const instance_pool& pool) const
{
    const std::string& there = pool.info.failure_domain;
    if (there == options_.failure_domain) {
        return proximity::same_failure_domain;
    }
    const auto own = options_.regions.find(options_.failure_domain);
    const auto other = options_.regions.find(there);
    const bool same = own != options_.regions.end() && other != options_.regions.end() &&
                      own->second == other->second;
    return same ? proximity::same_region : proximity::other_region;
}

std::vector<placement_candidate> session_service::candidates(const caller_session& session,
                                                             const service_state& service,
                                                             time_point now) const
{
    std::vector<placement_candidate> all;
    for (const auto& [name, pool] : service.pools) {
        if (is_eligible(session, service, pool, now)) {
            const int share = share_of(pool);
            all.push_back(
                {.instance = name,
                 .distance = distance_to(pool),
                 .is_primary = name == service.record.instance,
                 .availability = supply_of(pool, customer_of(session), session.values, share, now),
                 .running = running_on(pool),
                 .latency =
                     pool.latency == duration{} ? options_.pool.first_latency : pool.latency});
        }
    }
    return all;
}

bool session_service::dispatch(caller_session& session, service_state& service)
{
    const time_point now = hooks_.now();
    if (session.pending->attempts >= options_.most_attempts) {
        return false;
    }
    const auto chosen = choose_placement(candidates(session, service, now), options_.placement);
    if (!chosen) {
        return false;
    }
    leave_queue(session);
    start_on(session, service, service.pools.at(*chosen));
    return true;
}

duration session_service::blocked_for(const caller_session& session, const service_state& service,
                                      time_point now) const
{
    if (!candidates(session, service, now).empty()) {
        return duration{0};
    }
    // Only the primary could serve it now, and nobody can use the primary.
    const duration shortest = options_.lease_renewal_time;
    if (service.record.phase != primary_phase::serving) {
        const duration left = options_.primary_change_time - (now - service.record_since);
        return std::max(left, shortest);
    }
    const auto primary = service.pools.find(service.record.instance);
    if (primary != service.pools.end() && now < primary->second.paused_until) {
        const duration left =
            options_.primary_change_time - (now - primary->second.unreachable_since);
        return std::max(left, shortest);
    }
    // A lease that has been gone for a while is not expected back sooner than that.
    const duration without_lease = hooks_.holds_lease(now) ? duration{0} : now - lease_seen_at_;
    return std::max(without_lease, shortest);
}

void session_service::enqueue(caller_session& session, service_state& service)
{
    const time_point now = hooks_.now();
    pending_statement& pending = *session.pending;
    int parallel = 0;
    for (const auto& [name, pool] : service.pools) {
        const bool usable = name == service.record.instance || !needs_primary(session);
        parallel += usable ? share_of(pool) : 0;
    }
    const auto decision = admit({.queued_ahead = static_cast<int>(service.queue.size()),
                                 .connections = parallel,
                                 .mean_hold_time = service.mean_hold,
                                 .blocked_for = blocked_for(session, service, now),
                                 .time_left = pending.deadline - now},
                                options_.admission);
    const bool exhausted = pending.attempts >= options_.most_attempts;
    const auto* const refused = std::get_if<admission_refused>(&decision);
    if (refused != nullptr || exhausted) {
        const duration retry_after =
            refused != nullptr ? refused->retry_after : options_.admission.min_retry_after;
        const char* const reason = exhausted                ? "attempts"
                                   : needs_primary(session) ? "primary_unavailable"
                                                            : "overload";
        log_refusal(session, reason, retry_after);
        finish_lost(session, retry_after_text(retry_after, reason));
        return;
    }
    if (!pending.queue_number) {
        pending.queue_number = next_queue_number_++;
    }
    service.queue[{route_of(session).priority, *pending.queue_number}] = session.number;
}

void session_service::leave_queue(caller_session& session)
{
    if (!session.pending || !session.pending->queue_number || !session.transaction) {
        return;
    }
    services_[route_of(session).service].queue.erase(
        {route_of(session).priority, *session.pending->queue_number});
}

void session_service::serve_queue(service_state& service)
{
    std::vector<std::uint64_t> waiting;
    waiting.reserve(service.queue.size());
    for (const auto& [key, session] : service.queue) {
        waiting.push_back(session);
    }
    for (const std::uint64_t number : waiting) {
        caller_session* const session = find_session(number);
        if (session != nullptr && session->pending) {
            (void)dispatch(*session, service);
        }
    }
}

pooled_link_ptr session_service::open_link(instance_pool& pool, const std::string& customer)
{
    const time_point now = hooks_.now();
    auto link = std::make_shared<pooled_link>(pooled_link{.instance = pool.info.instance,
                                                          .service = pool.info.service,
                                                          .customer = customer,
                                                          .opened_at = now,
                                                          .used_at = now});
    const std::weak_ptr<pooled_link> weak = link;
    count_metric("balsamdrift_connections_opened_total");
    link->io =
        hooks_.open({.address = pool.info.address,
                     .instance = pool.info.instance,
                     .service = pool.info.service,
                     .customer = customer},
                    {.on_started =
                         [this, weak](const statement_answer& it) {
                             if (const auto self = weak.lock()) {
                                 on_started(self, it);
                             }
                         },
                     .on_answer =
                         [this, weak](const statement_answer& it) {
                             if (const auto self = weak.lock()) {
                                 on_link_answer(self, it);
                             }
                         },
                     .on_end =
                         [this, weak](connection_end_reason why, const statement_error& error) {
                             if (const auto self = weak.lock()) {
                                 on_link_end(self, why, error);
                             }
                         }});
    pool.links.push_back(link);
    return link;
}

pooled_link_ptr session_service::take_link(const caller_session& session, instance_pool& pool)
{
    const statement& sent = session.pending->sent;
    std::string prepared;
    if (sent.kind == statement_kind::execute) {
        prepared = shared_name(session.prepared.at(sent.name));
    }
    if (auto fitting = find_fitting(pool, customer_of(session), session.values, prepared)) {
        return fitting;
    }
    if (static_cast<int>(pool.links.size()) >= share_of(pool)) {
        drop_link(find_replaceable(pool));
    }
    return open_link(pool, customer_of(session));
}

void session_service::send(pooled_link& link, const statement& it, answer_purpose purpose)
{
    link.expected.push_back({purpose, hooks_.now()});
    link.io.send(it);
}

void session_service::set_up_link(caller_session& session, pooled_link& link)
{
    for (const auto& [name, value] : session.values) {
        const auto held = link.values.find(name);
        if (held == link.values.end() || held->second != value) {
            link.values[name] = value;
            send(link, {.kind = statement_kind::set_value, .name = name, .argument = value},
                 answer_purpose::set_up);
        }
    }
    const statement& sent = session.pending->sent;
    if (sent.kind != statement_kind::execute) {
        return;
    }
    const prepared_shape& shape = session.prepared.at(sent.name);
    const std::string name = shared_name(shape);
    if (link.prepared.insert(name).second) {
        send(link,
             {.kind = shape.writes ? statement_kind::prepare_write : statement_kind::prepare_read,
              .name = name,
              .argument = shape.shape},
             answer_purpose::set_up);
    }
}

void session_service::start_on(caller_session& session, service_state& service, instance_pool& pool)
{
    const time_point now = hooks_.now();
    pending_statement& pending = *session.pending;
    caller_transaction& transaction = *session.transaction;
    const pooled_link_ptr link = take_link(session, pool);
    link->session = session.number;
    link->used_at = now;
    transaction.link = link;
    transaction.primary_epoch = service.record.epoch;
    transaction.under_lease =
        pool.info.instance == service.record.instance && may_use_primary(service, now);
    ++pending.attempts;
    ++pool.dispatched;
    pending.dispatched_at = now;
    pending.main_sent = false;
    // The primary under a lease has every commit that any caller heard of.
    pending.sent.min_position.reset();
    const auto floor = transaction.under_lease ? std::nullopt : floor_of(session, service, now);
    set_up_link(session, *link);
    if (!is_single(transaction)) {
        send(*link,
             {.kind =
                  transaction.read_only ? statement_kind::begin_read_only : statement_kind::begin,
              .id = transaction.begin_id,
              .min_position = floor},
             answer_purpose::begin);
    }
    else if (pending.sent.kind == statement_kind::read ||
             pending.sent.kind == statement_kind::execute) {
        pending.sent.min_position = floor;
    }
    if (link->expected.empty()) {
        send_main(session, *link);
    }
}

void session_service::send_main(caller_session& session, pooled_link& link)
{
    session.pending->main_sent = true;
    statement outgoing = session.pending->sent;
    if (outgoing.kind == statement_kind::execute) {
        outgoing.name = shared_name(session.prepared.at(outgoing.name));
    }
    if (session.transaction && writes(session, session.pending->sent)) {
        session.transaction->wrote = true;
    }
    send(link, outgoing, answer_purpose::main);
}

void session_service::release_link(const pooled_link_ptr& link)
{
    const time_point now = hooks_.now();
    link->session = 0;
    service_state* const service = home_of(*link).service;
    if (service == nullptr) {
        return;
    }
    const duration held = now - link->used_at;
    service->mean_hold += scaled(held - service->mean_hold, hold_weight);
    link->used_at = now;
    serve_queue(*service);
}

void session_service::drop_link(const pooled_link_ptr& link)
{
    if (link == nullptr) {
        return;
    }
    link->io.close();
    link->session = 0;
    if (instance_pool* const pool = home_of(*link).pool) {
        std::erase(pool->links, link);
    }
}

link_home session_service::home_of(const pooled_link& link)
{
    const auto service = services_.find(link.service);
    if (service == services_.end()) {
        return {};
    }
    const auto pool = service->second.pools.find(link.instance);
    if (pool == service->second.pools.end()) {
        return {};
    }
    return {&service->second, &pool->second};
}

}  // namespace balsamdrift
