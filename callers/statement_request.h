#pragma once

#include <optional>
#include <string>
#include <variant>

#include "base/time.h"
#include "callers/http_message.h"
#include "fleet/work_message.h"

namespace balsamdrift {

/// A caller's request for a database group, before the caller is authenticated.
struct statement_request {
    /// SHA-256 of the caller's key in hexadecimal. The key itself is not stored.
    std::string key_hash;
    std::string session_token;
    duration timeout{};
    /// The work for the owner of the group. Its id, customer and minimum position are set later.
    work_request work;
};

/// A statement request, or the problem document that answers an invalid one.
using parsed_statement = std::variant<statement_request, http_response>;

/// Parses a request under /v1/databases/. docs/CALLERS.md describes the protocol.
parsed_statement parse_statement(const http_request& request);

/// Formats the answer to a statement. An empty `session_token` is left out.
http_response format_answer(const work_answer& answer, const std::string& session_token);

/// Makes the problem document for a request that was not run. A `retry_after` of zero is left out.
http_response refuse_statement(unsigned status, const std::string& code, const std::string& detail,
                               duration retry_after = duration{0});

/// SHA-256 in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

}  // namespace balsamdrift
