#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace balsamdrift {

/// One header line.
struct http_header {
    std::string name;
    std::string value;
};

/// A whole request.
struct http_request {
    std::string method;
    /// Path without the query.
    std::string path;
    /// What follows the question mark.
    std::string query;
    std::vector<http_header> headers;
    std::string body;
};

/// A whole answer.
struct http_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<http_header> headers;
    std::string body;
    /// Ends the connection after this answer.
    bool close = false;
};

/// Value of a header, or an empty text. Names are compared without case.
std::string_view header_value(const http_request& request, std::string_view name);

/// Value of a query parameter, or an empty text.
std::string query_parameter(const http_request& request, std::string_view name);

/// A problem document (RFC 9457) without any member beyond the standard ones and `code`.
http_response make_problem(unsigned status, std::string_view code, std::string_view detail);

}  // namespace balsamdrift
