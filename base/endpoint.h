#pragma once

#include <cstdint>
#include <string>

#include "base/outcome.h"

namespace balsamdrift {

/// An IP address and port on which a process listens.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Writes `address:port`.
std::string to_string(const endpoint& point);

/// Reads `address:port`. IP numbers only; port 0 asks the system for a free port.
outcome<endpoint> parse_endpoint(const std::string& text);

}  // namespace balsamdrift
