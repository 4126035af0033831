#include "core/rates/share_allocation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// An entry with the grant that it holds and its demand per second.
struct fake_entry {
    share_grant held;
    double demand = 0;
};

}  // namespace

TEST_CASE("shares held by entries never add up to more than the whole, even if grants are lost",
          "[rates]")
{
    rc::check([] {
        share_table table{.entries = {}, .leading_since = start};
        std::map<std::string, fake_entry> entries;
        time_point now = start;
        const std::map<std::string, double> customers{{"agence", 100}};
        const int steps = *rc::gen::inRange(1, 200);
        for (int n = 0; n < steps; ++n) {
            const std::string name = "e" + std::to_string(*rc::gen::inRange(0, 5));
            fake_entry& it = entries[name];
            it.demand = *rc::gen::inRange(0, 300);
            now += milliseconds(*rc::gen::inRange(1, 800));
            const share_grant granted = grant_shares(
                table, {}, name, 1, {{{"agence", it.demand}}, it.held}, customers, 5, now);
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
    });
}

TEST_CASE("an entry with all of the demand gets most of the whole", "[rates]")
{
    share_table table{.entries = {}, .leading_since = start};
    std::map<std::string, fake_entry> entries{{"busy", {.demand = 90}}, {"e1", {}}, {"e2", {}}};
    time_point now = start;
    for (int n = 0; n < 20; ++n) {
        now += milliseconds(500);
        for (auto& [name, it] : entries) {
            it.held = grant_shares(table, {}, name, 1, {{{"agence", it.demand}}, it.held},
                                   {{"agence", 100}}, entries.size(), now);
        }
    }
    // With an even split it would get a third, and two thirds of its demand would be refused.
    CHECK(entries["busy"].held.shares["agence"] > 0.8);
}

TEST_CASE("an entry that starts gets a share at once while the others hold shares by demand",
          "[rates]")
{
    share_table table{.entries = {}, .leading_since = start};
    std::map<std::string, fake_entry> entries{{"e1", {.demand = 50}}, {"e2", {.demand = 50}}};
    const std::map<std::string, double> customers{{"agence", 100}};
    time_point now = start;
    for (int n = 0; n < 10; ++n) {
        now += milliseconds(500);
        for (auto& [name, it] : entries) {
            it.held = grant_shares(table, {}, name, 1, {{{"agence", it.demand}}, it.held},
                                   customers, 2, now);
        }
    }
    const share_grant first = grant_shares(table, {}, "e3", 1, {}, customers, 3, now);
    CHECK(first.shares.at("agence") >= 0.05);
    // After one more round of requests, the others have freed the share that it needs.
    for (auto& [name, it] : entries) {
        it.held =
            grant_shares(table, {}, name, 1, {{{"agence", it.demand}}, it.held}, customers, 3, now);
        it.held =
            grant_shares(table, {}, name, 1, {{{"agence", it.demand}}, it.held}, customers, 3, now);
    }
    const share_grant second = grant_shares(table, {}, "e3", 1, {{}, first}, customers, 3, now);
    CHECK(second.shares.at("agence") >= 0.2);
    // The share of an entry that shut down cleanly is available to the others at once.
    release_shares(table, "e1");
    const share_grant third = grant_shares(
        table, {}, "e2", 1, {{{"agence", 100}}, entries["e2"].held}, customers, 2, now);
    CHECK(third.shares.at("agence") > 0.5);
}
