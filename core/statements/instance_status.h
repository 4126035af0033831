#pragma once

#include <cstdint>

#include "core/sessions/log_position.h"

namespace balsamdrift {

/// An instance's answer to a status statement.
struct instance_status {
    bool is_primary = false;
    /// Highest term that the instance knows of.
    std::uint64_t term = 0;
    /// Newest position that it has received.
    log_position received;
};

}  // namespace balsamdrift
