#include "base/endpoint.h"

#include <QHostAddress>
#include <QString>
#include <charconv>

namespace balsamdrift {

std::string to_string(const endpoint& point)
{
    return point.address + ":" + std::to_string(point.port);
}

outcome<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return failure{"expected address:port, got '" + text + "'"};
    }
    const std::string address = text.substr(0, colon);
    const std::string port_text = text.substr(colon + 1);
    if (QHostAddress(QString::fromStdString(address)).isNull()) {
        return failure{"expected an IP number before the port, got '" + address + "'"};
    }
    std::uint16_t port = 0;
    const char* end = port_text.data() + port_text.size();
    const auto [ptr, ec] = std::from_chars(port_text.data(), end, port);
    if (ec != std::errc{} || ptr != end) {
        return failure{"expected a port from 0 to 65535, got '" + port_text + "'"};
    }
    return endpoint{address, port};
}

}  // namespace balsamdrift
