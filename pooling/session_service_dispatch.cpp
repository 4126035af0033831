#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// The prepared statement that the session's pending statement runs; null if it runs none.
const prepared_statement* prepared_to_run(const caller_session& session)
{
    const statement& request = session.pending->request;
    return request.kind == statement_kind::execute ? &session.prepared.at(request.name) : nullptr;
}

/// True if the instance is known to have applied the position of the current primary's log.
bool has_position(const service_state& service, const instance_pool& pool,
                  const log_position& position)
{
    return pool.position_generation == service.positions.generation && pool.position >= position;
}

/// Weight of the newest statement in the moving average of the time that a connection is held.
constexpr double hold_time_weight = 0.05;

}  // namespace

const declared_route& session_service::route_of(const caller_session& session) const
{
    return session.transaction->route;
}

const std::string& session_service::customer_of(const caller_session& session) const
{
    return session.transaction->customer;
}

bool session_service::writes(const caller_session& session, const statement& request) const
{
    if (request.kind == statement_kind::execute) {
        const auto it = session.prepared.find(request.name);
        return it != session.prepared.end() && it->second.writes;
    }
    return request.kind == statement_kind::write;
}

bool session_service::needs_primary(const caller_session& session) const
{
    const caller_transaction& transaction = *session.transaction;
    if (transaction.route.consistency == read_consistency::primary) {
        return true;
    }
    if (!is_single_statement(transaction)) {
        return !transaction.read_only;
    }
    // On the primary a read needs no minimum position.
    return writes(session, session.pending->request) ||
           session.pending->request.excludes_min_position;
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
    const bool leaving = pool->second.heartbeat.leaving;
    return !leaving || now - pool->second.leaving_since < options_.leaving_grace;
}

std::optional<log_position> session_service::min_position_for(const caller_session& session,
                                                              const service_state& service,
                                                              time_point now) const
{
    const declared_route& route = route_of(session);
    const time_point oldest_allowed = now - route.max_staleness + options_.staleness_margin;
    auto min_position = min_position_covering(service.positions, oldest_allowed);
    const bool own_commits = route.consistency == read_consistency::read_your_writes &&
                             session.last_commit_generation == service.positions.generation;
    if (min_position && own_commits) {
        min_position = std::max(*min_position, session.last_commit);
    }
    return min_position;
}

bool session_service::is_eligible(const caller_session& session, const service_state& service,
                                  const instance_pool& pool, time_point now) const
{
    const std::string& name = pool.heartbeat.instance;
    if (session.pending->excluded.contains(name) || now < pool.backoff_until ||
        !may_start(session, service, pool, now) || !has_warmup_room(pool, now) ||
        now < held_back_until(session, service, pool, now)) {
        return false;
    }
    if (name == service.record.instance && may_use_primary(service, now)) {
        return true;
    }
    if (needs_primary(session) || pool.heartbeat.leaving) {
        return false;
    }
    const auto min_position = min_position_for(session, service, now);
    if (!min_position) {
        return false;
    }
    return has_position(service, pool, *min_position) || now >= pool.lagging_until;
}

connection_budget session_service::budget_for(const instance_pool& pool) const
{
    const auto it = registry_->declared.services.find(pool.heartbeat.service);
    const int accepted = it == registry_->declared.services.end() ? 1 : it->second.connections;
    const auto granted = connection_shares_.shares.find(pool.heartbeat.instance);
    double share = granted == connection_shares_.shares.end() ? 0 : granted->second;
    if (connection_shares_.number == 0) {
        // Control has granted nothing yet, and grants an even share first.
        share = 1.0 / std::max(entry_count_, 1U);
    }
    return connection_budget_for(accepted, share,
                                 borrowable(pool.borrowing, options_.connections, hooks_.now()),
                                 options_.connections);
}

