#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// Code for a failed statement that had not been sent to an instance.
constexpr statement_error_code not_run_code = statement_error_code::busy;

}  // namespace

void session_service::on_started(const pooled_connection_ptr& connection,
                                 const statement_answer& instance_answer)
{
    connection->accepted = true;
    const auto [service, pool] = find_pool(*connection);
    if (pool != nullptr) {
        record_reachable(*pool, hooks_.now());
        pool->full_backoff = duration{};
        record_position(*service, *pool, instance_answer,
                        {answer_purpose::set_up, connection->opened_at});
    }
}

void session_service::on_instance_answer(const pooled_connection_ptr& connection,
                                         const statement_answer& instance_answer)
{
    if (connection->expected_answers.empty()) {
        log_event(
            event_id::connection_discarded,
            {{"instance", connection->instance}, {"reason", "answer without a pending statement"}});
        fail_connection(connection);
        return;
    }
    const expected_answer expected = connection->expected_answers.front();
    connection->expected_answers.pop_front();
    set_rows_paused(*connection, false);
    const auto [service, pool] = find_pool(*connection);
    if (pool != nullptr) {
        record_position(*service, *pool, instance_answer, expected);
    }
    if (expected.purpose == answer_purpose::roll_back) {
        on_rolled_back(connection, instance_answer);
        return;
    }
    caller_session* const session = find_session(connection->session);
    if (session == nullptr || !session->pending) {
        const bool failed = error_code_of(instance_answer).has_value();
        if (connection->session == 0 && expected.purpose == answer_purpose::set_up && failed) {
            // It is not known what the connection has now, so it is not reused.
            close_connection(connection);
        }
        return;
    }
    if (expected.purpose != answer_purpose::request) {
        on_set_up_answer(*session, connection, instance_answer, expected.purpose);
        return;
    }
    if (pool != nullptr) {
        record_request_answer(*session, *service, *pool, instance_answer,
                              hooks_.now() - expected.sent_at);
    }
    on_request_answer(*session, connection, instance_answer);
}

void session_service::record_position(service_state& service, instance_pool& pool,
                                      const statement_answer& instance_answer,
                                      const expected_answer& expected)
{
    if (!instance_answer.position) {
        return;
    }
    pool.position = *instance_answer.position;
    pool.position_generation = service.positions.generation;
    const bool is_primary = pool.heartbeat.instance == service.record.instance &&
                            expected.sent_at >= service.record_changed_at &&
                            may_use_primary(service, hooks_.now());
    if (is_primary) {
        record_sample(service.positions, options_.positions,
                      {expected.sent_at, *instance_answer.position});
    }
}

void session_service::on_set_up_answer(caller_session& session,
                                       const pooled_connection_ptr& connection,
                                       const statement_answer& instance_answer,
                                       answer_purpose purpose)
{
    if (const auto code = error_code_of(instance_answer)) {
        if (const auto [service, pool] = find_pool(*connection); pool != nullptr) {
            record_refusal(*service, *pool, *code, route_of(session).priority);
        }
        // It is not known which values the connection has now, so it is not reused.
        const bool transaction_has_begun =
            session.transaction->connection == connection && session.pending->attempts == 0;
        session.transaction->connection = nullptr;
        const bool busy = *code == statement_error_code::busy;
        const bool reusable = busy && purpose == answer_purpose::begin && !transaction_has_begun &&
                              connection->expected_answers.empty();
        if (reusable) {
            // Only the begin was refused, so the connection has the values that were set.
            release_connection(connection, false);
        }
        else {
            close_connection(connection);
        }
        if (!session.pending) {
            return;
        }
        if (transaction_has_begun) {
            session.transaction->aborted = true;
            fail_pending_statement(session, "the connection could not be set up");
            return;
        }
        if (busy) {
            retry_busy(session);
            return;
        }
        retry(session, connection->instance,
              purpose == answer_purpose::begin ? "begin refused" : "set-up refused");
        return;
    }
    if (!may_send(session, hooks_.now())) {
        leave_connection(session);
        return;
    }
    if (connection->expected_answers.empty()) {
        send_request(session, *connection);
    }
}

bool session_service::may_report_success(const caller_session& session,
                                         const service_state& service) const
{
    const caller_transaction& transaction = *session.transaction;
    if (!transaction.under_lease) {
        return true;
    }
    // While a planned change waits for running statements, they may still succeed.
    const bool primary_unchanged =
        service.record.epoch == transaction.primary_epoch ||
        (service.record.phase == primary_phase::suspended && service.record.planned &&
         service.settled_epoch < service.record.epoch);
    return primary_unchanged && hooks_.holds_lease(hooks_.now());
}

void session_service::on_request_answer(caller_session& session,
                                        const pooled_connection_ptr& connection,
                                        const statement_answer& instance_answer)
{
    if (is_success(instance_answer)) {
        if (instance_pool* const pool = find_pool(*connection).pool) {
            if (session.pending->tests_position) {
                record_caught_up(*pool);
            }
            record_time_on_instance(session, services_[route_of(session).service], *pool);
        }
        on_success(session, instance_answer);
    }
    else {
        on_error(session, connection, instance_answer);
    }
}

