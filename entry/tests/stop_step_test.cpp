#include "entry/stop_step.h"

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// Records the calls of advance_stop().
struct fake_entry {
    int sessions = 0;
    bool answering = false;
    bool accepting = true;
    bool draining = false;
    bool closing = false;
    int finish_calls = 0;

    void begin_drain() { draining = true; }
    void abort_transactions() {}
    void end_idle_sessions() {}
    void begin_closing() { closing = true; }
    void finish_pending() { ++finish_calls; }
    void stop_accepting() { accepting = false; }
    bool is_drained() const { return sessions == 0; }
    bool is_answering() const { return answering; }
};

/// A stop of an entry under a simulated clock.
struct stop_fixture {
    fake_entry entry;
    stop_options options;
    stop_progress progress;
    time_point now = start;

    /// Advances the clock in steps of 10 ms. True if the process exits within `length`.
    bool run_for(milliseconds length)
    {
        for (const time_point end = now + length; now < end; now += milliseconds(10)) {
            if (advance_stop(entry, options, progress, now)) {
                return true;
            }
        }
        return false;
    }
};

}  // namespace

TEST_CASE(
    "a caller that connects while the last answers are sent is served before the process exits",
    "[stop]")
{
    // Guards against an exit 50 ms after the last session closed although another connection had
    // been accepted meanwhile and its read was running.
    stop_fixture stop;
    stop.entry.sessions = 1;
    CHECK_FALSE(stop.run_for(milliseconds(2600)));
    stop.entry.sessions = 0;
    CHECK_FALSE(stop.run_for(milliseconds(20)));
    CHECK_FALSE(stop.entry.accepting);
    stop.entry.sessions = 1;
    stop.entry.answering = true;
    CHECK_FALSE(stop.run_for(milliseconds(500)));
    stop.entry.sessions = 0;
    stop.entry.answering = false;
    CHECK(stop.run_for(milliseconds(100)));
}

TEST_CASE("a stop waits for running statements and answers all callers before the process exits",
          "[stop]")
{
    stop_fixture stop;
    stop.entry.sessions = 3;
    stop.entry.answering = true;
    CHECK_FALSE(stop.run_for(milliseconds(3900)));
    CHECK_FALSE(stop.entry.closing);
    CHECK_FALSE(stop.run_for(milliseconds(1600)));
    CHECK(stop.entry.closing);
    CHECK(stop.entry.finish_calls == 0);
    CHECK(stop.run_for(milliseconds(300)));
    CHECK(stop.entry.finish_calls > 0);
    CHECK(stop.now - start < seconds(6));
}

TEST_CASE("an idle entry exits only after the time in which the balancer notices the stop",
          "[stop]")
{
    stop_fixture stop;
    CHECK_FALSE(stop.run_for(milliseconds(2490)));
    CHECK(stop.entry.draining);
    CHECK(stop.entry.accepting);
    CHECK(stop.run_for(milliseconds(100)));
}
