#include "entry/stop_step.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// An entry that only keeps count of what it is told.
struct fake_entry {
    int sessions = 0;
    bool answers = false;
    bool accepts = true;
    bool draining = false;
    bool closing = false;
    int finished = 0;

    void begin_drain() { draining = true; }
    void abort_transactions() {}
    void end_idle_sessions() {}
    void begin_closing() { closing = true; }
    void finish_pending() { ++finished; }
    void stop_accepting() { accepts = false; }
    bool is_drained() const { return sessions == 0; }
    bool is_answering() const { return answers; }
};

/// An entry on its way to its end, with a virtual clock.
struct stop_fixture {
    fake_entry entry;
    stop_options options;
    stop_progress progress;
    time_point now = start;

    /// True once the process exits within the span.
    bool pass(milliseconds span)
    {
        for (const time_point end = now + span; now < end; now += milliseconds(10)) {
            if (advance_stop(entry, options, progress, now)) {
                return true;
            }
        }
        return false;
    }
};

}  // namespace

TEST_CASE("a caller that comes while the last answers are sent is served before the process ends",
          "[stop]")
{
    // Its connection had been accepted, and its read ran, when the process exited 50 ms after the
    // last session had left.
    stop_fixture it;
    it.entry.sessions = 1;
    CHECK_FALSE(it.pass(milliseconds(2600)));
    it.entry.sessions = 0;
    CHECK_FALSE(it.pass(milliseconds(20)));
    CHECK_FALSE(it.entry.accepts);
    it.entry.sessions = 1;
    it.entry.answers = true;
    CHECK_FALSE(it.pass(milliseconds(500)));
    it.entry.sessions = 0;
    it.entry.answers = false;
    CHECK(it.pass(milliseconds(100)));
}

TEST_CASE("an entry whose instances still work ends only with answers to everybody", "[stop]")
{
    stop_fixture it;
    it.entry.sessions = 3;
    it.entry.answers = true;
    CHECK_FALSE(it.pass(milliseconds(3900)));
    CHECK_FALSE(it.entry.closing);
    CHECK_FALSE(it.pass(milliseconds(1600)));
    CHECK(it.entry.closing);
    CHECK(it.entry.finished == 0);
    CHECK(it.pass(milliseconds(300)));
    CHECK(it.entry.finished > 0);
    CHECK(it.now - start < seconds(6));
}

TEST_CASE("an entry at rest leaves once the balancer has noticed, and not before", "[stop]")
{
    stop_fixture it;
    CHECK_FALSE(it.pass(milliseconds(2490)));
    CHECK(it.entry.draining);
    CHECK(it.entry.accepts);
    CHECK(it.pass(milliseconds(100)));
}
