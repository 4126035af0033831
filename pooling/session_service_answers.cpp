#include <algorithm>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

/// Code for a lost statement that had not been sent, or that only read.
constexpr statement_error_code not_run = statement_error_code::busy;

}  // namespace

void session_service::on_started(const pooled_link_ptr& link, const statement_answer& it)
{
    link->started = true;
    const auto [service, pool] = home_of(*link);
    if (pool != nullptr) {
        note_reachable(*pool, hooks_.now());
        note_position(*service, *pool, it, {answer_purpose::set_up, link->opened_at});
    }
}

void session_service::on_link_answer(const pooled_link_ptr& link, const statement_answer& it)
{
    if (link->expected.empty()) {
        log_event(event_id::connection_discarded,
                  {{"instance", link->instance}, {"reason", "an answer to nothing"}});
        break_link(link);
        return;
    }
    const expected_answer expected = link->expected.front();
    link->expected.pop_front();
    const auto [service, pool] = home_of(*link);
    if (pool != nullptr) {
        note_position(*service, *pool, it, expected);
    }
    caller_session* const session = find_session(link->session);
    if (session == nullptr || !session->pending) {
        return;
    }
    if (expected.purpose != answer_purpose::main) {
        on_set_up_answer(*session, link, it, expected.purpose);
        return;
    }
    if (pool != nullptr) {
        note_latency(*pool, options_.pool, hooks_.now() - expected.sent_at, hooks_.now());
    }
    on_main_answer(*session, link, it);
}

void session_service::note_position(service_state& service, instance_pool& pool,
                                    const statement_answer& it, const expected_answer& expected)
{
    if (!it.position) {
        return;
    }
    pool.position = *it.position;
    pool.position_generation = service.book.generation;
    const bool primary = pool.info.instance == service.record.instance &&
                         expected.sent_at >= service.record_since &&
                         may_use_primary(service, hooks_.now());
    if (primary) {
        record_sample(service.book, options_.book, {expected.sent_at, *it.position});
    }
}

void session_service::on_set_up_answer(caller_session& session, const pooled_link_ptr& link,
                                       const statement_answer& it, answer_purpose purpose)
{
    if (const auto code = error_code_of(it)) {
        if (const auto [service, pool] = home_of(*link); pool != nullptr) {
            note_refusal(*service, *pool, *code);
        }
        // What the connection has set by now is not certain, so it is not used on.
        const bool begun = session.transaction->link == link && session.pending->attempts == 0;
        session.transaction->link = nullptr;
        drop_link(link);
        if (begun) {
            session.transaction->lost = true;
            finish_lost(session, "the connection could not be set up");
            return;
        }
        retry(session, link->instance,
              purpose == answer_purpose::begin ? "begin refused" : "set-up refused");
        return;
    }
    if (link->expected.empty()) {
        send_main(session, *link);
    }
}

bool session_service::still_valid(const caller_session& session, const service_state& service) const
{
    const caller_transaction& transaction = *session.transaction;
    if (!transaction.under_lease) {
        return true;
    }
    // While a planned change waits for running statements, they may still end well.
    const bool same = service.record.epoch == transaction.primary_epoch ||
                      (service.record.phase == primary_phase::suspended && service.record.planned &&
                       service.settled_epoch < service.record.epoch);
    return same && hooks_.holds_lease(hooks_.now());
}

void session_service::on_main_answer(caller_session& session, const pooled_link_ptr& link,
                                     const statement_answer& it)
{
    if (is_success(it)) {
        on_success(session, it);
    }
    else {
        on_error(session, link, it);
    }
}

void session_service::on_success(caller_session& session, const statement_answer& it)
{
    caller_transaction& transaction = *session.transaction;
    service_state& service = services_[transaction.route.service];
    const statement_kind kind = session.pending->sent.kind;
    const bool single = is_single(*session.transaction);
    const bool ends = kind == statement_kind::commit || kind == statement_kind::rollback;
    const bool commits = transaction.wrote && (single || kind == statement_kind::commit);
    if (kind != statement_kind::rollback && !still_valid(session, service)) {
        finish_lost(session, "the right to use the primary was lost");
        return;
    }
    if (commits && it.position) {
        session.written = *it.position;
        session.written_generation = service.book.generation;
    }
    statement_answer out = it;
    if (session.state == session_state::failed_transaction && kind == statement_kind::commit) {
        out.result = statement_error{statement_error_code::aborted,
                                     retry_after_text(rolled_back_retry, rolled_back)};
    }
    if (single) {
        answer(session, out);
        return;
    }
    if (ends) {
        end_transaction(session);
        out.state = session_state::idle;
    }
    answer(session, out);
}

void session_service::note_refusal(service_state& service, instance_pool& pool,
                                   statement_error_code code)
{
    const time_point now = hooks_.now();
    switch (code) {
        case statement_error_code::lagging:
            pool.lagging_until = now + options_.pool.lagging_pause;
            break;
        case statement_error_code::too_many:
            pool.full_until = now + options_.pool.full_pause;
            break;
        case statement_error_code::busy:
            pool.paused_until = std::max(pool.paused_until, now + options_.pool.busy_pause);
            break;
        case statement_error_code::misrouted: note_unreachable(pool, options_.pool, now); break;
        case statement_error_code::read_only:
            if (pool.info.instance == service.record.instance) {
                // It is no primary any more: control finds out and replaces it.
                pool.failed_at = now;
                hooks_.report_soon();
            }
            break;
        default: break;
    }
}

