#include "core/queueing/admission.h"

#include <algorithm>

namespace balsamdrift {

std::variant<admission_granted, admission_refused> admit(const admission_request& request,
                                                         const admission_options& options)
{
    const int parallel = std::max(request.connections, 1);
    const duration backlog = request.mean_hold_time * (request.queued_ahead + 1) / parallel;
    const duration wait =
        request.blocked_for + std::max(backlog, request.start_interval * request.queued_ahead);
    const auto limit = scaled(request.time_left, options.max_wait_fraction);
    if (wait <= limit) {
        return admission_granted{wait};
    }
    return admission_refused{std::max(wait - limit, options.min_retry_after)};
}

}  // namespace balsamdrift
