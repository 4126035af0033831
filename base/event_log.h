#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <vector>

#include "base/event.h"

namespace balsamdrift {

/// One event on the time line of a process.
struct timeline_event {
    /// Hybrid logical clock: wall-clock milliseconds in the upper 48 bits, a counter below. It
    /// grows along every message between processes, so causes sort before effects.
    std::uint64_t stamp = 0;
    std::string process;
    event_id id{};
    std::vector<event_field> fields;
};

/// Settings of the event log.
struct event_log_options {
    /// Name of this process on the time line.
    std::string process;
    /// File that log lines are appended to; empty means standard error.
    std::string file;
    /// How many events are kept in memory for `balsamctl timeline`.
    std::size_t kept_events = 4096;
};

/// Prepares logging for this process. Called once, before any other thread runs.
void open_event_log(const event_log_options& options);

/// Writes the last lines. Called at the end of the process; later lines are written in place.
void close_event_log();

/// Logs an event: one line in the log and one row on the time line. Safe from any thread, and
/// never waits for whoever reads the log.
void log_event(event_id id, std::initializer_list<event_field> fields = {});

/// The kept events whose stamp is greater than `after`, oldest first.
std::vector<timeline_event> timeline_since(std::uint64_t after);

/// The next stamp of this process, for a message to another process.
std::uint64_t next_timeline_stamp();

/// Moves the local stamp past one that was received.
void observe_timeline_stamp(std::uint64_t stamp);

/// The wall-clock label within a stamp.
std::chrono::system_clock::time_point wall_clock_of(std::uint64_t stamp);

}  // namespace balsamdrift
