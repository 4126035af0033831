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

/// The primary says where it stands, and sends what follows `previous_lsn`.
struct replication_stream {
    std::string primary;
    std::uint64_t term = 0;
    /// Position at which the term began.
    std::uint64_t term_start = 0;
    std::uint64_t previous_lsn = 0;
    std::vector<committed_transaction> transactions;
    MSGPACK_DEFINE(primary, term, term_start, previous_lsn, transactions)
};

/// A replica asks for everything after a position.
struct replication_request {
    std::uint64_t after_lsn = 0;
    MSGPACK_DEFINE(after_lsn)
};

/// Changes the behaviour of an instance in the middle of a run.
struct fault_command {
    /// True to ignore callers and other instances as a network partition would.
    bool cut = false;
    /// Announce that the instance leaves.
    bool leaving = false;
    /// New service time in milliseconds; negative to keep it.
    std::int64_t service_ms = -1;
    MSGPACK_DEFINE(cut, leaving, service_ms)
};

/// Any message to an instance, except SQL.
using replication_message = std::variant<replication_stream, replication_request, fault_command>;

}  // namespace balsamdrift::rig
