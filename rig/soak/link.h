#pragma once

#include "base/time.h"

namespace balsamdrift::soak {

/// How the connections of one peer are disturbed. It is applied at the stand-ins' end: bytes are
/// neither read nor written while a direction is silent, as on a network path that drops packets.
struct link {
    bool silent_in = false;
    bool silent_out = false;
    /// Connections that were open at this time stay silent for good; new ones work.
    time_point dead_before{};
    /// The stand-in ends a connection after this time of such silence. By the protocol an instance
    /// drops one whose far end is dark after 3 s, so that it no longer counts as a connection.
    duration drops_dead_after = duration::max();
    /// Added to what is sent.
    duration delay{};
};

inline bool is_disturbed(const link& it)
{
    return it.silent_in || it.silent_out || it.delay > duration::zero();
}

}  // namespace balsamdrift::soak
