#include "rig/soak/config_history.h"

#include <algorithm>

namespace balsamdrift::soak {

void config_history::add_sent(const configuration& conf, bool valid, time_point at)
{
    sent_.try_emplace(conf.version, sent_change{.content = to_json(conf),
                                                .index = make_index(conf),
                                                .valid = valid,
                                                .sent_at = at});
}

void config_history::add_invalid(int version, time_point at)
{
    sent_.try_emplace(version, sent_change{.valid = false, .sent_at = at});
}

void config_history::add_ack(int version, time_point at)
{
    const auto it = sent_.find(version);
    if (it == sent_.end() || !it->second.valid || it->second.acked_at) {
        return;
    }
    it->second.acked_at = at;
    acks_.emplace_back(at, std::max(version, newest_acked()));
}

const sent_change* config_history::find(int version) const
{
    const auto it = sent_.find(version);
    return it == sent_.end() ? nullptr : &it->second;
}

int config_history::acked_by(time_point at) const
{
    const auto it = std::upper_bound(acks_.begin(), acks_.end(), at,
                                     [](time_point t, const auto& ack) { return t < ack.first; });
    return it == acks_.begin() ? 0 : std::prev(it)->second;
}

bool config_history::allows(int from, const predicate& condition) const
{
    for (auto it = sent_.rbegin(); it != sent_.rend() && it->first >= from; ++it) {
        if (it->second.valid && condition(it->second.index)) {
            return true;
        }
    }
    return false;
}

std::optional<std::pair<int, int>> config_history::allowing(const predicate& condition) const
{
    std::optional<std::pair<int, int>> out;
    for (const auto& [version, change] : sent_) {
        if (change.valid && condition(change.index)) {
            out = {out ? out->first : version, version};
        }
    }
    return out;
}

}  // namespace balsamdrift::soak
