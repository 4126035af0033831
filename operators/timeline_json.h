#pragma once

#include <string>

#include "callers/http_message.h"

namespace balsamdrift {

/// Makes the response to `GET /v1/timeline?since=STAMP`: the kept events of this process whose
/// stamp is greater than STAMP.
http_response make_timeline_response(const http_request& request);

/// True if the request has the operator token in its Authorization header. Always false if `token`
/// is empty. The comparison takes constant time.
bool has_operator_token(const http_request& request, const std::string& token);

}  // namespace balsamdrift
