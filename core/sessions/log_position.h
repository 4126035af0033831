#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace balsamdrift {

/// A position in the write-ahead log of a database group. Ordered by term first, then by LSN: a
/// position of an older term, whose tail the newer primary may never have had, includes nothing of
/// a newer term.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t lsn = 0;

    auto operator<=>(const log_position&) const = default;
    MSGPACK_DEFINE(term, lsn)
};

}  // namespace balsamdrift
