#pragma once

namespace balsamdrift {

/// Number of processors for which nng starts its threads. nng 1.5 starts two workers and one timer
/// thread for each, up to 24, and its interface has no setting for them. A fleet's few messages a
/// second need one; a VM with many cores would otherwise run some 30 threads that do nothing.
inline constexpr long network_processors = 1;

}  // namespace balsamdrift
