#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// Shortest interval over which demand is measured.
constexpr seconds min_demand_interval(1);

/// Weight of the newest interval in the moving average of demand.
constexpr double demand_weight = 0.5;

/// Lower demand for an instance, in statements per second, is not reported.
constexpr double min_reported_demand = 0.02;

/// Retry delay for statements that a change of primary ended. A change takes about this long from
/// its beginning.
constexpr milliseconds primary_replaced_retry_after(1000);

/// Retry delay for a statement that got no connection in time. A few statements end within it.
constexpr milliseconds queue_timeout_retry_after(100);

/// That a primary served this VM is reported for this long. Control takes shorter times into
/// account only, see `primary_change_options::last_served_lifetime`.
constexpr milliseconds evidence_lifetime(1500);

/// A primary is reported as failing for this long after its newest failure, unless it has answered
/// since.
constexpr milliseconds failure_report_time(1500);

}  // namespace

void session_service::on_configuration()
{
    registry_ = hooks_.configuration();
    for (const auto& [name, limits] : registry_->declared.customers) {
        set_customer_limits(tokens_, name, {.rate = limits.rate, .burst = limits.burst});
    }
    update_evacuations(hooks_.now());
    apply_withdrawals(hooks_.now());
    notify_configuration_waiters(hooks_.now());
    for (const auto& [name, record] : registry_->primaries) {
        service_state& service = services_[name];
        if (service.record != record) {
            apply_primary_record(name, service, record);
        }
    }
    for (auto& [name, service] : services_) {
        for (auto& [instance, pool] : service.pools) {
            const bool leaving =
                pool.heartbeat.leaving || is_leaving(*registry_, instance, pool.heartbeat.born_ms);
            if (leaving && !pool.heartbeat.leaving) {
                pool.heartbeat.leaving = true;
                pool.leaving_since = hooks_.now();
            }
        }
        serve_queue(service);
    }
    apply_restrictions(hooks_.now());
}

void session_service::apply_primary_record(const std::string& name, service_state& service,
                                           const primary_record& record)
{
    log_event(event_id::primary_phase_entered, {{"service", name},
                                                {"instance", record.instance},
                                                {"phase", to_string(record.phase)},
                                                {"planned", record.planned ? "yes" : "no"},
                                                {"epoch", std::to_string(record.epoch)},
                                                {"generation", std::to_string(record.generation)}});
    const bool same_primary = service.record.instance == record.instance &&
                              record.phase == primary_phase::serving &&
                              service.record.phase == primary_phase::serving;
    service.record = record;
    service.record_changed_at = hooks_.now();
    set_generation(service.positions, record.generation);
    if (!same_primary) {
        stop_work_on_earlier_primary(service,
                                     record.planned && record.phase == primary_phase::suspended);
    }
    update_settled_epoch(service, hooks_.now());
}

bool session_service::uses_earlier_primary(const caller_session& session,
                                           const service_state& service) const
{
    if (!session.transaction || session.transaction->connection == nullptr) {
        return false;
    }
    const caller_transaction& it = *session.transaction;
    return it.under_lease && it.primary_epoch < service.record.epoch &&
           service.pools.contains(it.connection->instance);
}

void session_service::stop_work_on_earlier_primary(service_state& service, bool planned)
{
    std::vector<std::uint64_t> affected;
    for (const auto& [number, session] : sessions_) {
        if (uses_earlier_primary(*session, service)) {
            affected.push_back(number);
        }
    }
    for (const std::uint64_t number : affected) {
        caller_session* const session = find_session(number);
        if (session == nullptr || !uses_earlier_primary(*session, service)) {
            continue;
        }
        if (!session->pending) {
            abort_transaction(*session);
        }
        else if (!planned) {
            fail_pending_statement(*session, retry_after_text(primary_replaced_retry_after,
                                                              "the primary is being replaced"));
        }
    }
}

void session_service::update_settled_epoch(service_state& service, time_point now)
{
    if (service.settled_epoch >= service.record.epoch) {
        return;
    }
    const bool overdue = now - service.record_changed_at > options_.settle_timeout;
    if (overdue) {
        stop_work_on_earlier_primary(service, false);
    }
    const bool unsettled = std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& entry) {
        return uses_earlier_primary(*entry.second, service);
    });
    if (!unsettled) {
        service.settled_epoch = service.record.epoch;
        hooks_.report_soon();
    }
}

bool session_service::update_directory(const entry_instructions& instructions)
{
    const bool complete = instructions.directory_base == 0;
    const bool same_leader = instructions.directory_version >> directory_term_shift ==
                             directory_version_ >> directory_term_shift;
    const bool outdated = same_leader && instructions.directory_version < directory_version_;
    const bool has_gap = !same_leader || instructions.directory_base > directory_version_;
    if (outdated || (!complete && has_gap)) {
        return false;
    }
    if (complete) {
        directory_.clear();
    }
    for (const std::string& it : instructions.removed) {
        directory_.erase(it);
    }
    for (const instance_heartbeat& it : instructions.instances) {
        directory_[it.instance] = it;
    }
    directory_version_ = instructions.directory_version;
    return true;
}

