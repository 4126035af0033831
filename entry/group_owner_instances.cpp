#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "core/registry/item_id.h"
#include "databases/system_queries.h"
#include "entry/claim_statements.h"
#include "entry/group_owner.h"

// Probing, promotion and loss of instances: the third part of group_owner.

namespace balsamdrift {
namespace {

constexpr std::chrono::minutes claim_cleaning_interval(10);

}  // namespace

void group_owner::announce(const announcement& it)
{
    auto address = parse_endpoint(it.address);
    if (!succeeded(address)) {
        return;
    }
    const auto known = group_.instances.find(it.instance);
    if (known == group_.instances.end()) {
        log_event(event_id::instance_announced,
                  {{"group", options_.group}, {"instance", it.instance}, {"address", it.address}});
    }
    else if (it.leaving && !known->second.leaving) {
        log_event(event_id::instance_leaving, {{"instance", it.instance}});
    }
    pool_.set_address(it.instance, value_of(address));
    apply(instance_announced{it.instance, value_of(address), it.failure_domain, it.leaving});
    monitors_[it.instance];
}

void group_owner::apply(const group_event& event)
{
    for (const group_action& it : step(group_, event, monotonic_clock::now())) {
        perform(it);
    }
}

void group_owner::perform(const group_action& action)
{
    std::visit(
        overloaded{
            [&](const propose_primary& it) {
                propose_(record_primary{options_.group, options_.epoch, it.primary, it.term});
            },
            [&](const promote_instance& it) {
                log_event(event_id::promotion_started,
                          {{"group", options_.group}, {"instance", it.instance}});
                promote(it.instance);
            },
            [&](const drop_instance& it) { lose_instance(it.instance, it.forget); },
            [&](const primary_ready& it) {
                log_event(event_id::promotion_finished, {{"group", options_.group},
                                                         {"instance", it.instance},
                                                         {"term", std::to_string(it.term)}});
                claims_ready_ = false;
                prepare_primary();
            },
        },
        action);
}

void group_owner::probe(const std::string& instance)
{
    const auto found = monitors_.find(instance);
    const auto known = group_.instances.find(instance);
    if (found == monitors_.end() || known == group_.instances.end() || ended_) {
        return;
    }
    monitor& it = found->second;
    const time_point now = monotonic_clock::now();
    it.probe_at = now + options_.probe_interval;
    const bool hung = it.waiting_since && now - *it.waiting_since >= group_.options.silence_limit;
    if (it.connection && hung) {
        it.connection->drop_handlers();
        it.connection.release()->deleteLater();
        it.waiting_since.reset();
    }
    if (!it.connection) {
        it.connection = std::make_unique<pg_connection>(
            pg_connection_options{.address = known->second.address});
        it.waiting_since = now;
        it.connection->open(
            [this, instance](bool connected, const std::string&) {
                monitors_[instance].waiting_since.reset();
                if (connected) {
                    probe(instance);
                    return;
                }
                monitors_[instance].connection.release()->deleteLater();
                apply(probe_refused{instance});
            },
            [this, instance] {
                monitors_[instance].connection.release()->deleteLater();
                apply(probe_refused{instance});
            });
        return;
    }
    if (!it.connection->is_open() || it.connection->is_running()) {
        return;
    }
    std::vector<sql_statement> batch{{probe_query, {}}};
    if (std::exchange(it.promote, false)) {
        batch.insert(batch.begin(), {promote_query, {}});
    }
    it.waiting_since = now;
    it.connection->run(batch, [this, instance, now](batch_outcome res) {
        on_probe_done(instance, now, std::move(res));
    });
}

void group_owner::on_probe_done(const std::string& instance, time_point sent_at, batch_outcome res)
{
    monitor& it = monitors_[instance];
    it.waiting_since.reset();
    if (std::holds_alternative<connection_lost>(res)) {
        it.connection.release()->deleteLater();
        apply(probe_refused{instance});
        return;
    }
    note_position(instance, std::get<results>(res).back(), sent_at);
    confirm_replicated();
    pace_probes();
    pump();
}

void group_owner::pace_probes()
{
    if (!replicating_.empty()) {
        replication_timer_.start(to_milliseconds(options_.fast_probe_interval));
        return;
    }
    const bool behind =
        std::any_of(group_.instances.begin(), group_.instances.end(), [&](const auto& it) {
            return accepts_work(it.second) && group_.acknowledged &&
                   it.second.applied < *group_.acknowledged;
        });
    if (behind) {
        replication_timer_.start(to_milliseconds(options_.catch_up_probe_interval));
    }
    else {
        replication_timer_.stop();
    }
}

void group_owner::note_position(const std::string& instance, const query_result& probe,
                                time_point sent_at)
{
    const auto seen = parse_probe(probe);
    const auto known = group_.instances.find(instance);
    if (!seen || known == group_.instances.end()) {
        return;
    }
    // Whatever a statement brought along needs no probe of its own.
    monitors_[instance].probe_at = sent_at + options_.probe_interval;
    const bool was_reachable = known->second.reachable;
    apply(probe_answered{instance, seen->in_recovery, seen->received, seen->applied, sent_at});
    if (!was_reachable && known->second.reachable) {
        log_event(event_id::instance_reachable,
                  {{"instance", instance}, {"role", seen->in_recovery ? "replica" : "primary"}});
        if (!seen->in_recovery && !group_.primary.empty() && instance != group_.primary) {
            log_event(event_id::stale_primary_ignored, {{"instance", instance}});
        }
    }
}

void group_owner::promote(const std::string& instance)
{
    monitors_[instance].promote = true;
    probe(instance);
}

void group_owner::prepare_primary()
{
    const std::string primary = group_.primary;
    if (!pool_.can_acquire(primary, false)) {
        return;
    }
    ++running_[primary];
    pool_.acquire(primary, false, [this, primary](db_session* session, const std::string&) {
        if (session == nullptr) {
            --running_[primary];
            return;
        }
        session->connection->run({make_claim_table()}, [this, session](batch_outcome res) {
            const auto* rows = std::get_if<results>(&res);
            claims_ready_ = rows != nullptr && succeeded(rows->front());
            release_orphan(session);
            pump();
        });
    });
}

void group_owner::clean_claims(time_point now)
{
    if (!claims_ready_ && group_.primary_serves && now >= claims_cleaned_at_) {
        // The first attempt after a promotion may have found no connection.
        claims_cleaned_at_ = now + seconds(1);
        prepare_primary();
        return;
    }
    if (!claims_ready_ || now - claims_cleaned_at_ < claim_cleaning_interval ||
        !group_.primary_serves || !pool_.can_acquire(group_.primary, false)) {
        return;
    }
    claims_cleaned_at_ = now;
    const std::string primary = group_.primary;
    const auto before = std::chrono::system_clock::now() - options_.claim_lifetime;
    const auto unix_seconds =
        std::chrono::duration_cast<seconds>(before.time_since_epoch()).count();
    ++running_[primary];
    pool_.acquire(primary, false,
                  [this, primary, unix_seconds](db_session* session, const std::string&) {
                      if (session == nullptr) {
                          --running_[primary];
                          return;
                      }
                      session->connection->run(
                          {drop_old_claims(unix_seconds)},
                          [this, session](const batch_outcome&) { release_orphan(session); });
                  });
}

void group_owner::lose_instance(const std::string& instance, bool forget)
{
    log_event(forget ? event_id::instance_expired : event_id::instance_unreachable,
              {{"group", options_.group}, {"instance", instance}});
    std::vector<std::string> broken;
    for (const auto& [name, it] : transactions_) {
        if (it.session->instance == instance && it.work == 0) {
            broken.push_back(name);
        }
    }
    for (const std::string& name : broken) {
        end_transaction(name, false);
    }
    std::vector<std::uint64_t> running;
    for (const auto& [id, it] : works_) {
        if (it.session != nullptr && it.session->instance == instance) {
            running.push_back(id);
        }
    }
    for (const std::uint64_t id : running) {
        on_lost(id);
    }
    (void)pool_.drop_instance(instance);
    running_[instance] = 0;
    auto& monitor = monitors_[instance];
    if (monitor.connection) {
        monitor.connection->drop_handlers();
        monitor.connection.release()->deleteLater();
    }
    monitor.waiting_since.reset();
    if (forget) {
        monitors_.erase(instance);
    }
}

}  // namespace balsamdrift
