#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "core/sessions/log_position.h"

namespace balsamdrift {

/// A position that the primary had at some moment after `asked_at`. It covers every commit that was
/// acknowledged before then.
struct primary_sample {
    time_point asked_at;
    log_position position;
};

/// Positions of a service's primary, oldest first, as answers of the primary told them.
struct position_book {
    std::deque<primary_sample> samples;
    /// Promotions that the primary's record has seen. Samples of an earlier primary are dropped,
    /// since the promotion may have rolled back what they name.
    std::uint64_t generation = 0;
};

/// Settings of the book.
struct position_book_options {
    /// Samples older than the oldest data that any route accepts are of no use.
    duration kept_for = seconds(20);
    /// At most one sample is kept in each span of this length.
    duration resolution = milliseconds(20);
};

/// Notes an answer of the primary to a statement that was sent at `asked_at`.
void note_sample(position_book& book, const position_book_options& options,
                 const primary_sample& sample);

/// Forgets the samples of earlier primaries.
void enter_generation(position_book& book, std::uint64_t generation);

/// The lowest known position that covers every commit acknowledged before `moment`, if any.
std::optional<log_position> floor_covering(const position_book& book, time_point moment);

}  // namespace balsamdrift
