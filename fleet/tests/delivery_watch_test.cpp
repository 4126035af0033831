#include "fleet/delivery_watch.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};
constexpr std::uint64_t small_message = 200;

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
