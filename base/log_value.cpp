#include "base/log_value.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "base/text.h"

namespace balsamdrift {
namespace {

bool needs_quotes(char it)
{
    return it == ' ' || it == '"' || it == '=' || it == '\\' || is_control_character(it);
}

}  // namespace

std::string log_value(const std::string& value)
{
    if (std::none_of(value.begin(), value.end(), needs_quotes)) {
        return value;
    }
    std::string quoted = "\"";
    for (const char it : value) {
        if (it == '"' || it == '\\') {
            quoted += '\\';
            quoted += it;
        }
        else if (is_control_character(it)) {
            std::array<char, 5> buf{};
            std::snprintf(buf.data(), buf.size(), "\\x%02x", static_cast<unsigned char>(it));
            quoted += buf.data();
        }
        else {
            quoted += it;
        }
    }
    return quoted + '"';
}

}  // namespace balsamdrift
