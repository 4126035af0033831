#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamdrift {

/// Numbers of all events that processes log. docs/EVENTS.md lists them, and a test compares the
/// two. Numbers are never reused.
enum class event_id : std::uint16_t {
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    settings_reloaded = 1004,
    settings_refused = 1005,
    event_loop_delayed = 1006,
    address_awaited = 1007,
    process_failed = 1008,
    threads_awaited = 1009,

    formation_completed = 2001,
    election_started = 2002,
    leader_elected = 2003,
    leadership_lost = 2004,
    member_joining = 2005,
    member_added = 2006,
    member_removed = 2007,
    snapshot_saved = 2008,
    snapshot_installed = 2009,
    log_tail_discarded = 2010,
    storage_failed = 2011,
    data_folder_set_aside = 2012,
    submission_settled = 2013,
    submission_result_unmatched = 2014,
    fleet_connection_replaced = 2015,
    storage_unavailable = 2016,
    storage_restored = 2017,
    snapshot_postponed = 2018,
    fleet_connection_failed = 2019,

    change_accepted = 3001,
    change_refused = 3002,
    configuration_in_force = 3003,
    entry_registered = 3004,
    entry_expired = 3005,
    item_assigned = 3006,

    lease_acquired = 4001,
    lease_lost = 4002,
    ownership_gained = 4003,
    ownership_released = 4004,
    entry_isolated = 4005,
    entry_in_contact = 4006,

    instance_announced = 5001,
    instance_expired = 5002,
    instance_leaving = 5003,
    instance_unreachable = 5004,
    instance_reachable = 5005,
    primary_recorded = 5006,
    promotion_started = 5007,
    promotion_finished = 5008,
    stale_primary_ignored = 5009,
    connection_discarded = 5010,
    primary_phase_proposed = 5011,
    primary_phase_entered = 5012,
    heartbeat_rejected = 5013,
    instance_status_failed = 5014,
    promotion_answered = 5015,
    commit_holder_missing = 5016,

    caller_request_malformed = 6001,
    transaction_expired = 6002,
    statement_refused = 6003,
    statement_failed = 6004,
    statement_retried = 6005,
    session_refused = 6006,
    session_ended = 6007,
    statement_served = 6008,
    evacuation_in_force = 6009,
    evacuation_ended = 6010,
    service_overloaded = 6012,
    service_recovered = 6013,
    statement_displaced = 6014,
    spill_started = 6017,
    spill_ended = 6018,
    transaction_revoked = 6019,

    declared_configuration_refused = 7001,
    declared_configuration_accepted = 7002,
    declared_configuration_committed = 7003,
    domain_evacuated = 7004,
    domain_restored = 7005,
    evacuation_blocked = 7006,
};

/// Severity of an event, as it appears in the log line.
enum class event_severity : std::uint8_t { info, warning, error };

/// One row of the event catalogue.
struct event_description {
    event_id id;
    std::string_view name;
    event_severity severity;
    /// Sentence that describes the event in docs/EVENTS.md.
    std::string_view meaning;
};

/// All events in numeric order.
const std::vector<event_description>& event_catalogue();

/// The catalogue row of an event.
const event_description& describe(event_id id);

/// A named value attached to an event.
struct event_field {
    std::string_view name;
    std::string value;
};

}  // namespace balsamdrift
