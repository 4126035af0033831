#include "core/routing/locality.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <numeric>
#include <queue>
#include <random>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};
constexpr int entries_per_region = 30;
constexpr int regions = 3;
constexpr milliseconds service_time(60);
constexpr milliseconds one_way(12);

/// An instance with four slots and a queue; one of each region.
struct simulated_instance {
    std::array<time_point, 4> free_at{};
    /// Multiple of the service time.
    double slowness = 1;

    /// Runs a read that arrives at `now` and returns when it ends.
    time_point run(time_point now, double work)
    {
        time_point& slot = *std::min_element(free_at.begin(), free_at.end());
        slot = std::max(slot, now) + scaled(service_time, work * slowness);
        return slot;
    }
};

/// An entry that decides on its own, as each of the fleet does.
struct simulated_entry {
    int region = 0;
    locality_state state;
    locality_options options;
    int away = 0;
    int started = 0;
    int ended = 0;
};

/// Ninety entries and a service of three instances, in virtual time. The mean load is 45% of the
/// instances' capacity.
struct simulated_fleet {
    time_point now = start;
    std::mt19937_64 random{20261204};
    std::array<simulated_instance, regions> instances;
    std::vector<simulated_entry> entries;
    /// Reads a second of each entry, by region.
    std::array<double, regions> rates{1, 1, 1};
    /// Latencies of reads of region 0 that ended in the last run.
    std::vector<double> latencies;

    explicit simulated_fleet(bool enabled = true)
    {
        for (int n = 0; n < entries_per_region * regions; ++n) {
            simulated_entry it;
            it.region = n % regions;
            it.options.enabled = enabled;
            it.options.seed = static_cast<std::uint64_t>(n);
            entries.push_back(it);
        }
    }

    void read(simulated_entry& entry)
    {
        const proximity_set available{proximity::same_failure_domain, proximity::other_region};
        const proximity used = choose_distance(entry.state, entry.options, {}, available, now)
                                   .value_or(proximity::same_failure_domain);
        record_read_start(entry.state, available, used, now);
        const bool away = used == proximity::other_region;
        entry.away += away ? 1 : 0;
        const int other = (entry.region + 1 + static_cast<int>(random() % 2)) % regions;
        const duration trip = away ? duration(one_way) : duration{0};
        const double work = std::uniform_real_distribution<>(0.3, 1.7)(random);
        const time_point done = instances.at(static_cast<std::size_t>(away ? other : entry.region))
                                    .run(now + trip, work) +
                                trip;
        answers_.push({done, &entry, used, now});
    }

    void run(duration elapsed)
    {
        latencies.clear();
        for (simulated_entry& it : entries) {
            it.away = 0;
        }
        const time_point end = now + elapsed;
        for (; now < end; now += milliseconds(10)) {
            while (!answers_.empty() && answers_.top().at <= now) {
                const answer it = answers_.top();
                answers_.pop();
                record_read_latency(it.entry->state, it.entry->options, it.used, it.at - it.sent_at,
                                    now);
                if (it.entry->region == 0) {
                    latencies.push_back(float_seconds(it.at - it.sent_at).count());
                }
            }
            for (simulated_entry& it : entries) {
                const double rate = rates.at(static_cast<std::size_t>(it.region));
                if (std::uniform_real_distribution<>(0, 1)(random) < rate * 0.01) {
                    read(it);
                }
                if (const auto change = step_share(it.state, it.options, {}, now)) {
                    ++(change->started ? it.started : it.ended);
                }
            }
        }
    }

    double mean_share(int region) const
    {
        double sum = 0;
        for (const simulated_entry& it : entries) {
            sum += it.region == region ? it.state.share : 0;
        }
        return sum / entries_per_region;
    }

    int sum_of(int simulated_entry::*member) const
    {
        return std::accumulate(entries.begin(), entries.end(), 0,
                               [&](int sum, const auto& it) { return sum + it.*member; });
    }

