#include "base/line_writer.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace balsamdrift {

/// Shared with the thread, which may outlive the writer when the sink blocks for good.
struct line_writer::shared_queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<log_line> waiting;
    sink write;
    bool closing = false;
    bool ended = false;
};

line_writer::line_writer(line_writer_options options, sink write)
    : options_(options), queue_(std::make_shared<shared_queue>())
{
    queue_->write = std::move(write);
    thread_ = std::thread([queue = queue_] { run(queue); });
}

line_writer::~line_writer() { close(seconds(1)); }

bool line_writer::push(log_line line)
{
    {
        const std::lock_guard lock(queue_->mutex);
        if (queue_->closing || queue_->waiting.size() >= options_.most_waiting) {
            return false;
        }
        queue_->waiting.push_back(std::move(line));
    }
    queue_->changed.notify_all();
    return true;
}

void line_writer::run(const std::shared_ptr<shared_queue>& queue)
{
    std::unique_lock lock(queue->mutex);
    while (true) {
        queue->changed.wait(lock, [&] { return queue->closing || !queue->waiting.empty(); });
        if (queue->waiting.empty()) {
            break;
        }
        const std::deque<log_line> batch = std::exchange(queue->waiting, {});
        lock.unlock();
        for (const log_line& it : batch) {
            queue->write(it);
        }
        lock.lock();
    }
    queue->ended = true;
    lock.unlock();
    queue->changed.notify_all();
}

void line_writer::close(duration patience)
{
    if (!thread_.joinable()) {
        return;
    }
    std::unique_lock lock(queue_->mutex);
    queue_->closing = true;
    queue_->changed.notify_all();
    const bool ended = queue_->changed.wait_for(lock, patience, [this] { return queue_->ended; });
    lock.unlock();
    if (ended) {
        thread_.join();
    }
    else {
        thread_.detach();
    }
}

}  // namespace balsamdrift