std::vector<placement_candidate> session_service::candidates(const caller_session& session,
                                                             const service_state& service,
                                                             time_point now) const
{
    std::vector<placement_candidate> all;
    for (const auto& [name, pool] : service.pools) {
        if (is_eligible(session, service, pool, now)) {
            all.push_back({.instance = name,
                           .distance = distance_to(pool),
                           .is_primary = name == service.record.instance,
                           .availability = availability_of(pool, customer_of(session),
                                                           session.values, budget_for(pool), now),
                           .running = running_count(pool),
                           .latency = latency_of(pool, now)});
        }
    }
    return all;
}

bool session_service::dispatch(caller_session& session, service_state& service)
{
    const time_point now = hooks_.now();
    if (!may_continue(session, now)) {
        refuse_revoked(session);
        return true;
    }
    if (session.pending->attempts >= options_.max_attempts) {
        return false;
    }
    const auto chosen = choose_instance(session, service, now);
    if (!chosen) {
        return false;
    }
    remove_from_queue(session);
    if (!service.queue.empty()) {
        record_start(service.credits, options_.shedding, route_of(session).priority,
                     waiting_for(service, now));
    }
    record_placement(session, service, *chosen, now);
    start_on_instance(session, service, service.pools.at(chosen->instance));
    return true;
}

pooled_connection_ptr session_service::open_connection(instance_pool& pool,
                                                       const std::string& customer)
{
    const time_point now = hooks_.now();
    auto connection =
        std::make_shared<pooled_connection>(pooled_connection{.instance = pool.heartbeat.instance,
                                                              .service = pool.heartbeat.service,
                                                              .customer = customer,
                                                              .opened_at = now,
                                                              .last_used_at = now});
    const std::weak_ptr<pooled_connection> weak = connection;
    count_metric("balsamdrift_connections_opened_total");
    connection->transport =
        hooks_.open({.address = pool.heartbeat.address,
                     .instance = pool.heartbeat.instance,
                     .service = pool.heartbeat.service,
                     .customer = customer,
                     .distance = distance_to(pool)},
                    {.on_started =
                         [this, weak](const statement_answer& it) {
                             if (const auto self = weak.lock()) {
                                 on_started(self, it);
                             }
                         },
                     .on_answer =
                         [this, weak](const statement_answer& it) {
                             if (const auto self = weak.lock()) {
                                 on_instance_answer(self, it);
                             }
                         },
                     .on_rows =
                         [this, weak](const std::vector<std::string>& rows) {
                             if (const auto self = weak.lock()) {
                                 on_instance_rows(self, rows);
                             }
                         },
                     .on_end =
                         [this, weak](connection_end_reason reason, const statement_error& error) {
                             if (const auto self = weak.lock()) {
                                 on_connection_end(self, reason, error);
                             }
                         }});
    pool.connections.push_back(connection);
    return connection;
}

pooled_connection_ptr session_service::acquire_connection(const caller_session& session,
                                                          instance_pool& pool)
{
    if (auto fitting = find_fitting_connection(pool, customer_of(session), session.values,
                                               prepared_to_run(session))) {
        return fitting;
    }
    if (static_cast<int>(pool.connections.size()) >= budget_for(pool).kept) {
        close_connection(find_replaceable_connection(pool));
    }
    return open_connection(pool, customer_of(session));
}

void session_service::send(pooled_connection& connection, const statement& it,
                           answer_purpose purpose)
{
    connection.expected_answers.push_back({purpose, hooks_.now()});
    connection.transport.send(it);
}

void session_service::deallocate(pooled_connection& connection,
                                 const std::vector<std::string>& names)
{
    for (const std::string& name : names) {
        send(connection, {.kind = statement_kind::deallocate, .name = name},
             answer_purpose::set_up);
    }
}

void session_service::set_up_connection(caller_session& session, pooled_connection& connection)
{
    if (must_discard(connection, session.values)) {
        connection.values.clear();
        connection.prepared = {};
        count_metric("balsamdrift_connection_resets_total");
        send(connection, {.kind = statement_kind::discard}, answer_purpose::set_up);
    }
    for (const auto& [name, value] : session.values) {
        const auto held = connection.values.find(name);
        if (held == connection.values.end() || held->second != value) {
            connection.values[name] = value;
            send(connection, {.kind = statement_kind::set_value, .name = name, .argument = value},
                 answer_purpose::set_up);
        }
    }
    const prepared_statement* const prepared = prepared_to_run(session);
    if (prepared == nullptr || is_prepared(connection.prepared, *prepared)) {
        return;
    }
    deallocate(connection, make_room(connection.prepared, options_.pool.prepared, *prepared));
    send(connection,
         {.kind = prepared->writes ? statement_kind::prepare_write : statement_kind::prepare_read,
          .name = add_name(connection.prepared, *prepared),
          .argument = prepared->text},
         answer_purpose::set_up);
}

