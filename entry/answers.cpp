#include "entry/answers.h"

namespace balsamdrift {

work_answer not_run_answer(const std::string& code, const std::string& message,
                           duration retry_after)
{
    return {.outcome = run_outcome::not_run,
            .code = code,
            .message = message,
            .retry_after_ms = to_milliseconds(retry_after).count()};
}

work_answer unknown_answer(const std::string& message)
{
    return {.outcome = run_outcome::unknown, .code = "outcome_unknown", .message = message};
}

}  // namespace balsamdrift