void session_service::on_error(caller_session& session, const pooled_link_ptr& link,
                               const statement_answer& it)
{
    const statement_error_code code = *error_code_of(it);
    service_state& service = services_[route_of(session).service];
    if (instance_pool* const pool = home_of(*link).pool) {
        note_refusal(service, *pool, code);
    }
    const bool single = is_single(*session.transaction);
    const bool reads = !writes(session, session.pending->sent);
    const bool failed =
        code == statement_error_code::failed || code == statement_error_code::timeout;
    if (single && (was_not_run(code) || (reads && failed))) {
        if (code == statement_error_code::unknown_statement) {
            link->prepared.clear();
        }
        session.transaction->link = nullptr;
        session.transaction->wrote = false;
        const std::string name = link->instance;
        release_link(link);
        if (session.pending) {
            retry(session, name, std::string("refused: ") + to_string(code));
        }
        return;
    }
    log_event(event_id::statement_failed, {{"id", session.pending->sent.id},
                                           {"database", session.database},
                                           {"instance", link->instance},
                                           {"code", to_string(code)},
                                           {"sent", "yes"}});
    const bool ends = session.pending->sent.kind == statement_kind::commit ||
                      session.pending->sent.kind == statement_kind::rollback;
    statement_answer out = it;
    if (!single && ends) {
        // Whatever became of it, the connection may still be inside the transaction.
        const pooled_link_ptr held = session.transaction->link;
        session.transaction->link = nullptr;
        drop_link(held);
        end_transaction(session);
        out.state = session_state::idle;
    }
    else if (!single) {
        out.state = session_state::failed_transaction;
    }
    answer(session, out);
}

void session_service::retry(caller_session& session, const std::string& instance,
                            const std::string& reason)
{
    pending_statement& pending = *session.pending;
    pending.excluded.insert(instance);
    pending.main_sent = false;
    session.transaction->wrote = false;
    service_state& service = services_[route_of(session).service];
    count_metric("balsamdrift_retried_statements_total");
    log_event(event_id::statement_retried, {{"id", pending.sent.id},
                                            {"instance", instance},
                                            {"reason", reason},
                                            {"attempts", std::to_string(pending.attempts)}});
    if (dispatch(session, service)) {
        return;
    }
    // Every instance that could serve it had its turn: the next round may ask them again.
    if (needs_primary(session) || pending.excluded.size() >= service.pools.size()) {
        pending.excluded.clear();
    }
    enqueue(session, service);
}

void session_service::finish_lost(caller_session& session, const std::string& reason)
{
    caller_transaction& transaction = *session.transaction;
    const bool single = is_single(*session.transaction);
    const bool sent = session.pending->main_sent;
    const bool commits = session.pending->sent.kind == statement_kind::commit;
    const bool in_doubt = sent && transaction.wrote && (single || commits);
    leave_queue(session);
    if (sent) {
        log_event(event_id::statement_failed,
                  {{"id", session.pending->sent.id},
                   {"database", session.database},
                   {"instance", transaction.link ? transaction.link->instance : "-"},
                   {"reason", reason},
                   {"in_doubt", in_doubt ? "yes" : "no"}});
    }
    lose_transaction(session);
    statement_error error{not_run, reason};
    if (in_doubt) {
        error = {statement_error_code::in_doubt, reason};
    }
    else if (sent && single) {
        error = {statement_error_code::failed, reason};
    }
    else if (!single) {
        error = {statement_error_code::aborted, reason};
    }
    session_state after = session_state::idle;
    if (!single && !commits) {
        after = session_state::failed_transaction;
    }
    if (commits) {
        end_transaction(session);
    }
    answer(session, {.result = error, .state = after});
}

void session_service::break_link(const pooled_link_ptr& link)
{
    on_link_end(link, connection_end_reason::broken, {});
}

void session_service::on_link_end(const pooled_link_ptr& link, connection_end_reason why,
                                  const statement_error& error)
{
    const auto [service, pool] = home_of(*link);
    if (pool != nullptr) {
        const bool full = error.code == statement_error_code::too_many;
        if (why == connection_end_reason::refused) {
            note_refusal(*service, *pool, error.code);
        }
        if (why == connection_end_reason::unreachable ||
            (why == connection_end_reason::broken && !link->started)) {
            note_unreachable(*pool, options_.pool, hooks_.now());
        }
        else if (why == connection_end_reason::broken) {
            pool->failed_at = hooks_.now();
        }
        if (pool->info.instance == service->record.instance && !full) {
            hooks_.report_soon();
        }
        log_event(event_id::connection_discarded,
                  {{"instance", link->instance},
                   {"reason", why == connection_end_reason::refused       ? "refused: " + error.text
                              : why == connection_end_reason::unreachable ? "unreachable"
                                                                          : "broken"}});
    }
    caller_session* const session = find_session(link->session);
    const bool ours =
        session != nullptr && session->transaction && session->transaction->link == link;
    drop_link(link);
    if (!ours) {
        return;
    }
    session->transaction->link = nullptr;
    if (!session->pending) {
        session->transaction->lost = true;
        return;
    }
    pending_statement& pending = *session->pending;
    const bool dispatched = pending.attempts > 0;
    const bool repeatable = is_single(*session->transaction) && !writes(*session, pending.sent);
    const bool untouched = dispatched && !pending.main_sent;
    // Nothing was sent to an instance that could not be reached, and nothing ran behind an opening
    // line that was refused. A connection that broke, accepted or not, promises nothing.
    const bool refused = dispatched && !link->started && why != connection_end_reason::broken;
    if (untouched || repeatable || refused) {
        retry(*session, link->instance, "connection lost");
        return;
    }
    finish_lost(*session, "the connection to the instance was lost");
}

}  // namespace balsamdrift