void session_service::on_success(caller_session& session, const statement_answer& instance_answer)
{
    caller_transaction& transaction = *session.transaction;
    service_state& service = services_[transaction.route.service];
    const statement_kind kind = session.pending->request.kind;
    const bool single = is_single_statement(*session.transaction);
    const bool ends = kind == statement_kind::commit || kind == statement_kind::rollback;
    const bool commits = transaction.may_have_written && (single || kind == statement_kind::commit);
    if (kind != statement_kind::rollback && !may_report_success(session, service)) {
        fail_pending_statement(session, "the right to use the primary was lost");
        return;
    }
    if (commits && instance_answer.position) {
        session.last_commit = *instance_answer.position;
        session.last_commit_generation = service.positions.generation;
    }
    statement_answer caller_answer = instance_answer;
    if (!session.pending->held_rows.empty()) {
        caller_answer.rows.insert(caller_answer.rows.begin(), session.pending->held_rows.begin(),
                                  session.pending->held_rows.end());
    }
    if (single) {
        answer(session, caller_answer);
        return;
    }
    if (ends) {
        end_transaction(session);
        caller_answer.state = session_state::idle;
    }
    answer(session, caller_answer);
}

void session_service::record_refusal(service_state& service, instance_pool& pool,
                                     statement_error_code code, int priority)
{
    const time_point now = hooks_.now();
    switch (code) {
        case statement_error_code::lagging: record_lagging(pool, options_.pool, now); break;
        case statement_error_code::too_many:
            record_full(pool, options_.pool, now);
            record_refused_connection(pool.borrowing, options_.connections, now);
            break;
        case statement_error_code::busy: record_overload(service, pool, priority); break;
        case statement_error_code::misrouted: record_unreachable(pool, options_.pool, now); break;
        case statement_error_code::read_only:
            if (pool.heartbeat.instance == service.record.instance) {
                // The instance is no longer a primary. Control finds out once the failure is
                // reported, and replaces the instance.
                pool.last_failed_at = now;
                hooks_.report_soon();
            }
            break;
        default: break;
    }
}

void session_service::on_error(caller_session& session, const pooled_connection_ptr& connection,
                               const statement_answer& instance_answer)
{
    const statement_error_code code = *error_code_of(instance_answer);
    service_state& service = services_[route_of(session).service];
    if (instance_pool* const pool = find_pool(*connection).pool) {
        record_refusal(service, *pool, code, route_of(session).priority);
    }
    const bool single = is_single_statement(*session.transaction);
    const bool reads = !writes(session, session.pending->request);
    const bool failed =
        code == statement_error_code::failed || code == statement_error_code::timeout;
    // It is not known which statements the connection has then, so it is not reused.
    const bool lost_names = code == statement_error_code::unknown_statement;
    const bool repeatable = !session.pending->rows_passed;
    if (single && repeatable && (was_not_run(code) || (reads && failed))) {
        session.transaction->connection = nullptr;
        session.transaction->may_have_written = false;
        const std::string instance = connection->instance;
        const bool busy = code == statement_error_code::busy;
        if (lost_names) {
            close_connection(connection);
        }
        else {
            release_connection(connection, !busy);
        }
        if (session.pending && busy) {
            retry_busy(session);
        }
        else if (session.pending) {
            retry(session, instance, std::string("refused: ") + to_string(code));
        }
        return;
    }
    log_event(event_id::statement_failed, {{"id", session.pending->request.id},
                                           {"database", session.database},
                                           {"instance", connection->instance},
                                           {"code", to_string(code)},
                                           {"transaction", to_string(instance_answer.state)},
                                           {"sent", "yes"}});
    const bool ends = session.pending->request.kind == statement_kind::commit ||
                      session.pending->request.kind == statement_kind::rollback;
    statement_answer caller_answer = instance_answer;
    if (lost_names) {
        // The instance names the statement as it is called on the connection.
        caller_answer.result = statement_error{code, session.pending->request.name};
    }
    if (!single && ends) {
        // Whatever the outcome, the connection may still be inside the transaction.
        const pooled_connection_ptr unfinished = session.transaction->connection;
        session.transaction->connection = nullptr;
        close_connection(unfinished);
        end_transaction(session);
        caller_answer.state = session_state::idle;
    }
    else if (!single) {
        if (lost_names) {
            abort_transaction(session);
        }
        else {
            roll_back(session);
        }
        caller_answer.state = session_state::failed_transaction;
    }
    answer(session, caller_answer);
}

void session_service::roll_back(caller_session& session)
{
    if (!may_send(session, hooks_.now())) {
        abort_transaction(session);
        return;
    }
    const pooled_connection_ptr connection =
        std::exchange(session.transaction->connection, nullptr);
    session.transaction->aborted = true;
    connection->session = 0;
    connection->rolls_back = true;
    connection->last_used_at = hooks_.now();
    send(*connection, {.kind = statement_kind::rollback}, answer_purpose::roll_back);
}

