#include "pooling/session_service.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/metrics.h"

namespace balsamdrift {
namespace {

/// Successful statements are logged once in this many.
constexpr std::uint64_t success_sample = 256;

/// Control elects a leader within about a second; most callers come before its end.
constexpr milliseconds configuration_retry(500);

/// Other VMs serve the caller at once.
constexpr milliseconds stopping_retry(50);

const char* result_name(const statement_answer& it) { return is_success(it) ? "ok" : "error"; }

}  // namespace

session_service::session_service(session_service_options options, session_service_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      state_(std::make_shared<const registry>()),
      demand_since_(hooks_.now())
{
}

caller_session* session_service::find_session(std::uint64_t number)
{
    const auto it = sessions_.find(number);
    return it == sessions_.end() ? nullptr : it->second.get();
}

void session_service::await_configuration(std::function<void()> then)
{
    early_callers_.emplace_back(hooks_.now() + options_.configuration_patience, std::move(then));
}

void session_service::call_early_callers(time_point now)
{
    while (!early_callers_.empty() && (is_configured() || now >= early_callers_.front().first)) {
        const std::function<void()> then = std::move(early_callers_.front().second);
        early_callers_.pop_front();
        then();
    }
}

std::variant<std::uint64_t, statement_error>
session_service::open_session(const std::string& database, const std::string& key,
                              std::function<void()> end)
{
    const declared_configuration& conf = state_->declared;
    const auto refuse = [&](statement_error_code code, const std::string& text) {
        log_event(
            event_id::session_refused,
            {{"database", database}, {"reason", text}, {"version", std::to_string(conf.version)}});
        return statement_error{code, text};
    };
    if (conf.version == 0) {
        return refuse(statement_error_code::busy,
                      retry_after_text(configuration_retry, "no configuration yet"));
    }
    const auto route = conf.routes.find(database);
    if (route == conf.routes.end()) {
        return refuse(statement_error_code::unknown_database, "no such database");
    }
    if (!route->second.open_to_all && !conf.customer_of_key.contains(key)) {
        return refuse(statement_error_code::not_authorized, "the key is not known");
    }
    const std::uint64_t number = next_session_++;
    sessions_[number] = std::make_unique<caller_session>(caller_session{.number = number,
                                                                        .database = database,
                                                                        .key = key,
                                                                        .end = std::move(end),
                                                                        .active_at = hooks_.now()});
    return number;
}

void session_service::answer(caller_session& session, const statement_answer& it)
{
    const std::unique_ptr<pending_statement> done = std::move(session.pending);
    const time_point now = hooks_.now();
    if (session.transaction && is_single(*session.transaction)) {
        end_transaction(session);
    }
    session.active_at = now;
    session.state = it.state;
    const duration took = now - done->arrived_at;
    observe_metric("balsamdrift_statement_seconds",
                   std::string("result=\"") + result_name(it) + "\"", took);
    static thread_local std::uint64_t served = 0;
    if (is_success(it) && ++served % success_sample == 0) {
        log_event(event_id::statement_served, {{"id", done->sent.id},
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
    count_metric("balsamdrift_refused_statements_total", "reason=\"" + reason + "\"");
    log_event(event_id::statement_refused,
              {{"id", session.pending->sent.id},
               {"database", session.database},
               {"customer", customer_of_key(session)},
               {"reason", reason},
               {"retry_after_ms", milliseconds_text(retry_after)},
               {"waited_ms", milliseconds_text(hooks_.now() - session.pending->arrived_at)},
               {"version", std::to_string(state_->declared.version)}});
}

std::string session_service::customer_of_key(const caller_session& session) const
{
    const auto holder = state_->declared.customer_of_key.find(session.key);
    return holder == state_->declared.customer_of_key.end() ? "-" : holder->second;
}

void session_service::run(std::uint64_t session, statement sent, answer_handler on_answer)
{
    caller_session* const it = find_session(session);
    if (it == nullptr) {
        return;
    }
    const time_point now = hooks_.now();
    it->active_at = now;
    it->pending = std::make_unique<pending_statement>(pending_statement{
        .sent = std::move(sent), .on_answer = std::move(on_answer), .arrived_at = now});
    const bool ends = it->pending->sent.kind == statement_kind::rollback ||
                      it->pending->sent.kind == statement_kind::commit;
    if (closing_ && it->state == session_state::idle) {
        log_refusal(*it, "stopping", stopping_retry);
        answer_error(*it, statement_error_code::busy,
                     retry_after_text(stopping_retry, "the VM stops"));
        return;
    }
    switch (it->state) {
        case session_state::failed_transaction:
            if (ends) {
                run_in_failed_transaction(*it);
            }
            else {
                answer_error(*it, statement_error_code::malformed, "the transaction has failed");
            }
            return;
        case session_state::in_transaction: run_inside_transaction(*it); return;
        case session_state::idle: run_outside_transaction(*it); return;
    }
}

void session_service::run_local(caller_session& session)
{
    const statement sent = session.pending->sent;
    switch (sent.kind) {
        case statement_kind::set_value: session.values[sent.name] = sent.argument; break;
        case statement_kind::prepare_read:
        case statement_kind::prepare_write:
            session.prepared[sent.name] = {.writes = sent.kind == statement_kind::prepare_write,
                                           .shape = sent.argument};
            break;
        case statement_kind::deallocate:
            if (session.prepared.erase(sent.name) == 0) {
                answer_error(session, statement_error_code::unknown_statement, sent.name);
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

void session_service::admit_operation(caller_session& session)
{
    const declared_configuration& conf = state_->declared;
    const auto found = conf.routes.find(session.database);
    if (found == conf.routes.end()) {
        log_refusal(session, "unknown_database", {});
        answer_error(session, statement_error_code::unknown_database, "no such database");
        return;
    }
    const auto holder = conf.customer_of_key.find(session.key);
    if (holder == conf.customer_of_key.end() && !found->second.open_to_all) {
        log_refusal(session, "not_authorized", {});
        answer_error(session, statement_error_code::not_authorized, "the key is not known");
        return;
    }
    const statement& sent = session.pending->sent;
    const bool begins =
        sent.kind == statement_kind::begin || sent.kind == statement_kind::begin_read_only;
    session.pending->opening = caller_transaction{
        .read_only = sent.kind == statement_kind::begin_read_only,
        .begin_id = begins ? sent.id : std::string(),
        .route = found->second,
        .customer = holder == conf.customer_of_key.end() ? std::string() : holder->second};
    const std::string& customer = session.pending->opening->customer;
    if (!conf.customers.contains(customer)) {
        start_operation(session);
        return;
    }
    const time_point now = hooks_.now();
    const auto res = take_token(tokens_, options_.rates,
                                {.number = session.number,
                                 .customer = customer,
                                 .may_use_isolated_share = hooks_.holds_lease(now)},
                                now);
    if (const auto* const refused = std::get_if<token_refused>(&res)) {
        refuse_for_rate(session, refused->retry_after);
    }
    else if (std::holds_alternative<token_taken>(res)) {
        start_operation(session);
    }
    else {
        ask_for_tokens(now);
    }
}

void session_service::start_operation(caller_session& session)
{
    session.transaction = std::exchange(session.pending->opening, std::nullopt);
    if (!is_single(*session.transaction)) {
        session.state = session_state::in_transaction;
        answer_success(session);
        return;
    }
    session.pending->deadline =
        session.pending->arrived_at + session.transaction->route.statement_timeout;
    service_state& service = services_[session.transaction->route.service];
    if (!dispatch(session, service)) {
        enqueue(session, service);
    }
}

void session_service::apply_decisions(const std::vector<token_decision>& decisions)
{
    for (const token_decision& it : decisions) {
        caller_session* const session = find_session(it.caller);
        // The caller may have left meanwhile.
        if (session == nullptr || !session->pending || !session->pending->opening) {
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

void session_service::ask_for_tokens(time_point now)
{
    const customer_token_requests asks = next_token_request(tokens_, options_.rates, now);
    if (!asks.empty()) {
        hooks_.request_tokens(tokens_.request_number, asks,
                              is_isolated(tokens_, options_.rates, now));
    }
}

void session_service::on_token_grants(std::uint64_t number, const customer_token_grants& shares)
{
    const time_point now = hooks_.now();
    apply_decisions(apply_token_grants(tokens_, options_.rates, number, shares, now));
    ask_for_tokens(now);
}

void session_service::run_outside_transaction(caller_session& session)
{
    const statement& sent = session.pending->sent;
    switch (sent.kind) {
        case statement_kind::begin:
        case statement_kind::begin_read_only:
        case statement_kind::read:
        case statement_kind::write:
        case statement_kind::execute: break;
        case statement_kind::commit:
        case statement_kind::rollback:
            answer_error(session, statement_error_code::malformed, "there is no transaction");
            return;
        default: run_local(session); return;
    }
    if (sent.kind == statement_kind::execute && !session.prepared.contains(sent.name)) {
        answer_error(session, statement_error_code::unknown_statement, sent.name);
        return;
    }
    // A single statement is a transaction of its own, without a beginning or an end on the wire.
    admit_operation(session);
}

void session_service::run_inside_transaction(caller_session& session)
{
    const statement& sent = session.pending->sent;
    caller_transaction& transaction = *session.transaction;
    const bool runs = sent.kind == statement_kind::read || sent.kind == statement_kind::write ||
                      sent.kind == statement_kind::execute || sent.kind == statement_kind::commit;
    if (sent.kind == statement_kind::rollback && transaction.link == nullptr) {
        // Nothing of the transaction has reached an instance, or its connection is gone.
        end_transaction(session);
        answer_success(session);
        return;
    }
    if (transaction.lost) {
        const bool commits = sent.kind == statement_kind::commit;
        if (commits) {
            end_transaction(session);
        }
        else {
            session.state = session_state::failed_transaction;
        }
        answer_error(session, statement_error_code::aborted,
                     retry_after_text(rolled_back_retry, rolled_back));
        return;
    }
    if (!runs && sent.kind != statement_kind::rollback) {
        const bool local =
            sent.kind == statement_kind::set_value || sent.kind == statement_kind::prepare_read ||
            sent.kind == statement_kind::prepare_write || sent.kind == statement_kind::deallocate;
        if (local) {
            run_local(session);
        }
        else {
            answer_error(session, statement_error_code::malformed, "not inside a transaction");
        }
        return;
    }
    if (sent.kind == statement_kind::execute && !session.prepared.contains(sent.name)) {
        answer_error(session, statement_error_code::unknown_statement, sent.name);
        return;
    }
    session.pending->deadline = session.pending->arrived_at + transaction.route.statement_timeout;
    service_state& service = services_[transaction.route.service];
    if (transaction.link != nullptr) {
        const pooled_link_ptr link = transaction.link;
        session.pending->dispatched_at = hooks_.now();
        set_up_link(session, *link);
        if (link->expected.empty()) {
            send_main(session, *link);
        }
        return;
    }
    if (!dispatch(session, service)) {
        enqueue(session, service);
    }
}

void session_service::run_in_failed_transaction(caller_session& session)
{
    const bool commits = session.pending->sent.kind == statement_kind::commit;
    const pooled_link_ptr link = session.transaction ? session.transaction->link : nullptr;
    if (link != nullptr) {
        // The instance hears the end in the caller's own words, so the connection can be used on.
        session.pending->deadline =
            session.pending->arrived_at + session.transaction->route.statement_timeout;
        session.pending->dispatched_at = hooks_.now();
        send_main(session, *link);
        return;
    }
    end_transaction(session);
    if (commits) {
        answer_error(session, statement_error_code::aborted,
                     retry_after_text(rolled_back_retry, rolled_back));
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
    const pooled_link_ptr link = session.transaction->link;
    session.transaction.reset();
    session.state = session_state::idle;
    if (link != nullptr) {
        release_link(link);
    }
}

void session_service::lose_transaction(caller_session& session)
{
    const pooled_link_ptr link = session.transaction->link;
    session.transaction->link = nullptr;
    session.transaction->lost = true;
    if (link != nullptr) {
        // Closing is the one way to roll back that needs no further statement.
        drop_link(link);
    }
}

void session_service::close_session(std::uint64_t number)
{
    caller_session* const session = find_session(number);
    if (session == nullptr) {
        return;
    }
    leave_queue(*session);
    if (session->transaction && session->transaction->link != nullptr) {
        drop_link(session->transaction->link);
    }
    sessions_.erase(number);
}

void session_service::end_idle_sessions(duration idle_for)
{
    const time_point now = hooks_.now();
    std::vector<std::function<void()>> ends;
    for (const auto& [number, it] : sessions_) {
        const bool rests = !it->pending && it->state == session_state::idle;
        if (rests && now - it->active_at >= idle_for) {
            ends.push_back(it->end);
        }
    }
    for (const auto& end : ends) {
        end();
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
            finish_lost(*session, "the VM stops");
        }
        else {
            answer_error(*session, statement_error_code::busy, "the VM stops");
        }
    }
}

void session_service::abort_transactions()
{
    for (const auto& [number, it] : sessions_) {
        if (it->transaction && !it->pending && !it->transaction->lost) {
            lose_transaction(*it);
        }
    }
}

}  // namespace balsamdrift
