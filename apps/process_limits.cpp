#include "apps/process_limits.h"

#include <fcntl.h>
#include <malloc.h>
#include <pthread.h>
#include <unistd.h>

#include <latch>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace balsamdrift {
namespace {

/// Each arena keeps freed memory of its own. Most memory is used by one thread, so a second arena
/// suffices against contention.
constexpr int max_arenas = 2;

/// Several times what the deepest parser and the name resolver use, and an eighth of the usual
/// default, which limits of the address space count.
constexpr std::size_t thread_stack_bytes = std::size_t{1024} * 1024;

}  // namespace

void open_standard_descriptors()
{
    for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; ++fd) {
        if (::fcntl(fd, F_GETFD) < 0) {
            // The lowest free number is returned, which is `fd`.
            (void)::open("/dev/null", O_RDWR);
        }
    }
}

void limit_thread_memory()
{
    (void)::mallopt(M_ARENA_MAX, max_arenas);
    pthread_attr_t attributes;
    if (::pthread_attr_init(&attributes) == 0) {
        (void)::pthread_attr_setstacksize(&attributes, thread_stack_bytes);
        (void)::pthread_setattr_default_np(&attributes);
        ::pthread_attr_destroy(&attributes);
    }
}

outcome<std::monostate> check_threads(std::size_t count)
{
    std::latch end(1);
    std::vector<std::thread> threads;
    outcome<std::monostate> res = std::monostate{};
    try {
        threads.reserve(count);
        while (threads.size() < count) {
            threads.emplace_back([&end] { end.wait(); });
        }
    }
    catch (const std::system_error& ex) {
        res = failure{"only " + std::to_string(threads.size()) + " of " + std::to_string(count) +
                      " threads can start: " + ex.what()};
    }
    end.count_down();
    for (std::thread& it : threads) {
        it.join();
    }
    return res;
}

}  // namespace balsamdrift
