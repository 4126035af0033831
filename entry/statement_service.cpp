#include "entry/statement_service.h"

#include "base/metrics.h"
#include "core/sessions/session_token.h"

namespace balsamdrift {
namespace {

constexpr milliseconds lease_retry(500);
constexpr seconds drain_retry(1);

/// Commits and rollbacks end what was admitted before, so they need no token.
bool needs_token(const work_request& it)
{
    return it.kind != work_kind::commit && it.kind != work_kind::rollback;
}

http_response over_rate(duration retry_after)
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
            503, "not_ready", "the VM is cut off from control; use another", lease_retry));
        return;
    }
    if (draining_ && statement.work.transaction.empty()) {
        responder.send(
            refuse_statement(503, "stopping", "the VM is stopping; use another", drain_retry));
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
        auto opened =
            verify_token(statement.session_token, state->session_secret, statement.work.customer);
        if (!succeeded(opened)) {
            responder.send(refuse_statement(400, "session_invalid", failure_of(opened).message));
            return;
        }
        session = std::move(value_of(opened));
    }
    const time_point deadline = now + statement.timeout;
    if (!needs_token(statement.work)) {
        run(std::move(statement), std::move(session), deadline, responder);
        return;
    }
    const std::string customer = statement.work.customer;
    tokens_.admit(customer, deadline,
                  [this, statement = std::move(statement), session = std::move(session), deadline,
                   responder](rate_check_result res, duration retry_after) mutable {
                      switch (res) {
                          case rate_check_result::admitted:
                              run(std::move(statement), std::move(session), deadline, responder);
                              return;
                          case rate_check_result::over_rate:
                              count_metric("balsamdrift_over_rate_total");
                              responder.send(over_rate(retry_after));
                              return;
                          case rate_check_result::unavailable:
                              responder.send(refuse_statement(
                                  503, "rate_unavailable",
                                  "the owner of the customer's rate was not reached", retry_after));
                              return;
                      }
                  });
}

void statement_service::run(statement_request parsed, session_token session, time_point deadline,
                            const http_responder& responder)
{
    const std::string group = parsed.work.group;
    if (const auto seen = session.seen_positions.find(group);
        seen != session.seen_positions.end()) {
        parsed.work.min_position = seen->second;
    }
    const time_point started = monotonic_clock::now();
    const bool read = parsed.work.kind == work_kind::read;
    router_.submit(std::move(parsed.work), deadline,
                   [this, group, session = std::move(session), responder, started,
                    read](const work_answer& answer) mutable {
                       std::string token;
                       if (answer.outcome == run_outcome::ran) {
                           record_seen_position(session, group, answer.position);
                           token = sign_token(session, view_.state()->session_secret);
                       }
                       observe_metric("balsamdrift_statement_seconds",
                                      read ? "kind=\"read\"" : "kind=\"write\"",
                                      monotonic_clock::now() - started);
                       count_metric(
                           "balsamdrift_statements_total",
                           std::string("code=\"") + (answer.code.empty() ? "ok" : answer.code) +
                               "\",replica=\"" + (answer.from_replica ? "yes" : "no") + "\"");
                       responder.send(format_answer(answer, token));
                   });
}

}  // namespace balsamdrift
