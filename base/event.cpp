#include "base/event.h"

#include <algorithm>

#include "base/invariant.h"

namespace balsamdrift {

const std::vector<event_description>& event_catalogue()
{
    using enum event_severity;
    static const std::vector<event_description> rows{
        {event_id::process_started, "process_started", info,
         "The process has started and is serving."},
        {event_id::process_stopping, "process_stopping", info,
         "A stop was requested; no new work is taken."},
        {event_id::process_stopped, "process_stopped", info,
         "All work in flight has ended and the process exits."},
        {event_id::settings_reloaded, "settings_reloaded", info,
         "The settings were reloaded and are in force."},
        {event_id::settings_refused, "settings_refused", error,
         "The reloaded settings were refused; the previous ones stay in force."},
        {event_id::formation_completed, "formation_completed", info,
         "All control members started without data and agreed on the initial membership."},
        {event_id::election_started, "election_started", info,
         "The control member requests votes from the other members."},
        {event_id::leader_elected, "leader_elected", info,
         "The control member won an election and is the leader."},
        {event_id::leadership_lost, "leadership_lost", warning,
         "The control member is no longer the leader."},
        {event_id::member_joining, "member_joining", warning,
         "A control member with an empty data folder requests to be added."},
        {event_id::member_added, "member_added", info,
         "A membership entry in the control log added a member."},
        {event_id::member_removed, "member_removed", warning,
         "A membership entry in the control log removed a member."},
        {event_id::snapshot_saved, "snapshot_saved", info,
         "A snapshot of the registry was saved and the log up to it was discarded."},
        {event_id::snapshot_installed, "snapshot_installed", info,
         "A snapshot received from the leader replaced the local state."},
        {event_id::log_tail_discarded, "log_tail_discarded", warning,
         "The log on disk ended in an incomplete record, which was truncated."},
        {event_id::storage_failed, "storage_failed", error,
         "A write to the data folder failed; the member stops participating."},
        {event_id::change_accepted, "change_accepted", info,
         "A change by an operator was committed."},
        {event_id::change_refused, "change_refused", warning,
         "A change by an operator was refused."},
        {event_id::configuration_in_force, "configuration_in_force", info,
         "This version of the configuration is in force on the entry."},
        {event_id::entry_registered, "entry_registered", info,
         "An entry process registered with the control leader."},
        {event_id::entry_expired, "entry_expired", warning,
         "The lease of an entry expired; the items that it owned are reassigned."},
        {event_id::item_assigned, "item_assigned", info,
         "A database group or customer shard was assigned to a new owner."},
        {event_id::lease_acquired, "lease_acquired", info, "The entry holds its lease and serves."},
        {event_id::lease_lost, "lease_lost", error,
         "The entry's lease expired; keyed requests are refused until it is renewed."},
        {event_id::ownership_gained, "ownership_gained", info,
         "The entry became the owner of this item in the given epoch."},
        {event_id::ownership_released, "ownership_released", info,
         "The entry no longer owns this item."},
        {event_id::instance_announced, "instance_announced", info,
         "A database instance announced itself for the first time."},
        {event_id::instance_expired, "instance_expired", warning,
         "An instance stopped announcing itself and was removed."},
        {event_id::instance_leaving, "instance_leaving", info,
         "An instance announced that it is leaving; it gets no new work."},
        {event_id::instance_unreachable, "instance_unreachable", warning,
         "An instance did not answer its probes in time."},
        {event_id::instance_reachable, "instance_reachable", info,
         "An instance answers its probes again."},
        {event_id::primary_recorded, "primary_recorded", info,
         "The control log names this instance as the group's primary."},
        {event_id::promotion_started, "promotion_started", warning,
         "The promotion of a replica to primary was requested."},
        {event_id::promotion_finished, "promotion_finished", info,
         "The replica answers as primary with a new term."},
        {event_id::stale_primary_ignored, "stale_primary_ignored", warning,
         "A replaced primary announced itself; it gets no work."},
        {event_id::connection_discarded, "connection_discarded", warning,
         "A database connection was closed because its state was unknown."},
        {event_id::caller_request_malformed, "caller_request_malformed", info,
         "A caller's request could not be parsed."},
        {event_id::primary_phase_proposed, "primary_phase_proposed", warning,
         "The coordinator proposed a new phase for the record of a service's primary."},
        {event_id::primary_phase_entered, "primary_phase_entered", warning,
         "The record of a service's primary changed; entries act on it."},
        {event_id::heartbeat_rejected, "heartbeat_rejected", warning,
         "A heartbeat was malformed or older than the last one accepted."},
        {event_id::instance_status_failed, "instance_status_failed", warning,
         "An instance did not answer a status query."},
        {event_id::promotion_answered, "promotion_answered", info,
         "The platform answered a promotion request."},
        {event_id::transaction_expired, "transaction_expired", warning,
         "A transaction was idle for too long and was rolled back."},
        {event_id::statement_refused, "statement_refused", info,
         "A statement was refused before it ran; the fields give the reason and when to retry."},
        {event_id::statement_failed, "statement_failed", warning,
         "A statement failed after it was sent to an instance."},
        {event_id::statement_retried, "statement_retried", info,
         "A statement that did not run, or only reads, is retried on another instance."},
        {event_id::session_refused, "session_refused", info,
         "A caller's session was refused at its start."},
        {event_id::session_ended, "session_ended", info,
         "A session was ended by the VM, not by its caller."},
        {event_id::statement_served, "statement_served", info,
         "A statement succeeded; only a sample of these is logged."},
        {event_id::declared_configuration_refused, "declared_configuration_refused", warning,
         "A declared configuration is invalid; no part of it was applied."},
        {event_id::declared_configuration_accepted, "declared_configuration_accepted", info,
         "A declared configuration is durable and was acknowledged."},
    };
    return rows;
}

const event_description& describe(event_id id)
{
    const auto& rows = event_catalogue();
    const auto it = std::find_if(rows.begin(), rows.end(),
                                 [&](const event_description& row) { return row.id == id; });
    BALSAMDRIFT_INVARIANT(it != rows.end());
    return *it;
}

}  // namespace balsamdrift
