#include "core/rates/share_allocation.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck/catch.h>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// An entry with the grant that it holds and its demand per second.
struct fake_entry {
    share_grant held;
    double demand = 0;
};

share_request request_of(double demand, const share_grant& held)
{
    return {.demand = {{"agence", demand}}, .held = held, .measured = true};
}

/// Upper bound of the shares of all entries but one, by a look at each of them.
double held_by_others(const share_table& table, const std::string& self)
{
    const auto share_in = [](const share_map& shares) {
        const auto it = shares.find("agence");
        return it == shares.end() ? 0 : it->second;
    };
    double sum = 0;
    for (const auto& [name, it] : table.entries) {
        sum += name == self ? 0 : std::max(share_in(it.held), share_in(it.granted.shares));
    }
    return sum;
}

}  // namespace

TEST_CASE("the running sums equal the sums over all entries, whatever the order of requests",
          "[rates]")
{
    CHECK(rc::check([] {
        share_table table{.leading_since = start};
        std::map<std::string, fake_entry> entries;
        time_point now = start;
        const std::map<std::string, divided_resource> customers{
            {"agence", {.usual_demand = 100, .unit = *rc::gen::inRange(0, 2) == 0 ? 0 : 1.0 / 17}}};
        const int steps = *rc::gen::inRange(1, 200);
        for (int n = 0; n < steps; ++n) {
            const std::string name = "e" + std::to_string(*rc::gen::inRange(0, 6));
            fake_entry& it = entries[name];
            now += milliseconds(*rc::gen::inRange(1, 4000));
            if (*rc::gen::inRange(0, 10) == 0) {
                release_shares(table, name);
                it = {};
            }
            else {
                it.demand = *rc::gen::inRange(0, 30000) / 7.0;
                // Each process that starts again holds nothing at first.
                const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 3);
                it.held = grant_shares(table, {}, name, incarnation, request_of(it.demand, it.held),
                                       customers, 6, now);
            }
            const auto sums = table.sums.find("agence");
            RC_ASSERT((sums == table.sums.end() ? 0 : sums->second.held) ==
                      held_by_others(table, ""));
            RC_ASSERT(table.measured_entries == table.entries.size());
        }
    }));
}

TEST_CASE("shares too small to be of use are not granted, and grants to many entries stay short",
          "[rates]")
{
    share_table table{.leading_since = start};
    std::map<std::string, divided_resource> instances;
    for (int n = 0; n < 60; ++n) {
        instances["i" + std::to_string(n)] = {.usual_demand = 40, .unit = 1.0 / 106};
    }
    time_point now = start;
    std::map<std::string, share_grant> held;
    for (int round = 0; round < 4; ++round) {
        now += seconds(1);
        for (int n = 0; n < 295; ++n) {
            const std::string name = "e" + std::to_string(n);
            // One entry sends almost everything that one instance gets.
            const share_map demand = n == 0 ? share_map{{"i7", 40}} : share_map{};
            held[name] = grant_shares(table, {}, name, 1,
                                      {.demand = demand, .held = held[name], .measured = true},
                                      instances, 295, now);
        }
    }
    CHECK(held["e1"].shares.empty());
    REQUIRE(held["e0"].shares.size() == 1);
    CHECK(held["e0"].shares.at("i7") > 0.5);
}

TEST_CASE("entries with nearly equal demand keep all connections of an instance together",
          "[rates]")
{
    // Guards against connections that nobody keeps, because every entry's part of one is rounded
    // down: 9 entries, 17 connections.
    share_table table{.leading_since = start};
    const std::map<std::string, divided_resource> instances{
        {"a", {.usual_demand = 40, .unit = 1.0 / 17}}};
    time_point now = start;
    std::map<std::string, share_grant> held;
    for (int round = 0; round < 10; ++round) {
        now += milliseconds(500);
        for (int n = 0; n < 9; ++n) {
            const std::string name = "e" + std::to_string(n);
            held[name] = grant_shares(
                table, {.reserved_fraction = 0}, name, 1,
                {.demand = {{"a", 4.0 + 0.1 * n}}, .held = held[name], .measured = true}, instances,
                9, now);
        }
    }
    double kept = 0;
    for (const auto& [name, it] : held) {
        const auto share = it.shares.find("a");
        kept += share == it.shares.end() ? 0 : std::round(share->second * 17);
    }
    CHECK(kept == 17);
}

