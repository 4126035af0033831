#pragma once

#include <string>
#include <variant>

#include "base/endpoint.h"
#include "base/time.h"
#include "core/sessions/log_position.h"

namespace balsamdrift {

/// An instance said that it is there.
struct instance_announced {
    std::string instance;
    endpoint address;
    std::string failure_domain;
    bool leaving = false;
};

/// An instance answered a probe.
struct probe_answered {
    std::string instance;
    /// True while the instance follows a primary.
    bool in_recovery = false;
    /// What the instance has saved, applied or not.
    log_position received;
    /// What reads on the instance see.
    log_position applied;
    /// When the probe was sent.
    time_point sent_at{};
};

/// The connection to an instance was refused or closed.
struct probe_refused {
    std::string instance;
};

/// The registry names this primary for the group.
struct primary_in_force {
    std::string primary;
    std::uint64_t term = 0;
};

/// A write was acknowledged at this position.
struct write_acknowledged {
    log_position position;
};

/// Time has passed.
struct group_ticked {
    /// Writes and transactions under way on the primary; a planned switch waits for them.
    int writes_in_flight = 0;
};

/// Anything that can happen to a database group.
using group_event = std::variant<instance_announced, probe_answered, probe_refused,
                                 primary_in_force, write_acknowledged, group_ticked>;

/// Ask the control log to record a primary.
struct propose_primary {
    std::string primary;
    std::uint64_t term = 0;
};

/// Ask an instance to become the primary.
struct promote_instance {
    std::string instance;
};

/// Close all connections to an instance: it is lost, expired or replaced.
struct drop_instance {
    std::string instance;
    bool forget = false;
};

/// The group has a primary that takes writes.
struct primary_ready {
    std::string instance;
    std::uint64_t term = 0;
};

/// What a step of the group asks for.
using group_action = std::variant<propose_primary, promote_instance, drop_instance, primary_ready>;

}  // namespace balsamdrift
