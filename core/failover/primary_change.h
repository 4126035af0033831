#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "core/failover/commit_holder.h"
#include "core/failover/holder_tracking.h"
#include "core/instances/instance_directory.h"
#include "core/registry/primary_record.h"
#include "core/statements/instance_status.h"

namespace balsamdrift {

/// Timeouts and intervals of a change of primary.
struct primary_change_options {
    /// The status of a primary whose last heartbeat is older than this is requested.
    duration heartbeat_timeout = milliseconds(2000);
    /// How long an entry's report that the primary fails is taken into account.
    duration failure_report_lifetime = milliseconds(1000);
    /// A primary that served an entry within this time is not considered lost.
    duration last_served_lifetime = milliseconds(700);
    /// Consecutive failed status requests after which a primary is considered lost.
    int failed_status_request_limit = 2;
    /// Interval between status requests to an instance whose state is not known.
    duration status_interval = milliseconds(250);
    /// Interval between status requests to a primary that answers them, and between step-down
    /// requests to a stale primary.
    duration slow_status_interval = milliseconds(1500);
    /// A replica whose last heartbeat is older than this cannot become primary.
    duration replica_heartbeat_timeout = milliseconds(4000);
    /// Without synchronous replicas, how long to wait for the status of every replica before the
    /// most advanced one of those that answered is chosen.
    duration selection_timeout = milliseconds(600);
    /// How long a planned change waits for a replica to receive all that the old primary has.
    duration handover_timeout = milliseconds(1500);
    /// With synchronous replicas, how long an instance that may hold an acknowledged commit is
    /// waited for after it left the directory, which a silent one does after 15 s, and was last
    /// heard. Partitions of up to 20 s are expected to heal.
    duration holder_timeout = seconds(15);
    /// After a change of the number of synchronous replicas, how long instances may still
    /// acknowledge commits by the earlier number. A configuration is in force 4 s after its
    /// acknowledgement at the latest.
    duration replication_change_time = seconds(5);
    /// A promotion request that the platform did not clearly accept is repeated after this.
    duration promotion_retry_interval = milliseconds(250);
    /// A promotion request that was accepted but has no effect is repeated after this.
    duration promotion_effect_timeout = milliseconds(4000);
    /// A promotion takes effect within this time after the platform accepted it, or not at all. The
    /// platform needs some hundred milliseconds.
    duration promotion_effect_limit = milliseconds(2000);
    /// A promotion request without a clear answer may still be carried out for this long: twice the
    /// time after which a request to a slow platform is given up.
    duration unclear_promotion_lifetime = milliseconds(4000);
    /// Time after which a request to the platform is given up (platform_client).
    duration promotion_request_timeout = milliseconds(2000);
    /// Time until the first status request that confirms a promotion, and interval between them.
    duration confirmation_interval = milliseconds(400);
};

/// Requests to the platform for the promotion of the chosen instance.
struct promotion_progress {
    /// When the newest request was sent.
    std::optional<time_point> requested_at;
    /// True while the newest request has no answer.
    bool awaiting_answer = false;
    /// True if the newest request was accepted.
    bool accepted = false;
    /// When a request was last accepted.
    std::optional<time_point> accepted_at;
    /// Number of requests. A new leader that finds the instance chosen counts those of the earlier
    /// leader as two, since it may have repeated its request.
    int requests = 0;
    /// When a request last ended without a clear answer. A new leader starts with the time at which
    /// it found the instance chosen, because a request of the earlier leader may be under way.
    std::optional<time_point> unclear_at;
};

/// How many copies of acknowledged commits the leader may count on.
struct commit_copies {
    /// The declared number of synchronous replicas, and since when this leader has known it.
    int declared = 0;
    time_point declared_since{};
    /// Each acknowledged commit is held by at least so many of the recorded holders besides the
    /// primary. A new leader does not know with which number earlier commits were acknowledged.
    int guaranteed = 1;
};

/// What the leader of the control group knows about the primary of one service. Not replicated: a
/// new leader starts with an empty state and collects it again.
struct primary_change_state {
    /// Epoch of the primary record that this state belongs to.
    std::uint64_t epoch = 0;
    /// Start of the phase; while a successor is chosen, the time at which all entries had settled.
    time_point phase_since{};
    /// When an entry last reported that the primary fails.
    time_point failure_reported_at{};
    /// The latest time at which the primary is known to have served an entry.
    time_point last_served_at{};
    /// Consecutive failed status requests, by instance.
    std::map<std::string, int> failed_status_requests;
    /// When the newest status or step-down request was sent, by instance.
    std::map<std::string, time_point> status_requested_at;
    /// The newest status of each instance in this phase.
    balsamdrift::status_answers status_answers;
    /// Start of the incarnation that each instance reported last.
    std::map<std::string, std::int64_t> born_ms;
    holder_tracking holders;
    commit_copies copies;
    /// When holders were last proposed to be recorded.
    std::optional<time_point> holders_proposed_at;
    /// Since when the serving primary has been leaving.
    std::optional<time_point> leaving_since;
    /// True once it was reported in this phase that the choice waits for a holder.
    bool missing_holder_reported = false;
    /// Replicas that could not be promoted. They are tried again once no other replica is left.
    std::set<std::string> excluded_replicas;
    promotion_progress promotion;
    /// Until when the platform may still promote an instance whose change of primary is over, by
    /// instance. It was requested again before the first request took effect.
    std::map<std::string, time_point> late_promotions;
    /// True if the chosen instance has started again since, perhaps without its log.
    bool chosen_restarted = false;
    /// When the next phase was proposed, until the record enters it.
    std::optional<time_point> proposed_at;
    /// Highest term that an instance reported.
    std::uint64_t newest_term = 0;
    /// True if another instance than the predecessor may have been promoted during this change.
    bool other_may_be_promoted = false;
    /// True once an evacuation that lacks a successor was reported, until it has one or ends.
    bool blocked_evacuation_reported = false;
};

/// Input of advance() besides the state.
struct primary_change_view {
    std::string service;
    primary_record record;
    std::vector<known_instance> instances;
    /// True when every entry has the record in force and none still runs work under an earlier one.
    bool entries_settled = false;
    /// Replicas that must have received a commit before it is acknowledged.
    int synchronous_replicas = 0;
    /// The recorded instances that may hold acknowledged commits. Maintained only where there are
    /// synchronous replicas.
    commit_holders holders;
    /// Names of the instances in evacuated failure domains. A primary among them is replaced by a
    /// planned change, and none of them is chosen as successor.
    std::set<std::string> evacuated;
};

/// Action: propose a new phase of the primary record to the control log.
struct propose_phase {
    std::string instance;
    primary_phase phase = primary_phase::serving;
    bool planned = false;
    /// Highest term that an instance reported.
    std::uint64_t newest_term = 0;
    /// See primary_record.
    std::string late_promotion;
};

/// Action: request the status of an instance.
struct request_status {
    std::string instance;
};

/// Action: request the status of a holder that is not in the directory, at its recorded address.
struct request_holder_status {
    commit_holder holder;
};

/// Action: request the promotion of an instance from the platform.
struct request_promotion {
    std::string instance;
};

/// Action: request an instance that still reports itself as primary to step down, because a newer
/// term has begun.
struct request_step_down {
    std::string instance;
    std::uint64_t term = 0;
};

/// Action: warn that no instance outside the evacuated failure domains can succeed the recorded
/// primary. The record stays until one can.
struct report_blocked_evacuation {
    std::string instance;
};

/// Action: propose the instances that may hold acknowledged commits to the control log.
struct propose_holders {
    commit_holders holders;
};

/// Action: warn that no successor is chosen because an instance that may hold an acknowledged
/// commit has not answered.
struct report_missing_holder {
    std::string instance;
};

/// An action that the caller of advance() must perform.
using primary_action = std::variant<propose_phase, request_status, request_holder_status,
                                    request_promotion, request_step_down, report_blocked_evacuation,
                                    propose_holders, report_missing_holder>;

/// Decides what to do next for the primary of one service. Must be called periodically; the
/// functions below only update the state for the next call.
std::vector<primary_action> advance(primary_change_state& state, const primary_change_view& view,
                                    const primary_change_options& options, time_point now);

/// Handles an entry's report on an instance that it uses as primary; reports on any other instance
/// than the recorded one are ignored. `since_last_served` is the time since the instance last
/// served the entry, if it did.
void handle_entry_report(primary_change_state& state, const primary_record& record,
                         const std::string& instance, bool failing,
                         std::optional<duration> since_last_served, time_point now);

/// Handles the answer to a status request that was sent at `requested_at`. No answer means that the
/// instance refused the request or did not reply in time.
void handle_status_answer(primary_change_state& state, const std::string& instance,
                          const std::optional<instance_status>& answer, time_point requested_at);

/// Why a status request has no answer.
enum class status_failure : std::uint8_t {
    /// The instance refused the request or did not reply in time.
    no_answer,
    /// The machine at the address answered, and the instance does not run there.
    not_running,
};

/// Result of a status request.
using status_result = std::variant<status_failure, instance_status>;

/// Handles the result of a request to a holder that is not in the directory, sent at
/// `requested_at`.
void handle_holder_status(primary_change_state& state, const commit_holder& holder,
                          const status_result& result, time_point requested_at, time_point now);

/// How the platform answered a promotion request.
enum class promotion_answer : std::uint8_t {
    accepted,
    /// The instance is not running or cannot be promoted.
    rejected,
    /// No answer, or an error that leaves open whether the request was accepted; it may be
    /// repeated.
    unclear,
    /// The platform did not receive the request or refused to handle it now; it may be repeated.
    not_executed,
};

/// Number of status requests to the instance that failed since its last answer.
int failed_status_requests(const primary_change_state& state, const std::string& instance);

/// Handles the platform's answer to a promotion request; excludes the instance if it was rejected.
void handle_promotion_answer(primary_change_state& state, const std::string& instance,
                             promotion_answer answer, time_point now);

}  // namespace balsamdrift
