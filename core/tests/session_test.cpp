#include "core/sessions/session_token.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

const std::string secret = "a secret of the registry";

session_token some_token() { return {.customer = "agence", .seen = {{"registry", {3, 77}}}}; }

}  // namespace

TEST_CASE("a session token comes back as it was sealed", "[sessions]")
{
    auto opened = open_token(seal_token(some_token(), secret), secret, "agence");
    REQUIRE(succeeded(opened));
    CHECK(value_of(opened) == some_token());
}

TEST_CASE("a token that was altered, forged or lent is refused", "[sessions]")
{
    const std::string text = seal_token(some_token(), secret);
    for (std::size_t n = 0; n < text.size(); ++n) {
        std::string altered = text;
        altered[n] = altered[n] == 'A' ? 'B' : 'A';
        auto opened = open_token(altered, secret, "agence");
        // The last character may carry bits that base64 does not use.
        CHECK((!succeeded(opened) || value_of(opened) == some_token()));
    }
    CHECK_FALSE(succeeded(open_token(seal_token(some_token(), "other"), secret, "agence")));
    CHECK_FALSE(succeeded(open_token(text, secret, "ravel")));
    CHECK_FALSE(succeeded(open_token("", secret, "agence")));
    CHECK_FALSE(succeeded(open_token(std::string(10'000, 'A'), secret, "agence")));
    CHECK_FALSE(succeeded(open_token("not base64 !", secret, "agence")));
}

TEST_CASE("a token never forgets a newer position", "[sessions]")
{
    session_token token = some_token();
    observe(token, "registry", {3, 50});
    CHECK(token.seen["registry"] == log_position{3, 77});
    observe(token, "registry", {4, 1});
    CHECK(token.seen["registry"] == log_position{4, 1});
}
