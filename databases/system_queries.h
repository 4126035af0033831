#pragma once

#include <optional>
#include <string>

#include "core/sessions/log_position.h"
#include "databases/query_result.h"

namespace balsamdrift {

/// Asks an instance for its role, its term and its positions. Columns: in recovery, received or
/// written LSN, applied LSN, term.
inline constexpr const char* probe_query =
    "SELECT pg_is_in_recovery(),"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END,"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END,"
    " CASE WHEN pg_is_in_recovery()"
    " THEN (SELECT min_recovery_end_timeline FROM pg_control_recovery())"
    " ELSE (SELECT timeline_id FROM pg_control_checkpoint()) END";

/// Makes a replica the primary.
inline constexpr const char* promote_query = "SELECT pg_promote(false)";

/// Forgets everything that an earlier user left on a connection.
inline constexpr const char* reset_query = "DISCARD ALL";

/// What a probe tells.
struct probe_result {
    bool in_recovery = false;
    log_position received;
    log_position applied;
};

/// Reads the answer to probe_query; nothing when it is not of the expected shape.
std::optional<probe_result> parse_probe(const query_result& res);

/// Reads a PostgreSQL LSN such as `16/B374D848`.
std::optional<std::uint64_t> parse_lsn(const std::string& text);

/// Writes an LSN the way PostgreSQL does.
std::string format_lsn(std::uint64_t lsn);

}  // namespace balsamdrift
