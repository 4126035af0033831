#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "core/registry/item_id.h"
#include "databases/system_queries.h"
#include "entry/claim_statements.h"
#include "entry/group_owner.h"

// Probing, promotion and loss of instances; the third part of group_owner.

namespace balsamdrift {
namespace {

/// Interval between deletions of expired claims.
constexpr std::chrono::minutes claim_deletion_interval(10);

}  // namespace

void group_owner::handle_announcement(const announcement& announced)
{
    auto address = parse_endpoint(announced.address);
    if (!succeeded(address)) {
        return;
    }
    const auto known = group_.instances.find(announced.instance);
    if (known == group_.instances.end()) {
        log_event(event_id::instance_announced, {{"group", options_.group},
                                                 {"instance", announced.instance},
                                                 {"address", announced.address}});
    }
    else if (announced.leaving && !known->second.leaving) {
        log_event(event_id::instance_leaving, {{"instance", announced.instance}});
    }
    pool_.set_address(announced.instance, value_of(address));
    apply(instance_announced{announced.instance, value_of(address), announced.failure_domain,
                             announced.leaving});
    monitors_[announced.instance];
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
                request_promotion(it.instance);
            },
            [&](const drop_instance& it) { close_instance(it.instance, it.expired); },
            [&](const primary_ready& it) {
                log_event(event_id::promotion_finished, {{"group", options_.group},
                                                         {"instance", it.instance},
                                                         {"term", std::to_string(it.term)}});
                claims_ready_ = false;
                prepare_claim_table();
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
    it.next_probe_at = now + options_.probe_interval;
    const bool timed_out =
        it.waiting_since && now - *it.waiting_since >= group_.options.answer_timeout;
    if (it.connection && timed_out) {
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
    if (std::exchange(it.promotion_requested, false)) {
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
    record_position(instance, std::get<results>(res).back(), sent_at);
    acknowledge_replicated_writes();
    adjust_probe_rate();
    dispatch_queue();
}

void group_owner::adjust_probe_rate()
{
    if (!awaiting_replication_.empty()) {
        fast_probe_timer_.start(to_milliseconds(options_.replication_probe_interval));
        return;
    }
    const bool replica_behind =
        std::any_of(group_.instances.begin(), group_.instances.end(), [&](const auto& it) {
            return accepts_work(it.second) && group_.acknowledged &&
                   it.second.applied < *group_.acknowledged;
        });
    if (replica_behind) {
        fast_probe_timer_.start(to_milliseconds(options_.catch_up_probe_interval));
    }
    else {
        fast_probe_timer_.stop();
    }
}

void group_owner::record_position(const std::string& instance, const query_result& probe,
                                  time_point sent_at)
{
    const auto probed = parse_probe(probe);
    const auto known = group_.instances.find(instance);
    if (!probed || known == group_.instances.end()) {
        return;
    }
    // Results of statements include a probe, so the next one of the monitor is postponed.
    monitors_[instance].next_probe_at = sent_at + options_.probe_interval;
    const bool was_reachable = known->second.reachable;
    apply(
        probe_answered{instance, probed->in_recovery, probed->received, probed->applied, sent_at});
    if (!was_reachable && known->second.reachable) {
        log_event(event_id::instance_reachable,
                  {{"instance", instance}, {"role", probed->in_recovery ? "replica" : "primary"}});
        if (!probed->in_recovery && !group_.primary.empty() && instance != group_.primary) {
            log_event(event_id::stale_primary_ignored, {{"instance", instance}});
        }
    }
}

void group_owner::request_promotion(const std::string& instance)
{
    monitors_[instance].promotion_requested = true;
    probe(instance);
}

void group_owner::prepare_claim_table()
{
    const std::string primary = group_.primary;
    if (!pool_.can_acquire(primary, false)) {
        return;
    }
    ++running_[primary];
    pool_.acquire(primary, false, [this, primary](db_connection* connection, const std::string&) {
        if (connection == nullptr) {
            --running_[primary];
            return;
        }
        connection->transport->run({create_claim_table()}, [this, connection](batch_outcome res) {
            const auto* batch_results = std::get_if<results>(&res);
            claims_ready_ = batch_results != nullptr && succeeded(batch_results->front());
            return_connection(connection);
            dispatch_queue();
        });
    });
}

void group_owner::maintain_claims(time_point now)
{
    if (!claims_ready_ && group_.primary_serves && now >= claims_maintained_at_) {
        // The attempt right after a promotion may have found no free connection.
        claims_maintained_at_ = now + seconds(1);
        prepare_claim_table();
        return;
    }
    if (!claims_ready_ || now - claims_maintained_at_ < claim_deletion_interval ||
        !group_.primary_serves || !pool_.can_acquire(group_.primary, false)) {
        return;
    }
    claims_maintained_at_ = now;
    const std::string primary = group_.primary;
    const auto before = std::chrono::system_clock::now() - options_.claim_lifetime;
    const auto unix_seconds =
        std::chrono::duration_cast<seconds>(before.time_since_epoch()).count();
    ++running_[primary];
    pool_.acquire(primary, false,
                  [this, primary, unix_seconds](db_connection* connection, const std::string&) {
                      if (connection == nullptr) {
                          --running_[primary];
                          return;
                      }
                      connection->transport->run({delete_claims_before(unix_seconds)},
                                                 [this, connection](const batch_outcome&) {
                                                     return_connection(connection);
                                                 });
                  });
}

void group_owner::close_instance(const std::string& instance, bool expired)
{
    log_event(expired ? event_id::instance_expired : event_id::instance_unreachable,
              {{"group", options_.group}, {"instance", instance}});
    std::vector<std::string> lost_transactions;
    for (const auto& [name, it] : transactions_) {
        if (it.connection->instance == instance && it.request_id == 0) {
            lost_transactions.push_back(name);
        }
    }
    for (const std::string& name : lost_transactions) {
        end_transaction(name, false);
    }
    std::vector<std::uint64_t> lost_requests;
    for (const auto& [id, it] : requests_) {
        if (it.connection != nullptr && it.connection->instance == instance) {
            lost_requests.push_back(id);
        }
    }
    for (const std::uint64_t id : lost_requests) {
        on_connection_lost(id);
    }
    (void)pool_.drop_instance(instance);
    running_[instance] = 0;
    auto& monitor = monitors_[instance];
    if (monitor.connection) {
        monitor.connection->drop_handlers();
        monitor.connection.release()->deleteLater();
    }
    monitor.waiting_since.reset();
    if (expired) {
        monitors_.erase(instance);
    }
}

}  // namespace balsamdrift
