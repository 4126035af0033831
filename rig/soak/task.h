#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace balsamdrift::soak {

/// A coroutine that starts at once and that nobody waits for. Its frame ends with it.
struct background {
    struct promise_type {
        background get_return_object() noexcept { return {}; }
        std::suspend_never initial_suspend() noexcept { return {}; }
        std::suspend_never final_suspend() noexcept { return {}; }
        void return_void() noexcept {}
        [[noreturn]] void unhandled_exception() noexcept { std::terminate(); }
    };
};

/// A coroutine with a result that starts when it is awaited. It must be awaited at most once.
template<typename T>
class [[nodiscard]] task {
public:
    struct promise_type {
        std::coroutine_handle<> waiting;
        std::optional<T> result;

        task get_return_object() { return task(handle::from_promise(*this)); }
        std::suspend_always initial_suspend() noexcept { return {}; }
        auto final_suspend() noexcept
        {
            struct resume_waiting {
                bool await_ready() noexcept { return false; }
                std::coroutine_handle<>
                await_suspend(std::coroutine_handle<promise_type> it) noexcept
                {
                    return it.promise().waiting;
                }
                void await_resume() noexcept {}
            };
            return resume_waiting{};
        }
        void return_value(T value) { result = std::move(value); }
        [[noreturn]] void unhandled_exception() noexcept { std::terminate(); }
    };
    using handle = std::coroutine_handle<promise_type>;

    explicit task(handle it) : handle_(it) {}
    task(task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
    task(const task&) = delete;
    task& operator=(const task&) = delete;
    task& operator=(task&&) = delete;
    ~task()
    {
        if (handle_) {
            handle_.destroy();
        }
    }

    bool await_ready() const noexcept { return false; }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiting) noexcept
    {
        handle_.promise().waiting = waiting;
        return handle_;
    }
    T await_resume() { return std::move(*handle_.promise().result); }

private:
    handle handle_;
};

}  // namespace balsamdrift::soak
