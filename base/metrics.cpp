#include "base/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <sstream>

#include "base/sharded.h"

namespace balsamdrift {
namespace {

namespace acc = boost::accumulators;

constexpr std::array quantiles{0.5, 0.9, 0.99};

using summary_accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

/// Name and labels of one time series.
struct series_key {
    std::string name;
    std::string labels;
    auto operator<=>(const series_key&) const = default;
};

/// One shard of the metrics of this process.
struct metric_shard {
    std::map<series_key, std::uint64_t> counters;
    std::map<series_key, double> gauges;
    /// Nodes of a map keep their address, so references to its counters stay valid.
    std::map<series_key, metric_counter> found_counters;
    std::map<series_key, summary_accumulator> summaries;
};

sharded<metric_shard>& shards()
{
    static sharded<metric_shard> instance;
    return instance;
}

std::size_t shard_of(std::string_view name, std::string_view labels)
{
    const std::hash<std::string_view> hash;
    return hash(name) * 31 + hash(labels);
}

/// Formats the name of a series with its labels; `suffix` is appended to the name, and
/// `extra_label` to the labels.
std::string format_series(const series_key& key, std::string_view suffix = {},
                          std::string_view extra_label = {})
{
    std::string text = key.name;
    text.append(suffix);
    if (key.labels.empty() && extra_label.empty()) {
        return text;
    }
    const bool both = !key.labels.empty() && !extra_label.empty();
    text.append("{").append(key.labels).append(both ? "," : "").append(extra_label).append("}");
    return text;
}

void render_summary(std::ostream& out, const series_key& key, const summary_accumulator& summary)
{
    for (const double quantile : quantiles) {
        std::ostringstream label;
        label << "quantile=\"" << quantile << "\"";
        out << format_series(key, "", label.str()) << " "
            << acc::quantile(summary, acc::quantile_probability = quantile) << "\n";
    }
    out << format_series(key, "_sum") << " " << acc::sum(summary) << "\n";
    out << format_series(key, "_count") << " " << acc::count(summary) << "\n";
}

}  // namespace

std::string metric_label(std::string_view name, std::string_view value)
{
    std::string label(name);
    label += "=\"";
    for (const char it : value) {
        if (it == '\\' || it == '"') {
            label += '\\';
        }
        if (it == '\n') {
            label += "\\n";
        }
        else {
            label += it;
        }
    }
    return label + '"';
}

void count_metric(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    shards().with(shard_of(name, labels), [&](metric_shard& shard) {
        shard.counters[{std::string(name), std::string(labels)}] += amount;
    });
}

void set_metric(std::string_view name, std::string_view labels, double value)
{
    shards().with(shard_of(name, labels), [&](metric_shard& shard) {
        shard.gauges[{std::string(name), std::string(labels)}] = value;
    });
}

void observe_metric(std::string_view name, std::string_view labels, duration value)
{
    const double value_s = std::chrono::duration<double>(value).count();
    shards().with(shard_of(name, labels), [&](metric_shard& shard) {
        const series_key key{std::string(name), std::string(labels)};
        auto it = shard.summaries.find(key);
        if (it == shard.summaries.end()) {
            it = shard.summaries
                     .emplace(key,
                              summary_accumulator(acc::extended_p_square_probabilities = quantiles))
                     .first;
        }
        it->second(value_s);
    });
}

metric_counter& find_counter(std::string_view name, std::string_view labels)
{
    return shards().with(shard_of(name, labels), [&](metric_shard& shard) -> metric_counter& {
        return shard.found_counters[{std::string(name), std::string(labels)}];
    });
}

std::string render_metrics()
{
    std::ostringstream out;
    shards().for_each([&](const metric_shard& shard) {
        for (const auto& [key, value] : shard.counters) {
            out << format_series(key) << " " << value << "\n";
        }
        for (const auto& [key, counter] : shard.found_counters) {
            out << format_series(key) << " " << counter.value() << "\n";
        }
        for (const auto& [key, value] : shard.gauges) {
            out << format_series(key) << " " << value << "\n";
        }
        for (const auto& [key, summary] : shard.summaries) {
            render_summary(out, key, summary);
        }
    });
    return out.str();
}

}  // namespace balsamdrift
