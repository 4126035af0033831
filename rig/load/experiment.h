#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/outcome.h"
#include "base/time.h"
#include "rig/site/site_options.h"

namespace balsamdrift::rig {

/// A customer of an experiment and the load that it sends.
struct load_customer {
    std::string name;
    /// Configured rate limit in requests per second, and its burst in requests.
    double rate = 0;
    double burst = 0;
    /// Mean number of requests per second that are sent.
    double load = 0;
    /// Sessions at the beginning; more are added if all are busy.
    int sessions = 10;
};

/// Shares of the kinds of requests in percent. What the first three leave of 100 is sent as
/// transactions.
struct load_mix {
    int read = 80;
    int write = 12;
    /// Writes with an Idempotency-Key.
    int once = 6;
    int transaction = 2;
};

/// A fault that is injected into a process at a set time.
struct scheduled_fault {
    /// Time since the beginning of the load.
    duration at{};
    /// kill, freeze, thaw, cut, heal, stop or restart.
    std::string kind;
    /// Name of a process, or `leader`, `primary` or `owner` for the process that has this role at
    /// that time: the leader of control, or the primary or owner of the first group.
    std::string target;
};

/// Bounds of the members of `load_measures` of the same names. Negative bounds are not checked.
struct load_bounds {
    /// Smallest share.
    double replica_share = -1;
    double write_gap_ms = -1;
    double read_gap_ms = -1;
    /// Smallest `worst_served_share`.
    double served_share = -1;
    double refused_in_rate = -1;
};

/// An experiment as its YAML file describes it.
struct experiment {
    std::string name;
    std::uint64_t seed = 1;
    duration length = seconds(10);
    site_options site;
    std::vector<load_customer> customers;
    load_mix mix;
    std::vector<scheduled_fault> faults;
    load_bounds bounds;
    /// Timeout that callers state with each request.
    duration timeout = seconds(5);
};

/// Reads an experiment from its file. Returns all problems of the file if there are any.
std::variant<experiment, std::vector<std::string>> read_experiment(const std::string& file);

}  // namespace balsamdrift::rig
