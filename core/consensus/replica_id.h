#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace balsamdrift {

/// Identity of a control member and of the data folder it runs on. A folder that was lost and made
/// anew has another incarnation, so votes and acknowledgements addressed to the old one are
/// ignored.
struct replica_id {
    std::string name;
    /// Drawn at random when the data folder is created. Zero addresses any incarnation.
    std::uint64_t incarnation = 0;

    auto operator<=>(const replica_id&) const = default;
    MSGPACK_DEFINE(name, incarnation)
};

}  // namespace balsamdrift
