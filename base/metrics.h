#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace balsamdrift {

/// Adds to a counter. `labels` is the inside of the Prometheus braces, for example
/// `code="not_run"`. Safe from any thread.
void count_metric(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);

/// Sets a gauge.
void set_metric(std::string_view name, std::string_view labels, double value);

/// Records a span; quantiles 0.5, 0.9 and 0.99 are estimated with Boost.Accumulators.
void observe_metric(std::string_view name, std::string_view labels, duration span);

/// All metrics in the Prometheus text format.
std::string render_metrics();

}  // namespace balsamdrift
