#include "callers/statement_request.h"

#include <QCryptographicHash>
#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/invariant.h"

namespace balsamdrift {
namespace {

using nlohmann::json;

constexpr std::string_view root = "/v1/databases/";
constexpr seconds default_timeout(5);
constexpr seconds longest_timeout(60);
constexpr std::size_t longest_idempotency_key = 200;
constexpr std::size_t most_params = 1000;

std::vector<std::string> split_path(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        const auto slash = path.find('/');
        parts.emplace_back(path.substr(0, slash));
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    }
    return parts;
}

/// Reads a span such as `2s` or `250ms` from a header.
std::optional<duration> parse_span(std::string_view text)
{
    std::int64_t amount = 0;
    const char* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, amount);
    const std::string_view unit(ptr, static_cast<std::size_t>(end - ptr));
    if (ec != std::errc{} || amount < 0 || amount > 86'400'000) {
        return std::nullopt;
    }
    if (unit == "ms") {
        return milliseconds(amount);
    }
    if (unit == "s") {
        return seconds(amount);
    }
    return std::nullopt;
}

http_response bad_request(const std::string& detail)
{
    return refuse_statement(400, "invalid_request", detail);
}

/// Reads the path into group, transaction and kind. Nothing for paths that do not exist.
std::optional<work_request> parse_path(std::string_view path)
{
    if (!path.starts_with(root)) {
        return std::nullopt;
    }
    const auto parts = split_path(path.substr(root.size()));
    work_request work;
    if (parts.size() == 2 && parts[1] == "statements") {
        work.kind = work_kind::write;
    }
    else if (parts.size() == 2 && parts[1] == "transactions") {
        work.kind = work_kind::begin;
    }
    else if (parts.size() == 4 && parts[1] == "transactions") {
        work.transaction = parts[2];
        if (parts[3] == "statements") {
            work.kind = work_kind::transaction_statement;
        }
        else if (parts[3] == "commit") {
            work.kind = work_kind::commit;
        }
        else if (parts[3] == "rollback") {
            work.kind = work_kind::rollback;
        }
        else {
            return std::nullopt;
        }
    }
    else {
        return std::nullopt;
    }
    work.group = parts[0];
    return work;
}

/// Reads one parameter; nothing when it is of a kind that cannot be a parameter.
bool append_param(const json& value, std::vector<std::optional<std::string>>& params)
{
    if (value.is_null()) {
        params.emplace_back();
        return true;
    }
    if (value.is_string()) {
        params.emplace_back(value.get<std::string>());
        return params.back()->find('\0') == std::string::npos;
    }
    if (value.is_boolean()) {
        params.emplace_back(value.get<bool>() ? "true" : "false");
        return true;
    }
    if (value.is_number()) {
        params.emplace_back(value.dump());
        return true;
    }
    return false;
}

std::optional<std::string> read_params(const json& body, work_request& work)
{
    const auto params = body.find("params");
    if (params == body.end()) {
        return std::nullopt;
    }
    if (!params->is_array() || params->size() > most_params) {
        return "'params' must be a list of at most 1000 values";
    }
    for (const json& it : *params) {
        if (!append_param(it, work.params)) {
            return "a parameter must be text without NUL, a number, true, false or null";
        }
    }
    return std::nullopt;
}

std::optional<std::string> read_access(const json& body, work_request& work)
{
    const auto access = body.find("access");
    if (access == body.end()) {
        return std::nullopt;
    }
    const std::string word = access->is_string() ? access->get<std::string>() : std::string();
    if (word == "read") {
        work.kind = work_kind::read;
    }
    else if (word == "idempotent") {
        work.kind = work_kind::idempotent_write;
    }
    else if (word != "write") {
        return "'access' must be \"read\", \"write\" or \"idempotent\"";
    }
    return std::nullopt;
}

/// Reads the body of a statement into `work`; gives what is wrong with it.
std::optional<std::string> read_body(const std::string& text, work_request& work)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return "the body must be a JSON object";
    }
    for (const auto& [name, value] : body.items()) {
        if (name != "sql" && name != "params" && name != "access") {
            return "unknown member '" + name + "' in the body";
        }
    }
    const auto sql = body.find("sql");
    if (sql == body.end() || !sql->is_string() || sql->get_ref<const std::string&>().empty()) {
        return "'sql' must be the text of one statement";
    }
    work.sql = sql->get<std::string>();
    if (work.sql.find('\0') != std::string::npos) {
        return "'sql' must not contain NUL";
    }
    if (auto problem = read_params(body, work)) {
        return problem;
    }
    return work.kind == work_kind::write ? read_access(body, work) : std::nullopt;
}

