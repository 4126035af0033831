#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "core/sessions/log_position.h"

namespace balsamdrift {

/// Kind of a statement.
enum class statement_kind : std::uint8_t {
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    /// Sets a value of the session.
    set_value,
    prepare_read,
    prepare_write,
    /// Runs a prepared statement.
    execute,
    deallocate,
    /// Drops the values and prepared statements of a connection. Sent only by balsamdrift itself.
    discard,
    /// Queries the role and position of an instance. Sent only by balsamdrift itself.
    status,
    /// Turns a primary of an older term into a replica. Sent only by balsamdrift itself.
    step_down,
};

/// One statement, as a caller sent it or as it goes to an instance.
struct statement {
    statement_kind kind = statement_kind::read;
    /// Id that the caller chose; empty for statements that balsamdrift sends itself.
    std::string id;
    /// Name of the session value or of the prepared statement.
    std::string name;
    /// Everything after the name, unchanged: the item and data of a read or write, the value to
    /// set, the text of a prepared statement, the arguments of its execution, or the term of a
    /// step-down.
    std::string argument;
    /// Position that the log of the instance must include; otherwise it does not run the statement.
    std::optional<log_position> min_position;
    /// True if the statement is so long that no minimum position can be sent with it.
    bool excludes_min_position = false;
};

/// How a statement failed. was_not_run() tells which codes guarantee that it had no effect.
enum class statement_error_code : std::uint8_t {
    busy,
    aborted,
    lagging,
    read_only,
    misrouted,
    too_many,
    failed,
    unknown_statement,
    timeout,
    not_authorized,
    unknown_database,
    too_large,
    malformed,
    in_doubt,
};

/// Name of a code, as written to the event log.
inline const char* to_string(statement_error_code code)
{
    switch (code) {
        case statement_error_code::busy: return "busy";
        case statement_error_code::aborted: return "aborted";
        case statement_error_code::lagging: return "lagging";
        case statement_error_code::read_only: return "read_only";
        case statement_error_code::misrouted: return "misrouted";
        case statement_error_code::too_many: return "too_many";
        case statement_error_code::failed: return "failed";
        case statement_error_code::unknown_statement: return "unknown_statement";
        case statement_error_code::timeout: return "timeout";
        case statement_error_code::not_authorized: return "not_authorized";
        case statement_error_code::unknown_database: return "unknown_database";
        case statement_error_code::too_large: return "too_large";
        case statement_error_code::malformed: return "malformed";
        case statement_error_code::in_doubt: return "in_doubt";
    }
    return "?";
}

/// Text of an error after which the caller may retry once `retry_after` has passed.
inline std::string retry_after_text(duration retry_after, const std::string& reason)
{
    return "retry-after-ms=" + milliseconds_text(retry_after) + " " + reason;
}

/// A failed statement.
struct statement_error {
    statement_error_code code = statement_error_code::failed;
    std::string text;
};

/// A statement that succeeded.
struct statement_success {
    /// Acknowledgement that the instance returned; empty when no instance ran the statement.
    std::string receipt;
};

/// Transaction state of a session between statements.
enum class session_state : std::uint8_t { idle, in_transaction, failed_transaction };

/// Name of a state, for logs.
inline const char* to_string(session_state state)
{
    switch (state) {
        case session_state::idle: return "none";
        case session_state::in_transaction: return "open";
        case session_state::failed_transaction: return "failed";
    }
    return "?";
}

/// The answer to a statement.
struct statement_answer {
    std::vector<std::string> rows;
    std::variant<statement_success, statement_error> result;
    session_state state = session_state::idle;
    /// Newest position in the log of the instance that answered.
    std::optional<log_position> position;
};

inline bool is_success(const statement_answer& it)
{
    return std::holds_alternative<statement_success>(it.result);
}

/// The error code of the answer, or nothing on success.
inline std::optional<statement_error_code> error_code_of(const statement_answer& it)
{
    const auto* const error = std::get_if<statement_error>(&it.result);
    return error == nullptr ? std::nullopt : std::optional(error->code);
}

/// True when an instance that answers with this code did not run the statement.
inline bool was_not_run(statement_error_code code)
{
    switch (code) {
        case statement_error_code::busy:
        case statement_error_code::lagging:
        case statement_error_code::read_only:
        case statement_error_code::misrouted:
        case statement_error_code::too_many:
        case statement_error_code::unknown_statement: return true;
        default: return false;
    }
}

}  // namespace balsamdrift
