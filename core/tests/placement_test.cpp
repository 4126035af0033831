#include "core/routing/placement.h"

#include <catch2/catch.hpp>

#include "core/queueing/admission.h"
#include "core/routing/position_history.h"

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

placement_candidate near_replica(connection_availability availability)
{
    return {.instance = "near", .availability = availability, .latency = milliseconds(20)};
}

placement_candidate far_replica(connection_availability availability)
{
    return {.instance = "far",
            .distance = proximity::other_region,
            .availability = availability,
            .latency = milliseconds(20)};
}

struct simulated_load {
    /// Statements that were answered within their limit.
    int served = 0;
    /// Statements whose limit passed while they waited or ran.
    int timed_out = 0;
    /// Statements that admission control refused on arrival.
    int refused = 0;
};

/// Simulates statements that arrive at a fixed interval at one server, which takes the same time
/// for each of them. The interval is half of that time, so the server gets twice the load it can
/// carry.
simulated_load simulate(bool admission_control)
{
    constexpr milliseconds service_time(24);
    constexpr milliseconds interval(12);
    constexpr milliseconds limit(500);
    simulated_load res;
    time_point free_at = start;
    for (int n = 0; n < 2000; ++n) {
        const time_point now = start + interval * n;
        const duration backlog = std::max(free_at - now, duration{0});
        const auto decision = admit({.queued_ahead = static_cast<int>(backlog / service_time),
                                     .connections = 1,
                                     .mean_hold_time = service_time,
                                     .time_left = limit},
                                    {});
        if (admission_control && std::holds_alternative<admission_refused>(decision)) {
            ++res.refused;
            continue;
        }
        if (backlog > limit) {
            // The caller timed out while the statement waited; it delayed those behind it until
            // then.
            ++res.timed_out;
            free_at = std::max(free_at, now) + milliseconds(1);
            continue;
        }
        free_at = std::max(free_at, now) + service_time;
        res.served += free_at - now <= limit ? 1 : 0;
        res.timed_out += free_at - now <= limit ? 0 : 1;
    }
    return res;
}

}  // namespace

TEST_CASE("a read goes to the nearest replica that has a connection available", "[routing]")
{
    CHECK(choose_placement({far_replica(connection_availability::ready),
                            near_replica(connection_availability::can_open)},
                           {}) == "near");
    CHECK(choose_placement({far_replica(connection_availability::ready),
                            near_replica(connection_availability::none)},
                           {}) == "far");
    CHECK(!choose_placement({near_replica(connection_availability::none)}, {}));
}

TEST_CASE("an instance whose latency rises receives fewer statements", "[routing]")
{
    placement_candidate slow = near_replica(connection_availability::ready);
    slow.latency = milliseconds(150);
    slow.running = 2;
    CHECK(choose_placement({slow, far_replica(connection_availability::ready)}, {}) == "far");
}

TEST_CASE("at twice the capacity admission control serves as many statements and none times out",
          "[admission]")
{
    const simulated_load uncontrolled = simulate(false);
    const simulated_load controlled = simulate(true);
    CHECK(controlled.timed_out == 0);
    CHECK(uncontrolled.timed_out > 0);
    CHECK(controlled.served >= uncontrolled.served);
}

TEST_CASE("a statement that cannot start in time is refused with a retry time", "[admission]")
{
    const auto decision = admit({.blocked_for = milliseconds(1700), .time_left = seconds(1)}, {});
    REQUIRE(std::holds_alternative<admission_refused>(decision));
    CHECK(std::get<admission_refused>(decision).retry_after == milliseconds(900));
}

TEST_CASE("the minimum position of a read is the lowest one that is recent enough", "[routing]")
{
    position_history history;
    record_sample(history, {}, {start, {1, 10}});
    record_sample(history, {}, {start + seconds(1), {1, 20}});
    record_sample(history, {}, {start + seconds(2), {1, 30}});
    CHECK(min_position_covering(history, start + milliseconds(500)) == log_position{1, 20});
    CHECK(!min_position_covering(history, start + seconds(3)));
    // A promotion may have lost commits that earlier samples include.
    set_generation(history, 1);
    CHECK(!min_position_covering(history, start));
}