TEST_CASE("shares held by entries never add up to more than the whole, even if grants are lost",
          "[rates]")
{
    CHECK(rc::check([] {
        share_table table{.leading_since = start};
        std::map<std::string, fake_entry> entries;
        time_point now = start;
        const std::map<std::string, divided_resource> customers{
            {"agence", {.usual_demand = 100, .unit = *rc::gen::inRange(0, 2) == 0 ? 0 : 1.0 / 17}}};
        const int steps = *rc::gen::inRange(1, 200);
        for (int n = 0; n < steps; ++n) {
            const std::string name = "e" + std::to_string(*rc::gen::inRange(0, 5));
            fake_entry& it = entries[name];
            it.demand = *rc::gen::inRange(0, 300);
            now += milliseconds(*rc::gen::inRange(1, 800));
            const share_grant granted =
                grant_shares(table, {}, name, 1, request_of(it.demand, it.held), customers, 5, now);
            // If the grant is lost, the entry keeps the one that it has.
            if (*rc::gen::inRange(0, 4) != 0) {
                it.held = granted;
            }
            double sum = 0;
            for (const auto& [other, entry] : entries) {
                const auto share = entry.held.shares.find("agence");
                sum += share == entry.held.shares.end() ? 0 : share->second;
            }
            RC_ASSERT(sum <= 1 + 1e-9);
        }
    }));
}

TEST_CASE("an entry with all of the demand gets most of the whole", "[rates]")
{
    share_table table{.leading_since = start};
    std::map<std::string, fake_entry> entries{{"busy", {.demand = 90}}, {"e1", {}}, {"e2", {}}};
    time_point now = start;
    for (int n = 0; n < 20; ++n) {
        now += milliseconds(500);
        for (auto& [name, it] : entries) {
            it.held = grant_shares(table, {}, name, 1, request_of(it.demand, it.held),
                                   {{"agence", {.usual_demand = 100}}}, entries.size(), now);
        }
    }
    // With an even split it would get a third, and two thirds of its demand would be refused.
    CHECK(entries["busy"].held.shares["agence"] > 0.8);
}

TEST_CASE("an entry that starts gets a share at once while the others hold shares by demand",
          "[rates]")
{
    share_table table{.leading_since = start};
    std::map<std::string, fake_entry> entries{{"e1", {.demand = 50}}, {"e2", {.demand = 50}}};
    const std::map<std::string, divided_resource> customers{{"agence", {.usual_demand = 100}}};
    time_point now = start;
    for (int n = 0; n < 10; ++n) {
        now += milliseconds(500);
        for (auto& [name, it] : entries) {
            it.held =
                grant_shares(table, {}, name, 1, request_of(it.demand, it.held), customers, 2, now);
        }
    }
    const share_grant first = grant_shares(table, {}, "e3", 1, {}, customers, 3, now);
    CHECK(first.shares.at("agence") >= 0.05);
    // After one more round of requests, the others have freed the share that it needs.
    for (auto& [name, it] : entries) {
        it.held =
            grant_shares(table, {}, name, 1, request_of(it.demand, it.held), customers, 3, now);
        it.held =
            grant_shares(table, {}, name, 1, request_of(it.demand, it.held), customers, 3, now);
    }
    const share_grant second = grant_shares(table, {}, "e3", 1, {.held = first}, customers, 3, now);
    CHECK(second.shares.at("agence") >= 0.2);
    // The share of an entry that shut down cleanly is available to the others at once.
    release_shares(table, "e1");
    const share_grant third =
        grant_shares(table, {}, "e2", 1, request_of(100, entries["e2"].held), customers, 2, now);
    CHECK(third.shares.at("agence") > 0.5);
}
