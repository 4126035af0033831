#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsamdrift {

/// Length of a signature in bytes.
inline constexpr std::size_t signature_bytes = 32;

/// HMAC-SHA-256 over the payload.
std::string sign(std::string_view payload, const std::string& secret);

/// True when the signature is the payload's. Takes the same time wherever they differ.
bool verify_signature(std::string_view signature, std::string_view payload,
                      const std::string& secret);

}  // namespace balsamdrift