void session_service::start_on_instance(caller_session& session, service_state& service,
                                        instance_pool& pool)
{
    const time_point now = hooks_.now();
    pending_statement& pending = *session.pending;
    caller_transaction& transaction = *session.transaction;
    const pooled_connection_ptr connection = acquire_connection(session, pool);
    connection->session = session.number;
    connection->last_used_at = now;
    transaction.connection = connection;
    transaction.primary_epoch = service.record.epoch;
    transaction.under_lease =
        pool.heartbeat.instance == service.record.instance && may_use_primary(service, now);
    ++pending.attempts;
    ++pool.dispatch_count;
    record_cold_start(pool, now);
    record_start(pool.limit, route_of(session).priority, now);
    pending.dispatched_at = now;
    pending.request_sent = false;
    // A primary that is used under a lease has every acknowledged commit.
    pending.request.min_position.reset();
    const auto min_position =
        transaction.under_lease ? std::nullopt : min_position_for(session, service, now);
    pending.tests_position = min_position && !has_position(service, pool, *min_position);
    set_up_connection(session, *connection);
    if (!is_single_statement(transaction)) {
        send(*connection,
             {.kind =
                  transaction.read_only ? statement_kind::begin_read_only : statement_kind::begin,
              .id = transaction.begin_id,
              .min_position = min_position},
             answer_purpose::begin);
    }
    else if (pending.request.kind == statement_kind::read ||
             pending.request.kind == statement_kind::execute) {
        pending.request.min_position = min_position;
    }
    if (connection->expected_answers.empty()) {
        send_request(session, *connection);
    }
}

void session_service::send_request(caller_session& session, pooled_connection& connection)
{
    session.pending->request_sent = true;
    statement outgoing = session.pending->request;
    if (const prepared_statement* const prepared = prepared_to_run(session)) {
        outgoing.name = use_name(connection.prepared, *prepared);
    }
    if (session.transaction && writes(session, session.pending->request)) {
        session.transaction->may_have_written = true;
    }
    send(connection, outgoing, answer_purpose::request);
}

void session_service::release_connection(const pooled_connection_ptr& connection, bool ran)
{
    const time_point now = hooks_.now();
    const caller_session* const holder = find_session(connection->session);
    connection->session = 0;
    service_state* const service = find_pool(*connection).service;
    if (service == nullptr) {
        return;
    }
    const duration held = now - connection->last_used_at;
    if (ran) {
        service->mean_hold_time += scaled(held - service->mean_hold_time, hold_time_weight);
    }
    if (ran && holder != nullptr) {
        duration& mean = service->hold_times.try_emplace(holder->database, held).first->second;
        mean += scaled(held - mean, hold_time_weight);
    }
    connection->last_used_at = now;
    deallocate(*connection, remove_excess(connection->prepared, options_.pool.prepared));
    serve_queue(*service);
}

void session_service::close_connection(const pooled_connection_ptr& connection)
{
    if (connection == nullptr) {
        return;
    }
    connection->transport.close();
    connection->session = 0;
    if (instance_pool* const pool = find_pool(*connection).pool) {
        std::erase(pool->connections, connection);
    }
}

pool_location session_service::find_pool(const pooled_connection& connection)
{
    const auto service = services_.find(connection.service);
    if (service == services_.end()) {
        return {};
    }
    const auto pool = service->second.pools.find(connection.instance);
    if (pool == service->second.pools.end()) {
        return {};
    }
    return {&service->second, &pool->second};
}

}  // namespace balsamdrift
