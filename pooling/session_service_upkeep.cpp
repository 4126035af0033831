#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// Demand is measured over spans of about this length.
constexpr seconds demand_span(1);

/// Weight of the newest span in the measured demand.
constexpr double demand_weight = 0.5;

/// A change of primary takes about this long from its beginning.
constexpr milliseconds replaced_retry(1000);

/// Room for a statement that waited in vain is expected after this: a few statements have ended.
constexpr milliseconds waited_retry(100);

/// A primary is reported as failing for this long after a failure that nothing followed.
constexpr milliseconds failing_memory(1500);

}  // namespace

void session_service::on_configuration()
{
    state_ = hooks_.configuration();
    for (const auto& [name, limits] : state_->declared.customers) {
        set_customer_limits(tokens_, name, {.rate = limits.rate, .burst = limits.burst});
    }
    call_early_callers(hooks_.now());
    for (const auto& [name, record] : state_->primaries) {
        service_state& service = services_[name];
        if (service.record != record) {
            adopt_record(name, service, record);
        }
    }
    for (auto& [name, service] : services_) {
        for (auto& [instance, pool] : service.pools) {
            const bool leaves =
                pool.info.leaving || is_leaving(*state_, instance, pool.info.born_ms);
            if (leaves && !pool.info.leaving) {
                pool.info.leaving = true;
                pool.leaving_since = hooks_.now();
            }
        }
        serve_queue(service);
    }
}

void session_service::adopt_record(const std::string& name, service_state& service,
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
    service.record_since = hooks_.now();
    set_generation(service.book, record.generation);
    if (!same_primary) {
        stop_primary_work(service, record.planned && record.phase == primary_phase::suspended);
    }
    check_settled(service, hooks_.now());
}

bool session_service::uses_earlier_primary(const caller_session& session,
                                           const service_state& service) const
{
    if (!session.transaction || session.transaction->link == nullptr) {
        return false;
    }
    const caller_transaction& it = *session.transaction;
    return it.under_lease && it.primary_epoch < service.record.epoch &&
           service.pools.contains(it.link->instance);
}

void session_service::stop_primary_work(service_state& service, bool planned)
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
            lose_transaction(*session);
        }
        else if (!planned) {
            finish_lost(*session,
                        retry_after_text(replaced_retry, "the primary is being replaced"));
        }
    }
}

void session_service::check_settled(service_state& service, time_point now)
{
    if (service.settled_epoch >= service.record.epoch) {
        return;
    }
    const bool overdue = now - service.record_since > options_.settle_patience;
    if (overdue) {
        stop_primary_work(service, false);
    }
    const bool running = std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& entry) {
        return uses_earlier_primary(*entry.second, service);
    });
    if (!running) {
        service.settled_epoch = service.record.epoch;
        hooks_.report_soon();
    }
}

void session_service::adopt_directory(const std::vector<instance_heartbeat>& instances)
{
    const time_point now = hooks_.now();
    std::map<std::string, const instance_heartbeat*> listed;
    for (const instance_heartbeat& it : instances) {
        listed[it.instance] = &it;
    }
    for (auto& entry : services_) {
        const std::string& name = entry.first;
        service_state& service = entry.second;
        std::vector<pooled_link_ptr> gone;
        for (auto& [instance, pool] : service.pools) {
            const auto it = listed.find(instance);
            if (it == listed.end()) {
                pool.missing_since = pool.missing_since == time_point{} ? now : pool.missing_since;
                continue;
            }
            pool.missing_since = time_point{};
            const bool same = it->second->address == pool.info.address &&
                              it->second->service == pool.info.service &&
                              it->second->born_ms == pool.info.born_ms;
            if (!same) {
                gone.insert(gone.end(), pool.links.begin(), pool.links.end());
            }
        }
        for (const pooled_link_ptr& link : gone) {
            break_link(link);
        }
        std::erase_if(service.pools, [&](const auto& entry) {
            return listed.contains(entry.first) && listed.at(entry.first)->service != name;
        });
    }
    for (const instance_heartbeat& it : instances) {
        instance_pool& pool = services_[it.service].pools[it.instance];
        const bool born_again = pool.info.born_ms != it.born_ms || pool.info.address != it.address;
        const bool left_before = pool.info.leaving && !born_again;
        pool.info = it;
        pool.info.leaving = it.leaving || is_leaving(*state_, it.instance, it.born_ms);
        if (pool.info.leaving && !left_before) {
            pool.leaving_since = now;
        }
        if (born_again) {
            note_reachable(pool, time_point{});
        }
    }
}

void session_service::drop_missing(service_state& service, time_point now)
{
    std::vector<pooled_link_ptr> gone;
    std::vector<std::string> names;
    for (const auto& [instance, pool] : service.pools) {
        const bool missing = pool.missing_since != time_point{};
        if (missing && now - pool.missing_since > options_.missing_grace) {
            gone.insert(gone.end(), pool.links.begin(), pool.links.end());
            names.push_back(instance);
        }
    }
    for (const pooled_link_ptr& link : gone) {
        break_link(link);
    }
    for (const std::string& it : names) {
        service.pools.erase(it);
    }
}