std::optional<std::string> read_headers(const http_request& request, statement_request& parsed)
{
    parsed.session_token = header_value(request, "Balsamdrift-Session");
    parsed.timeout = default_timeout;
    if (const auto text = header_value(request, "Balsamdrift-Timeout"); !text.empty()) {
        const auto span = parse_span(text);
        if (!span || *span == duration{0}) {
            return "Balsamdrift-Timeout must be a span such as 250ms or 2s";
        }
        parsed.timeout = std::min<duration>(*span, longest_timeout);
    }
    if (const auto text = header_value(request, "Balsamdrift-Max-Age"); !text.empty()) {
        const auto span = parse_span(text);
        if (!span) {
            return "Balsamdrift-Max-Age must be a span such as 250ms or 2s";
        }
        parsed.work.max_age_ms = to_milliseconds(*span).count();
    }
    parsed.work.idempotency_key = header_value(request, "Idempotency-Key");
    if (parsed.work.idempotency_key.size() > longest_idempotency_key) {
        return "Idempotency-Key must not be longer than 200 bytes";
    }
    return std::nullopt;
}

/// One row of the table of codes.
struct code_status {
    std::string_view code;
    unsigned status = 0;
};

constexpr std::array code_statuses{
    code_status{"sql_error", 422},
    code_status{"idempotency_key_reused", 422},
    code_status{"unknown_transaction", 404},
    code_status{"transaction_busy", 409},
    code_status{"transaction_lost", 409},
    code_status{"transaction_failed", 409},
    code_status{"transaction_control", 400},
    code_status{"deadline_exceeded", 504},
    code_status{"outcome_unknown", 504},
    code_status{"queue_full", 503},
    code_status{"overloaded", 503},
    code_status{"maintenance", 503},
    code_status{"instance_lost", 503},
    code_status{"owner_changed", 503},
    code_status{"no_owner", 503},
    code_status{"not_ready", 503},
};

unsigned status_of(const std::string& code)
{
    const auto it = std::find_if(code_statuses.begin(), code_statuses.end(),
                                 [&](const code_status& row) { return row.code == code; });
    return it == code_statuses.end() ? 500 : it->status;
}

constexpr std::array<const char*, 3> outcome_names{"not_run", "ran", "unknown"};

json outcome_json(run_outcome outcome)
{
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

std::string dump(const json& body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void add_retry_after(http_response& response, json& body, milliseconds retry_after)
{
    if (retry_after <= milliseconds(0)) {
        return;
    }
    const auto whole = std::chrono::ceil<seconds>(retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(whole)});
    body["retry_after_ms"] = retry_after.count();
}

}  // namespace

std::string sha256_hex(std::string_view text)
{
    const QByteArrayView bytes(text.data(), static_cast<qsizetype>(text.size()));
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString();
}

http_response refuse_statement(unsigned status, const std::string& code, const std::string& detail,
                               duration retry_after)
{
    http_response response{.status = status, .content_type = "application/problem+json"};
    json body{{"type", "about:blank"},
              {"status", status},
              {"code", code},
              {"detail", detail},
              {"outcome", outcome_json(run_outcome::not_run)}};
    add_retry_after(response, body, to_milliseconds(retry_after));
    response.body = dump(body);
    return response;
}

parsed_statement parse_statement(const http_request& request)
{
    auto work = parse_path(request.path);
    if (!work) {
        return refuse_statement(404, "not_found", "no such resource");
    }
    if (request.method != "POST") {
        return refuse_statement(405, "method_not_allowed", "the resource takes POST only");
    }
    const std::string_view authorization = header_value(request, "Authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme)) {
        return refuse_statement(401, "key_missing", "send the key as 'Authorization: Bearer KEY'");
    }
    statement_request parsed{.key_hash = sha256_hex(authorization.substr(scheme.size())),
                             .work = std::move(*work)};
    if (auto problem = read_headers(request, parsed)) {
        return bad_request(*problem);
    }
    const bool has_statement = parsed.work.kind == work_kind::write ||
                               parsed.work.kind == work_kind::transaction_statement;
    if (has_statement) {
        if (auto problem = read_body(request.body, parsed.work)) {
            return bad_request(*problem);
        }
    }
    // Only a write that must not be repeated needs its key.
    if (parsed.work.kind != work_kind::write) {
        parsed.work.idempotency_key.clear();
    }
    return parsed;
}

http_response format_answer(const work_answer& answer, const std::string& session_token)
{
    http_response response;
    if (!session_token.empty()) {
        response.headers.push_back({"Balsamdrift-Session", session_token});
    }
    if (answer.code.empty()) {
        BALSAMDRIFT_INVARIANT(answer.outcome == run_outcome::ran);
        std::string body = "{\"outcome\":\"ran\",\"served_by\":" + dump(json(answer.instance)) +
                           ",\"replica\":" + (answer.from_replica ? "true" : "false");
        if (!answer.transaction.empty()) {
            body += ",\"transaction\":" + dump(json(answer.transaction));
        }
        response.body = body + ",\"result\":" + answer.result + "}";
        return response;
    }
    response.status = status_of(answer.code);
    response.content_type = "application/problem+json";
    json body{{"type", "about:blank"},
              {"status", response.status},
              {"code", answer.code},
              {"detail", answer.message},
              {"outcome", outcome_json(answer.outcome)}};
    if (!answer.sqlstate.empty()) {
        body["sqlstate"] = answer.sqlstate;
    }
    add_retry_after(response, body, milliseconds(answer.retry_after_ms));
    response.body = dump(body);
    return response;
}

}  // namespace balsamdrift
