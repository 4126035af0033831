#include "core/routing/position_history.h"

#include <algorithm>

namespace balsamdrift {

void record_sample(position_history& book, const position_history_options& options,
                   const position_history_sample& sample)
{
    std::deque<position_history_sample>& all = book.samples;
    while (!all.empty() && sample.sent_at - all.front().sent_at > options.kept_for) {
        all.pop_front();
    }
    if (!all.empty() && sample.sent_at < all.back().sent_at + options.resolution) {
        return;
    }
    all.push_back(sample);
}

void set_generation(position_history& book, std::uint64_t generation)
{
    if (book.generation != generation) {
        book.generation = generation;
        book.samples.clear();
    }
}

std::optional<log_position> min_position_covering(const position_history& book, time_point moment)
{
    // Later samples name the same or later positions, so the first one that is new enough asks the
    // least of a replica.
    const auto it = std::find_if(
        book.samples.begin(), book.samples.end(),
        [&](const position_history_sample& sample) { return sample.sent_at >= moment; });
    return it == book.samples.end() ? std::nullopt : std::optional(it->position);
}

}  // namespace balsamdrift
