#include "rig/load/load_report.h"

#include <QString>
#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

#include "core/rates/token_bucket.h"

namespace balsamdrift::rig {
namespace {

using nlohmann::json;

/// Gaps are measured in a window of this length after the first fault.
constexpr seconds gap_window(12);

constexpr std::array<const char*, 4> kind_names{"read", "write", "once", "transaction"};

double to_ms(duration value) { return std::chrono::duration<double, std::milli>(value).count(); }

double quantile(std::vector<double>& values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

/// Number of requests that would be refused if each entry had a token bucket of its own with an
/// equal part of the customer's rate and burst.
std::size_t refused_by_even_split(const experiment& plan, const load_customer& customer,
                                  std::vector<const load_record*> records)
{
    std::sort(records.begin(), records.end(),
              [](const auto* a, const auto* b) { return a->intended_start < b->intended_start; });
    const auto parts = static_cast<double>(plan.site.entries);
    const time_point start{std::chrono::hours(1)};
    const bucket_limits limits{customer.rate / parts, std::max(customer.burst / parts, 1.0)};
    std::map<std::size_t, token_bucket> buckets;
    std::size_t refused = 0;
    for (const load_record* it : records) {
        const auto [bucket, inserted] =
            buckets.try_emplace(it->entry, make_full_bucket(limits, start));
        const auto taken = take_token(bucket->second, start + it->intended_start);
        refused += std::holds_alternative<token_refused>(taken) ? 1 : 0;
    }
    return refused;
}

customer_measure measure_customer(const experiment& plan, const load_result& result, std::size_t n)
{
    customer_measure it{.name = plan.customers[n].name,
                        .within_rate = plan.customers[n].load <= plan.customers[n].rate};
    std::vector<double> latencies;
    std::vector<const load_record*> records;
    for (const load_record& record : result.records) {
        if (record.customer != n) {
            continue;
        }
        records.push_back(&record);
        ++it.offered;
        it.served += record.status == 200 ? 1 : 0;
        it.refused_over_rate += record.status == 429 ? 1 : 0;
        if (record.status == 200) {
            latencies.push_back(to_ms(record.latency));
        }
    }
    it.p50_ms = quantile(latencies, 0.5);
    it.p99_ms = quantile(latencies, 0.99);
    it.refused_even_split = refused_by_even_split(plan, plan.customers[n], std::move(records));
    return it;
}

/// Longest time in milliseconds between two successful reads, or between two successful requests of
/// other kinds, in the first group after the first fault. 0 if no fault was injected.
double longest_gap(const load_result& result, bool reads)
{
    if (result.faults.empty()) {
        return 0;
    }
    const duration from = result.faults.front().at;
    std::vector<duration> successes{from};
    for (const load_record& it : result.records) {
        const duration ended = it.intended_start + it.latency;
        const bool kind_matches = (it.kind == request_kind::read) == reads;
        if (it.group == 0 && it.status == 200 && kind_matches && ended >= from &&
            ended <= from + gap_window) {
            successes.push_back(ended);
        }
    }
    std::sort(successes.begin(), successes.end());
    duration longest{};
    for (std::size_t n = 1; n < successes.size(); ++n) {
        longest = std::max(longest, successes[n] - successes[n - 1]);
    }
    return to_ms(longest);
}

void measure_replicas(const load_result& result, load_measures& measures)
{
    std::size_t reads = 0;
    std::size_t from_replica = 0;
    std::size_t never_wrote = 0;
    for (const load_record& it : result.records) {
        if (it.kind == request_kind::read && it.status == 200) {
            ++reads;
            from_replica += it.from_replica ? 1 : 0;
            never_wrote += it.session_wrote ? 0 : 1;
        }
    }
    if (reads > 0) {
        measures.replica_share = static_cast<double>(from_replica) / static_cast<double>(reads);
        measures.replica_share_primary_only =
            static_cast<double>(never_wrote) / static_cast<double>(reads);
    }
}

void check_bounds(const load_bounds& bounds, load_measures& measures)
{
    const auto check = [&](bool missed, const std::string& what) {
        if (missed) {
            measures.missed_bounds.push_back(what);
        }
    };
    check(bounds.replica_share >= 0 && measures.replica_share < bounds.replica_share,
          "replica share");
    check(bounds.write_gap_ms >= 0 && measures.write_gap_ms > bounds.write_gap_ms, "write gap");
    check(bounds.read_gap_ms >= 0 && measures.read_gap_ms > bounds.read_gap_ms, "read gap");
    check(bounds.served_share >= 0 && measures.worst_served_share < bounds.served_share,
          "share served of the worst-served customer");
    check(bounds.refused_in_rate >= 0 && measures.refused_in_rate > bounds.refused_in_rate,
          "refused although within the rate");
    check(measures.audit.lost > 0, "acknowledged writes were lost");
    check(measures.audit.doubled > 0, "writes ran twice");
    check(measures.audit.misreported > 0, "requests reported as not run had run");
    check(measures.audit.stale_reads > 0, "sessions did not read their writes");
}

/// Formats a text of up to 255 bytes as printf does.
std::string format_text(const char* format, auto... values)
{
    std::array<char, 256> buf{};
    std::snprintf(buf.data(), buf.size(), format, values...);
    return buf.data();
}

constexpr double plot_width = 1000;
constexpr double plot_height = 220;

/// SVG plot of the latency over time: a blue dot for each served request, a red one for each other
/// request, and a vertical line for each fault.
std::string latency_plot(const experiment& plan, const load_result& result)
{
    const double length = to_ms(plan.length);
    double axis_max_ms = 10;
    for (const load_record& it : result.records) {
        axis_max_ms = std::max(axis_max_ms, to_ms(it.latency));
    }
    std::string svg = format_text("<svg viewBox=\"0 0 %g %g\" width=\"%g\">", plot_width,
                                  plot_height + 30, plot_width);
    for (const load_record& it : result.records) {
        const double x = to_ms(it.intended_start) / length * plot_width;
        const double y = plot_height - to_ms(it.latency) / axis_max_ms * plot_height;
        svg += format_text("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"1\" fill=\"%s\"/>", x, y,
                           it.status == 200 ? "#3060c0" : "#d03020");
    }
    for (const fault_record& it : result.faults) {
        const double x = to_ms(it.at) / length * plot_width;
        svg += format_text("<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%g\" stroke=\"#888\"/>", x,
                           x, plot_height);
        svg += format_text("<text x=\"%.1f\" y=\"%g\" font-size=\"11\">%s</text>", x + 2,
                           plot_height + 14, it.text.c_str());
    }
    svg += format_text("<text x=\"2\" y=\"11\" font-size=\"11\">%.0f ms</text></svg>", axis_max_ms);
    return svg;
}

/// SVG bar chart of the share of requests that were served, by customer. Customers whose load is
/// above their rate have another colour.
std::string share_bars(const load_measures& measures)
{
    std::string svg;
    constexpr double bar = 18;
    const double height = bar * static_cast<double>(measures.customers.size()) + 10;
    svg += format_text("<svg viewBox=\"0 0 %g %g\" width=\"%g\">", plot_width, height, plot_width);
    double y = 0;
    for (const customer_measure& it : measures.customers) {
        const double share =
            it.offered == 0 ? 1 : static_cast<double>(it.served) / static_cast<double>(it.offered);
        svg += format_text("<rect x=\"150\" y=\"%g\" width=\"%g\" height=\"14\" fill=\"%s\"/>", y,
                           share * 700, it.within_rate ? "#3060c0" : "#c08030");
        svg += format_text("<text x=\"0\" y=\"%g\" font-size=\"12\">%s %.2f%%</text>", y + 12,
                           it.name.c_str(), share * 100);
        y += bar;
    }
    return svg + "</svg>";
}

}  // namespace

load_measures compute_measures(const experiment& plan, const load_result& result)
{
    load_measures measures;
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t refused_split = 0;
    for (std::size_t n = 0; n < plan.customers.size(); ++n) {
        measures.customers.push_back(measure_customer(plan, result, n));
        const customer_measure& customer = measures.customers.back();
        if (!customer.within_rate || customer.offered == 0) {
            continue;
        }
        offered += customer.offered;
        refused += customer.refused_over_rate;
        refused_split += customer.refused_even_split;
        const double share =
            static_cast<double>(customer.served) / static_cast<double>(customer.offered);
        measures.worst_served_share = std::min(measures.worst_served_share, share);
        measures.worst_p99_ms = std::max(measures.worst_p99_ms, customer.p99_ms);
    }
    if (offered > 0) {
        measures.refused_in_rate = static_cast<double>(refused) / static_cast<double>(offered);
        measures.refused_in_rate_even_split =
            static_cast<double>(refused_split) / static_cast<double>(offered);
    }
    for (const load_record& record : result.records) {
        if (record.status != 200) {
            ++measures.codes[std::string(kind_names.at(static_cast<std::size_t>(record.kind))) +
                             " " + (record.code.empty() ? "no_answer" : record.code)];
        }
    }
    measure_replicas(result, measures);
    measures.write_gap_ms = longest_gap(result, false);
    measures.read_gap_ms = longest_gap(result, true);
    measures.audit = result.audit;
    check_bounds(plan.bounds, measures);
    return measures;
}

std::string format_table(const experiment& plan, const load_measures& measures)
{
    std::string text = "experiment " + plan.name + ", seed " + std::to_string(plan.seed) + "\n";
    text += "  customer      offered  served   over rate  p50 ms   p99 ms\n";
    for (const customer_measure& c : measures.customers) {
        text += format_text("  %-12s %8zu %7zu %10zu %8.1f %8.1f%s\n", c.name.c_str(), c.offered,
                            c.served, c.refused_over_rate, c.p50_ms, c.p99_ms,
                            c.within_rate ? "" : "  above its rate");
    }
    text += format_text("  reads on replicas          %6.2f%%   (primary after a write: %.2f%%)\n",
                        measures.replica_share * 100, measures.replica_share_primary_only * 100);
    text += format_text("  gap for writes, reads      %6.0f ms  %.0f ms\n", measures.write_gap_ms,
                        measures.read_gap_ms);
    text += format_text("  worst served, its p99      %6.2f%%   %.1f ms\n",
                        measures.worst_served_share * 100, measures.worst_p99_ms);
    text += format_text("  refused within the rate    %6.3f%%   (rate split evenly: %.3f%%)\n",
                        measures.refused_in_rate * 100, measures.refused_in_rate_even_split * 100);
    text += format_text(
        "  rows acknowledged %zu, lost %zu, doubled %zu, misreported %zu, stale reads %zu\n",
        measures.audit.acknowledged, measures.audit.lost, measures.audit.doubled,
        measures.audit.misreported, measures.audit.stale_reads);
    for (const auto& [code, count] : measures.codes) {
        text += format_text("  not served: %6zu %s\n", count, code.c_str());
    }
    for (const std::string& missed : measures.missed_bounds) {
        text += "  MISSED: " + missed + "\n";
    }
    return text;
}

json to_json(const experiment& plan, const load_measures& measures)
{
    json customers = json::array();
    for (const customer_measure& c : measures.customers) {
        customers.push_back({{"customer", c.name},
                             {"within_rate", c.within_rate},
                             {"offered", c.offered},
                             {"served", c.served},
                             {"over_rate", c.refused_over_rate},
                             {"p50_ms", c.p50_ms},
                             {"p99_ms", c.p99_ms}});
    }
    return {{"experiment", plan.name},
            {"seed", plan.seed},
            {"customers", customers},
            {"replica_share", measures.replica_share},
            {"replica_share_primary_only", measures.replica_share_primary_only},
            {"write_gap_ms", measures.write_gap_ms},
            {"read_gap_ms", measures.read_gap_ms},
            {"worst_served_share", measures.worst_served_share},
            {"worst_p99_ms", measures.worst_p99_ms},
            {"refused_in_rate", measures.refused_in_rate},
            {"refused_in_rate_even_split", measures.refused_in_rate_even_split},
            {"acknowledged", measures.audit.acknowledged},
            {"lost", measures.audit.lost},
            {"doubled", measures.audit.doubled},
            {"misreported", measures.audit.misreported},
            {"stale_reads", measures.audit.stale_reads},
            {"codes", measures.codes},
            {"missed", measures.missed_bounds}};
}

std::string format_html(const experiment& plan, const load_result& result,
                        const load_measures& measures)
{
    const std::string table =
        QString::fromStdString(format_table(plan, measures)).toHtmlEscaped().toStdString();
    return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + plan.name +
           "</title><style>body{font:14px sans-serif;margin:2em}</style></head><body><h1>" +
           plan.name + "</h1><pre>" + table + "</pre><h2>Latency over time</h2>" +
           latency_plot(plan, result) + "<h2>Share served by customer</h2>" + share_bars(measures) +
           "</body></html>\n";
}

}  // namespace balsamdrift::rig
