#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/outcome.h"

namespace balsamdrift {

/// Bytes from this length on are compressed; below it the saving is not worth the processor time.
inline constexpr std::size_t compression_threshold_bytes = 4096;

/// Prepares bytes for the log or the wire: long ones are compressed. The bytes must not begin with
/// the marker of compressed ones, which no encoded message does.
std::string compress_if_large(std::string bytes);

/// Gives back what compress_if_large was given. Malformed bytes give a failure.
outcome<std::string> decompress(std::string_view bytes);

}  // namespace balsamdrift
