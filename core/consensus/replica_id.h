#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace balsamdrift {

/// Identity of a control member and of its data folder. A folder that was lost and created again
/// has another incarnation, so that votes and acknowledgements addressed to the old one are
/// ignored. Entry processes are identified by name and incarnation too.
struct replica_id {
    std::string name;
    /// Random number chosen when the data folder is created. Zero stands for any incarnation.
    std::uint64_t incarnation = 0;

    auto operator<=>(const replica_id&) const = default;
    MSGPACK_DEFINE(name, incarnation)
};

}  // namespace balsamdrift
