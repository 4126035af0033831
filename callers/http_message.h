#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace balsamdrift {

/// A header field.
struct http_header {
    std::string name;
    std::string value;
};

/// A complete request.
struct http_request {
    std::string method;
    /// Path without the query string.
    std::string path;
    /// Query string without the question mark.
    std::string query;
    std::vector<http_header> headers;
    std::string body;
};

/// A complete answer.
struct http_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<http_header> headers;
    std::string body;
    /// Closes the connection after this answer.
    bool close = false;
};

/// Value of the first header of this name, or an empty text. Names are not case-sensitive.
std::string_view header_value(const http_request& request, std::string_view name);

/// Percent-decoded value of a parameter of the query string, or an empty text.
std::string query_parameter(const http_request& request, std::string_view name);

/// A problem document (RFC 9457) with the further members `code` and `outcome`, which is `not_run`.
http_response make_problem(unsigned status, std::string_view code, std::string_view detail);

}  // namespace balsamdrift
