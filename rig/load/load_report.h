#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/load/experiment.h"
#include "rig/load/load_record.h"

namespace balsamdrift::rig {

/// How one customer fared.
struct customer_measure {
    std::string name;
    bool within_rate = true;
    std::size_t offered = 0;
    std::size_t served = 0;
    std::size_t refused_over_rate = 0;
    /// Refusals of an even split of the rate over the entries, for the same arrivals.
    std::size_t refused_even_split = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

/// The users' measures of one run, each beside its baseline.
struct load_measures {
    std::vector<customer_measure> customers;
    /// Share of reads that replicas served, and the share if sessions that wrote always used the
    /// primary.
    double replica_share = 0;
    double replica_share_primary_only = 0;
    /// Longest span without a success in the faulted group after the first fault.
    double write_gap_ms = 0;
    double read_gap_ms = 0;
    double worst_served_share = 1;
    double worst_p99_ms = 0;
    double refused_in_rate = 0;
    double refused_in_rate_even_split = 0;
    audit_result audit;
    /// How many requests ended with each code, by the code.
    std::map<std::string, std::size_t> codes;
    std::vector<std::string> missed_bounds;
};

/// Computes the measures of a run.
load_measures compute_measures(const experiment& plan, const load_result& result);

/// The report for people.
std::string format_table(const experiment& plan, const load_measures& measures);

/// The report for programs.
nlohmann::json to_json(const experiment& plan, const load_measures& measures);

/// The report with plots as a page that needs nothing else.
std::string format_html(const experiment& plan, const load_result& result,
                        const load_measures& measures);

}  // namespace balsamdrift::rig
