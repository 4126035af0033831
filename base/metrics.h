#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace balsamdrift {

/// Adds to a counter. `labels` is the text between the Prometheus braces, for example
/// `code="not_run"`. The functions of this file may be called from any thread.
void count_metric(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);

/// Sets a gauge to a value.
void set_metric(std::string_view name, std::string_view labels, double value);

/// Adds a duration, in seconds, to a summary with estimated quantiles 0.5, 0.9 and 0.99.
void observe_metric(std::string_view name, std::string_view labels, duration value);

/// Returns all metrics in the Prometheus text format.
std::string render_metrics();

}  // namespace balsamdrift
