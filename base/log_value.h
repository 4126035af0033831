#pragma once

#include <string>

namespace balsamdrift {

/// A value as it is written after `name=` in a log line. A value with blanks, quotes, `=` or
/// control characters is put into double quotes, with these characters escaped, so that no value
/// can be read as another field or as another line.
std::string log_value(const std::string& value);

}  // namespace balsamdrift
