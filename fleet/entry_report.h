#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/time.h"
#include "core/instances/instance_directory.h"
#include "core/rates/share_allocation.h"
#include "core/rates/warmup_allocation.h"

namespace balsamdrift {

/// State of a service's primary as observed by one entry.
struct primary_evidence {
    std::string service;
    std::string instance;
    /// True while connections to the instance fail.
    bool failing = false;
    /// Time since the instance last served this entry; negative if it never did.
    milliseconds since_last_served{-1};
    MSGPACK_DEFINE(service, instance, failing, since_last_served)
};

/// Sent to control with each lease request by an entry that runs statements itself.
struct entry_report {
    /// No statement runs on this entry under a primary record older than this registry index.
    std::uint64_t settled_index = 0;
    std::vector<primary_evidence> primaries;
    /// Statements and transactions per second sent to each instance, and the shares held.
    share_request connections;
    /// Version of the instance directory that the entry has.
    std::uint64_t directory_version = 0;
    /// True when control has not answered recently: the entry then admits operations only within
    /// its own share of each customer's rate.
    bool isolated = false;
    /// Demand for cold instances, and the allocation of their limits that the entry uses.
    warmup_request warmup;
    MSGPACK_DEFINE(settled_index, primaries, connections, directory_version, isolated, warmup)
};

/// The upper bits of a directory version are the leader's term, so that versions of different
/// leaders differ.
inline constexpr unsigned directory_term_shift = 32;

/// Sent by control with a lease grant, in answer to an entry_report.
struct entry_instructions {
    /// Fleet addresses of all control members.
    std::vector<std::string> control;
    /// Number of entries that may open connections to instances.
    std::uint32_t entry_count = 0;
    /// Shares of the connections that instances accept beyond the one reserved for each entry.
    share_grant connections;
    /// Version of control's instance directory.
    std::uint64_t directory_version = 0;
    /// True when the members below update the entry's directory to the version.
    bool has_directory = false;
    /// Instances that are new or changed since `directory_base`, or all instances if that is zero.
    std::vector<instance_heartbeat> instances;
    /// The entry must have this version of the directory or a later one.
    std::uint64_t directory_base = 0;
    /// Instances that were removed since `directory_base`.
    std::vector<std::string> removed;
    /// What the entry may start on cold instances.
    warmup_grant warmup;
    MSGPACK_DEFINE(control, entry_count, connections, directory_version, has_directory, instances,
                   directory_base, removed, warmup)
};

}  // namespace balsamdrift
