#include "core/failover/primary_change.h"

#include <algorithm>
#include <functional>

namespace balsamdrift {
namespace {

using actions = std::vector<primary_action>;

const known_instance* find_instance(const primary_change_view& view, const std::string& name)
{
    const auto it = std::find_if(
        view.instances.begin(), view.instances.end(),
        [&](const known_instance& other) { return other.last_heartbeat.instance == name; });
    return it == view.instances.end() ? nullptr : &*it;
}

/// Resets the state when the record has entered another phase. What does not depend on the phase is
/// kept: when the primary last served an entry, the newest term, whether a blocked evacuation was
/// reported, and during a change the excluded replicas.
void enter_phase(primary_change_state& state, const primary_record& record, time_point now)
{
    if (state.epoch == record.epoch) {
        return;
    }
    primary_change_state next{.epoch = record.epoch,
                              .phase_since = now,
                              .last_served_at = state.last_served_at,
                              .newest_term = state.newest_term,
                              .blocked_evacuation_reported = state.blocked_evacuation_reported};
    if (record.phase != primary_phase::serving) {
        next.excluded_replicas = state.excluded_replicas;
    }
    const bool first_view_of_leader = state.epoch == 0;
    if (first_view_of_leader && record.phase == primary_phase::chosen) {
        next.promotion.unclear_at = now;
    }
    state = std::move(next);
}

/// Requests the status of an instance unless that was done within the interval. Requests are
/// repeated whether or not they were answered.
void request_status_if_due(primary_change_state& state, actions& out, const std::string& instance,
                           duration interval, time_point now)
{
    const auto [it, first] = state.status_requested_at.try_emplace(instance, now);
    if (!first && now - it->second < interval) {
        return;
    }
    it->second = now;
    out.push_back(request_status{instance});
}

void propose(primary_change_state& state, actions& out, propose_phase phase, time_point now)
{
    state.proposed_at = now;
    out.push_back(std::move(phase));
}

bool is_fresh(const known_instance& it, const primary_change_options& options, time_point now)
{
    return now - it.last_heartbeat_at <= options.replica_heartbeat_timeout;
}

/// Instances that may take over. Replicas that are leaving are used only when there are no others,
/// and instances in evacuated failure domains never.
/// The recorded instance, which is being replaced or could not be promoted, comes last: once no
/// entry uses it any more, it has every commit that was acknowledged, if it is running.
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

/// Records the first primary of a service: an instance that reports itself as primary. There is no
/// earlier primary that would have to be fenced.
void adopt_first_primary(primary_change_state& state, actions& out, const primary_change_view& view,
                         time_point now)
{
    for (const known_instance& it : view.instances) {
        if (it.last_heartbeat.reports_primary && !it.last_heartbeat.leaving) {
            propose(state, out, {it.last_heartbeat.instance, primary_phase::serving, false}, now);
            return;
        }
    }
}

/// Sends the newest term to other instances that still report themselves as primary, so that they
/// step down. Until the term is known, the status of the recorded primary is requested instead.
void fence_stale_primaries(primary_change_state& state, actions& out,
                           const primary_change_view& view, const primary_change_options& options,
                           time_point now)
{
    if (view.record.generation == 0) {
        return;
    }
    for (const known_instance& it : view.instances) {
        const std::string& name = it.last_heartbeat.instance;
        const bool is_stale_primary = it.last_heartbeat.reports_primary &&
                                      name != view.record.instance &&
                                      now - it.last_heartbeat_at < options.heartbeat_timeout;
        if (!is_stale_primary) {
            continue;
        }
        if (state.newest_term == 0) {
            request_status_if_due(state, out, view.record.instance, options.slow_status_interval,
                                  now);
            continue;
        }
        const auto [request, first] = state.status_requested_at.try_emplace(name, now);
        if (first || now - request->second >= options.slow_status_interval) {
            request->second = now;
            out.push_back(request_step_down{name, state.newest_term});
        }
    }
}

/// Reports once when only instances in evacuated failure domains are left, none of which may act as
/// primary.
void report_if_blocked(primary_change_state& state, actions& out, const primary_change_view& view,
                       const primary_change_options& options, time_point now)
{
    const bool blocked =
        !view.evacuated.empty() &&
        std::none_of(view.instances.begin(), view.instances.end(), [&](const known_instance& it) {
            return is_fresh(it, options, now) &&
                   !view.evacuated.contains(it.last_heartbeat.instance);
        });
    if (!blocked) {
        state.blocked_evacuation_reported = false;
        return;
    }
    // A new leader may not have received a heartbeat of every instance yet.
    const bool may_not_have_reported = now - state.phase_since < options.replica_heartbeat_timeout;
    if (!state.blocked_evacuation_reported && !may_not_have_reported) {
        state.blocked_evacuation_reported = true;
        out.push_back(report_blocked_evacuation{view.record.instance});
    }
}

/// Proposes to replace the primary when it is lost, no longer primary, leaving, or in an evacuated
/// failure domain, provided that a replica can take over.
void monitor_serving_primary(primary_change_state& state, actions& out,
                             const primary_change_view& view, const primary_change_options& options,
                             time_point now)
{
    const known_instance* const primary = find_instance(view, view.record.instance);
    // A new leader may not have received a heartbeat of every instance yet.
    const bool may_not_have_reported =
        primary == nullptr && now - state.phase_since < options.replica_heartbeat_timeout;
    if (may_not_have_reported || eligible_replicas(state, view, options, now).empty()) {
        return;
    }
    const bool evacuated = view.evacuated.contains(view.record.instance);
    if (evacuated || (primary != nullptr && primary->last_heartbeat.leaving)) {
        propose(state, out, {view.record.instance, primary_phase::suspended, true}, now);
        return;
    }
    const bool recently_served = now - state.last_served_at < options.last_served_lifetime;
    const bool primary_lost = failed_status_requests(state, view.record.instance) >=
                                  options.failed_status_request_limit &&
                              !recently_served;
    const auto answer = state.status_answers.find(view.record.instance);
    const bool answered_as_replica =
        answer != state.status_answers.end() && !answer->second.is_primary;
    if (primary_lost || answered_as_replica) {
        propose(state, out, {view.record.instance, primary_phase::suspended, false}, now);
        return;
    }
    const bool heartbeat_late =
        primary == nullptr || now - primary->last_heartbeat_at > options.heartbeat_timeout;
    const bool failure_reported = now - state.failure_reported_at < options.failure_report_lifetime;
    const bool reports_replica = primary != nullptr && !primary->last_heartbeat.reports_primary;
    if (failure_reported || reports_replica || (heartbeat_late && !recently_served)) {
        const bool healthy = answer != state.status_answers.end() &&
                             failed_status_requests(state, view.record.instance) == 0;
        request_status_if_due(state, out, view.record.instance,
                              healthy ? options.slow_status_interval : options.status_interval,
                              now);
    }
    else {
        state.failed_status_requests.erase(view.record.instance);
    }
    fence_stale_primaries(state, out, view, options, now);
}

/// The replica with the newest received position among those that answered, a warm one if there is
/// a choice, or null.
const known_instance* most_advanced_replica(const primary_change_state& state,
                                            const std::vector<const known_instance*>& replicas)
{
    const known_instance* best = nullptr;
    log_position most_received{};
    for (const known_instance* it : replicas) {
        const auto answer = state.status_answers.find(it->last_heartbeat.instance);
        if (answer == state.status_answers.end()) {
            continue;
        }
        const bool is_warmer = best != nullptr && is_cold(best->last_heartbeat) &&
                               !is_cold(it->last_heartbeat) &&
                               answer->second.received == most_received;
        if (best == nullptr || answer->second.received > most_received || is_warmer) {
            best = it;
            most_received = answer->second.received;
        }
    }
    return best;
}

/// The replicas in evacuated failure domains. With synchronous replicas, one of them may hold an
/// acknowledged commit that the instances elsewhere lack, even if it is silent now.
std::vector<const known_instance*> evacuated_replicas(const primary_change_view& view)
{
    std::vector<const known_instance*> replicas;
    for (const known_instance& it : view.instances) {
        const std::string& name = it.last_heartbeat.instance;
        if (name != view.record.instance && view.evacuated.contains(name)) {
            replicas.push_back(&it);
        }
    }
    return replicas;
}

std::size_t count_answered(const primary_change_state& state,
                           const std::vector<const known_instance*>& replicas)
{
    return static_cast<std::size_t>(
        std::count_if(replicas.begin(), replicas.end(), [&](const known_instance* it) {
            return state.status_answers.contains(it->last_heartbeat.instance);
        }));
}

/// True when the best replica has received everything that the evacuated ones that answered have.
bool has_commits_of_evacuated(const primary_change_state& state, const known_instance& best,
                              const std::vector<const known_instance*>& evacuated)
{
    const known_instance* const ahead = most_advanced_replica(state, evacuated);
    return ahead == nullptr || state.status_answers.at(best.last_heartbeat.instance).received >=
                                   state.status_answers.at(ahead->last_heartbeat.instance).received;
}

/// Chooses the replica to promote once enough replicas have reported their positions.
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
    const known_instance* const best = most_advanced_replica(state, replicas);
    const duration waited = now - state.phase_since;
    if (best == nullptr) {
        return;
    }
    bool complete = false;
    if (view.record.planned) {
        request_status_if_due(state, out, view.record.instance, options.status_interval, now);
        const auto old_primary = state.status_answers.find(view.record.instance);
        complete = old_primary != state.status_answers.end() &&
                   state.status_answers.at(best->last_heartbeat.instance).received >=
                       old_primary->second.received;
        if (!complete && waited < options.handover_timeout) {
            return;
        }
    }
    // Evacuated replicas are asked only where an acknowledged commit could otherwise be lost.
    std::vector<const known_instance*> evacuated;
    if (view.synchronous_replicas > 0 && !complete) {
        evacuated = evacuated_replicas(view);
    }
    for (const known_instance* it : evacuated) {
        request_status_if_due(state, out, it->last_heartbeat.instance, options.status_interval,
                              now);
    }
    if (!has_commits_of_evacuated(state, *best, evacuated)) {
        return;
    }
    const bool may_lose_commits = !view.record.planned || !evacuated.empty();
    if (may_lose_commits && !complete) {
        // A commit is acknowledged by `synchronous_replicas` replicas, so at most one fewer may be
        // missing if one that has the commit is to be among those that answered.
        const std::size_t answered =
            count_answered(state, replicas) + count_answered(state, evacuated);
        const std::size_t other_instances = view.instances.empty() ? 0 : view.instances.size() - 1;
        const auto max_missing =
            static_cast<std::size_t>(std::max(view.synchronous_replicas - 1, 0));
        const bool may_choose = view.synchronous_replicas == 0
                                    ? waited >= options.selection_timeout
                                    : answered + max_missing >= other_instances;
        if (answered < replicas.size() + evacuated.size() && !may_choose) {
            return;
        }
        if (view.synchronous_replicas > 0 && answered + max_missing < other_instances) {
            return;
        }
    }
    propose(state, out, {best->last_heartbeat.instance, primary_phase::chosen, view.record.planned},
            now);
}

/// True while a promotion of the chosen instance may still take effect. Until then no other
/// instance may be chosen: two promotions of one service could take effect in either order, and
/// the instance that serves would be replaced without notice.
bool may_take_effect(const promotion_progress& it, const primary_change_options& options,
                     time_point now)
{
    const bool accepted = it.accepted_at && now - *it.accepted_at < options.promotion_effect_limit;
    const bool unclear = it.unclear_at && now - *it.unclear_at < options.unclear_promotion_lifetime;
    return it.awaiting_answer || accepted || unclear;
}

bool is_promotion_request_due(const promotion_progress& it, const primary_change_options& options,
                              time_point now)
{
    if (it.awaiting_answer) {
        return false;
    }
    const duration interval =
        it.accepted ? options.promotion_effect_timeout : options.promotion_retry_interval;
    return !it.requested_at || now - *it.requested_at > interval;
}

/// True when the chosen instance cannot be promoted: the platform rejected it, or it does not
/// respond. One that reports itself as primary was promoted, even if it is too busy to answer.
bool cannot_be_promoted(const primary_change_state& state, const primary_change_view& view,
                        const primary_change_options& options, time_point now)
{
    const std::string& name = view.record.instance;
    const known_instance* const chosen = find_instance(view, name);
    if (state.excluded_replicas.contains(name) || chosen == nullptr ||
        !is_fresh(*chosen, options, now)) {
        return true;
    }
    return !chosen->last_heartbeat.reports_primary &&
           failed_status_requests(state, name) > options.failed_status_request_limit;
}

/// Has the chosen instance promoted until it reports itself as primary. Excludes it and returns to
/// the choice when it cannot be promoted and no promotion of it can take effect any more.
void promote_chosen(primary_change_state& state, actions& out, const primary_change_view& view,
                    const primary_change_options& options, time_point now)
{
    const std::string& name = view.record.instance;
    const auto answer = state.status_answers.find(name);
    if (answer != state.status_answers.end() && answer->second.is_primary) {
        state.newest_term = std::max(state.newest_term, answer->second.term);
        propose(state, out, {name, primary_phase::serving, false}, now);
        return;
    }
    if (cannot_be_promoted(state, view, options, now) &&
        !may_take_effect(state.promotion, options, now)) {
        state.excluded_replicas.insert(name);
        propose(state, out, {name, primary_phase::suspended, false}, now);
        return;
    }
    if (is_promotion_request_due(state.promotion, options, now)) {
        state.promotion.requested_at = now;
        state.promotion.awaiting_answer = true;
        state.promotion.accepted = false;
        out.push_back(request_promotion{name});
        return;
    }
    const known_instance* const chosen = find_instance(view, name);
    const bool reports_primary = chosen != nullptr && chosen->last_heartbeat.reports_primary;
    if (now - state.phase_since > options.confirmation_interval) {
        request_status_if_due(
            state, out, name,
            reports_primary ? options.status_interval : options.confirmation_interval, now);
    }
}

/// A proposal is repeated if it has not changed the record within this time. Until then nothing
/// else is done.
constexpr milliseconds proposal_timeout(1000);

}  // namespace

