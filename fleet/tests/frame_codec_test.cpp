#include "fleet/frame_codec.h"

#include <catch2/catch.hpp>

#include "base/codec.h"
#include "base/signature.h"

using namespace balsamdrift;

namespace {

const std::string secret = "secret-of-the-test";

fleet_frame make_frame(const std::string& sender)
{
    return {.channel = 1,
            .sender = sender,
            .stamp = 117'000'000'000'000'000,
            .body = "body",
            .received_stamp = 116'999'999'000'000'000,
            .reads_short_frames = true};
}

/// A frame as builds before short frames encode it.
struct earlier_frame {
    std::uint8_t channel = 0;
    std::string sender;
    std::uint64_t stamp = 0;
    std::string body;
    std::optional<std::uint64_t> received_stamp;
    MSGPACK_DEFINE(channel, sender, stamp, body, received_stamp)
};

}  // namespace

TEST_CASE("a short frame loses nothing of the frame, the confirmation of delivery included",
          "[fleet]")
{
    const fleet_frame frame = make_frame("10.1.200.3:65535");
    const std::string bytes = encode_frame(frame, true, secret);
    CHECK(bytes.size() + 25 < encode_frame(frame, false, secret).size());
    const auto decoded = decode_frame(bytes, secret);
    REQUIRE(decoded);
    CHECK(decoded->sender == frame.sender);
    CHECK(decoded->stamp == frame.stamp);
    CHECK(decoded->body == frame.body);
    CHECK(decoded->received_stamp == frame.received_stamp);
    CHECK(decoded->reads_short_frames);
    // A peer from which nothing was received is told so, and a clock that was set back is no loss.
    fleet_frame first = frame;
    first.received_stamp = 0;
    CHECK(decode_frame(encode_frame(first, true, secret), secret)->received_stamp == 0);
    first.received_stamp = frame.stamp + 5;
    CHECK(decode_frame(encode_frame(first, true, secret), secret)->received_stamp ==
          frame.stamp + 5);
}

TEST_CASE("a sender that six bytes cannot represent is not changed by the short format", "[fleet]")
{
    for (const char* sender :
         {"[::1]:7000", "entry-1:7000", "10.0.0.1:070", "10.0.0.1:99999", "10.0.0.1", ""}) {
        const auto decoded = decode_frame(encode_frame(make_frame(sender), true, secret), secret);
        REQUIRE(decoded);
        CHECK(decoded->sender == sender);
    }
}

TEST_CASE("a changed or foreign frame of either format is dropped", "[fleet]")
{
    for (const bool short_format : {false, true}) {
        const std::string bytes = encode_frame(make_frame("10.0.0.1:7000"), short_format, secret);
        CHECK_FALSE(decode_frame(bytes, "another secret"));
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            std::string changed = bytes;
            changed[n] = static_cast<char>(changed[n] ^ 1);
            CHECK_FALSE(decode_frame(changed, secret));
            CHECK_FALSE(decode_frame(bytes.substr(0, n), secret));
        }
    }
}

TEST_CASE("builds with and without short frames read each other's full frames", "[fleet]")
{
    const std::string encoded =
        encode(earlier_frame{.sender = "10.0.0.1:7000", .stamp = 9, .received_stamp = 4});
    const auto ours = decode_frame(sign(encoded, secret) + encoded, secret);
    REQUIRE(ours);
    CHECK(ours->received_stamp == 4);
    CHECK_FALSE(ours->reads_short_frames);
    const std::string bytes = encode_frame(make_frame("10.0.0.1:7000"), false, secret);
    auto theirs = decode<earlier_frame>(std::string_view(bytes).substr(signature_bytes));
    REQUIRE(succeeded(theirs));
    CHECK(value_of(theirs).body == "body");
}
