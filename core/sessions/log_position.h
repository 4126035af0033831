#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace balsamdrift {

/// A place in the history of a database group. Ordered by term first: a position of an older term
/// that the newer primary never had covers nothing of the newer term.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t lsn = 0;

    auto operator<=>(const log_position&) const = default;
    MSGPACK_DEFINE(term, lsn)
};

}  // namespace balsamdrift
