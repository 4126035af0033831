#include "databases/query_result.h"

#include <nlohmann/json.hpp>

namespace balsamdrift {
namespace {

/// Object identifiers (OIDs) of built-in PostgreSQL types.
enum class column_type : unsigned {
    boolean = 16,
    int8 = 20,
    int2 = 21,
    int4 = 23,
    float4 = 700,
    float8 = 701,
};

bool is_number(Oid type)
{
    switch (static_cast<column_type>(type)) {
        case column_type::int8:
        case column_type::int2:
        case column_type::int4:
        case column_type::float4:
        case column_type::float8: return true;
        default: return false;
    }
}

/// Text as a JSON string. Bytes that are not valid UTF-8 are replaced.
std::string quote(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void append_cell(std::string& out, const PGresult* rows, int row, int column)
{
    if (PQgetisnull(rows, row, column) != 0) {
        out.append("null");
        return;
    }
    const std::string_view text(PQgetvalue(rows, row, column),
                                static_cast<std::size_t>(PQgetlength(rows, row, column)));
    const Oid type = PQftype(rows, column);
    // NaN and Infinity are the only numbers with an n; JSON has no number for them.
    const bool finite = text.find_first_of("nN") == std::string_view::npos;
    if (is_number(type) && finite) {
        out.append(text);
    }
    else if (static_cast<column_type>(type) == column_type::boolean) {
        out.append(text == "t" ? "true" : "false");
    }
    else {
        out.append(quote(text));
    }
}

void append_row(std::string& out, const PGresult* rows, int row)
{
    out.push_back('[');
    for (int column = 0; column < PQnfields(rows); ++column) {
        if (column > 0) {
            out.push_back(',');
        }
        append_cell(out, rows, row, column);
    }
    out.push_back(']');
}

}  // namespace

std::string cell_text(const query_result& res, int row, int column)
{
    const PGresult* rows = res.rows.get();
    if (rows == nullptr || row >= PQntuples(rows) || column >= PQnfields(rows)) {
        return {};
    }
    return {PQgetvalue(rows, row, column),
            static_cast<std::size_t>(PQgetlength(rows, row, column))};
}

std::string to_json(const query_result& res)
{
    PGresult* rows = res.rows.get();
    std::string out = "{\"columns\":[";
    for (int column = 0; column < PQnfields(rows); ++column) {
        out.append(column > 0 ? "," : "").append(quote(PQfname(rows, column)));
    }
    out.append("],\"rows\":[");
    for (int row = 0; row < PQntuples(rows); ++row) {
        out.append(row > 0 ? "," : "");
        append_row(out, rows, row);
    }
    const std::string affected = PQcmdTuples(rows);
    out.append("],\"affected\":").append(affected.empty() ? "0" : affected).append("}");
    return out;
}

}  // namespace balsamdrift
