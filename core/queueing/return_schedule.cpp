#include "core/queueing/return_schedule.h"

#include <algorithm>

namespace balsamdrift {
namespace {

/// The middle of the widest gap between the times in [first, last].
time_point middle_of_widest_gap(const std::vector<time_point>& times, time_point first,
                                time_point last)
{
    time_point from = first;
    time_point best = last;
    duration widest{};
    const auto consider = [&](time_point to) {
        if (to - from > widest) {
            widest = to - from;
            best = from + widest / 2;
        }
        from = to;
    };
    for (const time_point it : times) {
        if (it > first && it < last) {
            consider(it);
        }
    }
    consider(last);
    return best;
}

}  // namespace

duration schedule_return(return_schedule& schedule, const return_options& options,
                         const return_request& request, time_point now)
{
    auto& promises = schedule.promises;
    std::erase_if(promises, [&](const promised_return& it) { return it.at < now; });
    const time_point earliest = now + options.min_return;
    const time_point latest = std::max(earliest, now + request.useful_for);
    time_point at = std::max(earliest, now + request.blocked_for);
    std::vector<time_point> taken;
    for (const promised_return& it : promises) {
        if (it.priority > request.priority) {
            continue;
        }
        taken.push_back(it.at);
        if (it.at > at - request.spacing && it.at < at + request.spacing) {
            at = it.at + request.spacing;
        }
    }
    if (at > latest) {
        at = middle_of_widest_gap(taken, earliest, latest);
    }
    const auto position =
        std::upper_bound(promises.begin(), promises.end(), at,
                         [](time_point time, const promised_return& it) { return time < it.at; });
    promises.insert(position, {.priority = request.priority, .at = at});
    return at - now;
}

bool is_on_time(time_point promised, const return_options& options, time_point now)
{
    return now >= promised - options.early_tolerance && now <= promised + options.late_tolerance;
}

}  // namespace balsamdrift
