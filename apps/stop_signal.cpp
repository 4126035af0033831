#include "apps/stop_signal.h"

#include <atomic>
#include <csignal>

namespace balsamdrift {
namespace {

std::atomic<bool> stop_flag = false;
std::atomic<bool> reload_flag = false;

void on_signal(int number)
{
    if (number == SIGHUP) {
        reload_flag = true;
    }
    else {
        stop_flag = true;
    }
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

bool stop_requested() { return stop_flag; }

bool take_reload_request() { return reload_flag.exchange(false); }

}  // namespace balsamdrift
