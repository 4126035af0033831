#include "rig/standin/sql_engine.h"

#include <algorithm>
#include <cctype>

#include "base/invariant.h"

namespace balsamdrift::rig {
namespace {

constexpr unsigned type_int8 = 20;
constexpr unsigned type_text = 25;
constexpr unsigned type_float8 = 701;

struct statement_closer {
    void operator()(sqlite3_stmt* it) const { sqlite3_finalize(it); }
};
using statement_handle = std::unique_ptr<sqlite3_stmt, statement_closer>;

/// The SQLSTATE that PostgreSQL would give for the last error of the session.
std::string sqlstate_of(sqlite3* session)
{
    const std::string message = sqlite3_errmsg(session);
    switch (sqlite3_extended_errcode(session)) {
        case SQLITE_CONSTRAINT_UNIQUE:
        case SQLITE_CONSTRAINT_PRIMARYKEY: return "23505";
        case SQLITE_CONSTRAINT_NOTNULL: return "23502";
        case SQLITE_CONSTRAINT_CHECK: return "23514";
        case SQLITE_CONSTRAINT_FOREIGNKEY: return "23503";
        default: break;
    }
    if (message.find("no such table") != std::string::npos) {
        return "42P01";
    }
    if (message.find("no such column") != std::string::npos) {
        return "42703";
    }
    return sqlite3_errcode(session) == SQLITE_ERROR ? "42601" : "XX000";
}

engine_result sqlite_error_result(sqlite3* session)
{
    engine_result res;
    const int code = sqlite3_errcode(session);
    res.busy = code == SQLITE_BUSY || code == SQLITE_LOCKED;
    res.sqlstate = res.busy ? "55P03" : sqlstate_of(session);
    res.message = sqlite3_errmsg(session);
    return res;
}

engine_result error_result(const std::string& sqlstate, const std::string& message)
{
    engine_result res;
    res.sqlstate = sqlstate;
    res.message = message;
    return res;
}

void bind_params(sqlite3_stmt* statement, const std::vector<std::optional<std::string>>& params)
{
    for (std::size_t n = 0; n < params.size(); ++n) {
        const std::string name = "$" + std::to_string(n + 1);
        const int index = sqlite3_bind_parameter_index(statement, name.c_str());
        if (index == 0) {
            continue;
        }
        const std::optional<std::string>& it = params[n];
        if (it) {
            sqlite3_bind_text(statement, index, it->data(), static_cast<int>(it->size()),
                              SQLITE_TRANSIENT);
        }
        else {
            sqlite3_bind_null(statement, index);
        }
    }
}

unsigned type_of(sqlite3_stmt* statement, int index)
{
    switch (sqlite3_column_type(statement, index)) {
        case SQLITE_INTEGER: return type_int8;
        case SQLITE_FLOAT: return type_float8;
        default: return type_text;
    }
}

std::vector<cell> read_row(sqlite3_stmt* statement)
{
    std::vector<cell> row;
    for (int n = 0; n < sqlite3_column_count(statement); ++n) {
        if (sqlite3_column_type(statement, n) == SQLITE_NULL) {
            row.emplace_back();
            continue;
        }
        const void* text = sqlite3_column_blob(statement, n);
        const auto bytes = static_cast<std::size_t>(sqlite3_column_bytes(statement, n));
        if (sqlite3_column_type(statement, n) == SQLITE_BLOB) {
            row.emplace_back(std::string(static_cast<const char*>(text), bytes));
        }
        else {
            row.emplace_back(reinterpret_cast<const char*>(sqlite3_column_text(statement, n)));
        }
    }
    return row;
}

std::string first_word(const std::string& sql)
{
    std::string word;
    for (const char c : sql) {
        if (std::isalpha(static_cast<unsigned char>(c)) == 0) {
            if (word.empty() && std::isspace(static_cast<unsigned char>(c)) != 0) {
                continue;
            }
            break;
        }
        word.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    }
    return word;
}

std::string tag_of(const std::string& sql, sqlite3* session, std::size_t rows)
{
    const std::string word = first_word(sql);
    if (word == "INSERT") {
        return "INSERT 0 " + std::to_string(sqlite3_changes(session));
    }
    if (word == "UPDATE" || word == "DELETE") {
        return word + " " + std::to_string(sqlite3_changes(session));
    }
    return word == "SELECT" || word == "WITH" ? "SELECT " + std::to_string(rows) : word;
}

}  // namespace

sql_database::sql_database(const std::string& name)
    : uri_("file:/" + name + "?vfs=memdb"), own_session_(open_session())
{
}

sql_database::~sql_database() { sqlite3_close_v2(own_session_); }

sqlite3* sql_database::open_session() const
{
    sqlite3* session = nullptr;
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_URI;
    const int code = sqlite3_open_v2(uri_.c_str(), &session, flags, nullptr);
    BALSAMDRIFT_INVARIANT(code == SQLITE_OK);
    sqlite3_extended_result_codes(session, 1);
    return session;
}

void sql_database::replay(const std::vector<replayed_statement>& transaction)
{
    sqlite3_exec(own_session_, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr);
    for (const replayed_statement& it : transaction) {
        (void)run_statement(own_session_, it.sql, it.params, false);
    }
    const int code = sqlite3_exec(own_session_, "COMMIT", nullptr, nullptr, nullptr);
    BALSAMDRIFT_INVARIANT(code == SQLITE_OK);
}

engine_result run_statement(sqlite3* session, const std::string& sql,
                            const std::vector<std::optional<std::string>>& params, bool read_only)
{
    sqlite3_stmt* raw_statement = nullptr;
    const char* tail = nullptr;
    if (sqlite3_prepare_v2(session, sql.c_str(), static_cast<int>(sql.size()), &raw_statement,
                           &tail) != SQLITE_OK) {
        return sqlite_error_result(session);
    }
    const statement_handle statement(raw_statement);
    if (raw_statement == nullptr) {
        return error_result("42601", "the statement is empty");
    }
    const std::string_view rest(tail);
    if (rest.find_first_not_of(" \t\r\n;") != std::string_view::npos) {
        return error_result("42601", "cannot insert multiple commands into a prepared statement");
    }
    const bool changes = sqlite3_stmt_readonly(raw_statement) == 0;
    if (changes && read_only) {
        return error_result("25006", "cannot execute the statement in a read-only transaction");
    }
    bind_params(raw_statement, params);
    engine_result res;
    int code = SQLITE_ROW;
    while ((code = sqlite3_step(raw_statement)) == SQLITE_ROW) {
        if (res.columns.empty()) {
            for (int n = 0; n < sqlite3_column_count(raw_statement); ++n) {
                res.columns.push_back(
                    {sqlite3_column_name(raw_statement, n), type_of(raw_statement, n)});
            }
        }
        res.rows.push_back(read_row(raw_statement));
    }
    if (code != SQLITE_DONE) {
        return sqlite_error_result(session);
    }
    if (res.rows.empty()) {
        for (int n = 0; n < sqlite3_column_count(raw_statement); ++n) {
            res.columns.push_back({sqlite3_column_name(raw_statement, n), type_text});
        }
    }
    res.changed_data = changes;
    res.tag = tag_of(sql, session, res.rows.size());
    return res;
}

}  // namespace balsamdrift::rig
