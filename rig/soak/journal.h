#pragma once

#include <cstdint>
#include <fstream>
#include <iomanip>
#include <string>

#include "base/time.h"

namespace balsamdrift::soak {

/// The record of a run, with times since its start.
class journal {
public:
    explicit journal(const std::string& path) : out_(path) {}

    double seconds_at(time_point when) const { return float_seconds(when - start_).count(); }
    std::string label(time_point when) const
    {
        std::string out = std::to_string(seconds_at(when));
        out.resize(out.size() - 3);
        return out + " s";
    }
    void note(const std::string& text)
    {
        out_ << std::fixed << std::setprecision(3) << std::setw(9)
             << seconds_at(monotonic_clock::now()) << "  " << text << std::endl;
    }

private:
    time_point start_ = monotonic_clock::now();
    std::ofstream out_;
};

}  // namespace balsamdrift::soak
