#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "core/sessions/log_position.h"

namespace balsamdrift {

/// A position that the primary had at some moment after `sent_at`. It covers every commit that was
/// acknowledged before then.
struct position_history_sample {
    time_point sent_at;
    log_position position;
};

/// Positions of a service's primary, oldest first, as answers of the primary told them.
struct position_history {
    std::deque<position_history_sample> samples;
    /// Promotions that the primary's record has seen. Samples of an earlier primary are dropped,
    /// since the promotion may have rolled back what they name.
    std::uint64_t generation = 0;
};

/// Settings of the book.
struct position_history_options {
    /// Samples older than the oldest data that any route accepts are of no use.
    duration kept_for = seconds(20);
    /// At most one sample is kept in each span of this length.
    duration resolution = milliseconds(20);
};

/// Notes an answer of the primary to a statement that was sent at `sent_at`.
void record_sample(position_history& book, const position_history_options& options,
                   const position_history_sample& sample);

/// Forgets the samples of earlier primaries.
void set_generation(position_history& book, std::uint64_t generation);

/// The lowest known position that covers every commit acknowledged before `moment`, if any.
std::optional<log_position> min_position_covering(const position_history& book, time_point moment);

}  // namespace balsamdrift
