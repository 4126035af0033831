#include "core/failover/holder_tracking.h"

#include <algorithm>

namespace balsamdrift {

namespace {

/// True if a later incarnation of the instance reports from the same address.
bool has_started_again(const std::vector<known_instance>& instances, const commit_holder& holder)
{
    return std::any_of(instances.begin(), instances.end(), [&](const known_instance& other) {
        const instance_heartbeat& it = other.last_heartbeat;
        return it.instance == holder.instance && it.address == holder.address &&
               it.born_ms > holder.born_ms;
    });
}

}  // namespace

commit_holder holder_of(const instance_heartbeat& it)
{
    return {it.instance, it.born_ms, it.address, it.leaving};
}

const known_instance* find_holder(const std::vector<known_instance>& instances,
                                  const commit_holder& holder)
{
    const auto it =
        std::find_if(instances.begin(), instances.end(), [&](const known_instance& other) {
            return other.last_heartbeat.instance == holder.instance &&
                   other.last_heartbeat.born_ms == holder.born_ms;
        });
    return it == instances.end() ? nullptr : &*it;
}

const known_instance* find_log_of(const std::vector<known_instance>& instances,
                                  const commit_holder& holder)
{
    const known_instance* const same = find_holder(instances, holder);
    if (same != nullptr || !holder.leaving) {
        return same;
    }
    const auto next =
        std::find_if(instances.begin(), instances.end(), [&](const known_instance& other) {
            // One that starts again under its own name has lost its log.
            return other.last_heartbeat.address == holder.address &&
                   other.last_heartbeat.instance != holder.instance;
        });
    return next == instances.end() ? nullptr : &*next;
}

commit_holders holders_to_record(holder_tracking& tracking, const commit_holders& recorded,
                                 const std::vector<known_instance>& instances, time_point now)
{
    commit_holders holders;
    for (const known_instance& it : instances) {
        holders.insert(holder_of(it.last_heartbeat));
    }
    std::map<commit_holder, departed_holder> departed;
    for (const commit_holder& it : recorded) {
        if (find_holder(instances, it) != nullptr) {
            continue;
        }
        holders.insert(it);
        const auto known = tracking.departed.find(it);
        departed_holder& kept = departed[it];
        kept = known == tracking.departed.end() ? departed_holder{.last_heard_at = now}
                                                : known->second;
        if (!kept.superseded && has_started_again(instances, it)) {
            kept.superseded = true;
            kept.answer.reset();
            kept.ended_at = now;
        }
    }
    tracking.departed = std::move(departed);
    return holders;
}

void note_recent_instances(holder_tracking& tracking, const std::vector<known_instance>& instances,
                           duration lifetime, time_point now)
{
    // Rarely, because this is done for each service with each tick.
    constexpr seconds update_interval(1);
    if (now - tracking.recent_updated_at < update_interval) {
        return;
    }
    tracking.recent_updated_at = now;
    for (const known_instance& it : instances) {
        tracking.recent[holder_of(it.last_heartbeat)] = now;
    }
    std::erase_if(tracking.recent,
                  [&](const auto& entry) { return now - entry.second > lifetime; });
}

void take_primary_sample(holder_tracking& tracking, const status_answers& answers,
                         const std::string& primary, time_point since)
{
    if (tracking.primary_sample && tracking.primary_sample->requested_at < since) {
        tracking.primary_sample.reset();
    }
    const auto answer = answers.find(primary);
    if (!tracking.primary_sample && answer != answers.end() && answer->second.status.is_primary &&
        answer->second.requested_at >= since) {
        tracking.primary_sample = answer->second;
    }
}

bool has_caught_up(const holder_tracking& tracking, const status_answers& answers,
                   const std::string& instance)
{
    const auto answer = answers.find(instance);
    return tracking.primary_sample && answer != answers.end() &&
           answer->second.requested_at > tracking.primary_sample->requested_at &&
           answer->second.status.received >= tracking.primary_sample->status.received;
}

}  // namespace balsamdrift
