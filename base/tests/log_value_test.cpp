// Guards against texts of callers that are read as other fields or other lines of the log.

#include "base/log_value.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstdlib>

using namespace balsamdrift;

namespace {

/// Reads the value at the beginning of the rest of a line, and removes it.
std::string take_value(std::string& rest)
{
    if (rest.empty() || rest.front() != '"') {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        std::string value = rest.substr(0, end);
        rest.erase(0, end);
        return value;
    }
    std::string value;
    std::size_t at = 1;
    while (at < rest.size() && rest[at] != '"') {
        if (rest[at] != '\\') {
            value += rest[at++];
        }
        else if (rest[at + 1] == 'x') {
            value += static_cast<char>(std::strtoul(rest.substr(at + 2, 2).c_str(), nullptr, 16));
            at += 4;
        }
        else {
            value += rest[at + 1];
            at += 2;
        }
    }
    rest.erase(0, at + 1);
    return value;
}

}  // namespace

TEST_CASE("plain values of a log line stay as they are, others are quoted", "[log]")
{
    CHECK(log_value("") == "");
    CHECK(log_value("i-7f3a91c2") == "i-7f3a91c2");
    CHECK(log_value("no such database") == "\"no such database\"");
    CHECK(log_value("a=b") == "\"a=b\"");
    CHECK(log_value("x\r\ny") == "\"x\\x0d\\x0ay\"");
    CHECK(log_value("\"") == "\"\\\"\"");
}

TEST_CASE("a value of a log line is one line and reads back as it was", "[log]")
{
    CHECK(rc::check([](const std::string& value, const std::string& next) {
        std::string rest = log_value(value) + " next=" + log_value(next);
        RC_ASSERT(rest.find_first_of("\r\n") == std::string::npos);
        RC_ASSERT(take_value(rest) == value);
        RC_ASSERT(rest.substr(0, 6) == " next=");
        rest.erase(0, 6);
        RC_ASSERT(take_value(rest) == next);
        RC_ASSERT(rest.empty());
    }));
}
