#include "pooling/session_service.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/metrics.h"

namespace balsamdrift {
namespace {

/// One of this many successful statements is logged.
constexpr std::uint64_t success_log_interval = 256;

/// Retry delay while this VM stops. It is short, since other VMs can serve the caller at once.
constexpr milliseconds stopping_retry_after(50);

const char* result_name(const statement_answer& it) { return is_success(it) ? "ok" : "error"; }

}  // namespace

session_service::session_service(session_service_options options, session_service_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      registry_(std::make_shared<const registry>()),
      demand_measured_at_(hooks_.now()),
      lease_last_held_at_(hooks_.now())
{
}

caller_session* session_service::find_session(std::uint64_t number)
{
    const auto it = sessions_.find(number);
    return it == sessions_.end() ? nullptr : it->second.get();
}

void session_service::await_configuration(std::function<void()> callback)
{
    configuration_waiters_.emplace_back(hooks_.now() + options_.configuration_timeout,
                                        std::move(callback));
}

void session_service::notify_configuration_waiters(time_point now)
{
    while (!configuration_waiters_.empty() &&
           (is_configured() || now >= configuration_waiters_.front().first)) {
        const std::function<void()> callback = std::move(configuration_waiters_.front().second);
        configuration_waiters_.pop_front();
        callback();
    }
}

void session_service::answer(caller_session& session, const statement_answer& it)
{
    const std::unique_ptr<pending_statement> done = std::move(session.pending);
    const time_point now = hooks_.now();
    if (session.transaction && is_single_statement(*session.transaction)) {
        end_transaction(session);
    }
    session.last_active_at = now;
    session.state = it.state;
    const duration took = now - done->arrived_at;
    observe_metric("balsamdrift_statement_seconds", metric_label("result", result_name(it)), took);
    static thread_local std::uint64_t served = 0;
    if (is_success(it) && ++served % success_log_interval == 0) {
        log_event(event_id::statement_served, {{"id", done->request.id},
                                               {"database", session.database},
                                               {"attempts", std::to_string(done->attempts)},
                                               {"took_ms", milliseconds_text(took)}});
    }
    done->on_answer(it);
}

void session_service::answer_success(caller_session& session)
{
    answer(session, {.result = statement_success{}, .state = session.state});
}

void session_service::answer_error(caller_session& session, statement_error_code code,
                                   const std::string& text)
{
    answer(session, {.result = statement_error{code, text}, .state = session.state});
}

void session_service::log_refusal(const caller_session& session, const std::string& reason,
                                  duration retry_after)
{
    const time_point now = hooks_.now();
    count_metric("balsamdrift_refused_statements_total", metric_label("reason", reason));
    if (session.transaction) {
        count_metric("balsamdrift_shed_statements_total",
                     metric_label("reason", reason) + "," +
                         metric_label("priority", std::to_string(route_of(session).priority)));
    }
    log_event(event_id::statement_refused,
              {{"id", session.pending->request.id},
               {"database", session.database},
               {"customer", customer_of_key(session)},
               {"reason", reason},
               {"retry_after_ms", milliseconds_text(retry_after)},
               {"waited_ms", milliseconds_text(now - session.pending->arrived_at)},
               {"version", std::to_string(registry_->declared.version)},
               {"lease", lease_text(now)},
               {"control_answered_ms_ago", control_silence_text(now)}});
}

void session_service::run(std::uint64_t number, statement request, answer_handler on_answer,
                          rows_handler on_rows)
{
    caller_session* const session = find_session(number);
    if (session == nullptr) {
        return;
    }
    const time_point now = hooks_.now();
    session->last_active_at = now;
    session->pending =
        std::make_unique<pending_statement>(pending_statement{.request = std::move(request),
                                                              .on_answer = std::move(on_answer),
                                                              .on_rows = std::move(on_rows),
                                                              .arrived_at = now});
    const bool ends = session->pending->request.kind == statement_kind::rollback ||
                      session->pending->request.kind == statement_kind::commit;
    if (closing_ && session->state == session_state::idle) {
        log_refusal(*session, "stopping", stopping_retry_after);
        answer_error(*session, statement_error_code::busy,
                     retry_after_text(stopping_retry_after, "the VM stops"));
        return;
    }
    switch (session->state) {
        case session_state::failed_transaction:
            if (ends) {
                run_in_failed_transaction(*session);
            }
            else {
                answer_error(*session, statement_error_code::malformed,
                             "the transaction has failed");
            }
            return;
        case session_state::in_transaction: run_inside_transaction(*session); return;
        case session_state::idle: run_outside_transaction(*session); return;
    }
}

void session_service::run_local(caller_session& session)
{
    const statement request = session.pending->request;
    switch (request.kind) {
        case statement_kind::set_value: session.values[request.name] = request.argument; break;
        case statement_kind::prepare_read:
        case statement_kind::prepare_write:
            session.prepared[request.name] = {
                .writes = request.kind == statement_kind::prepare_write, .text = request.argument};
            break;
        case statement_kind::deallocate:
            if (session.prepared.erase(request.name) == 0) {
                answer_error(session, statement_error_code::unknown_statement, request.name);
                return;
            }
            break;
        default: answer_error(session, statement_error_code::malformed, "not understood"); return;
    }
    answer_success(session);
}

void session_service::refuse_for_rate(caller_session& session, duration retry_after)
{
    log_refusal(session, "rate", retry_after);
    answer_error(session, statement_error_code::too_many,
                 retry_after_text(retry_after, "the customer's rate is used up"));
}

void session_service::start_operation(caller_session& session)
{
    session.transaction = std::exchange(session.pending->transaction_to_begin, std::nullopt);
    if (!is_single_statement(*session.transaction)) {
        session.state = session_state::in_transaction;
        answer_success(session);
        return;
    }
    session.pending->deadline =
        session.pending->arrived_at + session.transaction->route.statement_timeout;
    service_state& service = services_[session.transaction->route.service];
    record_demand(session, service);
    if (!dispatch(session, service)) {
        enqueue(session, service);
    }
}

void session_service::apply_token_decisions(const std::vector<token_decision>& decisions)
{
    for (const token_decision& it : decisions) {
        caller_session* const session = find_session(it.caller);
        // The caller may have left in the meantime.
        if (session == nullptr || !session->pending || !session->pending->transaction_to_begin) {
            continue;
        }
        if (it.retry_after) {
            refuse_for_rate(*session, *it.retry_after);
        }
        else {
            start_operation(*session);
        }
    }
}

void session_service::send_token_request(time_point now)
{
    const customer_token_requests requests = next_token_request(tokens_, options_.rates, now);
    if (!requests.empty()) {
        hooks_.request_tokens(tokens_.request_number, requests,
                              is_isolated(tokens_, options_.rates, now));
    }
}

void session_service::on_token_grants(std::uint64_t number, const customer_token_grants& grants)
{
    const time_point now = hooks_.now();
    apply_token_decisions(apply_token_grants(tokens_, options_.rates, number, grants, now));
    send_token_request(now);
}

void session_service::run_outside_transaction(caller_session& session)
{
    const statement& request = session.pending->request;
    switch (request.kind) {
        case statement_kind::begin:
        case statement_kind::begin_read_only:
        case statement_kind::read:
        case statement_kind::write:
        case statement_kind::execute: break;
        case statement_kind::commit:
        case statement_kind::rollback:
            answer_error(session, statement_error_code::malformed, "there is no transaction");
            return;
        default:
            if (!refuse_without_access(session)) {
                run_local(session);
            }
            return;
    }
    if (request.kind == statement_kind::execute && !session.prepared.contains(request.name)) {
        answer_error(session, statement_error_code::unknown_statement, request.name);
        return;
    }
    // A single statement runs as a transaction of its own, for which no begin or commit is sent.
    admit_operation(session);
}

void session_service::run_inside_transaction(caller_session& session)
{
    const statement& request = session.pending->request;
    caller_transaction& transaction = *session.transaction;
    if (!transaction.aborted && !may_continue(session, hooks_.now())) {
        revoke_transaction(session);
    }
    const bool needs_instance =
        request.kind == statement_kind::read || request.kind == statement_kind::write ||
        request.kind == statement_kind::execute || request.kind == statement_kind::commit;
    if (request.kind == statement_kind::rollback && transaction.connection == nullptr) {
        // The transaction has not reached an instance yet, or has lost its connection.
        end_transaction(session);
        answer_success(session);
        return;
    }
    if (transaction.aborted) {
        const bool commits = request.kind == statement_kind::commit;
        if (commits) {
            end_transaction(session);
        }
        else {
            session.state = session_state::failed_transaction;
        }
        answer_rolled_back(session);
        return;
    }
    if (!needs_instance && request.kind != statement_kind::rollback) {
        const bool local = request.kind == statement_kind::set_value ||
                           request.kind == statement_kind::prepare_read ||
                           request.kind == statement_kind::prepare_write ||
                           request.kind == statement_kind::deallocate;
        if (local) {
            run_local(session);
        }
        else {
            answer_error(session, statement_error_code::malformed, "not inside a transaction");
        }
        return;
    }
    if (request.kind == statement_kind::execute && !session.prepared.contains(request.name)) {
        answer_error(session, statement_error_code::unknown_statement, request.name);
        return;
    }
    session.pending->deadline = session.pending->arrived_at + transaction.route.statement_timeout;
    service_state& service = services_[transaction.route.service];
    if (transaction.connection != nullptr) {
        if (!may_send(session, hooks_.now())) {
            leave_connection(session);
            return;
        }
        const pooled_connection_ptr connection = transaction.connection;
        session.pending->dispatched_at = hooks_.now();
        set_up_connection(session, *connection);
        if (connection->expected_answers.empty()) {
            send_request(session, *connection);
        }
        return;
    }
    record_demand(session, service);
    if (!dispatch(session, service)) {
        enqueue(session, service);
    }
}

void session_service::run_in_failed_transaction(caller_session& session)
{
    // The transaction left its connection when it failed, so nothing can commit it any more.
    const bool commits = session.pending->request.kind == statement_kind::commit;
    end_transaction(session);
    if (commits) {
        answer_rolled_back(session);
    }
    else {
        answer_success(session);
    }
}

void session_service::end_transaction(caller_session& session)
{
    if (!session.transaction) {
        return;
    }
    const pooled_connection_ptr connection = session.transaction->connection;
    session.transaction.reset();
    session.state = session_state::idle;
    if (connection != nullptr) {
        release_connection(connection);
    }
}

void session_service::abort_transaction(caller_session& session)
{
    const pooled_connection_ptr connection = session.transaction->connection;
    session.transaction->connection = nullptr;
    session.transaction->aborted = true;
    if (connection != nullptr) {
        // Closing the connection is the only way to roll back without a further statement.
        close_connection(connection);
    }
}

void session_service::close_session(std::uint64_t number)
{
    caller_session* const session = find_session(number);
    if (session == nullptr) {
        return;
    }
    remove_from_queue(*session);
    if (session->transaction && session->transaction->connection != nullptr) {
        close_connection(session->transaction->connection);
    }
    sessions_.erase(number);
}

void session_service::end_idle_sessions(duration idle_for, time_point opened_before)
{
    const time_point now = hooks_.now();
    std::vector<std::function<void()>> callbacks;
    for (const auto& [number, it] : sessions_) {
        const bool is_idle = !it->pending && it->state == session_state::idle;
        if (is_idle && now - it->last_active_at >= idle_for && it->opened_at < opened_before) {
            callbacks.push_back(it->disconnect_caller);
        }
    }
    for (const auto& disconnect_caller : callbacks) {
        disconnect_caller();
    }
}

void session_service::begin_closing()
{
    closing_ = true;
    end_idle_sessions(duration{0});
}

bool session_service::is_answering() const
{
    return std::any_of(sessions_.begin(), sessions_.end(),
                       [](const auto& entry) { return entry.second->pending != nullptr; });
}

void session_service::finish_pending()
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, it] : sessions_) {
        if (it->pending) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        caller_session* const session = find_session(number);
        if (session == nullptr || !session->pending) {
            continue;
        }
        if (session->transaction) {
            fail_pending_statement(*session, "the VM stops");
        }
        else {
            answer_error(*session, statement_error_code::busy, "the VM stops");
        }
    }
}

void session_service::abort_transactions()
{
    for (const auto& [number, it] : sessions_) {
        if (it->transaction && !it->pending && !it->transaction->aborted) {
            abort_transaction(*it);
        }
    }
}

}  // namespace balsamdrift