void session_service::drop_surplus(instance_pool& pool)
{
    while (static_cast<int>(pool.links.size()) > share_of(pool)) {
        const pooled_link_ptr idle = find_replaceable(pool);
        if (idle == nullptr) {
            return;
        }
        drop_link(idle);
    }
}

void session_service::on_instructions(const entry_instructions& it)
{
    if (it.entry_count > 0) {
        connection_shares_ = it.connections;
        entry_count_ = it.entry_count;
        tokens_.entry_count = it.entry_count;
    }
    if (it.has_directory) {
        directory_version_ = it.directory_version;
        adopt_directory(it.instances);
        for (auto& [name, service] : services_) {
            serve_queue(service);
        }
    }
}

void session_service::check_pending(caller_session& session, time_point now)
{
    pending_statement& pending = *session.pending;
    caller_transaction& transaction = *session.transaction;
    const time_point due = pending.deadline - options_.answer_margin;
    const bool waits = transaction.link == nullptr;
    if (now >= due) {
        if (waits) {
            log_refusal(session, "waited", waited_retry);
            finish_lost(session,
                        retry_after_text(waited_retry, "no connection became free in time"));
        }
        else {
            finish_lost(session, "the statement's limit was reached");
        }
        return;
    }
    if (waits) {
        return;
    }
    const pooled_link_ptr link = transaction.link;
    const bool unaccepted = !link->started && now - link->opened_at > options_.connect_timeout;
    const bool reads = is_single(transaction) && !writes(session, pending.sent);
    const duration patience =
        scaled(transaction.route.statement_timeout, options_.read_attempt_part);
    const bool slow = reads && pending.attempts < 2 && now - pending.dispatched_at > patience;
    if (unaccepted || slow) {
        // What was sent may have arrived, although nothing came back.
        break_link(link);
    }
}

void session_service::check_links(time_point now)
{
    for (auto& [name, service] : services_) {
        std::vector<pooled_link_ptr> stale;
        for (auto& [instance, pool] : service.pools) {
            for (const pooled_link_ptr& link : pool.links) {
                const bool idle = link->session == 0;
                const bool abandoned = idle && !link->expected.empty();
                const bool rested = idle && now - link->used_at > options_.idle_link_timeout;
                const bool leaving =
                    idle && pool.info.leaving && instance != service.record.instance;
                if (abandoned || rested || leaving) {
                    stale.push_back(link);
                }
            }
        }
        for (const pooled_link_ptr& link : stale) {
            drop_link(link);
        }
    }
}

void session_service::tick()
{
    const time_point now = hooks_.now();
    if (hooks_.holds_lease(now)) {
        lease_seen_at_ = now;
    }
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, session] : sessions_) {
        if (session->pending && session->transaction) {
            numbers.push_back(number);
        }
        else if (session->transaction && !session->transaction->lost &&
                 state_->declared.transaction_idle_timeout.count() > 0 &&
                 now - session->active_at > state_->declared.transaction_idle_timeout) {
            log_event(event_id::transaction_expired, {{"id", session->transaction->begin_id}});
            lose_transaction(*session);
        }
    }
    for (const std::uint64_t number : numbers) {
        caller_session* const session = find_session(number);
        if (session != nullptr && session->pending && session->transaction) {
            check_pending(*session, now);
        }
    }
    call_early_callers(now);
    record_control_answer(tokens_, hooks_.answered_request_sent_at());
    apply_decisions(refuse_timed_out_callers(tokens_, options_.rates, now));
    ask_for_tokens(now);
    check_links(now);
    for (auto& [name, service] : services_) {
        check_settled(service, now);
        drop_missing(service, now);
        for (auto& [instance, pool] : service.pools) {
            drop_surplus(pool);
        }
        serve_queue(service);
    }
}

void session_service::measure_demand(time_point now)
{
    const float_seconds span = now - demand_since_;
    if (span < demand_span) {
        return;
    }
    const auto smooth = [&](double& known, double count) {
        known += (count / span.count() - known) * demand_weight;
    };
    for (auto& [name, service] : services_) {
        for (auto& [instance, pool] : service.pools) {
            smooth(connection_demand_[instance], pool.dispatched);
            pool.dispatched = 0;
        }
    }
    demand_since_ = now;
}

entry_report session_service::report()
{
    const time_point now = hooks_.now();
    entry_report out{.settled_index = state_->index, .directory_version = directory_version_};
    out.isolated = is_isolated(tokens_, options_.rates, now);
    measure_demand(now);
    out.connections = {connection_demand_, connection_shares_};
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
        evidence.failing = it.failed_at > it.served_at && now - it.failed_at < failing_memory;
        if (it.served_at != time_point{}) {
            evidence.since_last_served = to_milliseconds(now - it.served_at);
        }
        out.primaries.push_back(std::move(evidence));
    }
    return out;
}

}  // namespace balsamdrift