void session_service::on_rolled_back(const pooled_connection_ptr& connection,
                                     const statement_answer& instance_answer)
{
    if (!is_success(instance_answer)) {
        close_connection(connection);
        return;
    }
    connection->rolls_back = false;
    release_connection(connection, false);
}

void session_service::retry(caller_session& session, const std::string& instance,
                            const std::string& reason)
{
    pending_statement& pending = *session.pending;
    pending.excluded.insert(instance);
    pending.held_rows.clear();
    pending.request_sent = false;
    session.transaction->may_have_written = false;
    service_state& service = services_[route_of(session).service];
    count_metric("balsamdrift_retried_statements_total");
    log_event(event_id::statement_retried, {{"id", pending.request.id},
                                            {"instance", instance},
                                            {"reason", reason},
                                            {"attempts", std::to_string(pending.attempts)}});
    if (dispatch(session, service)) {
        return;
    }
    // Every instance that could serve it has been tried; the next round may try them all again.
    if (needs_primary(session) || pending.excluded.size() >= service.pools.size()) {
        pending.excluded.clear();
    }
    enqueue(session, service);
}

void session_service::fail_pending_statement(caller_session& session, const std::string& reason)
{
    caller_transaction& transaction = *session.transaction;
    const bool single = is_single_statement(*session.transaction);
    const bool was_sent = session.pending->request_sent;
    const bool commits = session.pending->request.kind == statement_kind::commit;
    const bool in_doubt = was_sent && transaction.may_have_written && (single || commits);
    remove_from_queue(session);
    if (was_sent) {
        log_event(event_id::statement_failed,
                  {{"id", session.pending->request.id},
                   {"database", session.database},
                   {"instance", transaction.connection ? transaction.connection->instance : "-"},
                   {"reason", reason},
                   {"in_doubt", in_doubt ? "yes" : "no"}});
    }
    abort_transaction(session);
    statement_error error{not_run_code, reason};
    if (in_doubt) {
        error = {statement_error_code::in_doubt, reason};
    }
    else if (was_sent && single) {
        error = {statement_error_code::failed, reason};
    }
    else if (!single) {
        error = {statement_error_code::aborted, reason};
    }
    session_state new_state = session_state::idle;
    if (!single && !commits) {
        new_state = session_state::failed_transaction;
    }
    if (commits) {
        end_transaction(session);
    }
    answer(session, {.result = error, .state = new_state});
}

void session_service::fail_connection(const pooled_connection_ptr& connection)
{
    on_connection_end(connection, connection_end_reason::broken, {});
}

void session_service::on_connection_end(const pooled_connection_ptr& connection,
                                        connection_end_reason reason, const statement_error& error)
{
    const auto [service, pool] = find_pool(*connection);
    if (pool != nullptr) {
        const bool too_many_connections = error.code == statement_error_code::too_many;
        if (reason == connection_end_reason::refused) {
            const caller_session* const refused = find_session(connection->session);
            const bool known = refused != nullptr && refused->transaction;
            record_refusal(*service, *pool, error.code, known ? route_of(*refused).priority : 0);
        }
        if (reason == connection_end_reason::unreachable ||
            reason == connection_end_reason::not_listening ||
            (reason == connection_end_reason::broken && !connection->accepted)) {
            record_unreachable(*pool, options_.pool, hooks_.now());
        }
        else if (reason == connection_end_reason::broken) {
            pool->last_failed_at = hooks_.now();
        }
        if (pool->heartbeat.instance == service->record.instance && !too_many_connections) {
            hooks_.report_soon();
        }
        log_event(event_id::connection_discarded,
                  {{"instance", connection->instance},
                   {"reason", reason == connection_end_reason::refused  ? "refused: " + error.text
                              : reason == connection_end_reason::broken ? "broken"
                                                                        : "unreachable"}});
    }
    caller_session* const session = find_session(connection->session);
    const bool in_use = session != nullptr && session->transaction &&
                        session->transaction->connection == connection;
    close_connection(connection);
    if (!in_use) {
        return;
    }
    session->transaction->connection = nullptr;
    if (!session->pending) {
        session->transaction->aborted = true;
        return;
    }
    if (pool != nullptr) {
        record_lost_answer(*session, *service, *pool, hooks_.now());
    }
    pending_statement& pending = *session->pending;
    const bool dispatched = pending.attempts > 0;
    const bool repeatable = is_single_statement(*session->transaction) &&
                            !writes(*session, pending.request) && !pending.rows_passed;
    const bool request_not_sent = dispatched && !pending.request_sent;
    // Nothing was sent to an instance that could not be reached, and an instance that refuses a
    // connection runs no statement that was sent on it. On a connection that broke, accepted or
    // not, statements may have run.
    const bool refused =
        dispatched && !connection->accepted && reason != connection_end_reason::broken;
    if (dispatched && error.code == statement_error_code::too_many) {
        // The statement still waits for its first connection.
        --pending.attempts;
    }
    if (request_not_sent || repeatable || refused) {
        retry(*session, connection->instance, "connection lost");
        return;
    }
    fail_pending_statement(*session, "the connection to the instance was lost");
}

}  // namespace balsamdrift
