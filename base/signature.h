#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsamdrift {

/// Length of a signature in bytes.
inline constexpr std::size_t signature_bytes = 32;

/// Returns the HMAC-SHA-256 of the payload.
std::string sign(std::string_view payload, const std::string& secret);

/// Returns whether the signature is that of the payload. The time taken does not depend on where
/// the two differ.
bool verify_signature(std::string_view signature, std::string_view payload,
                      const std::string& secret);

/// Length of a short signature in bytes: the first half of a signature. Forging one takes 2^128
/// guesses, each of them a message to a process that knows the secret.
inline constexpr std::size_t short_signature_bytes = 16;

/// Returns whether the short signature is that of the payload. The time taken does not depend on
/// where the two differ.
bool verify_short_signature(std::string_view signature, std::string_view payload,
                            const std::string& secret);

}  // namespace balsamdrift
