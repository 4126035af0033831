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
    record_heard(watch, {}, start + milliseconds(100));
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
        record_heard(watch, {}, now);
        accepted = now - watch.dialed_at >= milliseconds(700);
        if (!accepted && is_dial_overdue(watch, {}, now)) {
            record_dial(watch, now);
        }
    }
    CHECK(accepted);
}

TEST_CASE("a peer that was away for long is dialled at once when it is heard again", "[fleet]")
{
    // Guards against a restarted member that waits for as long as one that stays away.
    connect_watch watch;
    time_point now = start;
    record_heard(watch, {}, now);
    for (int n = 0; n < 12; ++n) {
        now += milliseconds(1001);
        record_dial(watch, now);
    }
    CHECK(next_attempt_interval(watch, {}).min == milliseconds(500));
    now += milliseconds(100);
    CHECK_FALSE(is_dial_overdue(watch, {}, now));
    record_heard(watch, {}, now);
    CHECK(is_dial_overdue(watch, {}, now));
    CHECK(next_attempt_interval(watch, {}).min == milliseconds(20));
    record_dial(watch, now);
    // Once only: the peer may be slow.
    now += milliseconds(100);
    record_heard(watch, {}, now);
    CHECK_FALSE(is_dial_overdue(watch, {}, now));
}

TEST_CASE("attempts to reach a peer that stays away become rare", "[fleet]")
{
    // Guards against entries that use all processors for dialling while control is away.
    connect_watch watch;
    CHECK(next_attempt_interval(watch, {}).min == milliseconds(20));
    for (int n = 0; n < 20; ++n) {
        record_dial(watch, start);
    }
    CHECK(next_attempt_interval(watch, {}).min == milliseconds(500));
    CHECK(next_attempt_interval(watch, {}).max == milliseconds(500));
}
