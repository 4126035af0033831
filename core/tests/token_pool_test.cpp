#include "core/rates/token_pool.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <rapidcheck/catch.h>
#include <set>

#include "core/rates/token_cache.h"

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// An answer on its way to an entry.
struct sent_answer {
    std::string entry;
    std::uint64_t request_number = 0;
    customer_token_grants shares;
    time_point arrives_at{};
};

/// Control and entries that divide one customer's rate, with a virtual clock. Questions arrive at
/// once; answers take their time or get lost.
struct fleet_fixture {
    bucket_limits limits{.rate = 26, .burst = 26};
    token_pool_options options{.overage = 0.1, .slack = 20};
    token_cache_options cache_options;
    time_point now = start;
    token_pool pool{.customers = {}, .leading_since = start};
    std::map<std::string, token_cache> entries;
    std::deque<sent_answer> answers;
    std::deque<time_point> admitted;
    int refused = 0;
    bool control_up = true;
    std::set<std::string> cut_off;
    time_point renew_at = start;
    milliseconds delay{12};
    std::uint64_t next_caller = 1;

    void note(const std::vector<token_decision>& decisions)
    {
        for (const token_decision& it : decisions) {
            if (it.retry_after) {
                ++refused;
            }
            else {
                admitted.push_back(now);
            }
        }
    }

    void arrive(const std::string& entry)
    {
        const auto res = take_token(entries[entry], cache_options,
                                    {.number = next_caller++, .customer = "agence"}, now);
        if (std::holds_alternative<token_taken>(res)) {
            admitted.push_back(now);
        }
        refused += std::holds_alternative<token_refused>(res) ? 1 : 0;
    }

    void ask(const std::string& entry, bool answer_lost)
    {
        token_cache& cache = entries[entry];
        cache.entry_count = static_cast<std::uint32_t>(entries.size());
        set_customer_limits(cache, "agence", limits);
        const customer_token_requests asks = next_token_request(cache, cache_options, now);
        if (asks.empty() || !control_up || cut_off.contains(entry)) {
            return;
        }
        record_entry_contact(pool, entry, is_isolated(cache, cache_options, now), now);
        divide();
        customer_token_grants shares;
        for (const auto& [name, it] : asks) {
            shares[name] = grant_tokens(pool, options, name, limits, entry, it, now);
        }
        if (!answer_lost) {
            answers.push_back({entry, cache.request_number, std::move(shares), now + delay});
        }
    }

    void divide()
    {
        std::vector<std::string> registered;
        for (const auto& [name, it] : entries) {
            registered.push_back(name);
        }
        update_granted_fraction(pool, options, registered, now);
    }

    /// Every entry renews its lease; control's answer comes at once unless it is lost.
    void renew_lease(const std::string& entry, bool answer_lost)
    {
        if (!control_up || cut_off.contains(entry)) {
            return;
        }
        token_cache& cache = entries[entry];
        record_entry_contact(pool, entry, is_isolated(cache, cache_options, now), now);
        if (!answer_lost) {
            record_control_answer(cache, now);
        }
    }

    void deliver()
    {
        std::deque<sent_answer> later;
        for (sent_answer& it : std::exchange(answers, {})) {
            if (it.arrives_at > now) {
                later.push_back(std::move(it));
                continue;
            }
            note(apply_token_grants(entries[it.entry], cache_options, it.request_number, it.shares,
                                    now));
        }
        answers = std::move(later);
        for (auto& [name, it] : entries) {
            note(refuse_timed_out_callers(it, cache_options, now));
        }
    }

    void pass(milliseconds span)
    {
        const time_point end = now + span;
        while (now < end) {
            now += milliseconds(10);
            deliver();
            for (auto& [name, it] : entries) {
                if (now >= renew_at) {
                    renew_lease(name, false);
                }
                ask(name, false);
            }
            renew_at = now >= renew_at ? now + milliseconds(500) : renew_at;
        }
    }

    /// The usual load on six entries; sites give customers 1.6 times the rate that they use.
    void load(duration span)
    {
        double owed = 0;
        int next = 0;
        for (const time_point end = now + span; now < end;) {
            for (owed += limits.rate / 160; owed >= 1; owed -= 1) {
                arrive("e" + std::to_string(next++ % 6));
            }
            pass(milliseconds(10));
        }
    }

