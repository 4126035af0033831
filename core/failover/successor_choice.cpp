#include "core/failover/successor_choice.h"

#include <algorithm>
#include <functional>

namespace balsamdrift {

std::vector<const known_instance*> eligible_replicas(const primary_change_state& state,
                                                     const primary_change_view& view,
                                                     const primary_change_options& options,
                                                     time_point now)
{
    std::vector<const known_instance*> staying;
    std::vector<const known_instance*> leaving;
    std::vector<const known_instance*> recorded;
    for (const known_instance& it : view.instances) {
        const bool being_replaced = it.last_heartbeat.instance == view.record.instance &&
                                    view.record.phase != primary_phase::chosen;
        if (!is_fresh(it, options, now) ||
            state.excluded_replicas.contains(it.last_heartbeat.instance) ||
            view.evacuated.contains(it.last_heartbeat.instance)) {
            continue;
        }
        if (being_replaced) {
            recorded.push_back(&it);
        }
        else {
            (it.last_heartbeat.leaving ? leaving : staying).push_back(&it);
        }
    }
    if (staying.empty() && leaving.empty() && view.record.phase == primary_phase::suspended) {
        return recorded;
    }
    if (view.record.planned) {
        // The successor of a running primary has time to catch up, so it need not be a cold one.
        const auto is_warm = [](const known_instance* it) { return !is_cold(it->last_heartbeat); };
        if (std::any_of(staying.begin(), staying.end(), is_warm)) {
            std::erase_if(staying, std::not_fn(is_warm));
        }
    }
    return staying.empty() ? leaving : staying;
}

namespace {

/// The instance's answer to a request that was sent since all entries have settled; null if there
/// is none. An earlier position may lack a later commit.
const instance_status* status_of(const primary_change_state& state, const std::string& instance)
{
    const auto it = state.status_answers.find(instance);
    const bool usable =
        it != state.status_answers.end() && it->second.requested_at >= state.phase_since;
    return usable ? &it->second.status : nullptr;
}

/// The answer of a holder that is not in the directory; null if it has none of this choice.
const instance_status* status_of_departed(const primary_change_state& state,
                                          const commit_holder& holder)
{
    const auto it = state.holders.departed.find(holder);
    const bool usable = it != state.holders.departed.end() && it->second.answer &&
                        it->second.answer->requested_at >= state.phase_since;
    return usable ? &it->second.answer->status : nullptr;
}

/// The replica with the newest received position among those that answered, a warm one if there is
/// a choice, or null.
const known_instance* most_advanced_replica(const primary_change_state& state,
                                            const std::vector<const known_instance*>& replicas)
{
    const known_instance* best = nullptr;
    log_position most_received{};
    for (const known_instance* it : replicas) {
        const instance_status* const status = status_of(state, it->last_heartbeat.instance);
        if (status == nullptr) {
            continue;
        }
        const bool is_warmer = best != nullptr && is_cold(best->last_heartbeat) &&
                               !is_cold(it->last_heartbeat) && status->received == most_received;
        if (best == nullptr || status->received > most_received || is_warmer) {
            best = it;
            most_received = status->received;
        }
    }
    return best;
}

/// The instance that served last and acknowledged the newest commits.
const std::string& predecessor_of(const primary_record& record)
{
    return record.predecessor.empty() ? record.instance : record.predecessor;
}

/// Chooses the most advanced replica of those that answer in time. A planned change waits for one
/// that has everything.
void choose_most_advanced(primary_change_state& state, actions& out,
                          const primary_change_view& view, const primary_change_options& options,
                          time_point now)
{
    const auto replicas = eligible_replicas(state, view, options, now);
    if (replicas.empty()) {
        // No other replica is left, so the excluded ones are tried again.
        state.excluded_replicas.clear();
        return;
    }
    for (const known_instance* it : replicas) {
        request_status_if_due(state, out, it->last_heartbeat.instance, options.status_interval,
                              now);
    }
    if (view.record.planned) {
        request_status_if_due(state, out, view.record.instance, options.status_interval, now);
    }
    const known_instance* const best = most_advanced_replica(state, replicas);
    if (best == nullptr) {
        return;
    }
    const log_position received = status_of(state, best->last_heartbeat.instance)->received;
    const instance_status* const old_primary = status_of(state, view.record.instance);
    const bool has_everything = old_primary != nullptr && received >= old_primary->received;
    const bool all_answered =
        std::all_of(replicas.begin(), replicas.end(), [&](const known_instance* it) {
            return status_of(state, it->last_heartbeat.instance) != nullptr;
        });
    const duration waited = now - state.phase_since;
    const bool enough = view.record.planned ? has_everything || waited >= options.handover_timeout
                                            : all_answered || waited >= options.selection_timeout;
    if (enough) {
        propose(state, out,
                {best->last_heartbeat.instance, primary_phase::chosen, view.record.planned}, now);
    }
}

/// The newest position that any instance has received, in the directory or not.
log_position newest_received(const primary_change_state& state, const primary_change_view& view)
{
    log_position newest;
    for (const known_instance& it : view.instances) {
        if (const auto* const status = status_of(state, it.last_heartbeat.instance)) {
            newest = std::max(newest, status->received);
        }
    }
    for (const auto& [holder, it] : state.holders.departed) {
        if (const auto* const status = status_of_departed(state, holder)) {
            newest = std::max(newest, status->received);
        }
    }
    return newest;
}

/// True if the instance has answered for the incarnation that the directory knows. One whose
/// heartbeats are late and that holds nothing, while others hold something, has started again
/// without its log.
bool has_answered(const primary_change_state& state, const known_instance& it,
                  const log_position& newest, const primary_change_options& options, time_point now)
{
    const instance_status* const status = status_of(state, it.last_heartbeat.instance);
    const bool late = now - it.last_heartbeat_at > options.heartbeat_timeout;
    const bool lost_log =
        status != nullptr && late && status->received == log_position{} && newest != log_position{};
    return status != nullptr && !lost_log;
}

/// The recorded holders and the instances in the directory, without the old primary, whose log has
/// not been heard.
std::vector<commit_holder> missing_holders(const primary_change_state& state,
                                           const primary_change_view& view,
                                           const primary_change_options& options,
                                           const log_position& newest, time_point now)
{
    commit_holders all;
    for (const known_instance& it : view.instances) {
        all.insert(holder_of(it.last_heartbeat));
    }
    for (const commit_holder& it : view.holders) {
        if (find_holder(view.instances, it) == nullptr) {
            all.insert(it);
        }
    }
    std::vector<commit_holder> missing;
    for (const commit_holder& it : all) {
        const known_instance* const log = find_log_of(view.instances, it);
        const bool heard = log != nullptr ? has_answered(state, *log, newest, options, now)
                                          : status_of_departed(state, it) != nullptr;
        if (it.instance != predecessor_of(view.record) && !heard) {
            missing.push_back(it);
        }
    }
    return missing;
}

/// True if the old primary still is one and has all that the others have; false if it is gone, was
/// replaced or lost its log.
bool old_primary_has_everything(const primary_change_state& state, const primary_change_view& view,
                                const log_position& newest)
{
    const instance_status* const status = status_of(state, predecessor_of(view.record));
    return status != nullptr && status->is_primary && status->received >= newest;
}

/// The instances that have received `needed` and may become primary, those to prefer first: warm
/// ones that stay, cold ones that stay, leaving ones, and last the old primary.
std::vector<const known_instance*> complete_candidates(const primary_change_state& state,
                                                       const primary_change_view& view,
                                                       const primary_change_options& options,
                                                       const log_position& needed, time_point now)
{
    std::vector<const known_instance*> candidates;
    for (const known_instance& it : view.instances) {
        const std::string& name = it.last_heartbeat.instance;
        const instance_status* const status = status_of(state, name);
        const bool complete = status != nullptr && status->received >= needed;
        const bool leaves_as_primary =
            name == predecessor_of(view.record) && it.last_heartbeat.leaving;
        if (complete && is_fresh(it, options, now) && !view.evacuated.contains(name) &&
            !leaves_as_primary) {
            candidates.push_back(&it);
        }
    }
    const auto rank = [&](const known_instance* it) {
        const bool old_primary = it->last_heartbeat.instance == predecessor_of(view.record);
        return old_primary                   ? 3
               : it->last_heartbeat.leaving  ? 2
               : is_cold(it->last_heartbeat) ? 1
                                             : 0;
    };
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [&](const known_instance* a, const known_instance* b) { return rank(a) < rank(b); });
    return candidates;
}

void report_missing(primary_change_state& state, actions& out, const std::string& instance,
                    duration waited, const primary_change_options& options)
{
    if (!state.missing_holder_reported && waited >= options.selection_timeout) {
        state.missing_holder_reported = true;
        out.push_back(report_missing_holder{instance});
    }
}

/// Chooses an instance that has every acknowledged commit.
void choose_complete(primary_change_state& state, actions& out, const primary_change_view& view,
                     const primary_change_options& options, time_point now)
{
    for (const known_instance& it : view.instances) {
        request_status_if_due(state, out, it.last_heartbeat.instance, options.status_interval, now);
    }
    const duration waited = now - state.phase_since;
    const log_position needed = newest_received(state, view);
    const bool old_primary_runs = old_primary_has_everything(state, view, needed);
    const auto missing = missing_holders(state, view, options, needed, now);
    // Each acknowledged commit has `guaranteed` copies, so at most one fewer may be missing if one
    // that has the commit is to be among those that answered.
    const auto max_missing = static_cast<std::size_t>(state.copies.guaranteed - 1);
    if (!old_primary_runs && missing.size() > max_missing) {
        report_missing(state, out, missing.front().instance, waited, options);
        return;
    }
    const auto candidates = complete_candidates(state, view, options, needed, now);
    const auto usable =
        std::find_if(candidates.begin(), candidates.end(), [&](const known_instance* it) {
            return !state.excluded_replicas.contains(it->last_heartbeat.instance);
        });
    if (usable == candidates.end()) {
        // If any is complete, its promotion failed, and it is tried again.
        state.excluded_replicas.clear();
        return;
    }
    const instance_heartbeat& best = (*usable)->last_heartbeat;
    // While the old primary runs, a replica that stays may still catch up with it.
    const bool stays = !best.leaving && best.instance != predecessor_of(view.record);
    if (stays || !old_primary_runs || waited >= options.handover_timeout) {
        propose(state, out, {best.instance, primary_phase::chosen, view.record.planned}, now);
    }
}

}  // namespace

void choose_successor(primary_change_state& state, actions& out, const primary_change_view& view,
                      const primary_change_options& options, time_point now)
{
    if (!view.entries_settled) {
        // Entries may still write to the old primary. Positions reported before the last write
        // could lead to the choice of a replica that lacks it, so they are discarded.
        state.status_answers.clear();
        state.status_requested_at.clear();
        state.phase_since = now;
        return;
    }
    if (view.synchronous_replicas > 0) {
        choose_complete(state, out, view, options, now);
    }
    else {
        choose_most_advanced(state, out, view, options, now);
    }
}

}  // namespace balsamdrift
