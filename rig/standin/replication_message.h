#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "rig/standin/sql_engine.h"

namespace balsamdrift::rig {

/// A committed transaction in the history of a group.
struct committed_transaction {
    std::uint64_t lsn = 0;
    std::vector<replayed_statement> statements;
    MSGPACK_DEFINE(lsn, statements)
};

/// Sent by the primary: its term and the transactions that follow `previous_lsn`. Also sent without
/// transactions, as a heartbeat.
struct replication_stream {
    std::string primary;
    std::uint64_t term = 0;
    /// Position at which the term began.
    std::uint64_t term_start = 0;
    std::uint64_t previous_lsn = 0;
    std::vector<committed_transaction> transactions;
    MSGPACK_DEFINE(primary, term, term_start, previous_lsn, transactions)
};

/// Sent by a replica that misses transactions: requests those after a position.
struct replication_request {
    std::uint64_t after_lsn = 0;
    MSGPACK_DEFINE(after_lsn)
};

/// Changes the behaviour of an instance during a test. Each command sets `cut` and `leaving` anew.
struct fault_command {
    /// Whether the instance ignores clients and other instances, as in a network partition.
    bool cut = false;
    /// Whether its announcements say that it leaves.
    bool leaving = false;
    /// New service time in milliseconds; negative to keep it.
    std::int64_t service_ms = -1;
    MSGPACK_DEFINE(cut, leaving, service_ms)
};

/// Any message to an instance except those of SQL sessions.
using replication_message = std::variant<replication_stream, replication_request, fault_command>;

}  // namespace balsamdrift::rig