void session_service::apply_directory()
{
    const time_point now = hooks_.now();
    for (auto& entry : services_) {
        const std::string& name = entry.first;
        service_state& service = entry.second;
        std::vector<pooled_connection_ptr> obsolete;
        for (auto& [instance, pool] : service.pools) {
            const auto it = directory_.find(instance);
            if (it == directory_.end()) {
                pool.missing_since = pool.missing_since == time_point{} ? now : pool.missing_since;
                continue;
            }
            pool.missing_since = time_point{};
            const bool unchanged = it->second.address == pool.heartbeat.address &&
                                   it->second.service == pool.heartbeat.service &&
                                   it->second.born_ms == pool.heartbeat.born_ms;
            if (!unchanged) {
                obsolete.insert(obsolete.end(), pool.connections.begin(), pool.connections.end());
            }
        }
        for (const pooled_connection_ptr& connection : obsolete) {
            fail_connection(connection);
        }
        std::erase_if(service.pools, [&](const auto& entry) {
            return directory_.contains(entry.first) && directory_.at(entry.first).service != name;
        });
    }
    for (const auto& [instance, it] : directory_) {
        instance_pool& pool = services_[it.service].pools[it.instance];
        const bool restarted =
            pool.heartbeat.born_ms != it.born_ms || pool.heartbeat.address != it.address;
        const bool was_leaving = pool.heartbeat.leaving && !restarted;
        pool.heartbeat = it;
        pool.heartbeat.leaving = it.leaving || is_leaving(*registry_, it.instance, it.born_ms);
        if (pool.heartbeat.leaving && !was_leaving) {
            pool.leaving_since = now;
        }
        if (restarted) {
            record_reachable(pool, time_point{});
        }
    }
}

void session_service::remove_missing_instances(service_state& service, time_point now)
{
    std::vector<pooled_connection_ptr> obsolete;
    std::vector<std::string> names;
    for (const auto& [instance, pool] : service.pools) {
        const bool missing = pool.missing_since != time_point{};
        if (missing && now - pool.missing_since > options_.missing_grace) {
            obsolete.insert(obsolete.end(), pool.connections.begin(), pool.connections.end());
            names.push_back(instance);
        }
    }
    for (const pooled_connection_ptr& connection : obsolete) {
        fail_connection(connection);
    }
    for (const std::string& it : names) {
        service.pools.erase(it);
    }
}

void session_service::close_surplus_connections(instance_pool& pool)
{
    while (static_cast<int>(pool.connections.size()) > budget_for(pool).kept) {
        const pooled_connection_ptr idle = find_replaceable_connection(pool);
        if (idle == nullptr) {
            return;
        }
        close_connection(idle);
    }
}

void session_service::on_instructions(const entry_instructions& instructions)
{
    apply_warmup_grant(instructions.warmup);
    // The lease may have just been renewed. What follows must not run with an older configuration
    // than the one that the lease requires.
    if (hooks_.configuration()->index > registry_->index) {
        on_configuration();
    }
    if (instructions.entry_count > 0) {
        connection_shares_ = instructions.connections;
        entry_count_ = instructions.entry_count;
        tokens_.entry_count = instructions.entry_count;
    }
    if (instructions.has_directory && update_directory(instructions)) {
        apply_directory();
        for (auto& [name, service] : services_) {
            serve_queue(service);
        }
    }
}

void session_service::check_deadline(caller_session& session, time_point now)
{
    pending_statement& pending = *session.pending;
    caller_transaction& transaction = *session.transaction;
    const time_point answer_by = pending.deadline - options_.answer_margin;
    const bool waiting = transaction.connection == nullptr;
    if (now >= answer_by) {
        if (waiting) {
            refuse_waiting(session, services_[transaction.route.service], "waited",
                           queue_timeout_retry_after);
        }
        else {
            if (const auto [service, pool] = find_pool(*transaction.connection); pool != nullptr) {
                record_lost_answer(session, *service, *pool, now);
            }
            fail_pending_statement(session, "the statement's limit was reached");
        }
        return;
    }
    if (waiting) {
        return;
    }
    const pooled_connection_ptr connection = transaction.connection;
    const bool unaccepted =
        !connection->accepted && now - connection->opened_at > options_.connect_timeout;
    const bool reads = is_single_statement(transaction) && !writes(session, pending.request);
    const duration attempt_limit =
        scaled(transaction.route.statement_timeout, options_.read_attempt_fraction);
    const bool slow = reads && pending.attempts < 2 && now - pending.dispatched_at > attempt_limit;
    if (unaccepted || slow) {
        // The instance may have run what was sent, although it did not answer.
        fail_connection(connection);
    }
}

