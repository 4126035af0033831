#include "core/sessions/session_token.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

const std::string secret = "a secret of the registry";

session_token some_token()
{
    return {.customer = "agence", .seen_positions = {{"registry", {3, 77}}}};
}

}  // namespace

TEST_CASE("a session token comes back as it was sealed", "[sessions]")
{
    auto opened = verify_token(sign_token(some_token(), secret), secret, "agence");
    REQUIRE(succeeded(opened));
    CHECK(value_of(opened) == some_token());
}

TEST_CASE("a token that was altered, forged or lent is refused", "[sessions]")
{
    const std::string text = sign_token(some_token(), secret);
    for (std::size_t n = 0; n < text.size(); ++n) {
        std::string altered = text;
        altered[n] = altered[n] == 'A' ? 'B' : 'A';
        auto opened = verify_token(altered, secret, "agence");
        // The last character may carry bits that base64 does not use.
        CHECK((!succeeded(opened) || value_of(opened) == some_token()));
    }
    CHECK_FALSE(succeeded(verify_token(sign_token(some_token(), "other"), secret, "agence")));
    CHECK_FALSE(succeeded(verify_token(text, secret, "ravel")));
    CHECK_FALSE(succeeded(verify_token("", secret, "agence")));
    CHECK_FALSE(succeeded(verify_token(std::string(10'000, 'A'), secret, "agence")));
    CHECK_FALSE(succeeded(verify_token("not base64 !", secret, "agence")));
}

TEST_CASE("a token never forgets a newer position", "[sessions]")
{
    session_token token = some_token();
    record_seen_position(token, "registry", {3, 50});
    CHECK(token.seen_positions["registry"] == log_position{3, 77});
    record_seen_position(token, "registry", {4, 1});
    CHECK(token.seen_positions["registry"] == log_position{4, 1});
}
