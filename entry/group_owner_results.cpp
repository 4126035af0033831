#include <QUuid>

#include "base/event_log.h"
#include "base/invariant.h"
#include "base/metrics.h"
#include "databases/system_queries.h"
#include "entry/answers.h"
#include "entry/claim_statements.h"
#include "entry/group_owner.h"

// What the answers of the instances mean: the second half of group_owner.

namespace balsamdrift {
namespace {

constexpr const char* unique_violation = "23505";
constexpr const char* undefined_table = "42P01";
constexpr const char* read_only_transaction = "25006";
constexpr int most_attempts = 4;

/// Largest answer that is kept beside a claim, in bytes.
constexpr std::size_t largest_kept_answer = std::size_t{64} * 1024;

constexpr const char* too_large_answer =
    "{\"columns\":[],\"rows\":[],\"affected\":0,\"answer_not_kept\":true}";

/// True when the instance refused because it shuts down or lost its role: the statement had no
/// effect and another attempt may succeed.
bool refused_by_instance(const query_result& res)
{
    return res.sqlstate == read_only_transaction || res.sqlstate.starts_with("57P");
}

std::string command_tag(const query_result& res) { return PQcmdStatus(res.rows.get()); }

/// True when running the request again cannot double its effect.
bool is_repeatable(const work_request& request)
{
    return request.kind == work_kind::read || request.kind == work_kind::idempotent_write ||
           request.kind == work_kind::begin || !request.idempotency_key.empty();
}

}  // namespace

void group_owner::release_session(work& it)
{
    if (it.session == nullptr) {
        return;
    }
    db_session* const session = std::exchange(it.session, nullptr);
    release_orphan(session);
}

void group_owner::answer(std::uint64_t id, work_answer reply)
{
    const auto found = works_.find(id);
    BALSAMDRIFT_INVARIANT(found != works_.end());
    const work it = std::move(found->second);
    works_.erase(found);
    replicating_.erase(id);
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

void group_owner::requeue(std::uint64_t id, const std::string& why)
{
    work& it = works_.at(id);
    it.phase = work_phase::queued;
    it.session = nullptr;
    replicating_.erase(id);
    const bool hopeless = it.attempts >= most_attempts || it.deadline <= monotonic_clock::now();
    if (hopeless || !take_retry(retries_)) {
        answer(id,
               it.sent ? unknown_answer(why) : not_run_answer("instance_lost", why, seconds(1)));
        return;
    }
    count_metric("balsamdrift_retries_total");
    push(queue_, {id, it.request.customer, it.deadline});
}

void group_owner::settle_unsure(std::uint64_t id, const std::string& why)
{
    const work& it = works_.at(id);
    if (is_repeatable(it.request)) {
        requeue(id, why);
        return;
    }
    answer(id, unknown_answer(why));
}

void group_owner::on_lost(std::uint64_t id)
{
    work& it = works_.at(id);
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
    if (it.session != nullptr) {
        --running_[it.instance];
        pool_.discard(std::exchange(it.session, nullptr));
    }
    if (it.sent) {
        settle_unsure(id, "the connection was lost");
    }
    else {
        requeue(id, "the connection was lost");
    }
}

void group_owner::on_read(std::uint64_t id, results& res)
{
    work& it = works_.at(id);
    const std::string instance = it.instance;
    note_position(instance, res.at(1), it.started_at);
    release_session(it);
    if (!succeeded(res.at(0))) {
        answer_sql_error(id, res.at(0));
        return;
    }
    const auto seen = parse_probe(res.at(1));
    const bool from_primary = instance == group_.primary;
    const bool still_primary =
        seen && !seen->in_recovery && seen->received.term >= group_.primary_term;
    const bool covers_session = seen && seen->applied >= it.request.min_position;
    if (!seen || (from_primary ? !still_primary : !covers_session)) {
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
    work& it = works_.at(id);
    const bool closed = it.session->connection->transaction() == transaction_status::idle;
    note_position(it.instance, res.at(1), it.started_at);
    release_session(it);
    if (!succeeded(res.at(0))) {
        it.sent = false;
        if (refused_by_instance(res.at(0))) {
            requeue(id, res.at(0).message);
        }
        else {
            answer_sql_error(id, res.at(0));
        }
        return;
    }
    if (!closed) {
        // The statement opened a transaction; its connection was closed, which rolled it back.
        answer(id, not_run_answer("transaction_control",
                                  "transactions are opened through the transactions resource"));
        return;
    }
    finish_write(id, res.at(1), to_json(res.at(0)));
}

void group_owner::on_claim_taken(std::uint64_t id, results& res)
{
    work& it = works_.at(id);
    const query_result& claim = res.at(1);
    if (claim.sqlstate == unique_violation) {
        run_batch(id, {{"ROLLBACK", {}}, read_claim(it.request), {probe_query, {}}},
                  &group_owner::on_claim_read);
        return;
    }
    const query_result& failed =
        succeeded(res.at(0)) ? (succeeded(claim) ? res.at(2) : claim) : res.at(0);
    const bool open = it.session->connection->transaction() == transaction_status::open;
    if (succeeded(failed) && open) {
        std::string kept = to_json(res.at(2));
        it.answer.result = kept;
        if (kept.size() > largest_kept_answer) {
            kept = too_large_answer;
        }
        it.sent = true;
        run_batch(id, {keep_answer(it.request, kept), {"COMMIT", {}}, {probe_query, {}}},
                  &group_owner::on_claim_committed);
        return;
    }
    // Nothing was committed: the connection closes and the instance rolls back.
    release_session(it);
    if (claim.sqlstate == undefined_table) {
        claims_ready_ = false;
        prepare_primary();
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

void group_owner::on_claim_read(std::uint64_t id, results& res)
{
    work& it = works_.at(id);
    note_position(it.instance, res.at(2), it.started_at);
    release_session(it);
    const query_result& claim = res.at(1);
    if (!succeeded(claim) || PQntuples(claim.rows.get()) == 0) {
        requeue(id, "the earlier claim went away");
        return;
    }
    if (cell_text(claim, 0, 0) != fingerprint_of(it.request)) {
        answer(id,
               not_run_answer("idempotency_key_reused", "the key was used for another statement"));
        return;
    }
    finish_write(id, res.at(2), cell_text(claim, 0, 1));
}

void group_owner::on_claim_committed(std::uint64_t id, results& res)
{
    work& it = works_.at(id);
    note_position(it.instance, res.at(2), it.started_at);
    release_session(it);
    const bool committed = succeeded(res.at(1)) && command_tag(res.at(1)) == "COMMIT";
    if (!committed) {
        it.sent = false;
        requeue(id, "the instance rolled the write back");
        return;
    }
    finish_write(id, res.at(2), std::move(it.answer.result));
}

void group_owner::on_begin(std::uint64_t id, results& res)
{
    work& it = works_.at(id);
    if (!succeeded(res.at(0))) {
        release_session(it);
        answer_sql_error(id, res.at(0));
        return;
    }
    const std::string name = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
    db_session* const session = std::exchange(it.session, nullptr);
    --running_[session->instance];
    session->work = 0;
    transactions_[name] = {.customer = it.request.customer,
                           .session = session,
                           .used_at = monotonic_clock::now(),
                           .work = 0,
                           .term = group_.primary_term};
    work_answer reply{.outcome = run_outcome::ran, .result = "{}", .transaction = name};
    reply.position = it.request.min_position;
    answer(id, std::move(reply));
}

void group_owner::on_transaction_statement(std::uint64_t id, results& res)
{
    work& it = works_.at(id);
    const std::string name = it.request.transaction;
    open_transaction& transaction = transactions_.at(name);
    transaction.work = 0;
    transaction.used_at = monotonic_clock::now();
    it.session->work = 0;
    const transaction_status state = it.session->connection->transaction();
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
    work& it = works_.at(id);
    note_position(it.instance, res.at(1), it.started_at);
    const bool commits = it.request.kind == work_kind::commit;
    it.session = nullptr;
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
    db_session* const session = found->second.session;
    transactions_.erase(found);
    if (!clean || session->connection->transaction() != transaction_status::idle) {
        pool_.discard(session);
        return;
    }
    session->needs_reset = true;
    pool_.release(session, true);
}

bool group_owner::may_acknowledge(const work& it) const
{
    // While a successor is being recorded or promoted nothing is acknowledged: the successor was
    // chosen by what was acknowledged before.
    return still_owns() && group_.phase == failover_phase::steady &&
           group_.primary == it.instance && it.position.term >= group_.primary_term;
}

void group_owner::finish_write(std::uint64_t id, const query_result& probe, std::string result)
{
    work& it = works_.at(id);
    const auto seen = parse_probe(probe);
    const bool by_primary = seen && !seen->in_recovery && it.instance == group_.primary &&
                            seen->received.term >= group_.primary_term;
    if (!by_primary) {
        settle_unsure(id, "the instance was replaced as primary during the write");
        return;
    }
    it.position = seen->received;
    it.answer = {.outcome = run_outcome::ran, .result = std::move(result)};
    it.answer.position = it.position;
    it.phase = work_phase::replicating;
    replicating_.insert(id);
    confirm_replicated();
    pace_probes();
}

void group_owner::confirm_replicated()
{
    const std::set<std::uint64_t> waiting = replicating_;
    for (const std::uint64_t id : waiting) {
        work& it = works_.at(id);
        const bool replaced =
            group_.primary != it.instance || group_.primary_term > it.position.term;
        if (replaced) {
            settle_unsure(id, "the primary was replaced before a replica confirmed the write");
            continue;
        }
        const bool kept =
            !group_.options.replicated_acknowledgement || is_replicated(group_, it.position);
        if (kept && may_acknowledge(it)) {
            apply(write_acknowledged{it.position});
            work_answer reply = std::move(it.answer);
            answer(id, std::move(reply));
        }
    }
}

}  // namespace balsamdrift
