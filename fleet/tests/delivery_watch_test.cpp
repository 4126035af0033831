#include "fleet/delivery_watch.h"

#include <catch2/catch.hpp>

#include "base/codec.h"
#include "fleet/fleet_message.h"

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};
constexpr std::uint64_t small_message = 200;

/// A frame as builds encode it that do not confirm frames.
struct unconfirmed_frame {
    std::uint8_t channel = 0;
    std::string sender;
    std::uint64_t stamp = 0;
    std::string body;
    MSGPACK_DEFINE(channel, sender, stamp, body)
};

}  // namespace

TEST_CASE("a peer that keeps sending but confirms nothing is overdue", "[fleet]")
{
    delivery_watch watch;
    record_sent(watch, {}, 100, small_message, start);
    for (int n = 1; n <= 10; ++n) {
        record_confirmation(watch, 99);
        record_sent(watch, {}, 100 + n, small_message, start + milliseconds(100) * n);
    }
    CHECK_FALSE(is_overdue(watch, start + milliseconds(999)));
    CHECK(is_overdue(watch, start + milliseconds(1010)));
}

TEST_CASE("a message that the peer confirms in time is not overdue, and the next one is watched",
          "[fleet]")
{
    delivery_watch watch;
    record_sent(watch, {}, 100, small_message, start);
    record_sent(watch, {}, 101, small_message, start + milliseconds(500));
    record_confirmation(watch, 101);
    CHECK_FALSE(is_overdue(watch, start + seconds(60)));
    record_sent(watch, {}, 102, small_message, start + seconds(60));
    CHECK(is_overdue(watch, start + milliseconds(61'010)));
}

TEST_CASE("a large update on a slow link is not given up halfway", "[fleet]")
{
    // A link that carries 128 KiB a second and an update of 1 MiB, with small messages behind it.
    constexpr std::uint64_t update = std::uint64_t{1024} * 1024;
    delivery_watch watch;
    record_sent(watch, {}, 100, update, start);
    CHECK_FALSE(is_overdue(watch, start + seconds(8)));
    record_confirmation(watch, 100);
    // The update may also follow a small message that is watched.
    record_sent(watch, {}, 101, small_message, start + seconds(8));
    record_sent(watch, {}, 102, update, start + seconds(8));
    record_confirmation(watch, 101);
    record_sent(watch, {}, 103, small_message, start + milliseconds(8'100));
    CHECK_FALSE(is_overdue(watch, start + seconds(16)));
}

TEST_CASE("any message of a peer that does not confirm messages counts as a confirmation",
          "[fleet]")
{
    delivery_watch watch;
    record_sent(watch, {}, 100, small_message, start);
    record_confirmation(watch, std::nullopt);
    CHECK_FALSE(is_overdue(watch, start + seconds(60)));
}

TEST_CASE("builds with and without confirmations read each other's frames", "[fleet]")
{
    auto ours = decode<fleet_frame>(encode(unconfirmed_frame{1, "10.0.0.1:7000", 9, "text"}));
    REQUIRE(succeeded(ours));
    CHECK(value_of(ours).body == "text");
    CHECK_FALSE(value_of(ours).received_stamp);
    auto theirs = decode<unconfirmed_frame>(encode(
        fleet_frame{.sender = "10.0.0.1:7000", .stamp = 9, .body = "text", .received_stamp = 7}));
    REQUIRE(succeeded(theirs));
    CHECK(value_of(theirs).stamp == 9);
    CHECK(value_of(theirs).body == "text");
}
