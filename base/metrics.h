#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace balsamdrift {

/// Formats one label, `name="value"`. The value may be any text; what would end it is escaped.
std::string metric_label(std::string_view name, std::string_view value);

/// Adds to a counter. `labels` is the text between the Prometheus braces, for example
/// `code="not_run"`. The functions of this file may be called from any thread.
void count_metric(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);

/// Sets a gauge to a value.
void set_metric(std::string_view name, std::string_view labels, double value);

/// Adds a duration, in seconds, to a summary with estimated quantiles 0.5, 0.9 and 0.99.
void observe_metric(std::string_view name, std::string_view labels, duration value);

/// A counter whose name and labels are looked up once. For code that counts each message.
class metric_counter {
public:
    /// Adds to the counter. May be called from any thread.
    void add(std::uint64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }

    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ = 0;
};

/// Returns the counter of this name and these labels, which exists until the process ends. It must
/// not also be counted with count_metric(), or it would be listed twice.
metric_counter& find_counter(std::string_view name, std::string_view labels);

/// Returns all metrics in the Prometheus text format.
std::string render_metrics();

}  // namespace balsamdrift
