#pragma once

#include "base/time.h"
#include "core/registry/records.h"

namespace balsamdrift {

/// Limits and permissions that depend on the preset in force.
struct preset_policy {
    /// Number of statements of one customer that may wait in the queue of one group.
    std::size_t customer_queue_limit = 256;
    /// A statement whose expected wait in the queue is longer is refused at once.
    duration max_queue_wait = seconds(5);
    /// Greatest age of the data that a read sees if the caller does not specify one.
    duration default_max_age = seconds(10);
    /// A transaction without a statement for this long is rolled back to release its locks.
    duration transaction_idle_limit = seconds(5);
    /// True when writes and transactions are accepted.
    bool accepts_writes = true;
};

preset_policy policy_of(preset value);

}  // namespace balsamdrift
