#pragma once

#include "base/time.h"
#include "core/registry/records.h"

namespace balsamdrift {

/// What a preset changes.
struct preset_policy {
    /// Statements of one customer that may wait in one group's queue.
    std::size_t customer_queue_limit = 256;
    /// A statement that would wait longer is refused at once.
    duration max_queue_wait = seconds(5);
    /// Oldest data of a read whose caller states nothing.
    duration default_max_age = seconds(10);
    /// A transaction without a statement for this long is rolled back, so that its locks end.
    duration transaction_idle_limit = seconds(5);
    /// True when writes and transactions are taken.
    bool accepts_writes = true;
};

/// The policy of a preset.
preset_policy policy_of(preset value);

}  // namespace balsamdrift
