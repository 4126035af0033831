#include <QUuid>

#include "base/event_log.h"
#include "base/invariant.h"
#include "base/metrics.h"
#include "databases/system_queries.h"
#include "entry/answers.h"
#include "entry/claim_statements.h"
#include "entry/group_owner.h"

// Handlers of instances' results; the second part of group_owner.

namespace balsamdrift {
namespace {

constexpr const char* unique_violation = "23505";
constexpr const char* undefined_table = "42P01";
constexpr const char* read_only_transaction = "25006";

/// Attempts to run a request, including the first.
constexpr int max_attempts = 4;

/// Largest answer that is stored with a claim, in bytes.
constexpr std::size_t max_stored_answer_bytes = std::size_t{64} * 1024;

/// Stored with the claim instead of a larger answer.
constexpr const char* answer_not_stored =
    "{\"columns\":[],\"rows\":[],\"affected\":0,\"answer_not_kept\":true}";

/// True when the instance refused the statement because it is shutting down or is not the primary
/// any more: the statement had no effect and another attempt may succeed.
bool refused_by_instance(const query_result& res)
{
    return res.sqlstate == read_only_transaction || res.sqlstate.starts_with("57P");
}

std::string command_tag(const query_result& res) { return PQcmdStatus(res.rows.get()); }

/// True when running the request again cannot repeat its effect.
bool is_repeatable(const work_request& request)
{
    return request.kind == work_kind::read || request.kind == work_kind::idempotent_write ||
           request.kind == work_kind::begin || !request.idempotency_key.empty();
}

}  // namespace

void group_owner::release_connection(active_request& request)
{
    if (request.connection == nullptr) {
        return;
    }
    db_connection* const connection = std::exchange(request.connection, nullptr);
    return_connection(connection);
}

void group_owner::answer(std::uint64_t id, work_answer reply)
{
    const auto found = requests_.find(id);
    BALSAMDRIFT_INVARIANT(found != requests_.end());
    const active_request it = std::move(found->second);
    requests_.erase(found);
    awaiting_replication_.erase(id);
    reply.id = id;
    if (reply.instance.empty()) {
        reply.instance = it.instance;
    }
    it.on_answer(std::move(reply));
}

void group_owner::answer_sql_error(std::uint64_t id, const query_result& res)
{
    work_answer reply = not_run_answer("sql_error", res.message);
    reply.sqlstate = res.sqlstate;
    answer(id, std::move(reply));
}

void group_owner::requeue(std::uint64_t id, const std::string& reason)
{
    active_request& it = requests_.at(id);
    it.phase = request_phase::queued;
    it.connection = nullptr;
    awaiting_replication_.erase(id);
    const bool exhausted = it.attempts >= max_attempts || it.deadline <= monotonic_clock::now();
    if (exhausted || !take_retry(retries_)) {
        answer(id, it.may_have_run ? unknown_answer(reason)
                                   : not_run_answer("instance_lost", reason, seconds(1)));
        return;
    }
    count_metric("balsamdrift_retries_total");
    push(queue_, {id, it.request.customer, it.deadline});
}

void group_owner::retry_or_report_unknown(std::uint64_t id, const std::string& reason)
{
    const active_request& it = requests_.at(id);
    if (is_repeatable(it.request)) {
        requeue(id, reason);
        return;
    }
    answer(id, unknown_answer(reason));
}

void group_owner::on_connection_lost(std::uint64_t id)
{
    active_request& it = requests_.at(id);
    const work_request& request = it.request;
    const bool in_transaction = transactions_.contains(request.transaction);
    if (in_transaction) {
        const std::string transaction = request.transaction;
        if (request.kind == work_kind::commit) {
            answer(id, unknown_answer("the connection was lost during the commit"));
        }
        else {
            answer(id, not_run_answer("transaction_lost",
                                      "the connection was lost; the transaction was rolled back"));
        }
        end_transaction(transaction, false);
        return;
    }
    if (it.connection != nullptr) {
        --running_[it.instance];
        pool_.discard(std::exchange(it.connection, nullptr));
    }
    if (it.may_have_run) {
        retry_or_report_unknown(id, "the connection was lost");
    }
    else {
        requeue(id, "the connection was lost");
    }
}

void group_owner::on_read(std::uint64_t id, results& res)
{
    active_request& it = requests_.at(id);
    const std::string instance = it.instance;
    record_position(instance, res.at(1), it.started_at);
    release_connection(it);
    if (!succeeded(res.at(0))) {
        answer_sql_error(id, res.at(0));
        return;
    }
    const auto seen = parse_probe(res.at(1));
    const bool from_primary = instance == group_.primary;
    const bool still_primary =
        seen && !seen->in_recovery && seen->received.term >= group_.primary_term;
    const bool is_fresh_enough = seen && seen->applied >= it.request.min_position;
    if (!seen || (from_primary ? !still_primary : !is_fresh_enough)) {
        requeue(id, "the instance changed its role or its data during the read");
        return;
    }
    if (!still_owns()) {
        answer(id, not_run_answer("not_owner", "the ownership ended"));
        return;
    }
    work_answer reply{.outcome = run_outcome::ran, .result = to_json(res.at(0))};
    reply.position = seen->applied;
    reply.from_replica = !from_primary;
    answer(id, std::move(reply));
}

void group_owner::on_write(std::uint64_t id, results& res)
{
    active_request& it = requests_.at(id);
    const bool no_transaction = it.connection->transport->transaction() == transaction_status::idle;
    record_position(it.instance, res.at(1), it.started_at);
    release_connection(it);
    if (!succeeded(res.at(0))) {
        it.may_have_run = false;
        if (refused_by_instance(res.at(0))) {
            requeue(id, res.at(0).message);
        }
        else {
            answer_sql_error(id, res.at(0));
        }
        return;
    }
    if (!no_transaction) {
        // The statement opened a transaction. release_connection() closed the connection, which
        // rolled the transaction back.
        answer(id, not_run_answer("transaction_control",
                                  "transactions are opened through the transactions resource"));
        return;
    }
    finish_write(id, res.at(1), to_json(res.at(0)));
}

void group_owner::on_claim_inserted(std::uint64_t id, results& res)
{
    active_request& it = requests_.at(id);
    const query_result& claim = res.at(1);
    if (claim.sqlstate == unique_violation) {
        run_batch(id, {{"ROLLBACK", {}}, select_claim(it.request), {probe_query, {}}},
                  &group_owner::on_claim_selected);
        return;
    }
    const query_result& failed =
        succeeded(res.at(0)) ? (succeeded(claim) ? res.at(2) : claim) : res.at(0);
    const bool open = it.connection->transport->transaction() == transaction_status::open;
    if (succeeded(failed) && open) {
        std::string stored_answer = to_json(res.at(2));
        it.answer.result = stored_answer;
        if (stored_answer.size() > max_stored_answer_bytes) {
            stored_answer = answer_not_stored;
        }
        it.may_have_run = true;
        run_batch(
            id, {store_claim_answer(it.request, stored_answer), {"COMMIT", {}}, {probe_query, {}}},
            &group_owner::on_claim_committed);
        return;
    }
    // Nothing was committed. The connection is closed if its transaction is still open, and the
    // instance rolls back.
    release_connection(it);
    if (claim.sqlstate == undefined_table) {
        claims_ready_ = false;
        prepare_claim_table();
        requeue(id, "the table of claims is being made");
    }
    else if (succeeded(failed)) {
        answer(id, not_run_answer("transaction_control",
                                  "transactions are opened through the transactions resource"));
    }
    else if (refused_by_instance(failed)) {
        requeue(id, failed.message);
    }
    else {
        answer_sql_error(id, failed);
    }
}

void group_owner::on_claim_selected(std::uint64_t id, results& res)
{
    active_request& it = requests_.at(id);
    record_position(it.instance, res.at(2), it.started_at);
    release_connection(it);
    const query_result& claim = res.at(1);
    if (!succeeded(claim) || PQntuples(claim.rows.get()) == 0) {
        requeue(id, "the earlier claim went away");
        return;
    }
    if (cell_text(claim, 0, 0) != request_fingerprint(it.request)) {
        answer(id,
               not_run_answer("idempotency_key_reused", "the key was used for another statement"));
        return;
    }
    finish_write(id, res.at(2), cell_text(claim, 0, 1));
}

void group_owner::on_claim_committed(std::uint64_t id, results& res)
{
    active_request& it = requests_.at(id);
    record_position(it.instance, res.at(2), it.started_at);
    release_connection(it);
    const bool committed = succeeded(res.at(1)) && command_tag(res.at(1)) == "COMMIT";
    if (!committed) {
        it.may_have_run = false;
        requeue(id, "the instance rolled the write back");
        return;
    }
    finish_write(id, res.at(2), std::move(it.answer.result));
}

void group_owner::on_begin(std::uint64_t id, results& res)
{
    active_request& it = requests_.at(id);
    if (!succeeded(res.at(0))) {
        release_connection(it);
        answer_sql_error(id, res.at(0));
        return;
    }
    const std::string name = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
    db_connection* const connection = std::exchange(it.connection, nullptr);
    --running_[connection->instance];
    connection->request_id = 0;
    transactions_[name] = {.customer = it.request.customer,
                           .connection = connection,
                           .used_at = monotonic_clock::now(),
                           .request_id = 0,
                           .term = group_.primary_term};
    work_answer reply{.outcome = run_outcome::ran, .result = "{}", .transaction = name};
    reply.position = it.request.min_position;
    answer(id, std::move(reply));
}

void group_owner::on_transaction_statement(std::uint64_t id, results& res)
{
    active_request& it = requests_.at(id);
    const std::string name = it.request.transaction;
    open_transaction& transaction = transactions_.at(name);
    transaction.request_id = 0;
    transaction.used_at = monotonic_clock::now();
    it.connection->request_id = 0;
    const transaction_status state = it.connection->transport->transaction();
    const bool still_open =
        state == transaction_status::open || state == transaction_status::failed;
    if (!still_open) {
        answer(id, unknown_answer("the statement ended its transaction"));
        end_transaction(name, false);
        return;
    }
    if (!succeeded(res.at(0))) {
        answer_sql_error(id, res.at(0));
        return;
    }
    work_answer reply{.outcome = run_outcome::ran, .result = to_json(res.at(0))};
    reply.transaction = name;
    reply.position = it.request.min_position;
    answer(id, std::move(reply));
}

void group_owner::on_transaction_end(std::uint64_t id, results& res)
{
    active_request& it = requests_.at(id);
    record_position(it.instance, res.at(1), it.started_at);
    const bool commits = it.request.kind == work_kind::commit;
    it.connection = nullptr;
    end_transaction(it.request.transaction, true);
    const bool committed = succeeded(res.at(0)) && command_tag(res.at(0)) == "COMMIT";
    if (commits && committed) {
        finish_write(id, res.at(1), "{}");
        return;
    }
    if (commits) {
        answer(id, not_run_answer("transaction_failed",
                                  "a statement had failed; the transaction was rolled back"));
        return;
    }
    work_answer reply{.outcome = run_outcome::ran, .result = "{}"};
    reply.position = it.request.min_position;
    answer(id, std::move(reply));
}

void group_owner::end_transaction(const std::string& name, bool clean)
{
    const auto found = transactions_.find(name);
    if (found == transactions_.end()) {
        return;
    }
    db_connection* const connection = found->second.connection;
    transactions_.erase(found);
    if (!clean || connection->transport->transaction() != transaction_status::idle) {
        pool_.discard(connection);
        return;
    }
    connection->needs_reset = true;
    pool_.release(connection, true);
}

bool group_owner::may_acknowledge(const active_request& write) const
{
    // Nothing is acknowledged while a new primary is being recorded or promoted: it was chosen by
    // the positions acknowledged until then, and may lack later writes.
    return still_owns() && group_.phase == failover_phase::steady &&
           group_.primary == write.instance && write.position.term >= group_.primary_term;
}

void group_owner::finish_write(std::uint64_t id, const query_result& probe, std::string result)
{
    active_request& it = requests_.at(id);
    const auto seen = parse_probe(probe);
    const bool by_primary = seen && !seen->in_recovery && it.instance == group_.primary &&
                            seen->received.term >= group_.primary_term;
    if (!by_primary) {
        retry_or_report_unknown(id, "the instance was replaced as primary during the write");
        return;
    }
    it.position = seen->received;
    it.answer = {.outcome = run_outcome::ran, .result = std::move(result)};
    it.answer.position = it.position;
    it.phase = request_phase::replicating;
    awaiting_replication_.insert(id);
    acknowledge_replicated_writes();
    adjust_probe_rate();
}

void group_owner::acknowledge_replicated_writes()
{
    const std::set<std::uint64_t> waiting = awaiting_replication_;
    for (const std::uint64_t id : waiting) {
        active_request& it = requests_.at(id);
        const bool replaced =
            group_.primary != it.instance || group_.primary_term > it.position.term;
        if (replaced) {
            retry_or_report_unknown(
                id, "the primary was replaced before a replica confirmed the write");
            continue;
        }
        const bool durable =
            !group_.options.replicated_acknowledgement || is_replicated(group_, it.position);
        if (durable && may_acknowledge(it)) {
            apply(write_acknowledged{it.position});
            work_answer reply = std::move(it.answer);
            answer(id, std::move(reply));
        }
    }
}

}  // namespace balsamdrift
