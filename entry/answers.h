#pragma once

#include <string>

#include "base/time.h"
#include "fleet/work_message.h"

namespace balsamdrift {

/// Builds the answer to a request that had no effect. A `retry_after` of zero means that a retry
/// would not help.
work_answer not_run_answer(const std::string& code, const std::string& message,
                           duration retry_after = duration{0});

/// Builds the answer to a request that may have run.
work_answer unknown_answer(const std::string& message);

}  // namespace balsamdrift
