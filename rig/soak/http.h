#pragma once

#include <map>
#include <string>

#include "rig/soak/connection.h"

namespace balsamdrift::soak {

/// A call to a process of the system.
struct http_request {
    address to;
    std::string method = "GET";
    std::string path;
    std::string body;
    duration limit = seconds(1);
    const link* over = nullptr;
};

/// Status 0: no complete answer came in time.
struct http_answer {
    int status = 0;
    std::string location;
    std::string body;
};

task<http_answer> http_call(event_loop& loop, http_request request);

/// A call that a stand-in received; header names in lower case.
struct received_call {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

task<std::optional<received_call>> read_call(connection& from, time_point until);
void answer_call(connection& to, int status);

/// Splits off the first word of a line.
std::string take_word(std::string& rest);

}  // namespace balsamdrift::soak
