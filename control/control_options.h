#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "core/consensus/membership.h"
#include "core/rates/token_pool.h"

namespace balsamdrift {

/// Settings of a control member.
struct control_options {
    std::string name;
    std::string data_folder;
    /// All control members, this one included: names and fleet addresses.
    std::vector<voter> members;
    duration heartbeat_interval = milliseconds(100);
    duration election_timeout = milliseconds(600);
    duration election_jitter = milliseconds(400);
    /// How long an entry serves after it asked for its lease.
    duration lease_duration = seconds(2);
    /// False where entries run statements themselves: nothing is owned by a single entry then.
    bool assigns_owners = true;
    /// Disks that may be lost at once: an acknowledged change is on one more.
    std::size_t disks_lost_at_once = 0;
    /// How far customers' operations may go beyond their limits, and over which window.
    token_pool_options rates;
    /// False when the settings say that other members hold data already.
    bool may_form = true;
    /// A snapshot replaces the log when the log file is larger than this.
    std::uint64_t snapshot_log_bytes = std::uint64_t{1024} * 1024;
};

}  // namespace balsamdrift