std::vector<primary_action> advance(primary_change_state& state, const primary_change_view& view,
                                    const primary_change_options& options, time_point now)
{
    enter_phase(state, view.record, now);
    actions out;
    if (!view.record.instance.empty()) {
        report_if_blocked(state, out, view, options, now);
    }
    if (state.proposed_at && now - *state.proposed_at < proposal_timeout) {
        return out;
    }
    if (view.record.instance.empty()) {
        adopt_first_primary(state, out, view, now);
        return out;
    }
    switch (view.record.phase) {
        case primary_phase::serving: monitor_serving_primary(state, out, view, options, now); break;
        case primary_phase::suspended: choose_successor(state, out, view, options, now); break;
        case primary_phase::chosen: promote_chosen(state, out, view, options, now); break;
    }
    return out;
}

void handle_entry_report(primary_change_state& state, const primary_record& record,
                         const std::string& instance, bool failing,
                         std::optional<duration> since_last_served, time_point now)
{
    if (record.instance != instance) {
        return;
    }
    if (failing) {
        state.failure_reported_at = now;
    }
    if (since_last_served) {
        state.last_served_at = std::max(state.last_served_at, now - *since_last_served);
    }
}

void handle_status_answer(primary_change_state& state, const std::string& instance,
                          const std::optional<instance_status>& answer)
{
    if (!answer) {
        ++state.failed_status_requests[instance];
        return;
    }
    state.failed_status_requests.erase(instance);
    state.status_answers[instance] = *answer;
    state.newest_term = std::max(state.newest_term, answer->term);
}

int failed_status_requests(const primary_change_state& state, const std::string& instance)
{
    const auto it = state.failed_status_requests.find(instance);
    return it == state.failed_status_requests.end() ? 0 : it->second;
}

void handle_promotion_answer(primary_change_state& state, const std::string& instance,
                             promotion_answer answer, time_point now)
{
    state.promotion.awaiting_answer = false;
    switch (answer) {
        case promotion_answer::accepted:
            state.promotion.accepted = true;
            state.promotion.accepted_at = now;
            break;
        case promotion_answer::rejected: state.excluded_replicas.insert(instance); break;
        case promotion_answer::unclear: state.promotion.unclear_at = now; break;
        case promotion_answer::not_executed: break;
    }
}

}  // namespace balsamdrift
