#pragma once

#include <libpq-fe.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamdrift {

/// One statement with its parameters in text form; absent ones are NULL.
struct sql_statement {
    std::string sql;
    std::vector<std::optional<std::string>> params;
};

/// The answer of an instance to one statement.
struct query_result {
    std::shared_ptr<PGresult> rows;
    /// Empty on success.
    std::string sqlstate;
    std::string message;
};

/// The connection ended before all statements were answered.
struct connection_lost {
    /// False when not a byte of the batch was sent.
    bool sent = true;
    std::string message;
};

/// The answers to a batch, one for each statement, or the loss of the connection.
using batch_outcome = std::variant<std::vector<query_result>, connection_lost>;

/// True when the statement succeeded.
inline bool succeeded(const query_result& res) { return res.sqlstate.empty(); }

/// Text of a cell; NULL gives an empty text.
std::string cell_text(const query_result& res, int row, int column);

/// The rows as a JSON document: columns, rows, and the count of rows affected. Integers, floating
/// point numbers and booleans become JSON values of their type, everything else text.
std::string to_json(const query_result& res);

}  // namespace balsamdrift