void session_service::close_unused_connections(time_point now)
{
    for (auto& [name, service] : services_) {
        std::vector<pooled_connection_ptr> unused;
        for (auto& [instance, pool] : service.pools) {
            for (const pooled_connection_ptr& connection : pool.connections) {
                const bool idle = connection->session == 0 && !connection->rolls_back;
                const bool not_rolled_back =
                    connection->rolls_back &&
                    now - connection->last_used_at > options_.connect_timeout;
                const bool unanswered = idle && !connection->expected_answers.empty();
                const bool idle_too_long =
                    idle && now - connection->last_used_at > options_.idle_connection_timeout;
                const bool leaving =
                    idle && pool.heartbeat.leaving && instance != service.record.instance;
                const bool vacated = idle && is_vacated(service, pool, now);
                if (unanswered || not_rolled_back || idle_too_long || leaving || vacated) {
                    unused.push_back(connection);
                }
            }
        }
        for (const pooled_connection_ptr& connection : unused) {
            close_connection(connection);
        }
    }
}

void session_service::tick()
{
    const time_point now = hooks_.now();
    if (hooks_.holds_lease(now)) {
        lease_last_held_at_ = now;
    }
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, session] : sessions_) {
        if (session->pending && session->transaction) {
            numbers.push_back(number);
        }
        else if (session->transaction && !session->transaction->aborted &&
                 registry_->declared.transaction_idle_timeout.count() > 0 &&
                 now - session->last_active_at > registry_->declared.transaction_idle_timeout) {
            log_event(event_id::transaction_expired, {{"id", session->transaction->begin_id}});
            abort_transaction(*session);
        }
    }
    for (const std::uint64_t number : numbers) {
        caller_session* const session = find_session(number);
        if (session != nullptr && session->pending && session->transaction) {
            check_deadline(*session, now);
        }
    }
    last_contact_ = hooks_.answered_request_sent_at();
    apply_restrictions(now);
    end_revoked_sessions(now);
    notify_configuration_waiters(now);
    record_control_answer(tokens_, hooks_.answered_request_sent_at());
    apply_token_decisions(refuse_timed_out_callers(tokens_, options_.rates, now));
    send_token_request(now);
    close_unused_connections(now);
    for (auto& [name, service] : services_) {
        update_settled_epoch(service, now);
        remove_missing_instances(service, now);
        expire_overload(name, service, now);
        step_placement(name, service, now);
        for (auto& [instance, pool] : service.pools) {
            close_surplus_connections(pool);
        }
        serve_queue(service);
        refuse_hopeless(service, now);
    }
}

void session_service::measure_demand(time_point now)
{
    const float_seconds elapsed = now - demand_measured_at_;
    if (elapsed < min_demand_interval) {
        return;
    }
    const auto smooth = [&](double& average, double count) {
        average += (count / elapsed.count() - average) * demand_weight;
    };
    for (auto& [name, service] : services_) {
        for (auto& [instance, pool] : service.pools) {
            smooth(connection_demand_[instance], pool.dispatch_count);
            pool.dispatch_count = 0;
        }
    }
    demand_measured_at_ = now;
}

entry_report session_service::report()
{
    const time_point now = hooks_.now();
    entry_report out{.settled_index = registry_->index, .directory_version = directory_version_};
    out.isolated = is_isolated(tokens_, options_.rates, now);
    measure_demand(now);
    out.connections = {.demand = connection_demand_,
                       .held = connection_shares_,
                       .measured = !connection_demand_.empty()};
    out.warmup = warmup_demand();
    std::erase_if(out.connections.demand,
                  [](const auto& it) { return it.second < min_reported_demand; });
    for (const auto& [name, service] : services_) {
        if (service.settled_epoch < service.record.epoch) {
            out.settled_index = std::min(out.settled_index, service.record.epoch - 1);
        }
        const auto pool = service.pools.find(service.record.instance);
        if (pool == service.pools.end()) {
            continue;
        }
        const instance_pool& it = pool->second;
        primary_evidence evidence{.service = name, .instance = service.record.instance};
        evidence.failing =
            it.last_failed_at > it.last_served_at && now - it.last_failed_at < failure_report_time;
        const bool recently_served =
            it.last_served_at != time_point{} && now - it.last_served_at < evidence_lifetime;
        if (recently_served) {
            evidence.since_last_served = to_milliseconds(now - it.last_served_at);
        }
        if (recently_served || evidence.failing) {
            out.primaries.push_back(std::move(evidence));
        }
    }
    return out;
}

}  // namespace balsamdrift
