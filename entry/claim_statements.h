#pragma once

#include <cstdint>
#include <string>

#include "databases/query_result.h"
#include "fleet/work_message.h"

namespace balsamdrift {

// A claim is a row that a write with an idempotency key inserts in its own transaction. The primary
// key of the table makes the database refuse a second run of the write, whichever entry sends it.
// The row also stores the answer of the first run.

/// Creates the table of claims if it does not exist.
sql_statement create_claim_table();

/// Inserts the claim of a request. Fails with a unique violation if the request has run before.
sql_statement insert_claim(const work_request& request, std::int64_t unix_seconds);

/// Stores the answer with the claim.
sql_statement store_claim_answer(const work_request& request, const std::string& answer);

/// Selects the fingerprint and the stored answer of an earlier run.
sql_statement select_claim(const work_request& request);

/// Deletes the claims that were inserted before a time.
sql_statement delete_claims_before(std::int64_t before_unix_seconds);

/// Hash over statement and parameters. It detects that a key is reused for another request.
std::string request_fingerprint(const work_request& request);

}  // namespace balsamdrift
