#pragma once

#include <msgpack.hpp>
#include <string>

#include "core/consensus/replica_id.h"

namespace balsamdrift {

/// Envelope of the messages on the consensus channel.
struct consensus_frame {
    replica_id from;
    replica_id to;
    std::string message;
    MSGPACK_DEFINE(from, to, message)
};

}  // namespace balsamdrift
