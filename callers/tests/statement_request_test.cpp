#include "callers/statement_request.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace balsamdrift;

namespace {

http_request request(const std::string& body,
                     const std::string& path = "/v1/databases/g/statements")
{
    return {.method = "POST",
            .path = path,
            .headers = {{"authorization", "Bearer secret"}, {"Idempotency-Key", "k"}},
            .body = body};
}

unsigned refusal_status(const http_request& it)
{
    const auto parsed = parse_statement(it);
    const auto* response = std::get_if<http_response>(&parsed);
    return response == nullptr ? 0 : response->status;
}

work_request parse_work(const http_request& it)
{
    return std::get<statement_request>(parse_statement(it)).work;
}

}  // namespace

TEST_CASE("a statement is parsed with its parameters", "[callers]")
{
    const auto work = parse_work(
        request(R"({"sql":"SELECT $1","params":["é\u00fc",1,2.5,true,null],"access":"read"})"));
    CHECK(work.kind == work_kind::read);
    CHECK(work.group == "g");
    CHECK(work.params[0] == "éü");
    CHECK(work.params[1] == "1");
    CHECK(work.params[3] == "true");
    CHECK_FALSE(work.params[4]);
    CHECK(work.idempotency_key.empty());
    CHECK(parse_work(request(R"({"sql":"x"})")).idempotency_key == "k");
}

TEST_CASE("a parsed request contains only the hash of the key", "[callers]")
{
    const auto parsed = std::get<statement_request>(parse_statement(request(R"({"sql":"x"})")));
    CHECK(parsed.key_hash == sha256_hex("secret"));
    CHECK(parsed.key_hash.find("secret") == std::string::npos);
}

TEST_CASE("invalid requests are refused with the status of their fault", "[callers]")
{
    CHECK(refusal_status(request("")) == 400);
    CHECK(refusal_status(request("{")) == 400);
    CHECK(refusal_status(request("[]")) == 400);
    CHECK(refusal_status(request(R"({"sql":1})")) == 400);
    CHECK(refusal_status(request(R"({"sql":"x","odd":1})")) == 400);
    CHECK(refusal_status(request(R"({"sql":"x","params":{}})")) == 400);
    CHECK(refusal_status(request(R"({"sql":"x","params":[[]]})")) == 400);
    CHECK(refusal_status(request(R"({"sql":"x","params":["a\u0000b"]})")) == 400);
    CHECK(refusal_status(request(R"({"sql":"a\u0000b"})")) == 400);
    CHECK(refusal_status(request(R"({"sql":"x","access":"none"})")) == 400);
    CHECK(refusal_status(request("\xff\xfe")) == 400);
    CHECK(refusal_status(request("{}", "/v1/other")) == 404);
    CHECK(refusal_status(request("{}", "/v1/databases/g/transactions/t/odd")) == 404);
    http_request keyless = request(R"({"sql":"x"})");
    keyless.headers.clear();
    CHECK(refusal_status(keyless) == 401);
    http_request get = request("");
    get.method = "GET";
    CHECK(refusal_status(get) == 405);
    http_request timeout = request(R"({"sql":"x"})");
    timeout.headers.push_back({"Balsamdrift-Timeout", "soon"});
    CHECK(refusal_status(timeout) == 400);
}

TEST_CASE("answers state the outcome and the time after which to retry", "[callers]")
{
    const auto response = format_answer({.outcome = run_outcome::not_run,
                                         .code = "overloaded",
                                         .message = "m",
                                         .retry_after_ms = 1200},
                                        "");
    CHECK(response.status == 503);
    const auto body = nlohmann::json::parse(response.body);
    CHECK(body["outcome"] == "not_run");
    CHECK(body["retry_after_ms"] == 1200);
    CHECK(response.headers.at(0).value == "2");
    const auto unknown = format_answer(
        {.outcome = run_outcome::unknown, .code = "outcome_unknown", .message = "m"}, "");
    CHECK(nlohmann::json::parse(unknown.body)["outcome"] == "unknown");
}
