#pragma once

#include <coroutine>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "base/time.h"

namespace balsamdrift::soak {

/// Receives the readiness of a descriptor.
struct descriptor_handler {
    virtual ~descriptor_handler() = default;
    /// `events` as in epoll_wait.
    virtual void on_events(std::uint32_t events) = 0;
};

/// One thread's loop over descriptors and timers. All stand-ins of a soak run in one loop, so that
/// thousands of sessions need no threads and their observations have one order.
class event_loop {
public:
    using timer = std::pair<time_point, std::uint64_t>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until `stop` or the time.
    void run_until(time_point end);
    void stop() { stopped_ = true; }

    timer at(time_point when, std::function<void()> action);
    void cancel(const timer& it) { timers_.erase(it); }
    /// Resumes a coroutine from the loop, in the order of the calls.
    void post(std::coroutine_handle<> it);

    std::uint64_t watch(int fd, std::uint32_t events, descriptor_handler& handler);
    void change(int fd, std::uint64_t token, std::uint32_t events);
    void unwatch(int fd, std::uint64_t token);

    /// `co_await loop.sleep(...)`
    auto sleep(duration length)
    {
        struct awaiter {
            event_loop& loop;
            duration length;
            bool await_ready() const { return length <= duration::zero(); }
            void await_suspend(std::coroutine_handle<> it) const
            {
                loop.at(monotonic_clock::now() + length, [it] { it.resume(); });
            }
            void await_resume() const {}
        };
        return awaiter{*this, length};
    }

private:
    int epoll_ = -1;
    bool stopped_ = false;
    std::uint64_t next_ = 0;
    std::map<timer, std::function<void()>> timers_;
    std::unordered_map<std::uint64_t, descriptor_handler*> handlers_;
};

}  // namespace balsamdrift::soak
