#include "base/async_log_writer.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

using namespace balsamdrift;

namespace {

/// Log output whose writes block while it is not accepting lines.
struct blockable_sink {
    std::mutex mutex;
    std::condition_variable changed;
    bool accepting = true;
    std::vector<std::string> lines;

    void write(const log_line& line)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [this] { return accepting; });
        lines.push_back(line.text);
    }

    void set_accepting(bool value)
    {
        const std::lock_guard lock(mutex);
        accepting = value;
        changed.notify_all();
    }
};

}  // namespace

TEST_CASE("lines are written in order, and all of them before the writer is closed", "[log]")
{
    const auto output = std::make_shared<blockable_sink>();
    async_log_writer writer({}, [output](const log_line& it) { output->write(it); });
    for (int n = 0; n < 1000; ++n) {
        REQUIRE(writer.push({event_severity::info, std::to_string(n)}));
    }
    writer.close(seconds(5));
    REQUIRE(output->lines.size() == 1000);
    for (std::size_t n = 0; n < 1000; ++n) {
        CHECK(output->lines[n] == std::to_string(n));
    }
    CHECK_FALSE(writer.push({event_severity::info, "late"}));
}

TEST_CASE("an output that blocks does not block push, and dropped lines are reported", "[log]")
{
    const auto output = std::make_shared<blockable_sink>();
    output->set_accepting(false);
    async_log_writer writer({.max_queued_lines = 10},
                            [output](const log_line& it) { output->write(it); });
    int dropped = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < 100; ++n) {
        dropped += writer.push({event_severity::info, std::to_string(n)}) ? 0 : 1;
    }
    writer.close(milliseconds(50));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    // Ten lines fit in the queue, and the thread may hold up to ten more that it took before it
    // blocked.
    CHECK(dropped >= 80);
    CHECK(elapsed < seconds(5));
    output->set_accepting(true);
}
