#include "entry/claim_statements.h"

#include <xxhash.h>

#include "base/codec.h"

namespace balsamdrift {

sql_statement create_claim_table()
{
    return {"CREATE TABLE IF NOT EXISTS balsamdrift_claims ("
            "customer text NOT NULL, key text NOT NULL, fingerprint text NOT NULL, "
            "taken_at bigint NOT NULL, answer text, PRIMARY KEY (customer, key))",
            {}};
}

sql_statement insert_claim(const work_request& request, std::int64_t unix_seconds)
{
    return {"INSERT INTO balsamdrift_claims (customer, key, fingerprint, taken_at) "
            "VALUES ($1, $2, $3, $4)",
            {request.customer, request.idempotency_key, request_fingerprint(request),
             std::to_string(unix_seconds)}};
}

sql_statement store_claim_answer(const work_request& request, const std::string& answer)
{
    return {"UPDATE balsamdrift_claims SET answer = $3 WHERE customer = $1 AND key = $2",
            {request.customer, request.idempotency_key, answer}};
}

sql_statement select_claim(const work_request& request)
{
    return {"SELECT fingerprint, answer FROM balsamdrift_claims WHERE customer = $1 AND key = $2",
            {request.customer, request.idempotency_key}};
}

sql_statement delete_claims_before(std::int64_t before_unix_seconds)
{
    return {"DELETE FROM balsamdrift_claims WHERE taken_at < $1",
            {std::to_string(before_unix_seconds)}};
}

std::string request_fingerprint(const work_request& request)
{
    const std::string bytes = encode(request.sql) + encode(request.params);
    return std::to_string(XXH64(bytes.data(), bytes.size(), 0));
}

}  // namespace balsamdrift
