#include "control/service_coordinator.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

TEST_CASE(
    "an order in the registry reaches the choice of primaries, by the domain that an instance "
    "reports",
    "[coordinator]")
{
    const time_point start{std::chrono::hours(1)};
    registry state;
    state.declared.services["registre"] = {};
    lease_table leases{.leases = {}, .leading_since = start};
    std::vector<change_primary> proposed;
    service_coordinator coordinator({}, {}, {}, [&](const registry_command& it) {
        if (const auto* const change = std::get_if<change_primary>(&it)) {
            proposed.push_back(*change);
        }
        apply(state, state.index + 1, it);
    });
    coordinator.reset(start, 1);
    const auto advance_at = [&](duration since_start, const std::string& domain_of_primary) {
        for (const char* name : {"a", "b"}) {
            coordinator.handle_heartbeat(
                {.instance = name,
                 .service = "registre",
                 .address = std::string("10.0.0.1:") + (name[0] == 'a' ? "1" : "2"),
                 .failure_domain = name[0] == 'a' ? domain_of_primary : "brest-port",
                 .reports_primary = name[0] == 'a',
                 .sequence = since_start.count()},
                start + since_start);
        }
        coordinator.advance_services(
            {.state = state, .leases = leases, .lease_duration = seconds(2), .leader = "c1"},
            start + since_start);
    };
    advance_at(seconds(1), "rennes-nord");
    apply(state, state.index + 1, evacuate_domain{"lorient-ouest"});
    advance_at(seconds(2), "rennes-nord");
    REQUIRE(proposed.size() == 1);
    CHECK(state.primaries["registre"].phase == primary_phase::serving);
    // The primary moves into the evacuated domain.
    advance_at(seconds(3), "lorient-ouest");
    REQUIRE(proposed.size() == 2);
    CHECK(proposed.back().phase == primary_phase::suspended);
    CHECK(proposed.back().planned);
}
