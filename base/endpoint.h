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

/// Formats an endpoint as `address:port`.
std::string to_string(const endpoint& point);

/// Parses `address:port`. The address must be an IP address, not a host name. Port 0 requests a
/// free port from the system.
outcome<endpoint> parse_endpoint(const std::string& text);

}  // namespace balsamdrift
