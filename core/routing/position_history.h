#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "core/sessions/log_position.h"

namespace balsamdrift {

/// A position that the primary reported in its answer to a statement sent at `sent_at`. It includes
/// every commit that was acknowledged before `sent_at`.
struct position_history_sample {
    time_point sent_at;
    log_position position;
};

/// Positions that the primary of a service reported in its answers, oldest first.
struct position_history {
    std::deque<position_history_sample> samples;
    /// Number of promotions in the primary record when the samples were taken. Samples of an
    /// earlier primary are dropped, because the promotion may have lost commits that they include.
    std::uint64_t generation = 0;
};

/// Settings of a position history.
struct position_history_options {
    /// Samples older than this are dropped, since no route accepts data that old.
    duration retention = seconds(20);
    /// Shortest time between two samples; samples that come sooner are not stored.
    duration sample_interval = milliseconds(20);
};

/// Adds a sample, unless it follows the newest one too soon, and drops expired samples.
void record_sample(position_history& history, const position_history_options& options,
                   const position_history_sample& sample);

/// Drops all samples when `generation` differs from that of the history.
void set_generation(position_history& history, std::uint64_t generation);

/// Returns the lowest known position that includes every commit acknowledged before `moment`, or
/// nothing when no sample is recent enough.
std::optional<log_position> min_position_covering(const position_history& history,
                                                  time_point moment);

}  // namespace balsamdrift
