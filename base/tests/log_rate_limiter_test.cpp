#include "base/log_rate_limiter.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

TEST_CASE("a flood of one event is limited and does not suppress another event", "[log]")
{
    log_rate_limiter limiter;
    const time_point start{std::chrono::hours(1)};
    int written = 0;
    for (int n = 0; n < 5000; ++n) {
        const time_point now = start + milliseconds(n);
        written += allow_log_line(limiter, {}, event_id::statement_refused, now) ? 1 : 0;
    }
    CHECK(written == 500);
    CHECK(allow_log_line(limiter, {}, event_id::leadership_lost, start + milliseconds(4999)));
}
