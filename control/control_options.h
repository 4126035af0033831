#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "control/file_operations.h"
#include "core/consensus/membership.h"
#include "core/rates/token_pool.h"
#include "core/rates/warmup_allocation.h"

namespace balsamdrift {

/// Settings of a control member.
struct control_options {
    std::string name;
    std::string data_folder;
    /// Names and fleet addresses of all control members, including this one.
    std::vector<voter> members;
    duration heartbeat_interval = milliseconds(100);
    duration election_timeout = milliseconds(600);
    duration election_jitter = milliseconds(400);
    /// An entry may serve for this long after it sent its lease request.
    duration lease_duration = seconds(2);
    /// Whether items are assigned to owners. False where entries run statements themselves, because
    /// then no item belongs to a single entry.
    bool assigns_owners = true;
    /// Number of members that may lose their disks at the same time without loss of an acknowledged
    /// change. A change is acknowledged once one member more has stored it.
    std::size_t disks_lost_at_once = 0;
    /// Failure domains that the settings name. An order for one that is known from nowhere is
    /// refused.
    std::set<std::string> failure_domains;
    /// How far customers may exceed their rate limits, and over which window.
    token_pool_options rates;
    /// How far the warm-up rates of services may be used.
    warmup_options warmup;
    /// Whether this member may form a new group. False when the settings say that other members
    /// already hold data.
    bool may_form = true;
    /// Whether the first membership may be formed without a seed that does not answer. Only where
    /// the settings say at each start whether the whole site starts for the first time.
    bool form_without_all_seeds = false;
    /// Size of the log file from which on the log is replaced by a snapshot.
    std::uint64_t snapshot_log_bytes = std::uint64_t{1024} * 1024;
    /// Operations on the files of the data folder.
    file_operations files = system_file_operations();
};

}  // namespace balsamdrift
