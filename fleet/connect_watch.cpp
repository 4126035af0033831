#include "fleet/connect_watch.h"

#include <algorithm>

namespace balsamdrift {
namespace {

/// Further doublings would pass any useful timeout.
constexpr int max_doublings = 10;

}  // namespace

void record_dial(connect_watch& watch, time_point now)
{
    watch.dialed_at = now;
    ++watch.dials;
}

void record_heard(connect_watch& watch, const connect_options& options, time_point now)
{
    if (now - watch.heard_at >= options.silence_of_absent_peer) {
        watch.returned_at = now;
    }
    watch.heard_at = now;
}

attempt_interval next_attempt_interval(const connect_watch& watch, const connect_options& options)
{
    const bool first = watch.dials == 0 || watch.returned_at > watch.dialed_at;
    const int doublings = first ? 0 : std::min(watch.dials, max_doublings);
    return {.min = std::min(options.min_attempt_interval * (1 << doublings),
                            options.max_attempt_interval),
            .max = options.max_attempt_interval};
}

bool is_dial_overdue(const connect_watch& watch, const connect_options& options, time_point now)
{
    if (watch.returned_at > watch.dialed_at) {
        // Dialled in vain while the peer was away, however often.
        return now - watch.dialed_at > options.timeout_of_running_peer;
    }
    const bool peer_runs = watch.heard_at > watch.dialed_at;
    const duration first = peer_runs ? options.timeout_of_running_peer : options.timeout;
    const int doublings = std::clamp(watch.dials - 1, 0, max_doublings);
    return now - watch.dialed_at > std::min(first * (1 << doublings), options.max_timeout);
}

}  // namespace balsamdrift
