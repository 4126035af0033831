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
    /// Instances that the group has when all are well.
    int instances = 3;
    /// True when a write is acknowledged only once a replica has it.
    bool replicated_acknowledgement = true;
    /// An instance without an announcement for this long is forgotten.
    duration announcement_expiry = seconds(4);
    /// A primary whose probes stay unanswered for this long is replaced.
    duration silence_limit = milliseconds(900);
    /// A primary that refuses connections for this long is replaced.
    duration refusal_limit = milliseconds(300);
    /// A step of a failover that makes no progress for this long is tried again.
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
    time_point answered_at{};
    /// Since when connections are refused, if they are.
    std::optional<time_point> refused_since;
    bool in_recovery = true;
    log_position received;
    log_position applied;
};

/// True when new work may be sent to the instance as far as its connections go.
inline bool accepts_work(const instance_state& it) { return it.reachable && !it.refused_since; }

/// Where a failover stands.
enum class failover_phase : std::uint8_t {
    /// The recorded primary serves, or none is known yet.
    steady,
    /// A new primary is being recorded in the control log.
    recording,
    /// The recorded replica is being promoted.
    promoting,
};

/// A position that the primary had at a known time, for proving the age of replicas.
struct position_sample {
    time_point at{};
    log_position position;
};

/// All that the owner decides about the instances of one group. Changed only by step().
struct group_state {
    failover_options options;
    std::map<std::string, instance_state> instances;
    /// The instance that may act as primary, as recorded in the control log.
    std::string primary;
    std::uint64_t primary_term = 0;
    failover_phase phase = failover_phase::steady;
    std::string candidate;
    time_point phase_since{};
    /// True while the recorded primary takes writes.
    bool primary_serves = false;
    /// No write beyond this position was acknowledged; unknown until the primary answered this
    /// owner.
    std::optional<log_position> acknowledged;
    /// Positions of the primary, oldest first.
    std::deque<position_sample> samples;
    time_point started_at{};
};

/// The state of a group at the moment its owner takes it over.
group_state make_group(const failover_options& options, time_point now);

/// Carries out one event and returns what must be done. Pure: no input but its arguments.
std::vector<group_action> step(group_state& state, const group_event& event, time_point now);

/// How old the data of an instance can be at most, or nothing if that is not proved.
std::optional<duration> staleness_bound(const group_state& state, const std::string& instance,
                                        time_point now);

/// True when a reachable replica has this position, so that it survives the loss of the primary.
bool is_replicated(const group_state& state, const log_position& position);

}  // namespace balsamdrift
