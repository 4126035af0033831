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

/// Statements arrive at a fixed interval at one server with a fixed time for each; counts those
/// that were answered within their limit, and those that waited in vain.
struct replayed_load {
    int served = 0;
    int in_vain = 0;
    int refused = 0;
};

replayed_load replay(bool decide_at_arrival)
{
    constexpr milliseconds work(24);
    constexpr milliseconds interval(12);
    constexpr milliseconds limit(500);
    replayed_load res;
    time_point free_at = start;
    for (int n = 0; n < 2000; ++n) {
        const time_point now = start + interval * n;
        const duration backlog = std::max(free_at - now, duration{0});
        const auto decision = admit({.queued_ahead = static_cast<int>(backlog / work),
                                     .parallel = 1,
                                     .mean_hold = work,
                                     .time_left = limit},
                                    {});
        if (decide_at_arrival && std::holds_alternative<admission_refused>(decision)) {
            ++res.refused;
            continue;
        }
        if (backlog > limit) {
            // Given up by its caller while it waits; it still held up those behind it until then.
            ++res.in_vain;
            free_at = std::max(free_at, now) + milliseconds(1);
            continue;
        }
        free_at = std::max(free_at, now) + work;
        res.served += free_at - now <= limit ? 1 : 0;
        res.in_vain += free_at - now <= limit ? 0 : 1;
    }
    return res;
}

}  // namespace

TEST_CASE("a read goes to the replica next door while that has a connection to give", "[routing]")
{
    CHECK(choose_placement({far_replica(connection_availability::ready),
                            near_replica(connection_availability::can_open)},
                           {}) == "near");
    CHECK(choose_placement({far_replica(connection_availability::ready),
                            near_replica(connection_availability::none)},
                           {}) == "far");
    CHECK(!choose_placement({near_replica(connection_availability::none)}, {}));
}

TEST_CASE("an instance that turned slow gets less work by its own latency", "[routing]")
{
    placement_candidate slow = near_replica(connection_availability::ready);
    slow.latency = milliseconds(150);
    slow.running = 2;
    CHECK(choose_placement({slow, far_replica(connection_availability::ready)}, {}) == "far");
}

TEST_CASE("at twice the capacity deciding at arrival serves as many and lets nobody wait in vain",
          "[admission]")
{
    const replayed_load naive = replay(false);
    const replayed_load decided = replay(true);
    CHECK(decided.in_vain == 0);
    CHECK(naive.in_vain > 0);
    CHECK(decided.served >= naive.served);
}

TEST_CASE("what cannot start in time is refused with when to come back", "[admission]")
{
    const auto decision = admit({.blocked_for = milliseconds(1700), .time_left = seconds(1)}, {});
    REQUIRE(std::holds_alternative<admission_refused>(decision));
    CHECK(std::get<admission_refused>(decision).retry_after == milliseconds(900));
}

TEST_CASE("the floor of a read is the lowest position that is new enough", "[routing]")
{
    position_history book;
    record_sample(book, {}, {start, {1, 10}});
    record_sample(book, {}, {start + seconds(1), {1, 20}});
    record_sample(book, {}, {start + seconds(2), {1, 30}});
    CHECK(min_position_covering(book, start + milliseconds(500)) == log_position{1, 20});
    CHECK(!min_position_covering(book, start + seconds(3)));
    // A promotion may have rolled back what earlier samples name.
    set_generation(book, 1);
    CHECK(!min_position_covering(book, start));
}
