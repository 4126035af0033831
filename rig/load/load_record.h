#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift::rig {

/// Kinds of requests of a load; `once` is a write with an Idempotency-Key.
enum class request_kind : std::uint8_t { read, write, once, transaction };

/// A request of the load, from its scheduled start to its final answer.
struct load_record {
    request_kind kind = request_kind::read;
    std::size_t customer = 0;
    std::size_t group = 0;
    std::size_t entry = 0;
    /// Time since the beginning of the load.
    duration intended_start{};
    /// Time from the intended start to the final answer, retries included.
    duration latency{};
    /// HTTP status of the final answer, or 0 if there was none.
    int status = 0;
    /// Error code of the final answer; empty if it had none.
    std::string code;
    bool from_replica = false;
    /// Whether the session had written before. A policy that reads at the primary after a write
    /// would have sent this request to the primary.
    bool session_wrote = false;
    /// Ids of the rows that the request writes.
    std::vector<std::string> rows;
    /// Outcome that the final answer stated: ran, not_run, unknown, or empty.
    std::string outcome;
    /// Whether a read did not return the row that its session had written last.
    bool stale = false;
};

/// A fault that was injected during the load.
struct fault_record {
    /// Time since the beginning of the load.
    duration at{};
    /// Kind and target of the fault.
    std::string text;
};

/// Comparison of the rows in the databases after the load with the answers to the requests. The
/// first four members count rows.
struct audit_result {
    /// Rows of acknowledged requests.
    std::size_t acknowledged = 0;
    /// Acknowledged rows that are missing. A group that could not be read adds one in addition.
    std::size_t lost = 0;
    /// Rows that are stored more than once.
    std::size_t doubled = 0;
    /// Stored rows of requests that were reported as not run.
    std::size_t misreported = 0;
    /// Reads that did not return the last write of their session.
    std::size_t stale_reads = 0;
};

/// All records of an experiment.
struct load_result {
    std::vector<load_record> records;
    std::vector<fault_record> faults;
    audit_result audit;
};

}  // namespace balsamdrift::rig
