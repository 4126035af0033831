#include "core/routing/position_history.h"

#include <algorithm>

namespace balsamdrift {

void record_sample(position_history& history, const position_history_options& options,
                   const position_history_sample& sample)
{
    std::deque<position_history_sample>& samples = history.samples;
    while (!samples.empty() && sample.sent_at - samples.front().sent_at > options.retention) {
        samples.pop_front();
    }
    if (!samples.empty() && sample.sent_at < samples.back().sent_at + options.sample_interval) {
        return;
    }
    samples.push_back(sample);
}

void set_generation(position_history& history, std::uint64_t generation)
{
    if (history.generation != generation) {
        history.generation = generation;
        history.samples.clear();
    }
}

std::optional<log_position> min_position_covering(const position_history& history,
                                                  time_point moment)
{
    // Positions do not decrease from sample to sample, so the first sample that is recent enough
    // has the lowest position and admits the most replicas.
    const auto it = std::find_if(
        history.samples.begin(), history.samples.end(),
        [&](const position_history_sample& sample) { return sample.sent_at >= moment; });
    return it == history.samples.end() ? std::nullopt : std::optional(it->position);
}

}  // namespace balsamdrift
