#include "entry/statement_service.h"

#include "base/metrics.h"
#include "core/sessions/session_token.h"

namespace balsamdrift {
namespace {

/// Retry delay of callers that are refused because this VM holds no lease.
constexpr milliseconds no_lease_retry_after(500);

/// Retry delay of callers that are refused because this VM is stopping.
constexpr seconds stopping_retry_after(1);

/// Commits and rollbacks need no token: their transaction was admitted when it began.
bool needs_token(const work_request& request)
{
    return request.kind != work_kind::commit && request.kind != work_kind::rollback;
}

http_response make_over_rate_response(duration retry_after)
{
    return refuse_statement(429, "over_rate", "the customer's rate and burst are used up",
                            retry_after);
}

}  // namespace

statement_service::statement_service(entry_view& view, token_service& tokens, work_router& router)
    : view_(view), tokens_(tokens), router_(router)
{
}

void statement_service::handle(const http_request& request, const http_responder& responder)
{
    const time_point now = monotonic_clock::now();
    auto parsed = parse_statement(request);
    if (auto* refusal = std::get_if<http_response>(&parsed)) {
        responder.send(std::move(*refusal));
        return;
    }
    auto& statement = std::get<statement_request>(parsed);
    if (!view_.holds_lease(now)) {
        responder.send(refuse_statement(
            503, "not_ready", "the VM is cut off from control; use another", no_lease_retry_after));
        return;
    }
    if (draining_ && statement.work.transaction.empty()) {
        responder.send(refuse_statement(503, "stopping", "the VM is stopping; use another",
                                        stopping_retry_after));
        return;
    }
    const auto state = view_.state();
    const auto key = state->keys.find(statement.key_hash);
    if (key == state->keys.end()) {
        responder.send(refuse_statement(401, "key_unknown", "the key is not valid"));
        return;
    }
    statement.work.customer = key->second.customer;
    const auto group = state->groups.find(statement.work.group);
    if (group == state->groups.end() ||
        !group->second.customers.contains(statement.work.customer)) {
        responder.send(refuse_statement(403, "group_not_granted",
                                        "the customer may not reach this database group"));
        return;
    }
    session_token session{.customer = statement.work.customer, .seen_positions = {}};
    if (!statement.session_token.empty()) {
        auto verified =
            verify_token(statement.session_token, state->session_secret, statement.work.customer);
        if (!succeeded(verified)) {
            responder.send(refuse_statement(400, "session_invalid", failure_of(verified).message));
            return;
        }
        session = std::move(value_of(verified));
    }
    const time_point deadline = now + statement.timeout;
    if (!needs_token(statement.work)) {
        run(std::move(statement), std::move(session), deadline, responder);
        return;
    }
    const std::string customer = statement.work.customer;
    tokens_.admit(customer, deadline,
                  [this, statement = std::move(statement), session = std::move(session), deadline,
                   responder](rate_check_result result, duration retry_after) mutable {
                      switch (result) {
                          case rate_check_result::admitted:
                              run(std::move(statement), std::move(session), deadline, responder);
                              return;
                          case rate_check_result::over_rate:
                              count_metric("balsamdrift_over_rate_total");
                              responder.send(make_over_rate_response(retry_after));
                              return;
                          case rate_check_result::unavailable:
                              responder.send(refuse_statement(
                                  503, "rate_unavailable",
                                  "the owner of the customer's rate was not reached", retry_after));
                              return;
                      }
                  });
}

void statement_service::run(statement_request statement, session_token session, time_point deadline,
                            const http_responder& responder)
{
    const std::string group = statement.work.group;
    if (const auto seen = session.seen_positions.find(group);
        seen != session.seen_positions.end()) {
        statement.work.min_position = seen->second;
    }
    const time_point started_at = monotonic_clock::now();
    const bool read = statement.work.kind == work_kind::read;
    router_.submit(std::move(statement.work), deadline,
                   [this, group, session = std::move(session), responder, started_at,
                    read](const work_answer& answer) mutable {
                       std::string token;
                       if (answer.outcome == run_outcome::ran) {
                           record_seen_position(session, group, answer.position);
                           token = sign_token(session, view_.state()->session_secret);
                       }
                       observe_metric("balsamdrift_statement_seconds",
                                      read ? "kind=\"read\"" : "kind=\"write\"",
                                      monotonic_clock::now() - started_at);
                       count_metric(
                           "balsamdrift_statements_total",
                           metric_label("code", answer.code.empty() ? "ok" : answer.code) + "," +
                               metric_label("replica", answer.from_replica ? "yes" : "no"));
                       responder.send(format_answer(answer, token));
                   });
}

}  // namespace balsamdrift
