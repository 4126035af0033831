#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>

#include "base/codec.h"
#include "base/event_log.h"

using namespace balsamdrift;

TEST_CASE("docs/EVENTS.md lists exactly the events of the catalogue", "[events]")
{
    std::ifstream in(std::string(BALSAMDRIFT_SOURCE_DIR) + "/docs/EVENTS.md");
    REQUIRE(in);
    std::map<int, std::string> documented;
    const std::regex row(R"(\| (\d+) \| `(\w+)` \|.*)");
    std::string line;
    while (std::getline(in, line)) {
        std::smatch match;
        if (std::regex_match(line, match, row)) {
            documented[std::stoi(match[1])] = match[2];
        }
    }
    std::map<int, std::string> catalogued;
    for (const event_description& it : event_catalogue()) {
        catalogued[static_cast<int>(it.id)] = it.name;
    }
    CHECK(documented == catalogued);
    CHECK(catalogued.size() == event_catalogue().size());
}

TEST_CASE("the timeline keeps the newest events in order", "[events]")
{
    open_event_log({.process = "p", .file = "/dev/null", .max_recent_events = 3});
    for (int n = 0; n < 5; ++n) {
        log_event(event_id::lease_acquired, {{"n", std::to_string(n)}});
    }
    const auto events = timeline_since(0);
    REQUIRE(events.size() == 3);
    CHECK(events[0].fields[0].value == "2");
    CHECK(events[0].stamp < events[1].stamp);
    CHECK(timeline_since(events[1].stamp).size() == 1);
}

TEST_CASE("a text of a caller stays in its field of the log line", "[events]")
{
    const auto file = std::filesystem::temp_directory_path() / "event_catalogue_test.log";
    std::filesystem::remove(file);
    // Lines of other tests of this process may still be queued.
    close_event_log();
    open_event_log({.process = "p", .file = file.string()});
    log_event(
        event_id::session_refused,
        {{"database", "db reason=none\n2026-12-07 I 1001 process_started"}, {"reason", "x y"}});
    close_event_log();
    std::ifstream in(file);
    std::string line;
    REQUIRE(std::getline(in, line));
    CHECK(line.ends_with("session_refused process=p "
                         "database=\"db reason=none\\x0a2026-12-07 I 1001 process_started\" "
                         "reason=\"x y\""));
    CHECK_FALSE(std::getline(in, line));
    open_event_log({.process = "p", .file = "/dev/null"});
}

TEST_CASE("the timeline keeps only the beginning of a long text", "[events]")
{
    // Guards against callers whose ids of 1 MiB fill the memory with recent events.
    open_event_log({.process = "p", .file = "/dev/null"});
    const std::uint64_t before = next_timeline_stamp();
    log_event(event_id::session_refused,
              {{"database", std::string(1 << 20, 'x')}, {"reason", std::string(256, 'y')}});
    const auto events = timeline_since(before);
    REQUIRE(events.size() == 1);
    CHECK(events[0].fields[0].value == std::string(256, 'x') + "... (1048576 bytes)");
    CHECK(events[0].fields[1].value == std::string(256, 'y'));
}

TEST_CASE("later stamps are greater than a received one", "[events]")
{
    const std::uint64_t received = next_timeline_stamp() + (std::uint64_t{1} << 40);
    observe_timeline_stamp(received);
    CHECK(next_timeline_stamp() > received);
}

TEST_CASE("malformed bytes are failures, and a variant is restored", "[codec]")
{
    using message = std::variant<std::string, int>;
    CHECK_FALSE(succeeded(decode<std::string>("")));
    CHECK_FALSE(succeeded(decode<std::vector<int>>("\xdd\xff\xff\xff\xff")));
    CHECK_FALSE(succeeded(decode_variant<message>("\x92\x07\xa1x")));
    auto decoded = decode_variant<message>(encode_variant(message("x")));
    CHECK(std::get<std::string>(value_of(decoded)) == "x");
}
