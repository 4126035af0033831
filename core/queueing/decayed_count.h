#pragma once

#include <cmath>

#include "base/time.h"

namespace balsamdrift {

/// Number of events, each with a weight that decays exponentially with its age. At a steady rate
/// the count is the rate times the time constant.
struct decayed_count {
    double count = 0;
    /// Time for which `count` is valid.
    time_point at{};
};

/// The count at `now`.
inline double count_at(const decayed_count& it, duration time_constant, time_point now)
{
    const float_seconds age = now - it.at;
    return it.count * std::exp(-age / float_seconds(time_constant));
}

/// Adds one event at `now`.
inline void add_event(decayed_count& it, duration time_constant, time_point now)
{
    it = {.count = count_at(it, time_constant, now) + 1, .at = now};
}

}  // namespace balsamdrift
