#include "core/failover/primary_change.h"

#include <algorithm>

#include "core/failover/holder_steps.h"
#include "core/failover/primary_change_steps.h"
#include "core/failover/successor_choice.h"

namespace balsamdrift {
namespace {

/// True if the platform may still promote another instance than this one, for a change of primary
/// that is over.
bool is_late_promotion_possible(const primary_change_state& state, const std::string& instance,
                                time_point now)
{
    return std::any_of(
        state.late_promotions.begin(), state.late_promotions.end(),
        [&](const auto& other) { return other.first != instance && now < other.second; });
}

/// Resets the state when the record has entered another phase. What does not depend on the phase is
/// kept: when the primary last served an entry, the newest term, the incarnations, departed
/// holders, late promotions, whether a blocked evacuation was reported, and during a change the
/// excluded replicas.
void enter_phase(primary_change_state& state, const primary_record& record,
                 const primary_change_options& options, time_point now)
{
    if (state.epoch == record.epoch) {
        return;
    }
    primary_change_state next{.epoch = record.epoch,
                              .phase_since = now,
                              .last_served_at = state.last_served_at,
                              .born_ms = state.born_ms,
                              .holders = {.departed = std::move(state.holders.departed),
                                          .recent = std::move(state.holders.recent)},
                              .copies = state.copies,
                              .holders_proposed_at = state.holders_proposed_at,
                              .late_promotions = std::move(state.late_promotions),
                              .newest_term = std::max(state.newest_term, record.newest_term),
                              .blocked_evacuation_reported = state.blocked_evacuation_reported};
    const bool first_view_of_leader = state.epoch == 0;
    if (first_view_of_leader && !record.late_promotion.empty()) {
        next.late_promotions[record.late_promotion] =
            now + options.promotion_request_timeout + options.unclear_promotion_lifetime;
    }
    if (record.phase != primary_phase::serving) {
        next.excluded_replicas = state.excluded_replicas;
        const std::string& last = record.predecessor.empty() ? record.instance : record.predecessor;
        next.other_may_be_promoted = state.other_may_be_promoted || first_view_of_leader ||
                                     is_late_promotion_possible(next, last, now);
    }
    if (record.phase == primary_phase::chosen && first_view_of_leader) {
        next.promotion.unclear_at = now;
        next.promotion.requests = 2;
    }
    state = std::move(next);
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

/// Forgets the answers of instances that have started again since.
void forget_restarted(primary_change_state& state, const primary_change_view& view)
{
    for (const known_instance& it : view.instances) {
        const std::string& name = it.last_heartbeat.instance;
        const auto [known, first] = state.born_ms.try_emplace(name, it.last_heartbeat.born_ms);
        if (!first && known->second != it.last_heartbeat.born_ms) {
            known->second = it.last_heartbeat.born_ms;
            state.status_answers.erase(name);
            state.chosen_restarted |=
                view.record.phase == primary_phase::chosen && name == view.record.instance;
        }
    }
}

/// True once a leaving primary may be suspended. With synchronous replicas it stays until a replica
/// that does not leave has caught up: nothing else may succeed it, and callers don't wait
/// meanwhile.
bool may_hand_over(primary_change_state& state, actions& out, const primary_change_view& view,
                   const primary_change_options& options, time_point now)
{
    if (view.synchronous_replicas == 0) {
        return true;
    }
    if (!state.leaving_since) {
        state.leaving_since = now;
        state.holders.primary_sample.reset();
    }
    take_primary_sample(state.holders, state.status_answers, view.record.instance,
                        *state.leaving_since);
    request_status_if_due(state, out, view.record.instance, options.status_interval, now);
    bool caught_up = false;
    for (const known_instance* it : eligible_replicas(state, view, options, now)) {
        const instance_heartbeat& replica = it->last_heartbeat;
        request_status_if_due(state, out, replica.instance, options.status_interval, now);
        caught_up |= !replica.leaving &&
                     has_caught_up(state.holders, state.status_answers, replica.instance);
    }
    return caught_up;
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
    const bool leaving = primary != nullptr && primary->last_heartbeat.leaving;
    // Until a late promotion of this primary is impossible, none else can be promoted. It serves on
    // meanwhile.
    const bool may_change = !is_late_promotion_possible(state, {}, now);
    if (may_change && (evacuated || (leaving && may_hand_over(state, out, view, options, now)))) {
        propose(state, out, {view.record.instance, primary_phase::suspended, true}, now);
        return;
    }
    const bool recently_served = now - state.last_served_at < options.last_served_lifetime;
    const bool primary_lost = failed_status_requests(state, view.record.instance) >=
                                  options.failed_status_request_limit &&
                              !recently_served;
    const auto answer = state.status_answers.find(view.record.instance);
    const bool answered_as_replica =
        answer != state.status_answers.end() && !answer->second.status.is_primary;
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

/// Notes until when a request for the chosen instance, which leads now, may still be carried out.
/// If its term has risen, one of the requests took effect, and each of the others may do so. If
/// not, it has led all the time, and no request took effect.
void note_late_promotion(primary_change_state& state, const std::string& instance,
                         bool term_has_risen, const primary_change_options& options)
{
    const promotion_progress& it = state.promotion;
    if (it.requests <= (term_has_risen ? 1 : 0)) {
        return;
    }
    time_point until{};
    if (it.awaiting_answer) {
        until = *it.requested_at + options.promotion_request_timeout +
                options.unclear_promotion_lifetime;
    }
    if (it.unclear_at) {
        until = std::max(until, *it.unclear_at + options.unclear_promotion_lifetime);
    }
    if (it.accepted_at) {
        until = std::max(until, *it.accepted_at + options.promotion_effect_limit);
    }
    time_point& noted = state.late_promotions[instance];
    noted = std::max(noted, until);
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

/// True when the chosen instance cannot be promoted: the platform rejected it, it has started again
/// and may lack what it was chosen for, or it does not respond. One that reports itself as primary
/// was promoted, even if it is too busy to answer.
bool cannot_be_promoted(const primary_change_state& state, const primary_change_view& view,
                        const primary_change_options& options, time_point now)
{
    const std::string& name = view.record.instance;
    const known_instance* const chosen = find_instance(view, name);
    if (state.excluded_replicas.contains(name) || state.chosen_restarted || chosen == nullptr ||
        !is_fresh(*chosen, options, now)) {
        return true;
    }
    return !chosen->last_heartbeat.reports_primary &&
           failed_status_requests(state, name) > options.failed_status_request_limit;
}

/// True if the answer shows that the chosen instance leads the newest term. An instance that was
/// replaced may still report that it is a primary. It does lead if its term has risen since the
/// choice, if no other than the old primary can have been promoted, or if an accepted promotion of
/// it changed nothing.
bool leads_newest_term(const primary_change_state& state, const primary_record& record,
                       const instance_status& status, const primary_change_options& options,
                       time_point now)
{
    const bool term_has_risen = status.term > record.newest_term;
    const bool never_replaced =
        record.instance == record.predecessor && !state.other_may_be_promoted;
    const std::optional<time_point> accepted_at = state.promotion.accepted_at;
    const bool changed_nothing =
        accepted_at && now - *accepted_at >= options.promotion_effect_limit;
    return status.is_primary && (term_has_risen || never_replaced || changed_nothing);
}

/// Has the chosen instance promoted until it reports itself as primary. Excludes it and returns to
/// the choice when it cannot be promoted and no promotion of it can take effect any more.
void promote_chosen(primary_change_state& state, actions& out, const primary_change_view& view,
                    const primary_change_options& options, time_point now)
{
    const std::string& name = view.record.instance;
    const auto answer = state.status_answers.find(name);
    if (answer != state.status_answers.end() &&
        leads_newest_term(state, view.record, answer->second.status, options, now)) {
        state.newest_term = std::max(state.newest_term, answer->second.status.term);
        note_late_promotion(state, name, answer->second.status.term > view.record.newest_term,
                            options);
        propose(state, out, {name, primary_phase::serving, false}, now);
        return;
    }
    if (cannot_be_promoted(state, view, options, now) &&
        !may_take_effect(state.promotion, options, now)) {
        state.excluded_replicas.insert(name);
        propose(state, out, {name, primary_phase::suspended, false}, now);
        return;
    }
    const bool may_request =
        !state.chosen_restarted && !is_late_promotion_possible(state, name, now);
    if (may_request && is_promotion_request_due(state.promotion, options, now)) {
        state.promotion.requested_at = now;
        ++state.promotion.requests;
        state.promotion.awaiting_answer = true;
        state.promotion.accepted = false;
        state.other_may_be_promoted |= name != view.record.predecessor;
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

}  // namespace

std::vector<primary_action> advance(primary_change_state& state, const primary_change_view& view,
                                    const primary_change_options& options, time_point now)
{
    enter_phase(state, view.record, options, now);
    std::erase_if(state.late_promotions, [&](const auto& it) { return now >= it.second; });
    actions out;
    forget_restarted(state, view);
    if (!view.record.instance.empty()) {
        report_if_blocked(state, out, view, options, now);
        if (view.synchronous_replicas > 0) {
            track_holders(state, out, view, options, now);
        }
        else {
            state.copies = {};
            note_recent_instances(state.holders, view.instances, options.holder_timeout, now);
        }
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
                          const std::optional<instance_status>& answer, time_point requested_at)
{
    if (!answer) {
        ++state.failed_status_requests[instance];
        return;
    }
    state.failed_status_requests.erase(instance);
    state.status_answers[instance] = {*answer, requested_at};
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
