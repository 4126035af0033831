#include "base/log_budget.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

TEST_CASE("a flood of one event is bounded and hides no other event", "[log]")
{
    log_budget budget;
    const time_point start{std::chrono::hours(1)};
    int written = 0;
    for (int n = 0; n < 5000; ++n) {
        const time_point now = start + milliseconds(n);
        written += take_log_line(budget, {}, event_id::statement_refused, now) ? 1 : 0;
    }
    CHECK(written == 500);
    CHECK(take_log_line(budget, {}, event_id::leadership_lost, start + milliseconds(4999)));
}
