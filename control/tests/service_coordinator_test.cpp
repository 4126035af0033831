#include "control/service_coordinator.h"

#include <algorithm>
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
                state,
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

namespace {

/// A service with a primary and two replicas, one of which reports no more.
struct silent_replica_fixture {
    registry state;
    lease_table leases{.leases = {}, .leading_since = monotonic_clock::now()};
    /// How the silent replica answers status requests.
    status_result answer = status_failure::no_answer;
    service_coordinator coordinator{
        {.request_status =
             [this](const instance_heartbeat& it, const auto& on_answer) {
                 on_answer(it.instance == "c" ? answer : instance_status{it.instance == "a"});
             }},
        {},
        {},
        [this](const registry_command& it) { apply(state, state.index + 1, it); }};

    silent_replica_fixture()
    {
        state.declared.services["registre"] = {.synchronous_replicas = 1};
        coordinator.reset(monotonic_clock::now(), 1);
    }

    void receive_heartbeats(const std::string& names, time_point now)
    {
        for (const char name : names) {
            coordinator.handle_heartbeat(state,
                                         {.instance = {name},
                                          .service = "registre",
                                          .address = std::string("10.0.0.1:") + name,
                                          .reports_primary = name == 'a',
                                          .sequence = now.time_since_epoch().count()},
                                         now);
        }
    }

    void advance(time_point now)
    {
        coordinator.advance_services(
            {.state = state, .leases = leases, .lease_duration = seconds(2), .leader = "c1"}, now);
    }

    bool has_silent_replica()
    {
        entry_instructions instructions;
        coordinator.fill_directory(instructions, 0);
        return std::any_of(instructions.instances.begin(), instructions.instances.end(),
                           [](const instance_heartbeat& it) { return it.instance == "c"; });
    }

    /// The replica reported 10 s ago. Returns whether it is known 6 s from now.
    bool is_known_later()
    {
        const time_point now = monotonic_clock::now();
        receive_heartbeats("abc", now - seconds(10));
        advance(now - seconds(10));
        receive_heartbeats("ab", now);
        advance(now);
        receive_heartbeats("ab", now + seconds(6));
        advance(now + seconds(6));
        return has_silent_replica();
    }
};

}  // namespace

// Guards against a replica that cannot be chosen, although it alone has the newest commits.
TEST_CASE("a replica that answers stays in the directory although its heartbeats stay away",
          "[coordinator]")
{
    silent_replica_fixture silent;
    CHECK(!silent.is_known_later());
    silent_replica_fixture answering;
    answering.answer = instance_status{};
    CHECK(answering.is_known_later());
}

// Guards against a change of primary that waits for a replica which is known to have ended.
TEST_CASE("a replica that has ended leaves the directory without waiting for its expiry",
          "[coordinator]")
{
    silent_replica_fixture it;
    const time_point now = monotonic_clock::now();
    it.receive_heartbeats("abc", now - seconds(3));
    it.advance(now - seconds(3));
    it.receive_heartbeats("ab", now);
    it.advance(now);
    CHECK(it.has_silent_replica());
    it.answer = status_failure::not_running;
    it.advance(now + seconds(2));
    CHECK(!it.has_silent_replica());
}

// Guards against a report by another writer that hides a running instance, whose own reports are
// then taken for those of an earlier incarnation.
TEST_CASE("a heartbeat for an undeclared service neither moves nor replaces a known instance",
          "[coordinator]")
{
    registry state;
    state.declared.services["registre"] = {};
    service_coordinator coordinator({}, {}, {}, [](const registry_command&) {});
    const time_point now = monotonic_clock::now();
    const auto report = [&](const std::string& instance, const std::string& service,
                            std::int64_t born_ms) {
        coordinator.handle_heartbeat(state,
                                     {.instance = instance,
                                      .service = service,
                                      .address = "10.0.0.1:1",
                                      .born_ms = born_ms,
                                      .sequence = 1},
                                     now);
    };
    const auto has_only_real_instance = [&] {
        entry_instructions instructions;
        coordinator.fill_directory(instructions, 0);
        return instructions.instances.size() == 1 &&
               instructions.instances.front().instance == "a" &&
               instructions.instances.front().service == "registre";
    };
    SECTION("the odd report comes later")
    {
        report("a", "registre", 100);
        report("a", "elsewhere", 200);
        CHECK(has_only_real_instance());
        report("b", "elsewhere", 300);
        CHECK(has_only_real_instance());
    }
    SECTION("the odd report comes first")
    {
        report(GENERATE("a", "b"), "elsewhere", 200);
        report("a", "registre", 100);
        CHECK(has_only_real_instance());
    }
    SECTION("instances may report before their service is declared")
    {
        state.declared.services.clear();
        report("a", "registre", 100);
        CHECK(has_only_real_instance());
    }
}
