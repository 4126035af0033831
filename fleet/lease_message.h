#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/consensus/log_entry.h"
#include "core/rates/token_pool.h"
#include "core/registry/records.h"
#include "fleet/entry_report.h"

namespace balsamdrift {

/// An entry asks for its lease and for the configuration after what it has.
struct lease_request {
    std::string entry;
    entry_record record;
    /// Registry index that the entry has in force.
    std::uint64_t index = 0;
    /// Sender's monotonic clock in nanoseconds; echoed by the grant.
    std::int64_t sent_at = 0;
    /// True once the entry stops: it gets no new items.
    bool draining = false;
    /// Filled by entries that run statements themselves.
    entry_report report;
    MSGPACK_DEFINE(entry, record, index, sent_at, draining, report)
};

/// The leader's answer, or a push of new configuration when `sent_at` is zero.
struct lease_grant {
    std::uint64_t incarnation = 0;
    std::int64_t sent_at = 0;
    /// The lease runs this long from when the request was sent; zero grants nothing.
    std::int64_t lease_ms = 0;
    /// Encoded registry, when the entries alone would leave a gap; otherwise empty.
    std::string snapshot;
    /// Committed log entries after the snapshot or after the entry's index.
    std::vector<log_entry> entries;
    entry_instructions instructions;
    /// The leader's registry index. The lease is void until the entry has it in force: a change of
    /// a primary counts as settled for all who hold leases without it.
    std::uint64_t index = 0;
    MSGPACK_DEFINE(incarnation, sent_at, lease_ms, snapshot, entries, instructions, index)
};

/// The asked member does not lead.
struct not_leader {
    /// `address:port` of the leader, if the member knows it.
    std::string leader;
    MSGPACK_DEFINE(leader)
};

/// An owner proposes a command that only it may propose (record_primary, release_item).
struct owner_command {
    /// Encoded registry_command.
    std::string command;
    MSGPACK_DEFINE(command)
};

/// An entry stops for good: its lease ends now.
struct lease_release {
    replica_id entry;
    MSGPACK_DEFINE(entry)
};

/// A control member passes what it heard from an instance on to the leader.
struct relayed_heartbeat {
    instance_heartbeat heartbeat;
    MSGPACK_DEFINE(heartbeat)
};

/// A control member passes an operator's or an instance's command on to the leader.
struct relayed_command {
    std::uint64_t id = 0;
    /// Encoded registry_command; empty asks the leader for the declared configuration.
    std::string command;
    MSGPACK_DEFINE(id, command)
};

/// The leader's answer to a relayed command.
struct relayed_command_result {
    std::uint64_t id = 0;
    /// False when the leader could not settle it; nothing is said about its effect.
    bool settled = false;
    /// The declared configuration, if it was asked for.
    std::string document;
    MSGPACK_DEFINE(id, settled, document)
};

/// An instance said goodbye; the leader drops it from the directory.
struct relayed_deregistration {
    std::string instance;
    MSGPACK_DEFINE(instance)
};

/// An entry that is cut off from control asks through another entry, which passes this on.
struct relayed_lease_request {
    /// Fleet address of the entry that asks.
    std::string origin;
    lease_request request;
    MSGPACK_DEFINE(origin, request)
};

/// The leader's answer to it, on its way back through the same entry.
struct relayed_lease_grant {
    std::string origin;
    lease_grant grant;
    MSGPACK_DEFINE(origin, grant)
};

/// An entry asks for tokens of customers' rates.
struct rate_token_request {
    replica_id entry;
    /// Fleet address of the entry that asks, while another entry passes it on; otherwise empty.
    std::string origin;
    std::uint64_t number = 0;
    token_asks requests;
    /// Control's answers did not come lately.
    bool isolated = false;
    MSGPACK_DEFINE(entry, origin, number, requests, isolated)
};

/// The leader's answer to it.
struct rate_token_grant {
    replica_id entry;
    std::string origin;
    std::uint64_t number = 0;
    token_shares shares;
    MSGPACK_DEFINE(entry, origin, number, shares)
};

/// Any message between entries and control, and between control members besides the log.
using lease_message =
    std::variant<lease_request, lease_grant, not_leader, owner_command, lease_release,
                 relayed_heartbeat, relayed_command, relayed_command_result, relayed_deregistration,
                 relayed_lease_request, relayed_lease_grant, rate_token_request, rate_token_grant>;

}  // namespace balsamdrift
