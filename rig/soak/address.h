#pragma once

#include <string>

namespace balsamdrift::soak {

/// An IPv4 address and port.
struct address {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    bool operator==(const address&) const = default;
};

/// Reads "IP:PORT"; port 0 if there is none.
inline address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {text, 0};
    }
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

}  // namespace balsamdrift::soak
