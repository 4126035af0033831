#include "fleet/delivery_watch.h"

namespace balsamdrift {

void record_sent(delivery_watch& watch, const delivery_watch_options& options, std::uint64_t stamp,
                 std::uint64_t bytes, time_point now)
{
    watch.bytes_behind += bytes;
    if (watch.watched) {
        return;
    }
    // Everything that was sent since the last confirmed message may still be on its way.
    const float_seconds transfer(static_cast<double>(watch.bytes_behind) /
                                 static_cast<double>(options.min_bytes_per_second));
    watch.watched = {.stamp = stamp,
                     .sent_at = now,
                     .confirm_by =
                         now + options.timeout + std::chrono::duration_cast<duration>(transfer)};
    watch.bytes_behind = 0;
}

void record_confirmation(delivery_watch& watch, std::optional<std::uint64_t> received_stamp)
{
    if (watch.watched && (!received_stamp || *received_stamp >= watch.watched->stamp)) {
        watch.watched.reset();
    }
}

bool is_overdue(const delivery_watch& watch, time_point now)
{
    return watch.watched && now >= watch.watched->confirm_by;
}

}  // namespace balsamdrift
