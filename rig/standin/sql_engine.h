#pragma once

#include <sqlite3.h>

#include <msgpack.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamdrift::rig {

/// A statement that changed data on the primary and is repeated on the replicas.
struct replayed_statement {
    std::string sql;
    std::vector<std::optional<std::string>> params;
    MSGPACK_DEFINE(sql, params)
};

/// A cell of an answer; absent for NULL.
using cell = std::optional<std::string>;

/// A column of an answer with the OID of its PostgreSQL type.
struct column {
    std::string name;
    unsigned type = 0;
};

/// The answer to a statement.
struct engine_result {
    std::vector<column> columns;
    std::vector<std::vector<cell>> rows;
    /// Command tag of the PostgreSQL protocol, such as `INSERT 0 1`.
    std::string tag;
    /// Empty if the statement succeeded.
    std::string sqlstate;
    std::string message;
    /// True if another session holds the lock. The statement had no effect and can be retried.
    bool busy = false;
    bool changed_data = false;
};

/// A database in memory, shared by the sessions of an instance.
class sql_database {
public:
    /// Creates an empty database. The name must be unique in the process.
    explicit sql_database(const std::string& name);
    ~sql_database();
    sql_database(const sql_database&) = delete;
    sql_database& operator=(const sql_database&) = delete;

    /// Opens a session on the database. The caller closes it.
    sqlite3* open_session() const;

    /// Repeats a committed transaction of the primary.
    void replay(const std::vector<replayed_statement>& transaction);

private:
    std::string uri_;
    /// Keeps the database in memory alive, which ends with its last session.
    sqlite3* own_session_ = nullptr;
};

/// Runs a statement on a session. Refuses changes with SQLSTATE 25006 if `read_only`.
engine_result run_statement(sqlite3* session, const std::string& sql,
                            const std::vector<std::optional<std::string>>& params, bool read_only);

}  // namespace balsamdrift::rig
