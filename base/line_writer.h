#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/event.h"
#include "base/time.h"

namespace balsamdrift {

/// A line of the log that has not been written yet.
struct log_line {
    event_severity severity = event_severity::info;
    std::string text;
};

/// Settings of the writer.
struct line_writer_options {
    /// Lines that may wait: some seconds of a process under load, at most about 1 MiB.
    std::size_t most_waiting = 4096;
};

/// Writes lines on a thread of its own, so that a reader that does not read blocks nobody else.
class line_writer {
public:
    using sink = std::function<void(const log_line&)>;

    line_writer(line_writer_options options, sink write);
    ~line_writer();
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    /// Hands a line over; false when too many wait and it is dropped. Never waits for the sink.
    bool push(log_line line);

    /// Writes what waits and ends the thread. Gives up on a sink that still blocks after
    /// `patience`; the thread is then left behind, for a process that is about to exit.
    void close(duration patience);

private:
    struct shared_queue;
    static void run(const std::shared_ptr<shared_queue>& queue);

    line_writer_options options_;
    std::shared_ptr<shared_queue> queue_;
    std::thread thread_;
};

}  // namespace balsamdrift
