#include "base/line_writer.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

using namespace balsamdrift;

namespace {

/// A reader of the log that stops reading when it is told to.
struct fake_reader {
    std::mutex mutex;
    std::condition_variable changed;
    bool reads = true;
    std::vector<std::string> lines;

    void take(const log_line& line)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [this] { return reads; });
        lines.push_back(line.text);
    }

    void set_reads(bool value)
    {
        const std::lock_guard lock(mutex);
        reads = value;
        changed.notify_all();
    }
};

}  // namespace

TEST_CASE("lines are written in order and all of them before the writer is closed", "[log]")
{
    const auto reader = std::make_shared<fake_reader>();
    line_writer writer({}, [reader](const log_line& it) { reader->take(it); });
    for (int n = 0; n < 1000; ++n) {
        REQUIRE(writer.push({event_severity::info, std::to_string(n)}));
    }
    writer.close(seconds(5));
    REQUIRE(reader->lines.size() == 1000);
    for (std::size_t n = 0; n < 1000; ++n) {
        CHECK(reader->lines[n] == std::to_string(n));
    }
    CHECK_FALSE(writer.push({event_severity::info, "late"}));
}

TEST_CASE("a reader that does not read holds nobody up, and what is dropped is told", "[log]")
{
    const auto reader = std::make_shared<fake_reader>();
    reader->set_reads(false);
    line_writer writer({.most_waiting = 10}, [reader](const log_line& it) { reader->take(it); });
    int dropped = 0;
    const auto before = std::chrono::steady_clock::now();
    for (int n = 0; n < 100; ++n) {
        dropped += writer.push({event_severity::info, std::to_string(n)}) ? 0 : 1;
    }
    writer.close(milliseconds(50));
    const auto took = std::chrono::steady_clock::now() - before;
    // The thread may have taken a batch of at most ten before it got stuck.
    CHECK(dropped >= 80);
    CHECK(took < seconds(5));
    reader->set_reads(true);
}
