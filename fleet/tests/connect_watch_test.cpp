#include "fleet/connect_watch.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

}  // namespace

TEST_CASE("a peer that was dialled while it was down is dialled anew soon after it has started",
          "[fleet]")
{
    // Guards against votes and leases that wait for the second opening packet after a loss of
    // power.
    connect_watch watch;
    record_dial(watch, start);
    CHECK(!is_dial_overdue(watch, {}, start + milliseconds(100)));
    watch.heard_at = start + milliseconds(100);
    CHECK(is_dial_overdue(watch, {}, start + milliseconds(100)));
}

TEST_CASE("a slow peer is not dialled anew again and again before it can answer", "[fleet]")
{
    // Guards against a peer under load, which takes 700 ms to accept and is heard of meanwhile.
    connect_watch watch;
    time_point now = start;
    record_dial(watch, now);
    bool accepted = false;
    for (const time_point end = start + seconds(5); now < end && !accepted;
         now += milliseconds(10)) {
        watch.heard_at = now;
        accepted = now - watch.dialed_at >= milliseconds(700);
        if (!accepted && is_dial_overdue(watch, {}, now)) {
            record_dial(watch, now);
        }
    }
    CHECK(accepted);
}
