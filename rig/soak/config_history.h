#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/time.h"
#include "rig/soak/configuration.h"

namespace balsamdrift::soak {

/// A configuration that the operator has sent.
struct sent_change {
    nlohmann::json content;
    configuration_index index;
    bool valid = true;
    time_point sent_at{};
    std::optional<time_point> acked_at;
};

/// All configurations that were sent, by version, and when they were acknowledged.
class config_history {
public:
    using predicate = std::function<bool(const configuration_index&)>;

    void add_sent(const configuration& conf, bool valid, time_point at);
    /// A body that cannot be read as a configuration, or is invalid in another way.
    void add_invalid(int version, time_point at);
    void add_ack(int version, time_point at);
    const sent_change* find(int version) const;
    /// The newest version acknowledged at or before the time; 0 if there is none.
    int acked_by(time_point at) const;
    int newest_acked() const { return acks_.empty() ? 0 : acks_.back().second; }
    /// True if a valid version of at least `from` meets the condition.
    bool allows(int from, const predicate& condition) const;
    /// The lowest and the highest valid version that meet the condition; nothing if none does.
    std::optional<std::pair<int, int>> allowing(const predicate& condition) const;

private:
    std::map<int, sent_change> sent_;
    /// Times of acknowledgement with the newest version acknowledged until then.
    std::vector<std::pair<time_point, int>> acks_;
};

}  // namespace balsamdrift::soak
