#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/time.h"
#include "core/instances/instance_directory.h"
#include "core/rates/allotment.h"

namespace balsamdrift {

/// How an entry fares with the primary of a service.
struct primary_evidence {
    std::string service;
    std::string instance;
    /// Connections to it fail now.
    bool failing = false;
    /// Time since it last served this entry; negative when it never did.
    milliseconds since_last_served{-1};
    MSGPACK_DEFINE(service, instance, failing, since_last_served)
};

/// What an entry that runs statements itself tells control with each question for its lease.
struct entry_report {
    /// No statement runs here under a record of a primary older than this registry index.
    std::uint64_t settled_index = 0;
    std::vector<primary_evidence> primaries;
    /// Statements and transactions per second that were sent to each instance.
    share_claim connections;
    std::uint64_t directory_version = 0;
    /// Control's answers did not come lately: the entry lives on its part of the rates.
    bool isolated = false;
    MSGPACK_DEFINE(settled_index, primaries, connections, directory_version, isolated)
};

/// What control answers to it.
struct entry_instructions {
    /// Fleet addresses of all control members.
    std::vector<std::string> control;
    /// Entries that may open connections to instances.
    std::uint32_t entry_count = 0;
    /// Parts of the connections that instances take beyond one for each entry.
    share_grant connections;
    /// The instances, when the entry has another version of the directory.
    std::uint64_t directory_version = 0;
    bool has_directory = false;
    std::vector<instance_heartbeat> instances;
    MSGPACK_DEFINE(control, entry_count, connections, directory_version, has_directory, instances)
};

}  // namespace balsamdrift
