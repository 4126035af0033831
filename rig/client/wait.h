#pragma once

#include <QElapsedTimer>
#include <QThread>
#include <functional>
#include <optional>

#include "base/time.h"

namespace balsamdrift::rig {

/// Time until `holds`, or nothing after the limit.
inline std::optional<milliseconds> wait_until(const std::function<bool()>& holds,
                                              milliseconds limit)
{
    constexpr unsigned long pause_ms = 10;
    QElapsedTimer clock;
    clock.start();
    while (clock.elapsed() < limit.count()) {
        if (holds()) {
            return milliseconds(clock.elapsed());
        }
        QThread::msleep(pause_ms);
    }
    return std::nullopt;
}

}  // namespace balsamdrift::rig
