#pragma once

#include <string>
#include <variant>

#include "base/endpoint.h"
#include "base/time.h"
#include "core/sessions/log_position.h"

namespace balsamdrift {

/// An instance announced itself.
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
    /// Newest position that the instance has saved, whether applied or not.
    log_position received;
    /// Newest position that reads on the instance see.
    log_position applied;
    /// When the probe was sent.
    time_point sent_at{};
};

/// The connection to an instance was refused or closed.
struct probe_refused {
    std::string instance;
};

/// The registry has recorded this primary for the group.
struct primary_in_force {
    std::string primary;
    std::uint64_t term = 0;
};

/// A write was acknowledged at this position.
struct write_acknowledged {
    log_position position;
};

/// Periodic timer; drives failure detection, failover and retries.
struct group_ticked {
    /// Writes and transactions running on the primary. A planned switch waits until there are none.
    int writes_in_flight = 0;
};

/// Input of step().
using group_event = std::variant<instance_announced, probe_answered, probe_refused,
                                 primary_in_force, write_acknowledged, group_ticked>;

/// Propose a primary to the control log.
struct propose_primary {
    std::string primary;
    std::uint64_t term = 0;
};

/// Promote an instance to primary.
struct promote_instance {
    std::string instance;
};

/// Close all connections to an instance that is lost, expired or replaced as primary.
struct drop_instance {
    std::string instance;
    /// True when the announcement expired; the instance is then no longer probed.
    bool expired = false;
};

/// The recorded primary now accepts writes.
struct primary_ready {
    std::string instance;
    std::uint64_t term = 0;
};

/// An action that the caller of step() must perform.
using group_action = std::variant<propose_primary, promote_instance, drop_instance, primary_ready>;

}  // namespace balsamdrift
