#include "core/routing/evacuation.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};
const time_point grace_end = start + seconds(2);

const restricted_instance elsewhere{};
const restricted_instance primary_elsewhere{.is_primary = true};
const restricted_instance evacuated{.evacuated_until = grace_end};
const restricted_instance evacuated_primary{.evacuated_until = grace_end, .is_primary = true};
const restricted_instance abroad{.in_home_region = false};
const restricted_instance primary_abroad{.in_home_region = false, .is_primary = true};

}  // namespace

TEST_CASE("an entry that learns late or restarts does not send into a domain for a whole grace",
          "[evacuation]")
{
    const evacuation_options options;
    CHECK(evacuation_deadline(options, start, start) == start + options.grace);
    CHECK(evacuation_deadline(options, start, start - seconds(3)) == start + milliseconds(1500));
    CHECK(evacuation_deadline(options, start, start - seconds(60)) < start);
    CHECK(evacuation_deadline(options, start, time_point{}) == start);
}

TEST_CASE("in the grace an evacuated primary gets only what no other instance can run",
          "[evacuation]")
{
    const auto serving = primary_phase::serving;
    CHECK(may_start_on(evacuated_primary, true, serving, start));
    CHECK_FALSE(may_start_on(evacuated_primary, false, serving, start));
    CHECK_FALSE(may_start_on(evacuated_primary, true, serving, grace_end));
    CHECK_FALSE(may_start_on(evacuated_primary, true, primary_phase::suspended, start));
    CHECK_FALSE(may_start_on(evacuated, true, serving, start));
    CHECK(may_continue_on(evacuated, start));
    CHECK_FALSE(may_continue_on(evacuated, grace_end));
    CHECK_FALSE(only_primary_may_run({.instances = {evacuated_primary, elsewhere}}));
    CHECK(only_primary_may_run({.instances = {evacuated_primary, evacuated, abroad}}));
}

TEST_CASE("only a statement that no instance may run is refused, with the reason that applies",
          "[evacuation]")
{
    const auto refusal = [](bool needs_primary, primary_phase phase,
                            std::vector<restricted_instance> instances) {
        return find_restriction({needs_primary, phase, std::move(instances)}, grace_end);
    };
    const auto serving = primary_phase::serving;
    CHECK_FALSE(refusal(true, serving, {primary_elsewhere, evacuated}));
    CHECK_FALSE(refusal(false, serving, {evacuated_primary, elsewhere}));
    CHECK(refusal(true, serving, {evacuated_primary, elsewhere}) == restriction::evacuated);
    CHECK(refusal(false, serving, {evacuated_primary, evacuated}) == restriction::evacuated);
    CHECK(refusal(true, serving, {primary_abroad, elsewhere}) == restriction::home_region);
    CHECK(refusal(false, serving, {primary_abroad, abroad}) == restriction::home_region);
    CHECK(refusal(false, serving, {primary_abroad, evacuated}) == restriction::evacuated);
    // The successor of a primary that is being replaced will serve.
    CHECK_FALSE(refusal(true, primary_phase::suspended, {evacuated_primary, elsewhere}));
    CHECK(refusal(true, primary_phase::suspended, {evacuated_primary, evacuated}) ==
          restriction::evacuated);
    // An unknown primary is not a matter of restrictions.
    CHECK_FALSE(refusal(true, serving, {evacuated}));
}
