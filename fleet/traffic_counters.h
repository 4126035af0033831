#pragma once

#include <cstdint>
#include <string_view>

#include "fleet/fleet_message.h"

namespace balsamdrift {

enum class traffic_direction : std::uint8_t { sent, received };

/// Name of the type of a message by its channel and encoded body, as in the `type` label of the
/// counters; `unknown` if this build does not know the type.
std::string_view message_type_name(fleet_channel channel, std::string_view body);

/// Adds a message of `bytes` on the wire to `balsamdrift_fleet_bytes_total` and
/// `balsamdrift_fleet_messages_total`. The headers of nng, TCP and IP are not included. May be
/// called from any thread.
void count_message(traffic_direction direction, fleet_channel channel, std::string_view body,
                   std::uint64_t bytes);

}  // namespace balsamdrift
