#include "apps/stop_signal.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>

namespace balsamdrift {
namespace {

std::atomic<bool> stop_flag = false;
std::atomic<bool> reload_flag = false;
std::atomic<int> notice_descriptor = -1;

void on_signal(int number)
{
    if (number == SIGHUP) {
        reload_flag = true;
    }
    else {
        stop_flag = true;
    }
    // The interrupted code may be about to read errno.
    const int ec = errno;
    const std::uint64_t one = 1;
    (void)!::write(notice_descriptor, &one, sizeof one);
    errno = ec;
}

}  // namespace

void watch_signals()
{
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    std::signal(SIGHUP, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
    // A write over the file size limit then fails with EFBIG, like a write to a full disk.
    std::signal(SIGXFSZ, SIG_IGN);
}

int open_signal_notice()
{
    notice_descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    return notice_descriptor;
}

void clear_signal_notice(int descriptor)
{
    std::uint64_t count = 0;
    (void)!::read(descriptor, &count, sizeof count);
}

bool stop_requested() { return stop_flag; }

bool take_reload_request() { return reload_flag.exchange(false); }

}  // namespace balsamdrift
