#pragma once

#include <cstdint>
#include <string>

namespace balsamdrift {

/// The leader whose requests a member answered last.
struct known_leader {
    /// Empty if the member has answered none.
    std::string name;
    std::uint64_t term = 0;
};

}  // namespace balsamdrift
