#pragma once

#include <coroutine>
#include <optional>

#include "rig/soak/event_loop.h"

namespace balsamdrift::soak {

/// Wakes the one coroutine that waits for a condition, or lets it go on at its deadline.
class waiter {
public:
    explicit waiter(event_loop& loop) : loop_(loop) {}
    waiter(const waiter&) = delete;
    waiter& operator=(const waiter&) = delete;
    ~waiter()
    {
        if (timer_) {
            loop_.cancel(*timer_);
        }
    }

    void notify()
    {
        if (waiting_) {
            if (timer_) {
                loop_.cancel(*timer_);
                timer_.reset();
            }
            loop_.post(std::exchange(waiting_, nullptr));
        }
    }

    /// Waits for `notify` until the time; time_point::max() waits for ever.
    auto wait(time_point until)
    {
        struct awaiter {
            waiter& self;
            time_point until;
            bool await_ready() const { return until <= monotonic_clock::now(); }
            void await_suspend(std::coroutine_handle<> it) const
            {
                self.waiting_ = it;
                if (until != time_point::max()) {
                    self.timer_ = self.loop_.at(until, [&w = self] {
                        w.timer_.reset();
                        std::exchange(w.waiting_, nullptr).resume();
                    });
                }
            }
            void await_resume() const {}
        };
        return awaiter{*this, until};
    }

private:
    event_loop& loop_;
    std::coroutine_handle<> waiting_;
    std::optional<event_loop::timer> timer_;
};

}  // namespace balsamdrift::soak
