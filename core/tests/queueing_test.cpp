#include <catch2/catch.hpp>

#include "core/queueing/concurrency_limit.h"
#include "core/queueing/return_schedule.h"
#include "core/queueing/shedding.h"

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// Work of the most urgent and of the least urgent kind, each a part of the demand.
constexpr limited_work urgent{
    .priority = 0, .latency_objective = milliseconds(400), .less_urgent = 0.7};
constexpr limited_work batch{
    .priority = 2, .latency_objective = milliseconds(1500), .more_urgent = 0.3};

waiting_statement waiting(std::uint64_t number, int priority)
{
    return {.number = number,
            .priority = priority,
            .arrived_at = start + milliseconds(number),
            .objective_start = start + seconds(1)};
}

}  // namespace

TEST_CASE("BUSY closes an instance for longer to less urgent work, and not to more urgent work",
          "[queueing]")
{
    const limit_options options;
    instance_limit limit;
    CHECK(opens_at(limit, options, batch) == time_point{});
    record_start(limit, 2, start);
    CHECK(limit.by_priority.empty());
    record_busy(limit, options, 2, start);
    CHECK(opens_at(limit, options, urgent) == time_point{});
    CHECK(opens_at(limit, options, batch) == start + milliseconds(375));
    record_busy(limit, options, 0, start);
    CHECK(opens_at(limit, options, urgent) == start + options.urgent_interval);
}

TEST_CASE("a limit doubles with each BUSY, relaxes with answers in good time, and ends",
          "[queueing]")
{
    const limit_options options;
    instance_limit limit;
    for (int n = 0; n < 10; ++n) {
        record_busy(limit, options, 2, start);
    }
    CHECK(start_interval(limit, options, batch) == milliseconds(1500));
    record_served(limit, options, 2, milliseconds(300), milliseconds(400));
    CHECK(limit.by_priority[2].level == options.max_level);
    for (int n = 0; n < options.max_level; ++n) {
        record_served(limit, options, 2, milliseconds(30), milliseconds(400));
    }
    CHECK(start_interval(limit, options, batch) == duration{0});
    expire_limits(limit, options, start);
    CHECK(limit.by_priority.empty());
    record_busy(limit, options, 2, start);
    expire_limits(limit, options, start + options.expiry + milliseconds(1));
    CHECK(limit.by_priority.empty());
}

TEST_CASE("what is reserved follows the more urgent demand", "[queueing]")
{
    const limit_options options;
    instance_limit limit;
    record_busy(limit, options, 2, start);
    limited_work work = batch;
    work.more_urgent = 0;
    CHECK(start_interval(limit, options, work) == options.base_interval);
    work.more_urgent = 0.1;
    const duration half = start_interval(limit, options, work);
    CHECK(half > options.base_interval);
    CHECK(half < start_interval(limit, options, batch));
    // A customer far above its usual rate waits for longer.
    work.excess = 1;
    CHECK(start_interval(limit, options, work) == 2 * half);
}

TEST_CASE("waiting statements are served by urgency, lateness, excess and arrival", "[queueing]")
{
    std::vector<waiting_statement> all;
    all.reserve(5);
    for (std::uint64_t n = 0; n < 5; ++n) {
        all.push_back(waiting(n, n == 0 ? 2 : 1));
    }
    all[1].objective_start = start - milliseconds(1);
    all[2].excess = 1;
    sort_for_service(all, {}, start);
    std::vector<std::uint64_t> order;
    order.reserve(all.size());
    for (const waiting_statement& it : all) {
        order.push_back(it.number);
    }
    CHECK(order == std::vector<std::uint64_t>{3, 4, 2, 1, 0});
}

TEST_CASE("each priority that waits gets a tenth of the starts", "[queueing]")
{
    // Guards against the starvation of the least urgent kind under endless urgent demand.
    const shedding_options options;
    start_credits credits;
    int started = 0;
    for (std::uint64_t n = 0; n < 110; ++n) {
        std::vector<waiting_statement> all{waiting(2 * n, 0), waiting(2 * n + 1, 2)};
        sort_for_service(all, credits, start);
        started += all.front().priority == 2 ? 1 : 0;
        const int priority = all.front().priority;
        record_start(credits, options, priority, all);
    }
    CHECK(started == 10);
}

TEST_CASE("urgent work displaces the last of what is less urgent, and nothing else", "[queueing]")
{
    const std::vector<waiting_statement> all{waiting(1, 0), waiting(2, 2), waiting(3, 2)};
    CHECK(choose_displaced(all, waiting(4, 1), start) == std::optional<std::uint64_t>(3));
    CHECK_FALSE(choose_displaced(all, waiting(4, 2), start).has_value());
}

TEST_CASE("a customer at five times its usual rate is above its share, others are not",
          "[queueing]")
{
    const shedding_options options;
    customer_demand usual;
    customer_demand loud;
    time_point now = start;
    for (int n = 0; n < 600; ++n, now += milliseconds(100)) {
        const bool burst = n >= 580;
        if (n % 5 == 0) {
            record_arrival(usual, options, now);
        }
        if (n % 5 == 0 || burst) {
            record_arrival(loud, options, now);
        }
    }
    CHECK(excess_level(usual, options, now) == 0);
    CHECK(excess_level(loud, options, now) >= 1);
}

TEST_CASE("refused callers come back one after the other, urgent ones first", "[queueing]")
{
    // Guards against a second wave of callers that were all told the same time.
    const return_options options;
    return_schedule schedule;
    const auto refuse = [&](int priority) {
        return schedule_return(
            schedule, options,
            {.priority = priority, .spacing = milliseconds(100), .useful_for = milliseconds(400)},
            start);
    };
    CHECK(refuse(2) == milliseconds(50));
    CHECK(refuse(2) == milliseconds(150));
    CHECK(refuse(0) == milliseconds(50));
    CHECK(refuse(2) == milliseconds(250));
    CHECK(refuse(2) == milliseconds(350));
    // The useful time is full: between others, never after it.
    for (int n = 0; n < 5; ++n) {
        const duration late = refuse(2);
        CHECK(late >= options.min_return);
        CHECK(late <= milliseconds(400));
    }
    CHECK(is_on_time(start, options, start + milliseconds(200)));
    CHECK_FALSE(is_on_time(start, options, start - milliseconds(20)));
}
