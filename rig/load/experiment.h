#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/outcome.h"
#include "base/time.h"
#include "rig/site/site_options.h"

namespace balsamdrift::rig {

/// A customer of an experiment.
struct load_customer {
    std::string name;
    /// Limits that the system is told, in requests per second and requests.
    double rate = 0;
    double burst = 0;
    /// Requests per second that are sent.
    double load = 0;
    int sessions = 10;
};

/// Shares of the kinds of requests, in parts of a hundred.
struct load_mix {
    int read = 80;
    int write = 12;
    int once = 6;
    int transaction = 2;
};

/// What happens to a process at a time.
struct scheduled_fault {
    duration at{};
    /// kill, freeze, thaw, cut, heal, stop or restart.
    std::string kind;
    /// Name of a process, or `primary`, `owner` or `leader` for whoever has that role then.
    std::string target;
};

/// The bounds that the report is held against; negative ones are not checked.
struct load_bounds {
    double replica_share = -1;
    double write_gap_ms = -1;
    double read_gap_ms = -1;
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
    /// How long a request may take.
    duration timeout = seconds(5);
};

/// Reads an experiment, or every mistake in its file.
std::variant<experiment, std::vector<std::string>> read_experiment(const std::string& file);

}  // namespace balsamdrift::rig
