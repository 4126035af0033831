#pragma once

#include <algorithm>

namespace balsamdrift {

/// Lets retries be only a part of the requests, so that they cannot multiply an overload.
struct retry_budget {
    /// Retries allowed for each request.
    double ratio = 0.1;
    /// Retries that may be saved up.
    double limit = 20;
    double saved = 20;
};

/// Notes a request that was sent for the first time.
inline void record_request(retry_budget& budget)
{
    budget.saved = std::min(budget.limit, budget.saved + budget.ratio);
}

/// Takes one retry. False when the budget is used up.
inline bool take_retry(retry_budget& budget)
{
    if (budget.saved < 1) {
        return false;
    }
    budget.saved -= 1;
    return true;
}

}  // namespace balsamdrift
