#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/load/experiment.h"
#include "rig/load/load_record.h"

namespace balsamdrift::rig {

/// Measures of a customer.
struct customer_measure {
    std::string name;
    /// Whether the customer's load is not above its rate limit.
    bool within_rate = true;
    /// Requests that were sent.
    std::size_t offered = 0;
    /// Requests that ended with status 200.
    std::size_t served = 0;
    /// Requests that ended with status 429.
    std::size_t refused_over_rate = 0;
    /// Requests that would be refused if each entry enforced an equal part of the rate.
    std::size_t refused_even_split = 0;
    /// Percentiles of the latency of served requests.
    double p50_ms = 0;
    double p99_ms = 0;
};

/// Measures of a run, some with the value that a simpler design would have had.
struct load_measures {
    std::vector<customer_measure> customers;
    /// Share of served reads that replicas answered, and the share if sessions always read at the
    /// primary after their first write.
    double replica_share = 0;
    double replica_share_primary_only = 0;
    /// Longest time without a success in the first group, which faults target, within 12 s after
    /// the first fault.
    double write_gap_ms = 0;
    double read_gap_ms = 0;
    /// Over the customers that stay within their rate: the smallest share of requests served, the
    /// largest 99th percentile of the latency, and the share of requests refused because of the
    /// rate, here and with the rate split evenly among the entries.
    double worst_served_share = 1;
    double worst_p99_ms = 0;
    double refused_in_rate = 0;
    double refused_in_rate_even_split = 0;
    audit_result audit;
    /// Number of requests that were not served, by kind and error code.
    std::map<std::string, std::size_t> codes;
    std::vector<std::string> missed_bounds;
};

/// Computes the measures of a run.
load_measures compute_measures(const experiment& plan, const load_result& result);

/// Formats the measures as a text table.
std::string format_table(const experiment& plan, const load_measures& measures);

/// Formats the measures for other programs.
nlohmann::json to_json(const experiment& plan, const load_measures& measures);

/// Formats the measures, with plots, as a self-contained HTML page.
std::string format_html(const experiment& plan, const load_result& result,
                        const load_measures& measures);

}  // namespace balsamdrift::rig
