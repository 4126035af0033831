#pragma once

namespace balsamdrift {

/// True for the control characters of ASCII, which no name and no plain value of a line has.
inline bool is_control_character(char it)
{
    constexpr unsigned char blank = ' ';
    constexpr unsigned char del = 0x7f;
    const auto code = static_cast<unsigned char>(it);
    return code < blank || code == del;
}

}  // namespace balsamdrift
