#include "core/routing/position_book.h"

#include <algorithm>

namespace balsamdrift {

void note_sample(position_book& book, const position_book_options& options,
                 const primary_sample& sample)
{
    std::deque<primary_sample>& all = book.samples;
    while (!all.empty() && sample.asked_at - all.front().asked_at > options.kept_for) {
        all.pop_front();
    }
    if (!all.empty() && sample.asked_at < all.back().asked_at + options.resolution) {
        return;
    }
    all.push_back(sample);
}

void enter_generation(position_book& book, std::uint64_t generation)
{
    if (book.generation != generation) {
        book.generation = generation;
        book.samples.clear();
    }
}

std::optional<log_position> floor_covering(const position_book& book, time_point moment)
{
    // Later samples name the same or later positions, so the first one that is new enough asks the
    // least of a replica.
    const auto it =
        std::find_if(book.samples.begin(), book.samples.end(),
                     [&](const primary_sample& sample) { return sample.asked_at >= moment; });
    return it == book.samples.end() ? std::nullopt : std::optional(it->position);
}

}  // namespace balsamdrift
