#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace balsamdrift {

/// Seeded generator kept inside decision states, so that a run can be repeated exactly.
using random_engine = std::mt19937_64;

/// A number that no other process draws: for seeds, identities and first ids. Never zero.
inline std::uint64_t random_identity()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device() | 1;
}

/// A span drawn evenly from [low, high].
inline duration random_between(random_engine& engine, duration low, duration high)
{
    std::uniform_int_distribution<std::int64_t> dist(low.count(), high.count());
    return duration(dist(engine));
}

}  // namespace balsamdrift
