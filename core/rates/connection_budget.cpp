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

connection_budget connection_budget_for(int accepted, double share,
                                        const connection_budget_options& options)
{
    const int usable = std::max(accepted - options.reserved, 1);
    // Shares of whole connections are slightly too small, because they are rounded down.
    const int kept =
        static_cast<int>(divided_connections(accepted, options) * share + share_rounding_error);
    return {.kept = kept, .in_use = std::min(kept + options.max_borrowed, usable)};
}

}  // namespace balsamdrift
