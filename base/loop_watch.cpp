#include "base/loop_watch.h"

#include <utility>

namespace balsamdrift {

std::optional<loop_delay> record_turn(loop_watch& watch, const loop_watch_options& options,
                                      time_point now, duration processor_time)
{
    const loop_watch before = std::exchange(watch, {now, processor_time});
    if (before.turned_at == time_point{}) {
        return std::nullopt;
    }
    const duration delay = now - before.turned_at - options.interval;
    if (delay < options.reported_delay) {
        return std::nullopt;
    }
    return loop_delay{.delay = delay, .processor_time = processor_time - before.processor_time};
}

duration process_processor_time()
{
    timespec ts{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
}

}  // namespace balsamdrift
