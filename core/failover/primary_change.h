#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "core/instances/instance_directory.h"
#include "core/registry/primary_record.h"
#include "core/statements/instance_status.h"

namespace balsamdrift {

/// Settings of failover.
struct primary_change_options {
    /// A primary whose heartbeat is overdue for this long is asked for its status.
    duration heartbeat_overdue = milliseconds(2000);
    /// Word of an entry that the primary fails counts for this long.
    duration evidence_lifetime = milliseconds(1000);
    /// An entry that was served by the primary within this time vouches for it.
    duration vouched_for = milliseconds(700);
    /// Failed status questions in a row before a primary is held to be lost.
    int failed_probes = 2;
    duration probe_interval = milliseconds(250);
    /// After an answered question nothing is asked for this long.
    duration probe_pause = milliseconds(1500);
    /// A replica must have been heard within this time to be chosen.
    duration replica_freshness = milliseconds(4000);
    /// How long the most advanced replica is looked for before the best known one is taken.
    duration choice_patience = milliseconds(600);
    /// How long a planned change waits for a replica to receive everything.
    duration handover_patience = milliseconds(1500);
    /// An unanswered or refused order to the platform is repeated after this.
    duration promote_retry = milliseconds(250);
    /// An accepted order without effect is repeated after this.
    duration promote_patience = milliseconds(4000);
    /// A promotion is confirmed by a status question at these intervals.
    duration confirm_interval = milliseconds(400);
};

/// What the coordinator of a service knows while it leads; lost with the leader and gathered anew.
struct primary_change_state {
    std::uint64_t epoch = 0;
    time_point phase_since{};
    time_point failing_reported_at{};
    time_point vouched_at{};
    int failed_probes = 0;
    std::map<std::string, time_point> asked_at;
    std::map<std::string, instance_status> answers;
    std::set<std::string> excluded;
    std::optional<time_point> promote_sent_at;
    bool promote_in_flight = false;
    bool promote_accepted = false;
    /// Epoch for which a change was proposed and not seen yet.
    std::optional<time_point> proposed_at;
    std::uint64_t newest_term = 0;
};

/// What a step looks at besides its own state.
struct primary_change_view {
    std::string service;
    primary_record record;
    /// Instances of the service.
    std::vector<known_instance> instances;
    /// Every entry has the record in force and none still runs work under an earlier one.
    bool entries_settled = false;
    /// Replicas that must have received a commit before it is acknowledged.
    int synchronous_replicas = 0;
};

/// Propose the next phase of the record.
struct propose_phase {
    std::string instance;
    primary_phase phase = primary_phase::serving;
    bool planned = false;
};

/// Ask an instance for its status.
struct request_status {
    std::string instance;
};

/// Ask the platform to promote an instance.
struct request_promotion {
    std::string instance;
};

/// Tell an instance that still believes to be primary that a newer term began.
struct request_step_down {
    std::string instance;
    std::uint64_t term = 0;
};

using primary_action =
    std::variant<propose_phase, request_status, request_promotion, request_step_down>;

/// Says what to do next for one service. Called often, and after each note below.
std::vector<primary_action> advance(primary_change_state& state, const primary_change_view& view,
                                    const primary_change_options& options, time_point now);

/// An entry reported how it fares with an instance that it takes for the primary.
/// `served_ago` is the time since the instance last served it, if it did.
void handle_entry_report(primary_change_state& state, const primary_record& record,
                         const std::string& instance, bool failing,
                         std::optional<duration> served_ago, time_point now);

/// A status question was answered, or was not: the instance refused, or was silent.
void handle_status_answer(primary_change_state& state, const std::string& instance,
                          const std::optional<instance_status>& answer);

/// How the platform answered an order to promote.
enum class promotion_answer : std::uint8_t {
    accepted,
    /// The instance does not run, or cannot be promoted.
    rejected,
    /// No clear answer; the order may be repeated.
    unclear,
};

/// The platform answered.
void handle_promotion_answer(primary_change_state& state, const std::string& instance,
                             promotion_answer answer);

}  // namespace balsamdrift
