#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "core/routing/placement.h"

namespace balsamdrift {

/// Number of values of `proximity`.
inline constexpr std::size_t proximity_count = 3;

/// Settings of the decision which reads leave the nearest failure domain. It addresses uneven
/// demand: the instance that is nearest to many entries gets a multiple of the mean load and its
/// queue grows, while instances further away have free slots.
struct locality_options {
    /// False to use only the fixed costs of `placement_options`.
    bool enabled = true;
    /// Memory of a latency estimate. An entry sends a service about one read a second, so that an
    /// estimate rests on a few reads and still follows a queue that grows within seconds.
    duration memory = seconds(4);
    /// Bounds of the weight of a single read. The lower one keeps the memory at several reads where
    /// reads are frequent, the upper one keeps a read after a pause from deciding alone.
    double min_weight = 0.1;
    double max_weight = 0.3;
    /// A read counts at most as this multiple of the estimate plus `outlier_margin`, so that a
    /// single slow statement does not look like a queue.
    double outlier_factor = 3;
    duration outlier_margin = milliseconds(50);
    /// An estimate that is older than `fresh_for` approaches the neutral value, and its distance
    /// from that value halves with each `decay_half_life`.
    duration fresh_for = seconds(10);
    duration decay_half_life = seconds(5);
    /// Latency at rest that is assumed before the first read.
    duration initial_latency = milliseconds(20);
    /// Round trips that are assumed for distances without a recent read.
    duration same_region_round_trip = milliseconds(2);
    duration other_region_round_trip = milliseconds(24);
    /// A read that an instance refuses because its queue is full counts as this latency: the
    /// shortest latency objectives are about 400 ms, and a refused read has used half of it by the
    /// time that another instance has answered.
    duration refused_latency = milliseconds(200);
    /// A difference of less than this fraction of the expected time is noise and changes nothing.
    double tolerance = 0.15;
    /// The first reads are sent away once home has been slower for this long, in at least
    /// `min_home_reads` reads. Shorter bursts end before moved load would help.
    duration min_difference_time = seconds(2);
    int min_home_reads = 3;
    /// The share changes at most by `max_step` in each interval. All entries of a region see the
    /// same queue with a delay of about `memory`; what they change together within that delay is
    /// the overshoot.
    duration step_interval = seconds(1);
    double max_step = 0.05;
    /// Largest step back. It is smaller, since the queue that comes back is seen only once it has
    /// formed, while a share that is too large for a while costs only the crossing.
    double max_step_back = 0.03;
    /// The smallest change is this fraction of the largest one.
    double min_step_fraction = 0.2;
    /// At least this part of the reads stays at home to observe it.
    double min_home_share = 0.1;
    /// While reads are sent away, home gets one at least this often.
    duration probe_interval = seconds(3);
    /// A distance counts as available for this long after a read could have been served there.
    duration offer_lifetime = seconds(5);
    /// Differs between entries, so that they neither step at the same times nor send the same
    /// reads.
    std::uint64_t seed = 0;
};

/// Estimate of the time in which reads are answered.
struct latency_estimate {
    duration value{};
    /// Time of the newest read; the clock's epoch if there was none.
    time_point sampled_at{};
};

/// What an entry has observed of the reads of one service, and the share that it sends away.
struct locality_state {
    std::array<latency_estimate, proximity_count> estimates;
    /// When a read could last have been served at each distance.
    std::array<time_point, proximity_count> offered_at{};
    /// Latency of the service at rest, without round trips; zero before the first read.
    duration rest_latency{};
    proximity home = proximity::same_failure_domain;
    /// Distance to which reads are sent away.
    proximity target = proximity::same_failure_domain;
    /// Part of the reads that is sent away, within [0, 1].
    double share = 0;
    /// Sum of the shares of the reads so far, less the reads that were sent away.
    double credit = 0;
    /// Since when home is slower; the clock's epoch while it is not.
    time_point slower_since{};
    int home_reads_since_slower = 0;
    /// Expected cost of home at the newest step.
    duration home_cost{};
    /// When home was last chosen.
    time_point home_used_at{};
    time_point next_step_at{};
    std::uint64_t steps = 0;
};

/// Start or end of sending reads away.
struct spill_change {
    bool started = false;
    proximity home = proximity::same_failure_domain;
    proximity target = proximity::same_failure_domain;
    duration home_latency{};
    duration target_latency{};
};

/// The distances at which instances can serve a read.
using proximity_set = std::set<proximity>;

/// Adds the latency of a read, from sending until its answer, to the estimate of its distance.
void record_read_latency(locality_state& state, const locality_options& options, proximity distance,
                         duration latency, time_point now);

/// Expected time until an instance at this distance answers a read, the round trip included.
duration expected_latency(const locality_state& state, const locality_options& options,
                          proximity distance, time_point now);

/// True if home is slower than the cheapest other distance together with the cost of the crossing,
/// or if reads are being sent away. Otherwise placement by cost decides alone.
bool decides_distance(const locality_state& state, const locality_options& options,
                      const placement_options& costs, time_point now);

/// Distance at which the next read is to run. Nothing if placement by cost decides, because home is
/// not slower or because the read cannot be served at home.
std::optional<proximity> choose_distance(const locality_state& state,
                                         const locality_options& options,
                                         const placement_options& costs,
                                         const proximity_set& available, time_point now);

/// Records that a read that could be served at the `available` distances was sent to `used`.
void record_read_start(locality_state& state, const proximity_set& available, proximity used,
                       time_point now);

/// Adapts the share that is sent away. Must be called at least once in each step interval. Returns
/// the change if the first read may be sent away from now on, or none any more.
std::optional<spill_change> step_share(locality_state& state, const locality_options& options,
                                       const placement_options& costs, time_point now);

/// Moves an estimate that is older than `options.fresh_for` towards a neutral value.
duration decayed_latency(const latency_estimate& estimate, duration neutral,
                         const locality_options& options, time_point now);

/// Name of a distance in metrics and events.
std::string to_string(proximity distance);

}  // namespace balsamdrift
