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

bool is_dial_overdue(const connect_watch& watch, const connect_options& options, time_point now)
{
    const bool peer_runs = watch.heard_at > watch.dialed_at;
    const duration first = peer_runs ? options.timeout_of_running_peer : options.timeout;
    const int doublings = std::clamp(watch.dials - 1, 0, max_doublings);
    return now - watch.dialed_at > std::min(first * (1 << doublings), options.max_timeout);
}

}  // namespace balsamdrift
