#pragma once

#include <optional>
#include <string>
#include <variant>

#include "base/time.h"
#include "callers/http_message.h"
#include "fleet/work_message.h"

namespace balsamdrift {

/// A caller's request for a database group, before it is known who the caller is.
struct statement_request {
    /// SHA-256 of the caller's key in hexadecimal. The key itself is not kept.
    std::string key_hash;
    std::string session_token;
    duration timeout{};
    /// Without id, customer and session floor.
    work_request work;
};

/// A statement request, or the problem document that answers it.
using parsed_statement = std::variant<statement_request, http_response>;

/// Reads a request under /v1/databases/. docs/CALLERS.md describes the protocol.
parsed_statement parse_statement(const http_request& request);

/// Writes the answer to a statement. `session_token` is empty when there is nothing to return.
http_response format_answer(const work_answer& answer, const std::string& session_token);

/// Refuses a request that had no effect.
http_response refuse_statement(unsigned status, const std::string& code, const std::string& detail,
                               duration retry_after = duration{0});

/// SHA-256 in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

}  // namespace balsamdrift
