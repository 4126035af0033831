#pragma once

#include <cstdint>
#include <string>

#include "databases/query_result.h"
#include "fleet/work_message.h"

namespace balsamdrift {

/// A claim is a row that a non-repeatable write leaves in its own transaction. Its primary key
/// makes the database itself refuse a second run, whoever sends it; the row also keeps the first
/// answer.

/// Creates the table of claims where it does not exist.
sql_statement create_claim_table();

/// Takes the claim of a request; fails with a unique violation when it ran before.
sql_statement insert_claim(const work_request& request, std::int64_t unix_seconds);

/// Keeps the answer beside the claim.
sql_statement store_claim_answer(const work_request& request, const std::string& answer);

/// Reads the fingerprint and the kept answer of an earlier run.
sql_statement select_claim(const work_request& request);

/// Drops claims that are older than anybody resends.
sql_statement delete_claims_before(std::int64_t before_unix_seconds);

/// Hash over statement and parameters: a key that comes with another request is an error.
std::string request_fingerprint(const work_request& request);

}  // namespace balsamdrift
