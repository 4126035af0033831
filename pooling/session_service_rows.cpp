#include "pooling/session_service.h"

namespace balsamdrift {

void session_service::set_rows_paused(pooled_connection& connection, bool paused)
{
    if (connection.paused != paused) {
        connection.paused = paused;
        connection.transport.set_paused(paused);
    }
}

void session_service::on_instance_rows(const pooled_connection_ptr& connection,
                                       const std::vector<std::string>& rows)
{
    caller_session* const session = find_session(connection->session);
    const bool requested = !connection->expected_answers.empty() &&
                           connection->expected_answers.front().purpose == answer_purpose::request;
    if (!requested || session == nullptr || !session->pending) {
        return;
    }
    pending_statement& pending = *session->pending;
    if (!pending.on_rows) {
        pending.held_rows.insert(pending.held_rows.end(), rows.begin(), rows.end());
        return;
    }
    pending.rows_passed = true;
    if (!pending.on_rows(rows)) {
        set_rows_paused(*connection, true);
    }
}

void session_service::resume_rows(std::uint64_t number)
{
    const caller_session* const session = find_session(number);
    if (session != nullptr && session->transaction && session->transaction->connection) {
        set_rows_paused(*session->transaction->connection, false);
    }
}

}  // namespace balsamdrift
