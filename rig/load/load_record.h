#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift::rig {

/// Kinds of requests of a load.
enum class request_kind : std::uint8_t { read, write, once, transaction };

/// One request from its intended start to its final answer.
struct load_record {
    request_kind kind = request_kind::read;
    std::size_t customer = 0;
    std::size_t group = 0;
    std::size_t entry = 0;
    /// Since the beginning of the load.
    duration intended_start{};
    duration latency{};
    /// 200, the problem's status, or 0 when no answer came.
    int status = 0;
    std::string code;
    bool from_replica = false;
    /// True when the session had written before, so that a primary-only policy would use the
    /// primary.
    bool session_wrote = false;
    /// Rows that the request wrote.
    std::vector<std::string> rows;
    /// What the final answer said: ran, not_run, unknown or nothing.
    std::string outcome;
    /// True when a read did not show what its session had written.
    bool stale = false;
};

/// Something that happened to the site during a load.
struct fault_record {
    duration at{};
    std::string text;
};

/// What the databases hold afterwards, held against the answers.
struct audit_result {
    std::size_t acknowledged = 0;
    std::size_t lost = 0;
    std::size_t doubled = 0;
    /// Rows of requests that were reported as not run.
    std::size_t misreported = 0;
    std::size_t stale_reads = 0;
};

/// Everything that an experiment saw.
struct load_result {
    std::vector<load_record> records;
    std::vector<fault_record> faults;
    audit_result audit;
};

}  // namespace balsamdrift::rig
