#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fleet/fleet_message.h"

namespace balsamdrift {

/// Encodes and signs a frame. There are two formats:
/// - full: a signature of 32 bytes, then the encoded fleet_frame. All builds read it.
/// - short: a byte that marks the format, a short signature, then an array in which the sender is
///   its IPv4 address and port in 6 bytes and the received stamp is relative to the frame's own.
/// `short_format` requests the short one, for receivers that are known to read it. It is used only
/// if it can represent the frame. Neither depends on earlier frames, so a peer that restarts reads
/// the next one.
std::string encode_frame(const fleet_frame& frame, bool short_format, const std::string& secret);

/// Decodes a frame of either format. Not set if it is malformed or not signed with the secret.
std::optional<fleet_frame> decode_frame(std::string_view bytes, const std::string& secret);

}  // namespace balsamdrift
