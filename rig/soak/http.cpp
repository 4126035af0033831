#include "rig/soak/http.h"

#include <algorithm>
#include <cctype>

namespace balsamdrift::soak {

namespace {

/// Reads headers up to the empty line, then the body; nothing if the stream ends before.
task<std::optional<received_call>> read_message(connection& from, time_point until)
{
    received_call out;
    while (true) {
        auto line = co_await from.line(until);
        if (!line) {
            co_return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        const auto colon = line->find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto value = line->find_first_not_of(' ', colon + 1);
        out.headers[name] = value == std::string::npos ? "" : line->substr(value);
    }
    const auto size = out.headers.find("content-length");
    if (size != out.headers.end()) {
        auto body = co_await from.bytes(std::strtoul(size->second.c_str(), nullptr, 10), until);
        if (!body) {
            co_return std::nullopt;
        }
        out.body = std::move(*body);
    }
    co_return std::optional<received_call>(std::move(out));
}

}  // namespace

std::string take_word(std::string& rest)
{
    const auto end = rest.find(' ');
    std::string out = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    return out;
}

task<http_answer> http_call(event_loop& loop, http_request request)
{
    const time_point until = monotonic_clock::now() + request.limit;
    http_answer out;
    auto to = co_await connection::open(loop, request.to, request.limit, request.over);
    if (to == nullptr) {
        co_return out;
    }
    to->send(request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.to.text() +
             "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
             std::to_string(request.body.size()) + "\r\n\r\n" + request.body);
    auto first = co_await to->line(until);
    if (!first || first->rfind("HTTP/1.1 ", 0) != 0) {
        co_return out;
    }
    auto message = co_await read_message(*to, until);
    if (!message) {
        co_return out;
    }
    out.status = std::atoi(first->c_str() + 9);
    out.location = message->headers["location"];
    out.body = std::move(message->body);
    co_return out;
}

task<std::optional<received_call>> read_call(connection& from, time_point until)
{
    auto first = co_await from.line(until);
    if (!first) {
        co_return std::nullopt;
    }
    auto message = co_await read_message(from, until);
    if (message) {
        message->method = take_word(*first);
        message->path = take_word(*first);
    }
    co_return message;
}

void answer_call(connection& to, int status)
{
    to.send("HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Length: 2\r\n\r\n{}");
}

}  // namespace balsamdrift::soak
