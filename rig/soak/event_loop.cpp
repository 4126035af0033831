#include "rig/soak/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace balsamdrift::soak {

event_loop::event_loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {}

event_loop::~event_loop() { ::close(epoll_); }

void event_loop::run_until(time_point end)
{
    stopped_ = false;
    while (!stopped_) {
        time_point now = monotonic_clock::now();
        while (!timers_.empty() && timers_.begin()->first.first <= now && !stopped_) {
            const auto it = timers_.extract(timers_.begin());
            it.mapped()();
        }
        now = monotonic_clock::now();
        if (stopped_ || now >= end) {
            return;
        }
        const time_point next = timers_.empty() ? end : std::min(end, timers_.begin()->first.first);
        const auto wait = next <= now ? milliseconds(0) : to_milliseconds(next - now);
        std::array<epoll_event, 256> events{};
        const int n = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()),
                                   static_cast<int>(wait.count()));
        for (int i = 0; i < n && !stopped_; ++i) {
            const epoll_event& event = events.at(static_cast<std::size_t>(i));
            // An earlier event of this round may have closed the descriptor.
            const auto it = handlers_.find(event.data.u64);
            if (it != handlers_.end()) {
                it->second->on_events(event.events);
            }
        }
    }
}

event_loop::timer event_loop::at(time_point when, std::function<void()> action)
{
    const timer it{when, ++next_};
    timers_.emplace(it, std::move(action));
    return it;
}

void event_loop::post(std::coroutine_handle<> it)
{
    at(time_point{}, [it] { it.resume(); });
}

std::uint64_t event_loop::watch(int fd, std::uint32_t events, descriptor_handler& handler)
{
    const std::uint64_t token = ++next_;
    handlers_[token] = &handler;
    epoll_event event{.events = events, .data = {.u64 = token}};
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return token;
}

void event_loop::change(int fd, std::uint64_t token, std::uint32_t events)
{
    epoll_event event{.events = events, .data = {.u64 = token}};
    ::epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
}

void event_loop::unwatch(int fd, std::uint64_t token)
{
    handlers_.erase(token);
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

}  // namespace balsamdrift::soak
