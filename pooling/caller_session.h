#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/registry/declared_configuration.h"
#include "core/statements/statement.h"
#include "pooling/pooled_connection.h"
#include "pooling/prepared_statement.h"

namespace balsamdrift {

/// Receives the answer to one statement.
using answer_handler = std::function<void(const statement_answer&)>;

/// Receives first rows of an answer that is too long to be held; the rest and the result follow.
/// Returns false if no more rows should come until session_service::resume_rows().
using rows_handler = std::function<bool(const std::vector<std::string>&)>;

/// A transaction of a caller, or a single statement, which runs as a transaction of its own. It
/// gets a connection with its first statement.
struct caller_transaction {
    bool read_only = false;
    /// Id of the caller's begin statement; empty for a single statement.
    std::string begin_id;
    /// The route as it was when the transaction began.
    declared_route route;
    std::string customer;
    pooled_connection_ptr connection;
    /// True once a write was sent to the instance.
    bool may_have_written = false;
    /// Epoch of the primary record when the connection was assigned.
    std::uint64_t primary_epoch = 0;
    /// True if it runs on the primary, which requires that this VM holds its lease.
    bool under_lease = false;
    /// True once the connection, or the right to use it, was lost. The instance rolls back.
    bool aborted = false;
};

/// Error text for the caller of an aborted transaction, and the delay before it may retry.
inline constexpr const char* rolled_back_text = "the transaction was rolled back";
inline constexpr milliseconds rolled_back_retry_after(100);

/// True for a single statement, for which no begin or commit is sent to the instance.
inline bool is_single_statement(const caller_transaction& it) { return it.begin_id.empty(); }

/// A statement that has not been answered to the caller yet.
struct pending_statement {
    /// The statement as the caller sent it.
    statement request;
    answer_handler on_answer;
    rows_handler on_rows;
    /// True once rows were passed to the caller. The statement cannot run again then.
    bool rows_passed = false;
    /// Rows of a long answer, if `on_rows` is not set.
    std::vector<std::string> held_rows;
    time_point arrived_at{};
    /// The caller is answered shortly before this time at the latest.
    time_point deadline{};
    /// Time by which equally urgent statements are ordered: the arrival, or, if the caller was
    /// refused before and came back on time, the arrival of the refused statement.
    time_point ordered_at{};
    /// True if the caller came back when it was told to.
    bool returned_on_time = false;
    /// Position in the service's queue. Kept when the statement is queued again after an attempt.
    std::optional<std::uint64_t> queue_number;
    /// The transaction that begins once the customer's rate admits it.
    std::optional<caller_transaction> transaction_to_begin;
    /// How often the statement was assigned to an instance.
    int attempts = 0;
    /// Instances that failed to run the statement in this round of attempts.
    std::set<std::string> excluded;
    /// When the statement was last assigned to a connection.
    time_point dispatched_at{};
    /// True if the replica was not known to have the position that the read requires.
    bool tests_position = false;
    /// True once the statement itself, not only its set-up, was sent in the current attempt.
    bool request_sent = false;
};

/// Session of one caller: its values, its prepared statements and at most one transaction.
struct caller_session {
    std::uint64_t number = 0;
    std::string database;
    std::string key;
    /// Closes the caller's connection.
    std::function<void()> disconnect_caller;
    session_values values;
    /// Prepared statements by the caller's name for them.
    std::map<std::string, prepared_statement> prepared;
    session_state state = session_state::idle;
    std::optional<caller_transaction> transaction;
    std::unique_ptr<pending_statement> pending;
    /// Position of the session's newest commit, and the generation of the primary that ran it.
    log_position last_commit;
    std::uint64_t last_commit_generation = 0;
    /// When the caller was told to come back, and when the refused statement was ordered; the
    /// clock's epoch without a refusal.
    time_point promised_at{};
    time_point refused_ordered_at{};
    time_point opened_at{};
    /// When a statement of the session last arrived or was answered.
    time_point last_active_at{};
};

}  // namespace balsamdrift
