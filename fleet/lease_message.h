#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/consensus/log_entry.h"
#include "core/rates/token_pool.h"
#include "core/registry/records.h"
#include "fleet/entry_report.h"
#include "fleet/report_delta.h"

namespace balsamdrift {

/// An entry requests or renews its lease, and requests configuration newer than its own.
struct lease_request {
    std::string entry;
    entry_record record;
    /// Registry index that is in force on the entry.
    std::uint64_t index = 0;
    /// Sender's monotonic clock in nanoseconds; the grant returns it unchanged.
    std::int64_t sent_at = 0;
    /// True once the entry is stopping: it is assigned no new items.
    bool draining = false;
    /// Set by entries that run statements themselves.
    entry_report report;
    // Differences between reports (lease_renewal).
    /// Number of the report, which later renewals may refer to; zero if they will not.
    std::uint64_t report_number = 0;
    MSGPACK_DEFINE(entry, record, index, sent_at, draining, report, report_number)
};

/// The leader's answer to a lease_request, or unrequested new configuration if `sent_at` is zero.
struct lease_grant {
    std::uint64_t incarnation = 0;
    std::int64_t sent_at = 0;
    /// Length of the lease, counted from when the request was sent; zero if none is granted.
    std::int64_t lease_ms = 0;
    /// Encoded registry, if `entries` would leave a gap after the entry's index; otherwise empty.
    std::string snapshot;
    /// Committed log entries after the snapshot or after the entry's index.
    std::vector<log_entry> entries;
    entry_instructions instructions;
    /// The leader's registry index. The entry takes the lease only once this index is in force on
    /// it; otherwise it could serve under a primary record whose change the leader considers
    /// settled.
    std::uint64_t index = 0;
    // Differences between reports (lease_renewal).
    /// Number of the report that the leader has now; zero if it keeps none.
    std::uint64_t confirmed_report = 0;
    /// In answer to a renewal: the shares, in place of those in `instructions`.
    share_changes shares;
    MSGPACK_DEFINE(incarnation, sent_at, lease_ms, snapshot, entries, instructions, index,
                   confirmed_report, shares)
};

/// A control member that is not the leader refuses a request.
struct not_leader {
    /// `address:port` of the leader; empty if the member does not know it.
    std::string leader;
    MSGPACK_DEFINE(leader)
};

/// An owner proposes a command that only the owner may propose (record_primary, release_item).
struct owner_command {
    /// Encoded registry_command.
    std::string command;
    MSGPACK_DEFINE(command)
};

/// A stopping entry releases its lease before it expires.
struct lease_release {
    replica_id entry;
    MSGPACK_DEFINE(entry)
};

/// A control member forwards an instance's heartbeat to the leader.
struct relayed_heartbeat {
    instance_heartbeat heartbeat;
    /// Matches the leader's relayed_command_result to the heartbeat. Zero if no result is expected;
    /// builds without this member send none.
    std::uint64_t id = 0;
    MSGPACK_DEFINE(heartbeat, id)
};

/// A control member forwards an operator's or an instance's command to the leader.
struct relayed_command {
    /// Matches the result to the command. No two processes of a member use the same.
    std::uint64_t id = 0;
    /// Encoded registry_command; if empty, the declared configuration is requested.
    std::string command;
    MSGPACK_DEFINE(id, command)
};

/// The leader's answer to a relayed_command or relayed_heartbeat.
struct relayed_command_result {
    std::uint64_t id = 0;
    /// False when the leader does not know the command's result; it may have taken effect or not.
    bool settled = false;
    /// The declared configuration, if it was requested.
    std::string document;
    /// Why the leader refused the command, of which nothing is kept; empty if it did not.
    std::string refusal;
    MSGPACK_DEFINE(id, settled, document, refusal)
};

/// A control member forwards an instance's deregistration; the leader removes the instance from
/// the directory.
struct relayed_deregistration {
    std::string instance;
    /// Start of the incarnation that deregistered; a later one stays. Builds without this member
    /// send none, and their deregistrations then remove only instances that report no start.
    std::int64_t born_ms = 0;
    MSGPACK_DEFINE(instance, born_ms)
};

/// Lease request of an entry that cannot reach control, forwarded by another entry.
struct relayed_lease_request {
    /// Fleet address of the requesting entry.
    std::string origin;
    lease_request request;
    MSGPACK_DEFINE(origin, request)
};

/// The leader's answer to a relayed_lease_request, returned through the same entry.
struct relayed_lease_grant {
    /// Fleet address of the requesting entry.
    std::string origin;
    lease_grant grant;
    MSGPACK_DEFINE(origin, grant)
};

/// An entry requests tokens from the pools of customers' rates.
struct rate_token_request {
    replica_id entry;
    /// Fleet address of the requesting entry if another entry forwards the request; otherwise
    /// empty.
    std::string origin;
    /// Chosen by the entry; matches the grant to the request.
    std::uint64_t number = 0;
    customer_token_requests requests;
    /// True when control has not answered recently; see entry_report::isolated.
    bool isolated = false;
    MSGPACK_DEFINE(entry, origin, number, requests, isolated)
};

/// The leader's answer to a rate_token_request.
struct rate_token_grant {
    replica_id entry;
    std::string origin;
    std::uint64_t number = 0;
    customer_token_grants grants;
    MSGPACK_DEFINE(entry, origin, number, grants)
};

/// Renews the lease like a lease_request, relative to a report that the leader has confirmed. Sent
/// only to the control member that confirmed it, so builds without this message never receive it.
struct lease_renewal {
    std::uint64_t incarnation = 0;
    std::uint64_t index = 0;
    std::int64_t sent_at = 0;
    bool draining = false;
    report_delta report;
    /// address_list_checksum() of the control members that the entry knows. The grant names them
    /// only if it differs.
    std::uint32_t control_checksum = 0;
    MSGPACK_DEFINE(incarnation, index, sent_at, draining, report, control_checksum)
};

/// The leader lacks the base of a renewal's report. The entry sends a lease_request.
struct renewal_refused {
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(incarnation)
};

/// Any message on fleet_channel::lease: between entries and control, and between control members
/// other than consensus messages.
using lease_message =
    std::variant<lease_request, lease_grant, not_leader, owner_command, lease_release,
                 relayed_heartbeat, relayed_command, relayed_command_result, relayed_deregistration,
                 relayed_lease_request, relayed_lease_grant, rate_token_request, rate_token_grant,
                 lease_renewal, renewal_refused>;

}  // namespace balsamdrift
