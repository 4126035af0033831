#include "entry/group_owner.h"

#include <QUuid>
#include <algorithm>

#include "base/event_log.h"
#include "base/invariant.h"
#include "base/metrics.h"
#include "core/registry/item_id.h"
#include "databases/system_queries.h"
#include "entry/answers.h"
#include "entry/claim_statements.h"

namespace balsamdrift {
namespace {

constexpr milliseconds tick_interval(20);

/// Longest accepted time until a request's deadline.
constexpr milliseconds max_remaining_time(60'000);

/// Retry delay of writes that are refused in the maintenance preset.
constexpr milliseconds maintenance_retry_after(5'000);

bool is_transactional(work_kind kind)
{
    return kind == work_kind::transaction_statement || kind == work_kind::commit ||
           kind == work_kind::rollback;
}

}  // namespace

group_owner::group_owner(group_owner_options options, entry_view& view, propose_function propose)
    : options_(std::move(options)),
      view_(view),
      propose_(std::move(propose)),
      pool_(this, [this](const std::string& instance) { apply(probe_refused{instance}); })
{
    route_options_.failure_domain = options_.failure_domain;
    group_ = make_group({}, monotonic_clock::now());
    refresh_settings();
    connect(&timer_, &QTimer::timeout, this, &group_owner::on_tick);
    connect(&fast_probe_timer_, &QTimer::timeout, this, [this] {
        for (auto& [instance, it] : monitors_) {
            probe(instance);
        }
    });
    fast_probe_timer_.setTimerType(Qt::PreciseTimer);
    timer_.start(tick_interval);
}

group_owner::~group_owner() { end_epoch(); }

void group_owner::refresh_settings()
{
    const auto state = view_.state();
    const auto found = state->groups.find(options_.group);
    if (found == state->groups.end()) {
        return;
    }
    record_ = found->second;
    policy_ = policy_of(state->preset.in_force);
    preset_switching_ = state->preset.switching;
    group_.options.instances = record_.instances;
    group_.options.replicated_acknowledgement =
        record_.ack == acknowledgement::replicated && record_.instances > 1;
    route_options_.slots = record_.slots;
    route_options_.default_max_age = policy_.default_max_age;
    const int replicas = std::max(record_.instances - 1, 0);
    // The primary gets the connections that are left after one monitor for each instance and the
    // slots of the replicas.
    const int primary_connections =
        record_.connections - record_.instances - replicas * record_.slots;
    pool_.set_limits(
        {.replica = record_.slots, .primary = std::max(primary_connections, record_.slots)},
        record_.primary);
}

void group_owner::on_view_changed()
{
    refresh_settings();
    if (!record_.primary.empty()) {
        apply(primary_in_force{record_.primary, record_.primary_term});
    }
    dispatch_queue();
}

bool group_owner::still_owns() const
{
    return !ended_ &&
           view_.owns(group_item(options_.group), options_.epoch, monotonic_clock::now());
}

int group_owner::total_slots(bool read) const
{
    const auto replicas =
        std::count_if(group_.instances.begin(), group_.instances.end(),
                      [](const auto& it) { return it.second.reachable && it.second.in_recovery; });
    return record_.slots * (read ? std::max(static_cast<int>(replicas), 1) : 1);
}

std::optional<work_answer> group_owner::check_admission(const work_request& request,
                                                        time_point deadline, time_point now) const
{
    if (draining_ && !is_transactional(request.kind)) {
        return not_run_answer("not_owner", "the owner hands the group over");
    }
    if (!still_owns()) {
        return not_run_answer("not_owner", "this VM does not own the group");
    }
    if (is_transactional(request.kind)) {
        const auto found = transactions_.find(request.transaction);
        if (found == transactions_.end() || found->second.customer != request.customer) {
            return not_run_answer("unknown_transaction",
                                  "no such transaction is open; it ended or was rolled back");
        }
        if (found->second.request_id != 0) {
            return not_run_answer("transaction_busy",
                                  "a statement of the transaction is still running");
        }
        return std::nullopt;
    }
    if (request.kind != work_kind::read && !policy_.accepts_writes) {
        return not_run_answer("maintenance", "writes are not taken under the preset in force",
                              maintenance_retry_after);
    }
    const bool read = request.kind == work_kind::read;
    const duration wait =
        estimate_wait(queue_, request.customer, total_slots(read), service_time_).wait;
    const auto backlog = queue_.customers.find(request.customer);
    const std::size_t waiting =
        backlog == queue_.customers.end() ? 0 : backlog->second.waiting.size();
    if (waiting >= policy_.customer_queue_limit) {
        return not_run_answer("queue_full", "too many statements of the customer are waiting",
                              wait);
    }
    if (wait > std::min(policy_.max_queue_wait, deadline - now)) {
        return not_run_answer("overloaded", "the statement would not start in time", wait);
    }
    return std::nullopt;
}

void group_owner::submit(work_request request, answer_function on_answer)
{
    const std::uint64_t id = request.id;
    if (const auto known = requests_.find(id); known != requests_.end()) {
        // The sender repeated a request that is still in progress.
        known->second.on_answer = std::move(on_answer);
        return;
    }
    const time_point now = monotonic_clock::now();
    const milliseconds remaining =
        std::clamp(milliseconds(request.remaining_ms), milliseconds(0), max_remaining_time);
    const time_point deadline = now + remaining;
    if (auto refusal = check_admission(request, deadline, now)) {
        refusal->id = id;
        on_answer(std::move(*refusal));
        return;
    }
    record_request(retries_);
    active_request& it = requests_[id];
    it.request = std::move(request);
    it.on_answer = std::move(on_answer);
    it.deadline = deadline;
    if (is_transactional(it.request.kind)) {
        start_in_transaction(id);
        return;
    }
    push(queue_, {id, it.request.customer, deadline});
    dispatch_queue();
}

void group_owner::cancel(const std::string& customer, std::uint64_t request_id)
{
    const auto found = requests_.find(request_id);
    const bool queued = found != requests_.end() && found->second.phase == request_phase::queued &&
                        found->second.request.customer == customer;
    if (queued && remove(queue_, customer, request_id)) {
        requests_.erase(found);
    }
}

bool group_owner::can_start(const active_request& candidate, std::string& instance) const
{
    const bool read = candidate.request.kind == work_kind::read;
    if (!candidate.request.idempotency_key.empty() && !claims_ready_) {
        return false;
    }
    route_request route{
        .read = read, .min_position = candidate.request.min_position, .max_age = std::nullopt};
    if (candidate.request.max_age_ms >= 0) {
        route.max_age = milliseconds(candidate.request.max_age_ms);
    }
    const routing_decision chosen =
        choose_instance(group_, running_, route, route_options_, monotonic_clock::now());
    const auto* target = std::get_if<use_instance>(&chosen);
    if (target == nullptr || !pool_.can_acquire(target->instance, read)) {
        return false;
    }
    instance = target->instance;
    return true;
}

void group_owner::dispatch_queue()
{
    if (dispatching_ || preset_switching_ || ended_) {
        return;
    }
    dispatching_ = true;
    std::string instance;
    const auto startable = [&](const queued_statement& it) {
        return can_start(requests_.at(it.id), instance);
    };
    while (queue_.size > 0) {
        const auto next = pop(queue_, startable);
        if (!next) {
            break;
        }
        // Sets `instance` for the statement that was chosen: pop() may have checked another one
        // last.
        if (!can_start(requests_.at(next->id), instance)) {
            push(queue_, *next);
            break;
        }
        start(next->id, instance);
    }
    dispatching_ = false;
}

void group_owner::start(std::uint64_t id, const std::string& instance)
{
    active_request& it = requests_.at(id);
    it.phase = request_phase::connecting;
    it.instance = instance;
    ++it.attempts;
    ++running_[instance];
    const bool read = it.request.kind == work_kind::read;
    pool_.acquire(instance, read,
                  [this, id, instance](db_connection* connection, const std::string& message) {
                      on_connection_acquired(id, instance, connection, message);
                  });
}

void group_owner::on_connection_acquired(std::uint64_t id, const std::string& instance,
                                         db_connection* connection, const std::string& message)
{
    const auto found = requests_.find(id);
    const bool awaited =
        found != requests_.end() && found->second.phase == request_phase::connecting;
    if (connection == nullptr) {
        --running_[instance];
        apply(probe_refused{instance});
        if (awaited) {
            requeue(id, message);
        }
        return;
    }
    if (!awaited || !still_owns()) {
        --running_[instance];
        pool_.release(connection, true);
        if (awaited) {
            answer(id, not_run_answer("not_owner", "the ownership ended"));
        }
        dispatch_queue();
        return;
    }
    active_request& it = found->second;
    it.phase = request_phase::running;
    it.connection = connection;
    it.started_at = monotonic_clock::now();
    connection->request_id = id;
    const sql_statement statement{it.request.sql, it.request.params};
    const sql_statement probe{probe_query, {}};
    switch (it.request.kind) {
        case work_kind::read: run_batch(id, {statement, probe}, &group_owner::on_read); return;
        case work_kind::begin: run_batch(id, {{"BEGIN", {}}}, &group_owner::on_begin); return;
        default: break;
    }
    if (it.request.idempotency_key.empty()) {
        it.may_have_run = true;
        run_batch(id, {statement, probe}, &group_owner::on_write);
        return;
    }
    const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
    const auto unix_seconds = std::chrono::duration_cast<seconds>(unix_time).count();
    run_batch(id, {{"BEGIN", {}}, insert_claim(it.request, unix_seconds), statement},
              &group_owner::on_claim_inserted);
}

void group_owner::start_in_transaction(std::uint64_t id)
{
    active_request& it = requests_.at(id);
    open_transaction& transaction = transactions_.at(it.request.transaction);
    if (!transaction.connection->transport->is_open()) {
        const std::string name = it.request.transaction;
        answer(id, not_run_answer("transaction_lost",
                                  "the instance closed the connection; the transaction was "
                                  "rolled back"));
        end_transaction(name, false);
        return;
    }
    transaction.request_id = id;
    transaction.used_at = monotonic_clock::now();
    it.phase = request_phase::running;
    it.started_at = transaction.used_at;
    it.connection = transaction.connection;
    it.instance = transaction.connection->instance;
    transaction.connection->request_id = id;
    const sql_statement probe{probe_query, {}};
    switch (it.request.kind) {
        case work_kind::commit:
            it.may_have_run = true;
            run_batch(id, {{"COMMIT", {}}, probe}, &group_owner::on_transaction_end);
            return;
        case work_kind::rollback:
            run_batch(id, {{"ROLLBACK", {}}, probe}, &group_owner::on_transaction_end);
            return;
        default:
            run_batch(id, {{it.request.sql, it.request.params}},
                      &group_owner::on_transaction_statement);
    }
}

void group_owner::run_batch(std::uint64_t id, const std::vector<sql_statement>& batch,
                            result_handler on_results)
{
    active_request& it = requests_.at(id);
    db_connection* const connection = it.connection;
    std::vector<sql_statement> statements = batch;
    // The first batch after another use of the connection starts by resetting the state left by it.
    const bool reset = connection->needs_reset;
    if (reset) {
        statements.insert(statements.begin(), sql_statement{reset_query, {}});
    }
    connection->needs_reset = false;
    connection->transport->run(statements,
                               [this, id, connection, reset, on_results](batch_outcome res) {
                                   on_batch_done(id, connection, reset, on_results, std::move(res));
                               });
}

void group_owner::on_batch_done(std::uint64_t id, db_connection* connection, bool was_reset,
                                result_handler on_results, batch_outcome res)
{
    const auto found = requests_.find(id);
    const bool awaited = found != requests_.end() && found->second.connection == connection;
    if (std::holds_alternative<connection_lost>(res)) {
        log_event(event_id::connection_discarded,
                  {{"instance", connection->instance},
                   {"reason", std::get<connection_lost>(res).message}});
        apply(probe_refused{connection->instance});
        if (awaited) {
            on_connection_lost(id);
        }
        else {
            --running_[connection->instance];
            pool_.discard(connection);
        }
        dispatch_queue();
        return;
    }
    if (!awaited) {
        return_connection(connection);
        dispatch_queue();
        return;
    }
    auto& batch_results = std::get<results>(res);
    const bool reset_failed = was_reset && !succeeded(batch_results.front());
    if (was_reset) {
        batch_results.erase(batch_results.begin());
    }
    if (reset_failed) {
        on_connection_lost(id);
    }
    else {
        const duration took = monotonic_clock::now() - found->second.started_at;
        constexpr int smoothing_divisor = 16;
        service_time_ += (took - service_time_) / smoothing_divisor;
        (this->*on_results)(id, batch_results);
    }
    dispatch_queue();
}

void group_owner::return_connection(db_connection* connection)
{
    --running_[connection->instance];
    const bool clean = connection->transport->transaction() == transaction_status::idle;
    connection->needs_reset = true;
    pool_.release(connection, clean);
}

int group_owner::writes_in_flight() const
{
    const auto writes = std::count_if(requests_.begin(), requests_.end(), [](const auto& it) {
        return it.second.phase != request_phase::queued &&
               it.second.request.kind != work_kind::read;
    });
    return static_cast<int>(writes) + static_cast<int>(transactions_.size());
}

void group_owner::on_tick()
{
    const time_point now = monotonic_clock::now();
    apply(group_ticked{writes_in_flight()});
    for (const auto& [instance, it] : group_.instances) {
        monitor& instance_monitor = monitors_[instance];
        if (now >= instance_monitor.next_probe_at) {
            probe(instance);
        }
    }
    expire_requests(now);
    expire_transactions(now);
    maintain_claims(now);
    acknowledge_replicated_writes();
    dispatch_queue();
}

void group_owner::expire_requests(time_point now)
{
    for (const queued_statement& it : take_expired(queue_, now)) {
        answer(it.id, not_run_answer("deadline_exceeded", "the statement did not start in time",
                                     service_time_));
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [id, it] : requests_) {
        if (it.phase != request_phase::queued && it.deadline <= now) {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired) {
        active_request& it = requests_.at(id);
        if (is_transactional(it.request.kind)) {
            // The connection is closed too; otherwise the transaction could stay open unnoticed.
            const std::string transaction = it.request.transaction;
            const bool committing = it.request.kind == work_kind::commit;
            answer(id, committing ? unknown_answer("the commit was not confirmed in time")
                                  : not_run_answer("transaction_lost",
                                                   "the statement took too long; the transaction "
                                                   "was rolled back"));
            end_transaction(transaction, false);
            continue;
        }
        const bool unknown = it.may_have_run || it.request.kind == work_kind::read;
        answer(id, unknown ? unknown_answer("no answer came in time")
                           : not_run_answer("deadline_exceeded", "the statement was given up"));
    }
}

void group_owner::expire_transactions(time_point now)
{
    std::vector<std::string> idle;
    for (const auto& [name, it] : transactions_) {
        if (it.request_id == 0 && now - it.used_at >= policy_.transaction_idle_limit) {
            idle.push_back(name);
        }
    }
    for (const std::string& name : idle) {
        log_event(event_id::transaction_expired, {{"group", options_.group}});
        end_transaction(name, false);
    }
}

void group_owner::end_epoch()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.stop();
    fast_probe_timer_.stop();
    (void)take_all(queue_);
    while (!requests_.empty()) {
        const auto& [id, it] = *requests_.begin();
        const bool unknown = it.may_have_run;
        answer(id, unknown ? unknown_answer("the owner of the group changed")
                           : not_run_answer("not_owner", "the owner of the group changed"));
    }
}

group_status group_owner::status() const
{
    return {.group = options_.group,
            .epoch = options_.epoch,
            .state = group_,
            .running = running_,
            .queued = queue_.size,
            .connections = pool_.size() + monitors_.size(),
            .transactions = transactions_.size()};
}

}  // namespace balsamdrift
