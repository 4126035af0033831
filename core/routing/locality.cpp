#include "core/routing/locality.h"

#include <algorithm>
#include <cmath>

namespace balsamdrift {
namespace {

/// Weights of a read that is faster or slower than the latency at rest. The estimate stays near the
/// fast reads and is little changed by a queue.
constexpr double rest_fall_weight = 0.1;
constexpr double rest_rise_weight = 0.02;

/// A difference below this time is noise at every latency.
constexpr milliseconds min_tolerance(5);

/// Steps are spread over this fraction of the interval.
constexpr double step_jitter = 0.5;

/// Shares below this are rounding errors of the steps.
constexpr double min_share = 0.001;

std::size_t index_of(proximity distance) { return static_cast<std::size_t>(distance); }

duration round_trip(proximity distance, const locality_options& options)
{
    switch (distance) {
        case proximity::same_failure_domain: return duration{0};
        case proximity::same_region: return options.same_region_round_trip;
        case proximity::other_region: return options.other_region_round_trip;
    }
    return duration{0};
}

duration crossing_cost(proximity distance, const placement_options& costs)
{
    switch (distance) {
        case proximity::same_failure_domain: return duration{0};
        case proximity::same_region: return costs.same_region_cost;
        case proximity::other_region: return costs.other_region_cost;
    }
    return duration{0};
}

duration neutral_latency(const locality_state& state, const locality_options& options,
                         proximity distance)
{
    const duration rest =
        state.rest_latency == duration{} ? options.initial_latency : state.rest_latency;
    return rest + round_trip(distance, options);
}

/// Pseudo-random number within [0, 1) that depends on the seed and on `n` (splitmix64).
double fraction_of(std::uint64_t seed, std::uint64_t n)
{
    std::uint64_t it = seed + (n + 1) * 0x9E3779B97F4A7C15ULL;
    it = (it ^ (it >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    it = (it ^ (it >> 27U)) * 0x94D049BB133111EBULL;
    return static_cast<double>((it ^ (it >> 31U)) >> 11U) * 0x1.0p-53;
}

bool is_offered(const locality_state& state, const locality_options& options, std::size_t distance,
                time_point now)
{
    const time_point at = state.offered_at.at(distance);
    return at != time_point{} && now - at <= options.offer_lifetime;
}

/// What a read is expected to cost at home and at the cheapest other distance.
struct comparison {
    proximity home = proximity::same_failure_domain;
    proximity target = proximity::same_failure_domain;
    duration home_cost{};
    duration target_cost{};
    /// Smaller differences of the costs are noise.
    duration tolerance{};
};

/// Returns nothing if reads can be served at fewer than two distances. The cost of the crossing to
/// home itself is part of the comparison, since home can lie in another failure domain.
std::optional<comparison> compare(const locality_state& state, const locality_options& options,
                                  const placement_options& costs, time_point now)
{
    std::optional<comparison> res;
    bool has_target = false;
    for (std::size_t n = 0; n < proximity_count; ++n) {
        if (!is_offered(state, options, n, now)) {
            continue;
        }
        const auto distance = static_cast<proximity>(n);
        const duration cost =
            expected_latency(state, options, distance, now) + crossing_cost(distance, costs);
        if (!res) {
            res = comparison{.home = distance, .home_cost = cost};
        }
        else if (!has_target || cost < res->target_cost) {
            res->target = distance;
            res->target_cost = cost;
            has_target = true;
        }
    }
    if (!has_target) {
        return std::nullopt;
    }
    res->tolerance = std::max<duration>(scaled(res->target_cost, options.tolerance), min_tolerance);
    return res;
}

/// Size of the next step: proportional to the difference, so that entries slow down near the point
/// at which both distances cost the same.
double step_size(const comparison& it, const locality_options& options, double max_step)
{
    const duration difference = it.home_cost > it.target_cost ? it.home_cost - it.target_cost
                                                              : it.target_cost - it.home_cost;
    const double relative = static_cast<double>(difference.count()) /
                            static_cast<double>(std::max<duration::rep>(it.target_cost.count(), 1));
    return max_step * std::clamp(relative, options.min_step_fraction, 1.0);
}

void reset(locality_state& state)
{
    state.share = 0;
    state.slower_since = time_point{};
    state.home_reads_since_slower = 0;
}

spill_change describe_change(const locality_state& state, const locality_options& options,
                             bool started, time_point now)
{
    return {.started = started,
            .home = state.home,
            .target = state.target,
            .home_latency = expected_latency(state, options, state.home, now),
            .target_latency = expected_latency(state, options, state.target, now)};
}

/// Changes the share by one step if the difference of the costs demands it.
void adapt_share(locality_state& state, const locality_options& options, const comparison& it,
                 time_point now)
{
    if (it.home_cost > it.target_cost + it.tolerance) {
        if (state.slower_since == time_point{}) {
            state.slower_since = now;
            state.home_reads_since_slower = 0;
        }
        const bool lasts = now - state.slower_since >= options.min_difference_time &&
                           state.home_reads_since_slower >= options.min_home_reads;
        // A queue that already shrinks needs time, not a larger share.
        const bool shrinks = it.home_cost < state.home_cost;
        if (state.share > 0 ? !shrinks : lasts) {
            state.share = std::min(state.share + step_size(it, options, options.max_step),
                                   1 - options.min_home_share);
        }
        return;
    }
    if (it.home_cost <= it.target_cost) {
        state.slower_since = time_point{};
    }
    if (it.home_cost < it.target_cost - it.tolerance) {
        state.share = std::max(state.share - step_size(it, options, options.max_step_back), 0.0);
        state.share = state.share < min_share ? 0 : state.share;
    }
}

}  // namespace

duration decayed_latency(const latency_estimate& estimate, duration neutral,
                         const locality_options& options, time_point now)
{
    if (estimate.sampled_at == time_point{}) {
        return neutral;
    }
    const duration age = now - estimate.sampled_at;
    if (age <= options.fresh_for) {
        return estimate.value;
    }
    const double half_lives = float_seconds(age - options.fresh_for).count() /
                              float_seconds(options.decay_half_life).count();
    return neutral + scaled(estimate.value - neutral, std::exp2(-half_lives));
}

duration expected_latency(const locality_state& state, const locality_options& options,
                          proximity distance, time_point now)
{
    return decayed_latency(state.estimates.at(index_of(distance)),
                           neutral_latency(state, options, distance), options, now);
}

void record_read_latency(locality_state& state, const locality_options& options, proximity distance,
                         duration latency, time_point now)
{
    latency_estimate& estimate = state.estimates.at(index_of(distance));
    const duration before = expected_latency(state, options, distance, now);
    const duration limit = scaled(before, options.outlier_factor) + options.outlier_margin;
    double weight = options.max_weight;
    if (estimate.sampled_at != time_point{}) {
        const double elapsed = float_seconds(now - estimate.sampled_at).count();
        weight = std::clamp(1 - std::exp(-elapsed / float_seconds(options.memory).count()),
                            options.min_weight, options.max_weight);
    }
    estimate.value = before + scaled(std::min(latency, limit) - before, weight);
    estimate.sampled_at = now;

    const duration without_trip =
        std::max<duration>(latency - round_trip(distance, options), milliseconds(1));
    const duration rest =
        state.rest_latency == duration{} ? options.initial_latency : state.rest_latency;
    state.rest_latency = rest + scaled(std::min(without_trip, rest * 2) - rest,
                                       without_trip < rest ? rest_fall_weight : rest_rise_weight);
    if (distance == state.home && state.slower_since != time_point{}) {
        ++state.home_reads_since_slower;
    }
}

bool decides_distance(const locality_state& state, const locality_options& options,
                      const placement_options& costs, time_point now)
{
    if (!options.enabled) {
        return false;
    }
    if (state.share > 0) {
        return true;
    }
    const auto it = compare(state, options, costs, now);
    return it && it->home_cost > it->target_cost;
}

std::optional<proximity> choose_distance(const locality_state& state,
                                         const locality_options& options,
                                         const placement_options& costs,
                                         const proximity_set& available, time_point now)
{
    // Where the nearest distance cannot serve this read, its other distances are not a choice
    // between home and away.
    if (available.size() < 2 || *available.begin() != state.home ||
        !decides_distance(state, options, costs, now)) {
        return std::nullopt;
    }
    const bool probe = now - state.home_used_at >= options.probe_interval;
    const bool goes_away = state.share > 0 && !probe && state.credit + state.share >= 1;
    return goes_away && available.contains(state.target) ? state.target : state.home;
}

void record_read_start(locality_state& state, const proximity_set& available, proximity used,
                       time_point now)
{
    for (const proximity it : available) {
        state.offered_at.at(index_of(it)) = now;
    }
    if (used == state.home) {
        state.home_used_at = now;
    }
    if (available.size() < 2 || *available.begin() != state.home) {
        return;
    }
    // Bounded, so that reads that had no choice are not made up for by a run of others.
    state.credit =
        std::clamp(state.credit + state.share - (used == state.home ? 0.0 : 1.0), -1.0, 1.0);
}

std::optional<spill_change> step_share(locality_state& state, const locality_options& options,
                                       const placement_options& costs, time_point now)
{
    if (!options.enabled || now < state.next_step_at) {
        return std::nullopt;
    }
    const double jitter = step_jitter * (fraction_of(options.seed, state.steps) - 0.5);
    if (state.steps++ == 0) {
        state.credit = fraction_of(options.seed, options.seed);
    }
    state.next_step_at = now + scaled(options.step_interval, 1 + jitter);

    const bool has_reads =
        std::any_of(state.offered_at.begin(), state.offered_at.end(), [&](time_point at) {
            return at != time_point{} && now - at <= options.offer_lifetime;
        });
    if (!has_reads) {
        return std::nullopt;
    }
    const bool spilled = state.share > 0;
    const auto it = compare(state, options, costs, now);
    if (!it || it->home != state.home) {
        const spill_change ended = describe_change(state, options, false, now);
        reset(state);
        state.home = it ? it->home : state.home;
        return spilled ? std::optional(ended) : std::nullopt;
    }
    state.target = it->target;
    adapt_share(state, options, *it, now);
    state.home_cost = it->home_cost;
    if (spilled == (state.share > 0)) {
        return std::nullopt;
    }
    return describe_change(state, options, !spilled, now);
}

std::string to_string(proximity distance)
{
    switch (distance) {
        case proximity::same_failure_domain: return "same_failure_domain";
        case proximity::same_region: return "same_region";
        case proximity::other_region: return "other_region";
    }
    return "?";
}

}  // namespace balsamdrift