    /// Most operations that were admitted within one window.
    double busiest_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t n = 0; n < admitted.size(); ++n) {
            while (admitted[n] - admitted[first] > options.window) {
                ++first;
            }
            most = std::max(most, n - first + 1);
        }
        return static_cast<double>(most);
    }

    double allowed() const
    {
        const double seconds_long = std::chrono::duration<double>(options.window).count();
        return (limits.rate * seconds_long + limits.burst) * (1 + options.overage) + options.slack;
    }
};

}  // namespace

TEST_CASE("a customer whose callers are spread over many entries gets its whole rate", "[rates]")
{
    // 64 entries see a quarter of an operation a second each: two thirds of the customer's rate.
    // Divided evenly, each entry would have 0.4 tokens a second and refuse a third of them.
    fleet_fixture fleet;
    for (int n = 0; n < 64; ++n) {
        fleet.entries["e" + std::to_string(n)];
    }
    fleet.pass(milliseconds(1000));
    std::uint64_t random = 7;
    for (int n = 0; n < 600; ++n) {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        fleet.arrive("e" + std::to_string((random >> 33) % 64));
        fleet.pass(milliseconds(60));
    }
    fleet.pass(milliseconds(500));
    CHECK(fleet.refused == 0);
    CHECK(fleet.admitted.size() == 600);
}

TEST_CASE("kept tokens carry the usual load through two seconds without control", "[rates]")
{
    fleet_fixture fleet;
    fleet.limits = {.rate = 136, .burst = 136};
    for (int n = 0; n < 6; ++n) {
        fleet.entries["e" + std::to_string(n)];
    }
    fleet.load(seconds(10));
    fleet.refused = 0;
    fleet.control_up = false;
    fleet.load(seconds(2));
    CHECK(fleet.refused == 0);
}

TEST_CASE("the usual load goes on through three seconds without control, from the first second on",
          "[rates]")
{
    // All of control loses power 1.6 s after the load began, and is back with a leader at 4.6 s.
    for (const double rate : {26.0, 136.0}) {
        fleet_fixture fleet;
        fleet.limits = {.rate = rate, .burst = rate};
        for (int n = 0; n < 6; ++n) {
            fleet.entries["e" + std::to_string(n)];
        }
        fleet.pass(milliseconds(10000));
        fleet.load(milliseconds(1600));
        fleet.control_up = false;
        fleet.admitted.clear();
        fleet.refused = 0;
        fleet.load(seconds(3));
        CHECK(fleet.refused == 0);
    }
}

TEST_CASE("a customer far beyond its limit is held to it on all entries together", "[rates]")
{
    fleet_fixture fleet;
    for (int n = 0; n < 64; ++n) {
        fleet.entries["e" + std::to_string(n)];
    }
    fleet.pass(milliseconds(3000));
    for (int n = 0; n < 2000; ++n) {
        fleet.arrive("e" + std::to_string(n * 37 % 64));
        if (n % 2 == 0) {
            fleet.pass(milliseconds(10));
        }
    }
    CHECK(fleet.busiest_window() <= fleet.allowed());
    // What the limit allows over these ten seconds is given out as well.
    CHECK(static_cast<double>(fleet.admitted.size()) >= fleet.limits.rate * 10 * 0.95);
}

TEST_CASE("the limit holds in every window, whatever gets lost and whoever leads", "[rates]")
{
    rc::check([] {
        fleet_fixture fleet;
        fleet.limits.rate = *rc::gen::inRange(2, 80);
        fleet.limits.burst = *rc::gen::inRange(1, 120);
        const int entries = *rc::gen::inRange(1, 9);
        const int steps = *rc::gen::inRange(50, 600);
        for (int n = 0; n < steps; ++n) {
            const std::string entry = "e" + std::to_string(*rc::gen::inRange(0, entries));
            const int callers = *rc::gen::inRange(0, 4);
            for (int caller = 0; caller < callers; ++caller) {
                fleet.arrive(entry);
            }
            fleet.ask(entry, *rc::gen::inRange(0, 4) == 0);
            fleet.now += milliseconds(*rc::gen::inRange(0, 60));
            fleet.deliver();
            if (fleet.now >= fleet.renew_at) {
                fleet.renew_at = fleet.now + milliseconds(500);
                for (auto& [name, it] : fleet.entries) {
                    fleet.renew_lease(name, *rc::gen::inRange(0, 5) == 0);
                }
            }
            const int trouble = *rc::gen::inRange(0, 60);
            if (trouble == 0) {
                // An election: the next leader knows nothing of what was given.
                fleet.now += milliseconds(600);
                fleet.pool = {.customers = {}, .leading_since = fleet.now};
            }
            else if (trouble == 2) {
                // An entry is cut off, until the next one is.
                fleet.cut_off = {entry};
            }
            else if (trouble == 1) {
                // A process restarts and has nothing.
                fleet.entries[entry] = {.request_number =
                                            1'000'000ULL * static_cast<std::uint64_t>(n + 1)};
            }
        }
        RC_ASSERT(fleet.busiest_window() <= fleet.allowed());
    });
}

