#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/outcome.h"

namespace balsamdrift {

/// Smallest length that is compressed. Below it the saving is not worth the processor time.
inline constexpr std::size_t compression_threshold_bytes = 4096;

/// Compresses bytes for the log or the wire if they are long enough. The bytes must not begin with
/// the marker of compressed data ('Z'), which no encoded message does.
std::string compress_if_large(std::string bytes);

/// Restores the bytes that compress_if_large() was given, compressed or not. Malformed bytes give a
/// failure.
outcome<std::string> decompress(std::string_view bytes);

}  // namespace balsamdrift
