#pragma once

#include <optional>
#include <string>

#include "core/sessions/log_position.h"
#include "databases/query_result.h"

namespace balsamdrift {

/// Queries the role, positions and term of an instance. Columns: in recovery; LSN received
/// (replica) or written (primary); LSN applied; term, which is the timeline of PostgreSQL.
inline constexpr const char* probe_query =
    "SELECT pg_is_in_recovery(),"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END,"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END,"
    " CASE WHEN pg_is_in_recovery()"
    " THEN (SELECT min_recovery_end_timeline FROM pg_control_recovery())"
    " ELSE (SELECT timeline_id FROM pg_control_checkpoint()) END";

/// Promotes a replica to primary. Does not wait until the promotion is complete.
inline constexpr const char* promote_query = "SELECT pg_promote(false)";

/// Resets the state that earlier statements left on a connection.
inline constexpr const char* reset_query = "DISCARD ALL";

/// The answer to probe_query.
struct probe_result {
    bool in_recovery = false;
    log_position received;
    log_position applied;
};

/// Parses the answer to probe_query. Nothing if the statement failed or the answer is malformed.
std::optional<probe_result> parse_probe(const query_result& res);

/// Parses a PostgreSQL LSN such as `16/B374D848`.
std::optional<std::uint64_t> parse_lsn(const std::string& text);

/// Formats an LSN as PostgreSQL does.
std::string format_lsn(std::uint64_t lsn);

}  // namespace balsamdrift
