#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/failover/group_event.h"

namespace balsamdrift {

/// Settings of failure detection and promotion.
struct failover_options {
    /// Number of instances of the complete group.
    int instances = 3;
    /// True when a write is acknowledged only after a replica has received it.
    bool replicated_acknowledgement = true;
    /// An unreachable instance without an announcement for this long is removed.
    duration announcement_expiry = seconds(4);
    /// An instance that has not answered a probe for this long is lost; a lost primary is replaced.
    duration answer_timeout = milliseconds(900);
    /// An instance that has refused connections for this long is lost.
    duration refusal_timeout = milliseconds(300);
    /// A failover phase that makes no progress for this long is retried.
    duration retry_interval = milliseconds(700);
};

/// What the owner of a group knows about one instance.
struct instance_state {
    endpoint address;
    std::string failure_domain;
    bool leaving = false;
    time_point announced_at{};
    /// True from the first answer until the instance is lost.
    bool reachable = false;
    /// When the newest answered probe was sent.
    time_point answered_probe_sent_at{};
    /// Since when the instance has refused connections, if it does.
    std::optional<time_point> refused_since;
    /// True while the instance follows a primary.
    bool in_recovery = true;
    /// Newest position that the instance has saved, whether applied or not.
    log_position received;
    /// Newest position that reads on the instance see.
    log_position applied;
};

/// True when statements can be sent to the instance: it answers probes and has not refused a
/// connection since. Independent of its role and of the age of its data.
inline bool accepts_work(const instance_state& it) { return it.reachable && !it.refused_since; }

/// Progress of a failover.
enum class failover_phase : std::uint8_t {
    /// No failover is in progress: the recorded primary serves, or none is known yet.
    steady,
    /// A new primary was proposed to the control log and is not recorded yet.
    recording,
    /// The recorded replica is being promoted.
    promoting,
};

/// The position of the primary at a known time. Bounds the staleness of replicas.
struct primary_position_sample {
    time_point at{};
    log_position position;
};

/// What the owner of a group knows about its instances and primary. Changed only by step().
struct group_state {
    failover_options options;
    std::map<std::string, instance_state> instances;
    /// The instance that may act as primary, as recorded in the control log.
    std::string primary;
    /// Lowest term in which the recorded primary may serve.
    std::uint64_t primary_term = 0;
    failover_phase phase = failover_phase::steady;
    /// The instance that is being recorded or promoted; empty in the steady phase.
    std::string candidate;
    time_point phase_since{};
    /// True while the recorded primary accepts writes.
    bool primary_serves = false;
    /// No write beyond this position has been acknowledged. Unknown until the primary has answered
    /// a probe of this owner.
    std::optional<log_position> acknowledged;
    /// Positions of the primary, oldest first.
    std::deque<primary_position_sample> samples;
    /// When this owner took the group over.
    time_point started_at{};
};

/// Creates the state of a group at the moment its owner takes it over.
group_state make_group(const failover_options& options, time_point now);

/// Handles one event and returns the actions that the caller must perform. Depends on nothing but
/// its arguments.
std::vector<group_action> step(group_state& state, const group_event& event, time_point now);

/// Upper bound on the age of an instance's data; nothing if the instance is unreachable or it
/// has not applied any of the sampled positions of the primary.
std::optional<duration> staleness_bound(const group_state& state, const std::string& instance,
                                        time_point now);

/// True when a reachable replica has received this position, so that the write survives the loss of
/// the primary.
bool is_replicated(const group_state& state, const log_position& position);

}  // namespace balsamdrift
