#include "core/rates/connection_budget.h"

#include <algorithm>
#include <cmath>

namespace balsamdrift {
namespace {

/// Far above the rounding of a share times the connections of any instance, and far below one.
constexpr double share_rounding_error = 0.001;

}  // namespace

int divided_connections(int accepted, const connection_budget_options& options)
{
    const int usable = std::max(accepted - options.reserved, 0);
    return static_cast<int>(std::ceil(usable * options.kept_fraction));
}

void record_refused_connection(borrow_limit& limit, const connection_budget_options& options,
                               time_point now)
{
    limit.after_refusal = borrowable(limit, options, now) / 2.0;
    limit.refused_at = now;
}

int borrowable(const borrow_limit& limit, const connection_budget_options& options, time_point now)
{
    if (limit.refused_at == time_point{}) {
        return options.max_borrowed;
    }
    const double recovered =
        float_seconds(now - limit.refused_at) / float_seconds(options.borrow_recovery);
    return std::min(static_cast<int>(limit.after_refusal + recovered), options.max_borrowed);
}

connection_budget connection_budget_for(int accepted, double share, int borrowable,
                                        const connection_budget_options& options)
{
    const int usable = std::max(accepted - options.reserved, 1);
    // Shares of whole connections are slightly too small, because they are rounded down.
    const int kept =
        static_cast<int>(divided_connections(accepted, options) * share + share_rounding_error);
    return {.kept = kept, .in_use = std::min(std::max(kept + borrowable, 1), usable)};
}

}  // namespace balsamdrift
