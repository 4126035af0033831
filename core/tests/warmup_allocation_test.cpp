#include "core/rates/warmup_allocation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};
const std::map<std::string, int> limits{{"cold", 30}};
constexpr seconds validity(3);

int part_of(const warmup_grant& grant)
{
    const auto it = grant.per_second.find("cold");
    return it == grant.per_second.end() ? 0 : it->second;
}

/// A leader that has led for so long that it may grant everything.
warmup_table settled_table()
{
    return {.cold_since = {{"cold", start - seconds(60)}},
            .leading_since = start - seconds(60),
            .term = 1};
}

warmup_grant request(warmup_table& table, const std::string& entry, double demand,
                     const warmup_grant& held, time_point now)
{
    return grant_warmup(table, {}, entry, 7, {{{"cold", demand}}, held}, limits, validity, now);
}

/// An entry that starts as much as its grant and its sliding window admit.
struct greedy_entry {
    std::string name;
    double demand = 0;
    warmup_grant held;
    time_point valid_until{};
    std::deque<time_point> starts;

    void receive(const warmup_grant& grant, time_point asked_at)
    {
        if (grant.number >= held.number) {
            held = grant;
            valid_until = std::max(valid_until, asked_at + milliseconds(grant.valid_ms));
        }
    }

    /// Number of statements that it starts now.
    int start_all(time_point now)
    {
        while (!starts.empty() && now - starts.front() > seconds(1)) {
            starts.pop_front();
        }
        const int room = now < valid_until ? part_of(held) - static_cast<int>(starts.size()) : 0;
        starts.insert(starts.end(), static_cast<std::size_t>(std::max(room, 0)), now);
        return std::max(room, 0);
    }
};

}  // namespace

TEST_CASE("a cold instance is not flooded by many entries, with lost answers and a new leader",
          "[warmup]")
{
    // 40 entries whose demand moves around ask twice a second; every fifth answer is lost, entries
    // are cut off for a time, and the leader changes after 20 s. Each uses all that it may.
    std::minstd_rand random(GENERATE(1U, 2U, 3U));
    warmup_table table{.leading_since = start, .term = 1};
    std::vector<greedy_entry> entries(40);
    for (std::size_t n = 0; n < entries.size(); ++n) {
        entries[n].name = "e" + std::to_string(n);
    }
    std::deque<time_point> all;
    std::size_t total = 0;
    for (int step = 0; step < 4000; ++step) {
        const time_point now = start + step * milliseconds(10);
        if (step == 2000) {
            table = {.leading_since = now, .term = 2};
        }
        for (std::size_t n = 0; n < entries.size(); ++n) {
            greedy_entry& it = entries[n];
            const bool cut_off = n % 8 == 3 && step % 1500 < 700;
            if ((static_cast<std::size_t>(step) + n) % 50 == 0 && !cut_off) {
                it.demand = random() % 4 == 0 ? static_cast<double>(random() % 50) : it.demand;
                const warmup_grant grant = request(table, it.name, it.demand, it.held, now);
                if (random() % 5 != 0) {
                    it.receive(grant, now);
                }
            }
            const int started = it.start_all(now);
            all.insert(all.end(), static_cast<std::size_t>(started), now);
            total += static_cast<std::size_t>(started);
        }
        while (!all.empty() && now - all.front() >= seconds(1)) {
            all.pop_front();
        }
        REQUIRE(all.size() <= 30);
    }
    // The limit is not met by starting hardly anything.
    CHECK(total > 300);
}

TEST_CASE("a moved allocation is not used twice", "[warmup]")
{
    warmup_table table = settled_table();
    const warmup_grant all = request(table, "a", 10, {}, start);
    REQUIRE(part_of(all) == 30);
    CHECK(part_of(request(table, "b", 10, {}, start)) == 0);
    // The answer with the smaller allocation is lost, so the first entry goes on with the larger.
    const time_point asked = start + milliseconds(500);
    CHECK(part_of(request(table, "a", 10, all, asked)) == 15);
    CHECK(part_of(request(table, "b", 10, {}, asked)) == 0);
    const warmup_grant less = request(table, "a", 10, all, asked + milliseconds(500));
    CHECK(part_of(request(table, "b", 10, {}, asked + milliseconds(900))) == 0);
    const time_point confirmed = asked + seconds(1);
    CHECK(part_of(request(table, "a", 10, less, confirmed)) == 15);
    CHECK(part_of(request(table, "b", 10, {}, confirmed + milliseconds(990))) == 0);
    CHECK(part_of(request(table, "b", 10, {}, confirmed + seconds(1))) == 15);
}

TEST_CASE("what an entry holds that is cut off or restarted is granted only after its validity",
          "[warmup]")
{
    warmup_table table = settled_table();
    REQUIRE(part_of(request(table, "a", 10, {}, start)) == 30);
    if (GENERATE(false, true)) {
        // A new process of the same name does not have what the earlier one may still use.
        const auto restarted = grant_warmup(table, {}, "a", 8, {}, limits, validity, start);
        CHECK(part_of(restarted) == 0);
    }
    for (int n = 1; n <= 8; ++n) {
        CHECK(part_of(request(table, "b", 10, {}, start + n * milliseconds(500))) == 0);
    }
    CHECK(part_of(request(table, "b", 10, {}, start + milliseconds(4550))) > 0);
}

TEST_CASE("a limit is divided in whole statements by demand", "[warmup]")
{
    CHECK(warmup_limit(12.5, {.overage = 1.1, .slack = 2}) == 15);
    CHECK(warmup_limit(0.5, {}) == 0);
    CHECK(divide_by_demand(5, {{"a", 6}, {"b", 3}, {"c", 1}, {"d", 0}}) ==
          std::map<std::string, int>{{"a", 3}, {"b", 2}, {"c", 0}, {"d", 0}});
    CHECK(divide_by_demand(2, {{"a", 1}, {"b", 1}, {"c", 1}}) ==
          std::map<std::string, int>{{"a", 1}, {"b", 1}, {"c", 0}});
    CHECK(divide_by_demand(2, {{"a", 0}}) == std::map<std::string, int>{{"a", 0}});
}
