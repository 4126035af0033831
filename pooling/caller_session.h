#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/time.h"
#include "core/registry/declared_configuration.h"
#include "core/statements/statement.h"
#include "pooling/pooled_link.h"

namespace balsamdrift {

/// Hears the answer to one statement.
using answer_handler = std::function<void(const statement_answer&)>;

/// A transaction of a caller. It gets a connection with its first statement.
struct caller_transaction {
    bool read_only = false;
    std::string begin_id;
    /// The route as it was when the transaction began.
    declared_route route;
    std::string customer;
    pooled_link_ptr link;
    bool wrote = false;
    /// The record of the primary that it began under, if it runs there.
    std::uint64_t primary_epoch = 0;
    bool under_lease = false;
    /// The connection or the right to use it was lost: nothing of it is kept.
    bool lost = false;
};

/// What the caller of a lost transaction is told, and when it may begin it again.
inline constexpr const char* rolled_back = "the transaction was rolled back";
inline constexpr milliseconds rolled_back_retry(100);

/// True for a statement of its own, without a beginning or an end on the wire.
inline bool is_single(const caller_transaction& it) { return it.begin_id.empty(); }

/// A statement that a caller waits for.
struct pending_statement {
    statement sent;
    answer_handler on_answer;
    time_point arrived_at{};
    /// After this it is not waited for any more.
    time_point deadline{};
    /// Place in the service's queue, while it waits there.
    std::optional<std::uint64_t> queue_number;
    /// The transaction that begins once the customer's rate admits it.
    std::optional<caller_transaction> opening;
    int attempts = 0;
    /// Instances that could not run it.
    std::set<std::string> excluded;
    /// When it went to the connection.
    time_point dispatched_at{};
    bool main_sent = false;
};

/// What a prepared name of a session stands for.
struct prepared_shape {
    bool writes = false;
    std::string shape;
};

/// A caller's session: a connection's worth of values, prepared names and one transaction.
struct caller_session {
    std::uint64_t number = 0;
    std::string database;
    std::string key;
    /// Ends the caller's connection.
    std::function<void()> end;
    session_values values;
    std::map<std::string, prepared_shape> prepared;
    session_state state = session_state::idle;
    std::optional<caller_transaction> transaction;
    std::unique_ptr<pending_statement> pending;
    /// Newest commit of the session, and the generation of the primary that gave it.
    log_position written;
    std::uint64_t written_generation = 0;
    time_point active_at{};
};

}  // namespace balsamdrift
