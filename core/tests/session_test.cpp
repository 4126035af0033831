#include "core/sessions/session_token.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

const std::string secret = "a secret of the registry";

session_token example_token()
{
    return {.customer = "agence", .seen_positions = {{"registry", {3, 77}}}};
}

}  // namespace

TEST_CASE("a signed session token is verified and decoded unchanged", "[sessions]")
{
    auto verified = verify_token(sign_token(example_token(), secret), secret, "agence");
    REQUIRE(succeeded(verified));
    CHECK(value_of(verified) == example_token());
}

TEST_CASE("a token that was altered, forged or issued to another customer is refused", "[sessions]")
{
    const std::string text = sign_token(example_token(), secret);
    for (std::size_t n = 0; n < text.size(); ++n) {
        std::string altered = text;
        altered[n] = altered[n] == 'A' ? 'B' : 'A';
        auto verified = verify_token(altered, secret, "agence");
        // The last character may contain bits that base64 does not use.
        CHECK((!succeeded(verified) || value_of(verified) == example_token()));
    }
    CHECK_FALSE(succeeded(verify_token(sign_token(example_token(), "other"), secret, "agence")));
    CHECK_FALSE(succeeded(verify_token(text, secret, "ravel")));
    CHECK_FALSE(succeeded(verify_token("", secret, "agence")));
    CHECK_FALSE(succeeded(verify_token(std::string(10'000, 'A'), secret, "agence")));
    CHECK_FALSE(succeeded(verify_token("not base64 !", secret, "agence")));
}

TEST_CASE("recording an older position leaves the newer one in the token", "[sessions]")
{
    session_token token = example_token();
    record_seen_position(token, "registry", {3, 50});
    CHECK(token.seen_positions["registry"] == log_position{3, 77});
    record_seen_position(token, "registry", {4, 1});
    CHECK(token.seen_positions["registry"] == log_position{4, 1});
}
