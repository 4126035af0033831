#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "rig/soak/site_description.h"

namespace balsamdrift::soak {

/// What callers asked for and got, second by second.
class service_record {
public:
    explicit service_record(const site_description& site) : site_(site) {}

    /// Callers begin.
    void begin(time_point at) { begin_ = at; }
    /// Requests from here on are judged by the recovery after a final fault.
    void final_fault(time_point back_at) { back_at_ = back_at; }
    /// An operation of a caller came to its end.
    void operation(time_point started, bool served, duration took, const std::string& kind);
    /// A caller's message got this error, or none.
    void failure(const std::string& code) { ++failures_[code]; }
    /// The failures since the last call.
    std::string take_failures();
    /// A disturbance acted in this second.
    void disturbed(time_point at);
    void probed(time_point at, const std::string& entry, bool ready);

    struct findings {
        std::vector<std::string> too_little;
        std::vector<std::string> not_recovered;
        std::string summary;
    };
    findings evaluate(time_point end) const;

private:
    struct bucket {
        int owed = 0;
        int served = 0;
        bool disturbed = false;
    };
    long second_of(time_point at) const;

    const site_description& site_;
    time_point begin_{};
    time_point back_at_ = time_point::max();
    std::map<long, bucket> seconds_;
    std::map<std::string, bucket> kinds_;
    /// Probes of each entry outside of disturbances, and those that found it ready.
    std::map<std::string, std::map<long, bool>> probes_;
    std::vector<double> latencies_ms_;
    std::map<std::string, int> failures_;
};

}  // namespace balsamdrift::soak
