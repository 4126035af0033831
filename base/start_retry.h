#pragma once

#include <functional>
#include <string>
#include <thread>

#include "base/event_log.h"
#include "base/outcome.h"
#include "base/time.h"

namespace balsamdrift {

/// How long a start waits for what another process may hold for a moment: an address that the
/// previous process of the VM still closes, or threads of one that ends.
struct start_retry {
    /// The attempts end after this time; zero for a single attempt.
    duration limit = duration::zero();
    milliseconds interval = milliseconds(100);
    /// Ends the attempts early.
    std::function<bool()> cancelled = [] { return false; };
};

/// Repeats an attempt until it succeeds, `limit` is over or the start is cancelled, and returns the
/// last result. Logs `awaited` with the reason of the first failure and of each other one.
template<class T>
outcome<T> repeat_start(const start_retry& retry, event_id awaited,
                        const std::function<outcome<T>()>& attempt)
{
    const time_point until = monotonic_clock::now() + retry.limit;
    std::string reason;
    while (true) {
        outcome<T> res = attempt();
        if (succeeded(res) || monotonic_clock::now() >= until || retry.cancelled()) {
            return res;
        }
        if (failure_of(res).message != reason) {
            reason = failure_of(res).message;
            log_event(awaited, {{"reason", reason}});
        }
        std::this_thread::sleep_for(retry.interval);
    }
}

}  // namespace balsamdrift
