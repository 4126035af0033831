#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <vector>

#include "base/event.h"

namespace balsamdrift {

/// One event on the timeline of a process.
struct timeline_event {
    /// Hybrid logical clock: wall-clock milliseconds in the upper 48 bits, a counter in the lower
    /// 16. Every message between processes carries it, so a cause has a smaller stamp than its
    /// effect.
    std::uint64_t stamp = 0;
    /// Name of the process that logged the event.
    std::string process;
    event_id id{};
    std::vector<event_field> fields;
};

/// Settings of the event log.
struct event_log_options {
    /// Name of this process on the timeline.
    std::string process;
    /// File to which log lines are appended; if empty, they go to standard output.
    std::string file;
    /// Largest number of events kept in memory for `balsamctl timeline`.
    std::size_t max_recent_events = 4096;
};

/// Opens the event log of this process. Called once, before other threads start.
void open_event_log(const event_log_options& options);

/// Writes the lines that are still queued. Called at the end of the process; lines logged
/// afterwards are written synchronously.
void close_event_log();

/// Writes a line to standard output after the lines that were logged before. Like these, it does
/// not wait for an output that blocks.
void print_line(std::string text);

/// Logs an event: one line in the log and one event on the timeline. May be called from any thread
/// and does not wait for the log output. An event beyond its rate limit is neither written nor
/// kept, a line for which the queue is full is not written; both are counted in
/// balsamdrift_dropped_log_lines_total.
void log_event(event_id id, std::initializer_list<event_field> fields = {});

/// Returns the kept events whose stamp is greater than `after`, oldest first.
std::vector<timeline_event> timeline_since(std::uint64_t after);

/// Returns a new stamp for a message to another process.
std::uint64_t next_timeline_stamp();

/// Advances the local clock, so that later stamps are greater than one that was received.
void observe_timeline_stamp(std::uint64_t stamp);

/// Returns the wall-clock time within a stamp.
std::chrono::system_clock::time_point wall_clock_of(std::uint64_t stamp);

}  // namespace balsamdrift