TEST_CASE("the limit holds for a customer at many times its rate, whoever is cut off or leads",
          "[rates]")
{
    // Entries keep all that they may when the flood begins; then control goes silent or is replaced
    // and up to half of the entries are cut off, at random.
    constexpr int seeds = 100;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto pick = [&](int low, int high) {
            return std::uniform_int_distribution<int>(low, high)(random);
        };
        fleet_fixture fleet;
        fleet.limits.rate = std::array{5, 10, 26, 80, 136}.at(static_cast<std::size_t>(pick(0, 4)));
        fleet.limits.burst = pick(0, 2) == 0 ? fleet.limits.rate / 4 : fleet.limits.rate;
        const int count = std::array{3, 6, 9, 64}.at(static_cast<std::size_t>(pick(0, 3)));
        const auto any_entry = [&] { return "e" + std::to_string(pick(0, count - 1)); };
        for (int n = 0; n < count; ++n) {
            fleet.entries["e" + std::to_string(n)];
        }
        fleet.pass(milliseconds(pick(0, 12000)));
        const int factor = pick(2, 8);
        double owed = 0;
        time_point back_at{};
        for (const time_point end = fleet.now + seconds(pick(6, 14)); fleet.now < end;) {
            for (owed += fleet.limits.rate * factor / 100; owed >= 1; owed -= 1) {
                fleet.arrive(any_entry());
            }
            const int trouble = pick(0, 400);
            if (trouble == 0 && fleet.control_up) {
                fleet.control_up = false;
                back_at = fleet.now + milliseconds(pick(600, 2000));
            }
            if (!fleet.control_up && fleet.now >= back_at) {
                fleet.control_up = true;
                fleet.pool = {.customers = {}, .leading_since = fleet.now};
            }
            if (trouble == 1 || trouble == 2) {
                fleet.cut_off.clear();
            }
            for (int n = pick(1, std::max(1, count / 2)); trouble == 1 && n > 0; --n) {
                fleet.cut_off.insert(any_entry());
            }
            fleet.pass(milliseconds(10));
        }
        REQUIRE(fleet.busiest_window() <= fleet.allowed());
    }
}

TEST_CASE("callers that come back are told to come one after the other", "[rates]")
{
    token_cache cache;
    const token_cache_options options;
    for (std::uint64_t n = 1; n <= 3; ++n) {
        CHECK(std::holds_alternative<token_pending>(
            take_token(cache, options, {.number = n, .customer = "agence"}, start)));
    }
    REQUIRE(next_token_request(cache, options, start).at("agence").waiting == 3);
    const auto decided =
        apply_token_grants(cache, options, cache.request_number,
                           {{"agence", {.for_waiting = 1, .retry_after_ms = 40}}}, start);
    REQUIRE(decided.size() == 3);
    CHECK_FALSE(decided[0].retry_after);
    CHECK(decided[1].retry_after == duration(milliseconds(40)));
    CHECK(decided[2].retry_after == duration(milliseconds(80)));
}

TEST_CASE("an answer to an earlier question changes nothing", "[rates]")
{
    token_cache cache;
    const token_cache_options options;
    (void)take_token(cache, options, {.number = 1, .customer = "agence"}, start);
    (void)next_token_request(cache, options, start);
    const std::uint64_t first = cache.request_number;
    (void)next_token_request(cache, options, start + milliseconds(200));
    REQUIRE(cache.request_number != first);
    CHECK(apply_token_grants(cache, options, first,
                             {{"agence", {.for_waiting = 1, .for_prefetch = 5}}},
                             start + milliseconds(210))
              .empty());
    CHECK(cache.customers["agence"].prefetched == 0);
}
