#pragma once

#include <QElapsedTimer>
#include <QThread>
#include <functional>
#include <optional>

#include "base/time.h"

namespace balsamdrift::rig {

/// Blocks until `condition` is true, which it polls. Returns the time that this took, or nothing if
/// the condition was still false after the limit.
inline std::optional<milliseconds> wait_until(const std::function<bool()>& condition,
                                              milliseconds limit)
{
    constexpr unsigned long poll_interval_ms = 10;
    QElapsedTimer clock;
    clock.start();
    while (clock.elapsed() < limit.count()) {
        if (condition()) {
            return milliseconds(clock.elapsed());
        }
        QThread::msleep(poll_interval_ms);
    }
    return std::nullopt;
}

}  // namespace balsamdrift::rig
