#include "base/async_log_writer.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace balsamdrift {

/// Shared with the thread, which outlives the writer if the sink never returns.
struct async_log_writer::shared_queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<log_line> lines;
    sink write;
    bool closing = false;
    bool finished = false;
};

async_log_writer::async_log_writer(async_log_writer_options options, sink write)
    : options_(options), queue_(std::make_shared<shared_queue>())
{
    queue_->write = std::move(write);
    thread_ = std::thread([queue = queue_] { run(queue); });
}

async_log_writer::~async_log_writer() { close(seconds(1)); }

bool async_log_writer::push(log_line line)
{
    {
        const std::lock_guard lock(queue_->mutex);
        if (queue_->closing || queue_->lines.size() >= options_.max_queued_lines) {
            return false;
        }
        queue_->lines.push_back(std::move(line));
    }
    queue_->changed.notify_all();
    return true;
}

void async_log_writer::run(const std::shared_ptr<shared_queue>& queue)
{
    std::unique_lock lock(queue->mutex);
    while (true) {
        queue->changed.wait(lock, [&] { return queue->closing || !queue->lines.empty(); });
        if (queue->lines.empty()) {
            break;
        }
        const std::deque<log_line> batch = std::exchange(queue->lines, {});
        lock.unlock();
        for (const log_line& it : batch) {
            queue->write(it);
        }
        lock.lock();
    }
    queue->finished = true;
    lock.unlock();
    queue->changed.notify_all();
}

void async_log_writer::close(duration timeout)
{
    if (!thread_.joinable()) {
        return;
    }
    std::unique_lock lock(queue_->mutex);
    queue_->closing = true;
    queue_->changed.notify_all();
    const bool finished =
        queue_->changed.wait_for(lock, timeout, [this] { return queue_->finished; });
    lock.unlock();
    if (finished) {
        thread_.join();
    }
    else {
        thread_.detach();
    }
}

}  // namespace balsamdrift
