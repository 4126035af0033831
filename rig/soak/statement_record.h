#pragma once

#include <string>

#include "rig/soak/machine.h"

namespace balsamdrift::soak {

/// A statement that a caller sent, and where.
struct statement_record {
    const machine* entry = nullptr;
    int incarnation = 0;
    std::string database;
    std::string key;
    /// Kind and shape of the prepared statement that it executes; empty for plain statements.
    std::string shape;
    /// The text, for an execution without the name of the prepared statement.
    std::string arguments;
    bool writes = false;
    /// The caller uses databases and keys that change, so that each run is checked against them
    /// all.
    bool explores = false;
    time_point sent_at{};
    /// When the first statement of its transaction was sent.
    time_point began_at{};

    // What became of it.
    int commits = 0;
    bool promised_nothing = false;
    std::string receipt;
};

}  // namespace balsamdrift::soak
