#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace balsamdrift::soak {

/// One run of a deployment under load.
struct soak_options {
    std::string site;
    std::string root;
    std::string binaries;
    std::string folder;
    std::vector<std::string> faults;
    seconds length{60};
    std::uint64_t seed = 1;
    int cores = 0;
    /// The processes start within this time.
    milliseconds start_spread{300};
    /// Control members that are missing from the start.
    int absent = 0;
    /// Control members that are killed once while the processes start.
    int early_kills = 0;
};

/// Runs and prints the verdicts; true if no rule was broken. Throws std::exception if the run
/// cannot be set up.
bool run_soak(const soak_options& options);

}  // namespace balsamdrift::soak
