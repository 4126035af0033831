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

unsigned refused_with(const http_request& it)
{
    const auto parsed = parse_statement(it);
    const auto* response = std::get_if<http_response>(&parsed);
    return response == nullptr ? 0 : response->status;
}

work_request accepted(const http_request& it)
{
    return std::get<statement_request>(parse_statement(it)).work;
}

}  // namespace

TEST_CASE("statements are read with their parameters", "[callers]")
{
    const auto work = accepted(
        request(R"({"sql":"SELECT $1","params":["é\u00fc",1,2.5,true,null],"access":"read"})"));
    CHECK(work.kind == work_kind::read);
    CHECK(work.group == "g");
    CHECK(work.params[0] == "éü");
    CHECK(work.params[1] == "1");
    CHECK(work.params[3] == "true");
    CHECK_FALSE(work.params[4]);
    CHECK(work.idempotency_key.empty());
    CHECK(accepted(request(R"({"sql":"x"})")).idempotency_key == "k");
}

TEST_CASE("only the hash of the key goes on", "[callers]")
{
    const auto parsed = std::get<statement_request>(parse_statement(request(R"({"sql":"x"})")));
    CHECK(parsed.key_hash == sha256_hex("secret"));
    CHECK(parsed.key_hash.find("secret") == std::string::npos);
}

TEST_CASE("bad requests get a clear refusal", "[callers]")
{
    CHECK(refused_with(request("")) == 400);
    CHECK(refused_with(request("{")) == 400);
    CHECK(refused_with(request("[]")) == 400);
    CHECK(refused_with(request(R"({"sql":1})")) == 400);
    CHECK(refused_with(request(R"({"sql":"x","odd":1})")) == 400);
    CHECK(refused_with(request(R"({"sql":"x","params":{}})")) == 400);
    CHECK(refused_with(request(R"({"sql":"x","params":[[]]})")) == 400);
    CHECK(refused_with(request(R"({"sql":"x","params":["a\u0000b"]})")) == 400);
    CHECK(refused_with(request(R"({"sql":"a\u0000b"})")) == 400);
    CHECK(refused_with(request(R"({"sql":"x","access":"none"})")) == 400);
    CHECK(refused_with(request("\xff\xfe")) == 400);
    CHECK(refused_with(request("{}", "/v1/other")) == 404);
    CHECK(refused_with(request("{}", "/v1/databases/g/transactions/t/odd")) == 404);
    http_request keyless = request(R"({"sql":"x"})");
    keyless.headers.clear();
    CHECK(refused_with(keyless) == 401);
    http_request get = request("");
    get.method = "GET";
    CHECK(refused_with(get) == 405);
    http_request timeout = request(R"({"sql":"x"})");
    timeout.headers.push_back({"Balsamdrift-Timeout", "soon"});
    CHECK(refused_with(timeout) == 400);
}

TEST_CASE("answers carry outcome, code and when to come back", "[callers]")
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
