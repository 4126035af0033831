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
    MSGPACK_DEFINE(settled_index, primaries, connections, directory_version, isolated)
};

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
    /// True when `instances` holds the directory. It is sent only if the entry's version differs.
    bool has_directory = false;
    std::vector<instance_heartbeat> instances;
    MSGPACK_DEFINE(control, entry_count, connections, directory_version, has_directory, instances)
};

}  // namespace balsamdrift
