#include <algorithm>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// Retry delay before the first configuration. Control elects a leader within about one second, and
/// most early callers arrive during the election.
constexpr milliseconds configuration_retry_after(500);

}  // namespace

std::optional<session_service::access_refusal>
session_service::find_access_refusal(const std::string& database, const std::string& key,
                                     time_point now) const
{
    const declared_configuration& conf = registry_->declared;
    const auto route = conf.routes.find(database);
    if (route == conf.routes.end()) {
        return access_refusal{
            "unknown_database",
            checked_by_lease({statement_error_code::unknown_database, "no such database"}, now)};
    }
    if (!route->second.open_to_all && !conf.customer_of_key.contains(key)) {
        return access_refusal{
            "not_authorized",
            checked_by_lease({statement_error_code::not_authorized, "the key is not known"}, now)};
    }
    return std::nullopt;
}

std::variant<std::uint64_t, statement_error>
session_service::open_session(const std::string& database, const std::string& key,
                              std::function<void()> disconnect_caller)
{
    const declared_configuration& conf = registry_->declared;
    const time_point now = hooks_.now();
    const auto refuse = [&](const statement_error& error) {
        log_event(event_id::session_refused,
                  {{"database", database},
                   {"reason", error.text},
                   {"version", std::to_string(conf.version)},
                   {"lease", lease_text(now)},
                   {"control_answered_ms_ago", control_silence_text(now)}});
        return error;
    };
    if (conf.version == 0) {
        return refuse({statement_error_code::busy,
                       retry_after_text(configuration_retry_after, "no configuration yet")});
    }
    if (const auto refusal = find_access_refusal(database, key, now)) {
        return refuse(refusal->error);
    }
    const std::uint64_t number = next_session_++;
    sessions_[number] = std::make_unique<caller_session>(
        caller_session{.number = number,
                       .database = database,
                       .key = key,
                       .disconnect_caller = std::move(disconnect_caller),
                       .opened_at = now,
                       .last_active_at = now});
    return number;
}

statement_error session_service::checked_by_lease(const statement_error& error,
                                                  time_point now) const
{
    return hooks_.holds_lease(now)
               ? error
               : statement_error{statement_error_code::busy,
                                 retry_after_text(expected_lease_wait(now),
                                                  "the configuration may be outdated")};
}

bool session_service::refuse_without_access(caller_session& session)
{
    const time_point now = hooks_.now();
    const auto refusal = find_access_refusal(session.database, session.key, now);
    if (!refusal) {
        return false;
    }
    log_refusal(session, refusal->reason,
                hooks_.holds_lease(now) ? duration{0} : expected_lease_wait(now));
    answer_error(session, refusal->error.code, refusal->error.text);
    return true;
}

bool session_service::may_lack_withdrawals(time_point now) const
{
    return !hooks_.holds_lease(now) && now - lease_last_held_at_ >= options_.key_grace;
}

duration session_service::expected_lease_wait(time_point now) const
{
    const duration without_lease =
        hooks_.holds_lease(now) ? duration{0} : now - lease_last_held_at_;
    return std::max(without_lease, options_.lease_renewal_time);
}

std::string session_service::lease_text(time_point now) const
{
    return hooks_.holds_lease(now) ? "held" : "expired";
}

std::string session_service::control_silence_text(time_point now) const
{
    const time_point answered_at = hooks_.answered_request_sent_at();
    return answered_at == time_point{} ? "-" : milliseconds_text(now - answered_at);
}

std::string session_service::customer_of_key(const caller_session& session) const
{
    const auto holder = registry_->declared.customer_of_key.find(session.key);
    return holder == registry_->declared.customer_of_key.end() ? "-" : holder->second;
}

void session_service::admit_operation(caller_session& session)
{
    if (refuse_without_access(session)) {
        return;
    }
    const declared_configuration& conf = registry_->declared;
    const auto found = conf.routes.find(session.database);
    const auto holder = conf.customer_of_key.find(session.key);
    const time_point now = hooks_.now();
    if (!found->second.open_to_all && may_lack_withdrawals(now)) {
        const duration retry_after = expected_lease_wait(now);
        log_refusal(session, "configuration_outdated", retry_after);
        answer_error(session, statement_error_code::busy,
                     retry_after_text(retry_after, "the key may have been withdrawn"));
        return;
    }
    const statement& request = session.pending->request;
    const bool begins =
        request.kind == statement_kind::begin || request.kind == statement_kind::begin_read_only;
    session.pending->transaction_to_begin = caller_transaction{
        .read_only = request.kind == statement_kind::begin_read_only,
        .begin_id = begins ? request.id : std::string(),
        .route = found->second,
        .customer = holder == conf.customer_of_key.end() ? std::string() : holder->second};
    const std::string& customer = session.pending->transaction_to_begin->customer;
    if (!conf.customers.contains(customer)) {
        start_operation(session);
        return;
    }
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
        send_token_request(now);
    }
}

bool session_service::may_continue(const caller_session& session, time_point now) const
{
    const caller_transaction& it = *session.transaction;
    if (it.customer.empty()) {
        // It began without a customer, on a route that is open to all.
        return true;
    }
    const auto holder = registry_->declared.customer_of_key.find(session.key);
    return holder != registry_->declared.customer_of_key.end() && holder->second == it.customer &&
           (it.route.open_to_all || !may_lack_withdrawals(now));
}

void session_service::revoke_transaction(caller_session& session)
{
    log_event(event_id::transaction_revoked,
              {{"id", session.transaction->begin_id},
               {"database", session.database},
               {"customer", customer_of(session)},
               {"version", std::to_string(registry_->declared.version)},
               {"lease", lease_text(hooks_.now())}});
    abort_transaction(session);
}

void session_service::answer_rolled_back(caller_session& session)
{
    const auto refusal = find_access_refusal(session.database, session.key, hooks_.now());
    answer_error(session, statement_error_code::aborted,
                 refusal ? refusal->error.text + "; " + rolled_back_text
                         : retry_after_text(rolled_back_retry_after, rolled_back_text));
}

void session_service::refuse_revoked(caller_session& session)
{
    log_refusal(session, "key_withdrawn", duration{0});
    fail_pending_statement(session, "the key was withdrawn");
}

void session_service::apply_withdrawals(time_point now)
{
    revoked_sessions_.clear();
    for (const auto& [number, it] : sessions_) {
        // A statement that an instance runs is let finish; the next one is refused.
        if (it->transaction && !it->pending && !it->transaction->aborted &&
            !may_continue(*it, now)) {
            revoke_transaction(*it);
        }
        if (find_access_refusal(it->database, it->key, now)) {
            revoked_sessions_.insert(number);
        }
    }
}

void session_service::end_revoked_sessions(time_point now)
{
    // Without a lease, a newer configuration may hold what this one lacks.
    if (revoked_sessions_.empty() || !hooks_.holds_lease(now)) {
        return;
    }
    std::vector<std::function<void()>> callbacks;
    std::erase_if(revoked_sessions_, [&](std::uint64_t number) {
        const caller_session* const it = find_session(number);
        const bool is_idle = it != nullptr && !it->pending && it->state == session_state::idle &&
                             now - it->last_active_at >= options_.min_idle_time;
        if (is_idle) {
            callbacks.push_back(it->disconnect_caller);
        }
        return it == nullptr || is_idle;
    });
    for (const auto& disconnect_caller : callbacks) {
        disconnect_caller();
    }
}

}  // namespace balsamdrift
