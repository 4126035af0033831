#pragma once

#include <sqlite3.h>

#include <msgpack.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamdrift::rig {

/// A statement that changed data, as replicas repeat it.
struct replayed_statement {
    std::string sql;
    std::vector<std::optional<std::string>> params;
    MSGPACK_DEFINE(sql, params)
};

/// A cell of an answer; absent for NULL.
using cell = std::optional<std::string>;

/// A column of an answer with its PostgreSQL type number.
struct column {
    std::string name;
    unsigned type = 0;
};

/// The answer to one statement.
struct engine_result {
    std::vector<column> columns;
    std::vector<std::vector<cell>> rows;
    std::string tag;
    std::string sqlstate;
    std::string message;
    /// True when another session holds the lock; the statement had no effect and can be tried
    /// again.
    bool busy = false;
    bool changed_data = false;
};

/// The in-memory database of one instance, shared by its sessions.
class sql_database {
public:
    /// Opens the database of this name with nothing in it.
    explicit sql_database(const std::string& name);
    ~sql_database();
    sql_database(const sql_database&) = delete;
    sql_database& operator=(const sql_database&) = delete;

    /// A new session on the database; the caller closes it.
    sqlite3* open_session() const;

    /// Repeats a committed transaction of the primary.
    void replay(const std::vector<replayed_statement>& transaction);

private:
    std::string uri_;
    sqlite3* own_session_ = nullptr;
};

/// Runs one statement on a session.
engine_result run_statement(sqlite3* session, const std::string& sql,
                            const std::vector<std::optional<std::string>>& params, bool read_only);

}  // namespace balsamdrift::rig
