#include "base/loop_watch.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

TEST_CASE("a process that got no processor is told from one whose own work delays it", "[log]")
{
    loop_watch watch;
    time_point now{std::chrono::hours(1)};
    CHECK_FALSE(record_turn(watch, {}, now, milliseconds(100)));
    now += milliseconds(30);
    CHECK_FALSE(record_turn(watch, {}, now, milliseconds(105)));

    now += milliseconds(1010);
    const auto starved = record_turn(watch, {}, now, milliseconds(108));
    REQUIRE(starved);
    CHECK(starved->delay == milliseconds(1000));
    CHECK(starved->processor_time == milliseconds(3));

    now += milliseconds(510);
    const auto busy = record_turn(watch, {}, now, milliseconds(600));
    REQUIRE(busy);
    CHECK(busy->delay == milliseconds(500));
    CHECK(busy->processor_time == milliseconds(492));
}
