#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/event.h"
#include "base/time.h"

namespace balsamdrift {

/// A formatted line of the log.
struct log_line {
    event_severity severity = event_severity::info;
    std::string text;
    /// Written to standard output as it is, also where the log has a file.
    bool is_output = false;
};

/// Settings of async_log_writer.
struct async_log_writer_options {
    /// Lines that may be queued. They cover some seconds of a process under load and take at most
    /// about 1 MiB.
    std::size_t max_queued_lines = 4096;
};

/// Writes log lines on a thread of its own, so that an output that blocks (a pipe that nobody
/// reads) does not block the threads that log.
class async_log_writer {
public:
    /// Writes one line; called on the writer's thread and may block.
    using sink = std::function<void(const log_line&)>;

    async_log_writer(async_log_writer_options options, sink write);
    ~async_log_writer();
    async_log_writer(const async_log_writer&) = delete;
    async_log_writer& operator=(const async_log_writer&) = delete;

    /// Queues a line without waiting for the sink. Returns false if the line is dropped because the
    /// queue is full or the writer is closed.
    bool push(log_line line);

    /// Writes the queued lines and ends the thread. If the sink still blocks after `timeout`, the
    /// thread is detached and keeps running, which suits only a process that is about to exit.
    void close(duration timeout);

private:
    struct shared_queue;
    static void run(const std::shared_ptr<shared_queue>& queue);

    async_log_writer_options options_;
    std::shared_ptr<shared_queue> queue_;
    std::thread thread_;
};

}  // namespace balsamdrift
