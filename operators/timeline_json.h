#pragma once

#include <string>

#include "callers/http_message.h"

namespace balsamdrift {

/// Answers `GET /v1/timeline?since=STAMP` with the events of this process.
http_response make_timeline_response(const http_request& request);

/// True when the request carries the operators' token.
bool has_operator_token(const http_request& request, const std::string& token);

}  // namespace balsamdrift