    double mean_latency() const
    {
        return std::accumulate(latencies.begin(), latencies.end(), 0.0) /
               static_cast<double>(latencies.size());
    }

private:
    struct answer {
        time_point at;
        simulated_entry* entry;
        proximity used;
        time_point sent_at;
        bool operator>(const answer& it) const { return at > it.at; }
    };
    std::priority_queue<answer, std::vector<answer>, std::greater<>> answers_;
};

}  // namespace

// Guards against traffic between regions on a day on which every instance keeps up.
TEST_CASE("no read is sent away while home is as fast as the other distances", "[locality]")
{
    simulated_fleet fleet;
    fleet.run(seconds(120));
    CHECK(fleet.sum_of(&simulated_entry::away) == 0);
    CHECK(fleet.sum_of(&simulated_entry::started) == 0);
}

// Guards against a queue that only grows, a herd that empties home, and a share that flaps.
TEST_CASE("at 2.8 times the mean load the share settles where both distances cost the same",
          "[locality]")
{
    simulated_fleet fleet;
    fleet.run(seconds(20));
    fleet.rates[0] = 2.8;
    fleet.run(seconds(60));
    double sum = 0;
    double highest = 0;
    for (int n = 0; n < 60; ++n) {
        fleet.run(seconds(1));
        sum += fleet.mean_share(0);
        highest = std::max(highest, fleet.mean_share(0));
    }
    // Home carries 0.79 of this load. Its queue needs some room below that.
    CHECK(sum / 60 > 0.2);
    CHECK(sum / 60 < 0.4);
    CHECK(highest < 0.55);
    CHECK(fleet.sum_of(&simulated_entry::started) <= 2 * entries_per_region);
    CHECK(fleet.mean_share(1) + fleet.mean_share(2) == 0);
    fleet.run(seconds(30));
    CHECK(fleet.mean_latency() < 0.25);

    fleet.rates[0] = 1;
    fleet.run(seconds(90));
    CHECK(fleet.mean_share(0) == 0);
    fleet.run(seconds(30));
    CHECK(fleet.sum_of(&simulated_entry::away) == 0);
}

// Guards against a test whose load home could carry without the decision.
TEST_CASE("without the decision the same load grows a queue without end", "[locality]")
{
    simulated_fleet fleet(false);
    fleet.rates[0] = 2.8;
    fleet.run(seconds(60));
    CHECK(fleet.mean_latency() > 2);
}

// Guards against a wrong conclusion that spreads, and against one that lasts.
TEST_CASE("an entry that wrongly sees home as slow moves only its own reads, and returns",
          "[locality]")
{
    simulated_fleet fleet;
    fleet.run(seconds(10));
    simulated_entry& wrong = fleet.entries[0];
    wrong.state.share = 0.9;
    fleet.run(seconds(120));
    CHECK(wrong.away > 0);
    CHECK(fleet.sum_of(&simulated_entry::away) == wrong.away);
    CHECK(wrong.state.share == 0);
}

// Guards against a decision that overrides eligibility, and against a home that is never tried.
TEST_CASE("a read that home cannot serve is left to placement, and home gets probes", "[locality]")
{
    const proximity_set both{proximity::same_failure_domain, proximity::other_region};
    locality_state state;
    state.share = 0.9;
    state.credit = 1;
    state.target = proximity::other_region;
    state.home_used_at = start;
    CHECK(choose_distance(state, {}, {}, both, start) == proximity::other_region);
    CHECK(!choose_distance(state, {}, {}, {proximity::other_region}, start));
    CHECK(choose_distance(state, {}, {}, both, start + seconds(3)) ==
          proximity::same_failure_domain);
}

// Guards against an estimate that keeps an instance out of use for ever.
TEST_CASE("an estimate without new reads approaches the latency at rest", "[locality]")
{
    locality_state state;
    for (int n = 0; n < 50; ++n) {
        record_read_latency(state, {}, proximity::other_region, seconds(1), start);
        record_read_latency(state, {}, proximity::same_failure_domain, milliseconds(20), start);
    }
    CHECK(expected_latency(state, {}, proximity::other_region, start) > milliseconds(900));
    // The latency at rest and the round trip.
    const time_point later = start + seconds(60);
    CHECK(expected_latency(state, {}, proximity::other_region, later) < milliseconds(100));
}
