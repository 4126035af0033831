#pragma once

#include <libpq-fe.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamdrift {

/// One statement with its parameters in text format. An absent parameter is NULL.
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

/// The connection was lost before all statements of the batch were answered.
struct connection_lost {
    /// False if no byte of the batch was sent.
    bool sent = true;
    std::string message;
};

/// The results of a batch, one for each statement, or the loss of the connection.
using batch_outcome = std::variant<std::vector<query_result>, connection_lost>;

inline bool succeeded(const query_result& res) { return res.sqlstate.empty(); }

/// Text of a cell; empty for NULL and for a cell that does not exist.
std::string cell_text(const query_result& res, int row, int column);

/// The result as a JSON object with the members `columns`, `rows` and `affected` (the number of
/// rows affected). Integers, floating-point numbers and booleans become JSON values of their type;
/// everything else, NaN and infinity included, becomes a string.
std::string to_json(const query_result& res);

}  // namespace balsamdrift
