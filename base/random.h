#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace balsamdrift {

/// Seeded pseudo-random generator. It is part of the state of decision logic, so that a run can be
/// reproduced exactly.
using random_engine = std::mt19937_64;

/// Returns a random number that other processes do not share: for seeds, identities and initial
/// ids. Never zero.
inline std::uint64_t random_identity()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device() | 1;
}

/// Returns a duration drawn uniformly from [low, high].
inline duration random_between(random_engine& engine, duration low, duration high)
{
    std::uniform_int_distribution<std::int64_t> dist(low.count(), high.count());
    return duration(dist(engine));
}

}  // namespace balsamdrift
