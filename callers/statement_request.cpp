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

constexpr std::string_view resource_prefix = "/v1/databases/";
constexpr seconds default_timeout(5);
constexpr seconds max_timeout(60);
constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr std::size_t max_params = 1000;

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

/// Parses a duration such as `2s` or `250ms`. The number is at most 86,400,000 in either unit.
std::optional<duration> parse_duration(std::string_view text)
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

/// Parses a path into group, transaction and kind. Nothing for paths that do not exist.
std::optional<work_request> parse_path(std::string_view path)
{
    if (!path.starts_with(resource_prefix)) {
        return std::nullopt;
    }
    const auto parts = split_path(path.substr(resource_prefix.size()));
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

/// Appends one parameter in text format. False if the value cannot be a parameter.
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

/// Parses the parameters into `work`. Returns a description of the problem, or nothing if they are
/// valid. So do the other functions that return an optional text.
std::optional<std::string> parse_params(const json& body, work_request& work)
{
    const auto params = body.find("params");
    if (params == body.end()) {
        return std::nullopt;
    }
    if (!params->is_array() || params->size() > max_params) {
        return "'params' must be a list of at most 1000 values";
    }
    for (const json& it : *params) {
        if (!append_param(it, work.params)) {
            return "a parameter must be text without NUL, a number, true, false or null";
        }
    }
    return std::nullopt;
}

/// Parses the member `access`: a read, a write, which is the default, or an idempotent write.
std::optional<std::string> parse_access(const json& body, work_request& work)
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

/// Parses the body of a statement into `work`.
std::optional<std::string> parse_body(const std::string& text, work_request& work)
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
    if (auto problem = parse_params(body, work)) {
        return problem;
    }
    return work.kind == work_kind::write ? parse_access(body, work) : std::nullopt;
}

/// Parses the headers except the caller's key.
std::optional<std::string> parse_headers(const http_request& request, statement_request& parsed)
{
    parsed.session_token = header_value(request, "Balsamdrift-Session");
    parsed.timeout = default_timeout;
    if (const auto text = header_value(request, "Balsamdrift-Timeout"); !text.empty()) {
        const auto timeout = parse_duration(text);
        if (!timeout || *timeout == duration{0}) {
            return "Balsamdrift-Timeout must be a span such as 250ms or 2s";
        }
        parsed.timeout = std::min<duration>(*timeout, max_timeout);
    }
    if (const auto text = header_value(request, "Balsamdrift-Max-Age"); !text.empty()) {
        const auto max_age = parse_duration(text);
        if (!max_age) {
            return "Balsamdrift-Max-Age must be a span such as 250ms or 2s";
        }
        parsed.work.max_age_ms = to_milliseconds(*max_age).count();
    }
    parsed.work.idempotency_key = header_value(request, "Idempotency-Key");
    if (parsed.work.idempotency_key.size() > max_idempotency_key_bytes) {
        return "Idempotency-Key must not be longer than 200 bytes";
    }
    return std::nullopt;
}

/// HTTP status of the answers that carry an error code.
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

/// Bytes that are not valid UTF-8 are replaced.
std::string serialize(const json& body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void add_retry_after(http_response& response, json& body, milliseconds retry_after)
{
    if (retry_after <= milliseconds(0)) {
        return;
    }
    const auto whole_seconds = std::chrono::ceil<seconds>(retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(whole_seconds)});
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
    response.body = serialize(body);
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
    if (auto problem = parse_headers(request, parsed)) {
        return bad_request(*problem);
    }
    const bool has_statement = parsed.work.kind == work_kind::write ||
                               parsed.work.kind == work_kind::transaction_statement;
    if (has_statement) {
        if (auto problem = parse_body(request.body, parsed.work)) {
            return bad_request(*problem);
        }
    }
    // The idempotency key has an effect only on writes that are not idempotent by themselves.
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
        std::string body =
            "{\"outcome\":\"ran\",\"served_by\":" + serialize(json(answer.instance)) +
            ",\"replica\":" + (answer.from_replica ? "true" : "false");
        if (!answer.transaction.empty()) {
            body += ",\"transaction\":" + serialize(json(answer.transaction));
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
    response.body = serialize(body);
    return response;
}

}  // namespace balsamdrift
