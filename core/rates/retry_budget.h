#pragma once

#include <algorithm>

namespace balsamdrift {

/// Limits retries to a fraction of the requests, so that they cannot amplify an overload.
struct retry_budget {
    /// Retries that each request adds to the budget.
    double ratio = 0.1;
    /// Largest number of available retries.
    double limit = 20;
    double available = 20;
};

/// Adds to the budget for the first attempt of a request.
inline void record_request(retry_budget& budget)
{
    budget.available = std::min(budget.limit, budget.available + budget.ratio);
}

/// Takes one retry from the budget. False if the budget is used up.
inline bool take_retry(retry_budget& budget)
{
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

}  // namespace balsamdrift
