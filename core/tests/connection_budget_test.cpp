#include "core/rates/connection_budget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace balsamdrift;

TEST_CASE("entries never keep more connections together than an instance accepts", "[rates]")
{
    CHECK(rc::check([] {
        const int accepted = *rc::gen::inRange(0, 400);
        const int entries = *rc::gen::inRange(1, 400);
        std::vector<double> weights;
        double sum = 0;
        for (int n = 0; n < entries; ++n) {
            weights.push_back(*rc::gen::inRange(1, 1000));
            sum += weights.back();
        }
        int kept = 0;
        for (const double it : weights) {
            const connection_budget budget = connection_budget_for(accepted, it / sum, 4, {});
            kept += budget.kept;
            RC_ASSERT(budget.in_use >= 1);
        }
        RC_ASSERT(kept <= std::max(accepted - connection_budget_options{}.reserved, 0));
    }));
}

TEST_CASE("an entry without a share may still use connections for the statements that run now",
          "[rates]")
{
    // 295 entries share 216 connections, so an even share is less than one connection.
    const connection_budget budget = connection_budget_for(216, 1.0 / 295, 4, {});
    CHECK(budget.kept == 0);
    CHECK(budget.in_use > 1);
}

TEST_CASE("entries that an instance refuses borrow fewer connections until it has room again",
          "[rates]")
{
    // Guards against nine entries that each try to borrow four connections again and again.
    const connection_budget_options options;
    borrow_limit limit;
    time_point now{std::chrono::hours(1)};
    CHECK(borrowable(limit, options, now) == 4);
    record_refused_connection(limit, options, now);
    CHECK(borrowable(limit, options, now) == 2);
    record_refused_connection(limit, options, now);
    record_refused_connection(limit, options, now);
    CHECK(borrowable(limit, options, now) == 0);
    // An entry that keeps none can still run a statement.
    CHECK(connection_budget_for(23, 0, 0, options).in_use == 1);
    CHECK(borrowable(limit, options, now + seconds(1)) == 1);
    CHECK(borrowable(limit, options, now + seconds(9)) == 4);
}
