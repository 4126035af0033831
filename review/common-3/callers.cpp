#include "callers.h"

#include <cstdio>

namespace review {

std::string new_id()
{
    static std::uint64_t last = 0;
    char buf[20];
    std::snprintf(buf, sizeof buf, "%016llx",
                  static_cast<unsigned long long>(0x5c0e7a2100000000ULL + ++last));
    return buf;
}

task<caller_answer> caller::open(address entry, std::string database, std::string key)
{
    conn_ = co_await connection::open(loop_, entry, seconds(2));
    if (conn_ == nullptr) {
        co_return caller_answer{};
    }
    conn_->send("STARTUP " + database + " " + key + "\r\n");
    caller_answer out = co_await read(monotonic_clock::now() + seconds(2));
    if (!out.complete || !out.code.empty()) {
        conn_.reset();
    }
    co_return out;
}

task<caller_answer> caller::ask(std::string id, std::string text, duration limit)
{
    if (!is_open()) {
        co_return caller_answer{};
    }
    record_.note("sent: " + id + " " + text);
    conn_->send("QUERY " + id + " " + text + "\r\n");
    caller_answer out = co_await read(monotonic_clock::now() + limit);
    record_.note("answered: " + id + " " +
                 (!out.complete ? "nothing" : out.code.empty() ? "success" : out.code) + " " +
                 out.text);
    if (!out.complete) {
        conn_.reset();
    }
    co_return out;
}

task<caller_answer> caller::read(time_point until)
{
    caller_answer out;
    while (true) {
        auto line = co_await conn_->line(until);
        if (!line) {
            co_return out;
        }
        const std::string word = take_word(*line);
        if (word == "ROW") {
            out.row = *line;
        }
        else if (word == "ERROR") {
            out.code = take_word(*line);
            out.text = *line;
        }
        else if (word == "READY") {
            out.complete = true;
            out.state = take_word(*line);
            co_return out;
        }
    }
}

task<bool> send_configuration(event_loop& loop, journal& record, std::vector<address> members,
                              std::string document, time_point until)
{
    for (std::size_t n = 0; monotonic_clock::now() < until; ++n) {
        http_request request{.to = members[n % members.size()],
                             .method = "POST",
                             .path = "/balsamdrift/config/replace",
                             .body = document};
        const http_answer answer = co_await http_call(loop, request);
        record.note("operator: configuration to " + request.to.text() + ": " +
                    std::to_string(answer.status));
        if (answer.status == 200) {
            co_return true;
        }
        if (answer.status >= 400 && answer.status < 500 && answer.status != 408 &&
            answer.status != 429) {
            co_return false;
        }
        co_await loop.sleep(milliseconds(200));
    }
    co_return false;
}

task<bool> await_ready(event_loop& loop, std::vector<address> entries, time_point until)
{
    for (const address& it : entries) {
        while (true) {
            http_request request{.to = it, .path = "/balsamdrift/readyz"};
            const http_answer answer = co_await http_call(loop, request);
            if (answer.status == 200) {
                break;
            }
            if (monotonic_clock::now() > until) {
                co_return false;
            }
            co_await loop.sleep(milliseconds(100));
        }
    }
    co_return true;
}

}  // namespace review
