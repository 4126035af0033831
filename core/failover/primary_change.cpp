#include "core/failover/primary_change.h"

#include <algorithm>

namespace balsamdrift {
namespace {

using actions = std::vector<primary_action>;

const known_instance* find_instance(const primary_change_view& view, const std::string& name)
{
    const auto it =
        std::find_if(view.instances.begin(), view.instances.end(),
                     [&](const known_instance& other) { return other.said.instance == name; });
    return it == view.instances.end() ? nullptr : &*it;
}

/// Begins anew when the record entered another phase.
void enter_phase(primary_change_state& state, const primary_record& record, time_point now)
{
    if (state.epoch == record.epoch) {
        return;
    }
    primary_change_state fresh{.epoch = record.epoch,
                               .phase_since = now,
                               .vouched_at = state.vouched_at,
                               .newest_term = state.newest_term};
    if (record.phase != primary_phase::serving) {
        fresh.excluded = state.excluded;
    }
    state = std::move(fresh);
}

/// Asks again only after an interval; a lost question is repeated the same way.
void ask(primary_change_state& state, actions& out, const std::string& instance, duration interval,
         time_point now)
{
    const auto [it, first] = state.asked_at.try_emplace(instance, now);
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

/// Replicas that may take over, those that stay before those that leave.
std::vector<const known_instance*> candidates(const primary_change_state& state,
                                              const primary_change_view& view,
                                              const primary_change_options& options, time_point now)
{
    std::vector<const known_instance*> stay;
    std::vector<const known_instance*> leave;
    for (const known_instance& it : view.instances) {
        const bool fresh = now - it.heard_at <= options.replica_freshness;
        const bool old =
            it.said.instance == view.record.instance && view.record.phase != primary_phase::chosen;
        if (old || !fresh || state.excluded.contains(it.said.instance)) {
            continue;
        }
        (it.said.leaving ? leave : stay).push_back(&it);
    }
    return stay.empty() ? leave : stay;
}

/// The first primary of a service is the one that says so; nobody has to be fenced for it.
void adopt_first(primary_change_state& state, actions& out, const primary_change_view& view,
                 time_point now)
{
    for (const known_instance& it : view.instances) {
        if (it.said.says_primary && !it.said.leaving) {
            propose(state, out, {it.said.instance, primary_phase::serving, false}, now);
            return;
        }
    }
}

/// Whoever else still says that it is primary is told the newer term.
void fence_others(primary_change_state& state, actions& out, const primary_change_view& view,
                  const primary_change_options& options, time_point now)
{
    if (view.record.generation == 0) {
        return;
    }
    for (const known_instance& it : view.instances) {
        const std::string& name = it.said.instance;
        const bool claims = it.said.says_primary && name != view.record.instance &&
                            now - it.heard_at < options.heartbeat_overdue;
        if (!claims) {
            continue;
        }
        const auto [asked, first] = state.asked_at.try_emplace(name, now);
        if (!first && now - asked->second < options.probe_pause) {
            continue;
        }
        asked->second = now;
        if (state.newest_term == 0) {
            out.push_back(request_status{view.record.instance});
        }
        else {
            out.push_back(request_step_down{name, state.newest_term});
        }
    }
}

void watch_serving(primary_change_state& state, actions& out, const primary_change_view& view,
                   const primary_change_options& options, time_point now)
{
    const known_instance* const primary = find_instance(view, view.record.instance);
    // A leader that has just begun has not heard from everyone yet.
    const bool may_be_unheard =
        primary == nullptr && now - state.phase_since < options.replica_freshness;
    if (may_be_unheard || candidates(state, view, options, now).empty()) {
        return;
    }
    if (primary != nullptr && primary->said.leaving) {
        propose(state, out, {view.record.instance, primary_phase::suspended, true}, now);
        return;
    }
    const bool vouched = now - state.vouched_at < options.vouched_for;
    const bool lost = state.failed_probes >= options.failed_probes && !vouched;
    const auto answer = state.answers.find(view.record.instance);
    const bool denies_role = answer != state.answers.end() && !answer->second.is_primary;
    if (lost || denies_role) {
        propose(state, out, {view.record.instance, primary_phase::suspended, false}, now);
        return;
    }
    const bool silent = primary == nullptr || now - primary->heard_at > options.heartbeat_overdue;
    const bool accused = now - state.failing_reported_at < options.evidence_lifetime;
    const bool demoted = primary != nullptr && !primary->said.says_primary;
    if (accused || demoted || (silent && !vouched)) {
        const bool fine = answer != state.answers.end() && state.failed_probes == 0;
        ask(state, out, view.record.instance, fine ? options.probe_pause : options.probe_interval,
            now);
    }
    else {
        state.failed_probes = 0;
    }
    fence_others(state, out, view, options, now);
}

/// The replica that has received most, once enough of them have answered.
const known_instance* most_advanced(const primary_change_state& state,
                                    const std::vector<const known_instance*>& replicas)
{
    const known_instance* best = nullptr;
    log_position most{};
    for (const known_instance* it : replicas) {
        const auto answer = state.answers.find(it->said.instance);
        if (answer == state.answers.end()) {
            continue;
        }
        if (best == nullptr || answer->second.received > most) {
            best = it;
            most = answer->second.received;
        }
    }
    return best;
}

void choose_successor(primary_change_state& state, actions& out, const primary_change_view& view,
                      const primary_change_options& options, time_point now)
{
    if (!view.entries_settled) {
        // Answers from before the last write could name a replica that misses it.
        state.answers.clear();
        state.asked_at.clear();
        state.phase_since = now;
        return;
    }
    const auto replicas = candidates(state, view, options, now);
    if (replicas.empty()) {
        // What failed before is tried again rather than nothing.
        state.excluded.clear();
        return;
    }
    for (const known_instance* it : replicas) {
        ask(state, out, it->said.instance, options.probe_interval, now);
    }
    const known_instance* const best = most_advanced(state, replicas);
    const duration waited = now - state.phase_since;
    std::size_t answered = 0;
    for (const known_instance* it : replicas) {
        answered += state.answers.contains(it->said.instance) ? 1 : 0;
    }
    if (best == nullptr) {
        return;
    }
    if (view.record.planned) {
        ask(state, out, view.record.instance, options.probe_interval, now);
        const auto old = state.answers.find(view.record.instance);
        const bool complete =
            old != state.answers.end() &&
            state.answers.at(best->said.instance).received >= old->second.received;
        if (!complete && waited < options.handover_patience) {
            return;
        }
    }
    else {
        // With synchronous replicas a commit may be known to a single one of them.
        const std::size_t known = view.instances.empty() ? 0 : view.instances.size() - 1;
        const auto missing_allowed =
            static_cast<std::size_t>(std::max(view.synchronous_replicas - 1, 0));
        const bool enough = view.synchronous_replicas == 0 ? waited >= options.choice_patience
                                                           : answered + missing_allowed >= known;
        if (answered < replicas.size() && !enough) {
            return;
        }
        if (view.synchronous_replicas > 0 && answered + missing_allowed < known) {
            return;
        }
    }
    propose(state, out, {best->said.instance, primary_phase::chosen, view.record.planned}, now);
}

void promote_chosen(primary_change_state& state, actions& out, const primary_change_view& view,
                    const primary_change_options& options, time_point now)
{
    const std::string& name = view.record.instance;
    const auto answer = state.answers.find(name);
    if (answer != state.answers.end() && answer->second.is_primary) {
        state.newest_term = std::max(state.newest_term, answer->second.term);
        propose(state, out, {name, primary_phase::serving, false}, now);
        return;
    }
    const known_instance* const chosen = find_instance(view, name);
    const bool gone = chosen == nullptr || now - chosen->heard_at > options.replica_freshness ||
                      state.failed_probes > options.failed_probes;
    if (state.excluded.contains(name) || gone) {
        state.excluded.insert(name);
        propose(state, out, {name, primary_phase::suspended, false}, now);
        return;
    }
    const bool due =
        !state.promote_sent_at ||
        now - *state.promote_sent_at >
            (state.promote_accepted ? options.promote_patience : options.promote_retry);
    if (!state.promote_in_flight && due) {
        state.promote_sent_at = now;
        state.promote_in_flight = true;
        state.promote_accepted = false;
        out.push_back(request_promotion{name});
        return;
    }
    if (state.promote_sent_at && now - *state.promote_sent_at > options.confirm_interval) {
        ask(state, out, name,
            chosen->said.says_primary ? options.probe_interval : options.confirm_interval, now);
    }
}

/// A proposal is given this long before it is made again.
constexpr milliseconds proposal_patience(1000);

}  // namespace

std::vector<primary_action> advance(primary_change_state& state, const primary_change_view& view,
                                    const primary_change_options& options, time_point now)
{
    enter_phase(state, view.record, now);
    actions out;
    if (state.proposed_at && now - *state.proposed_at < proposal_patience) {
        return out;
    }
    if (view.record.instance.empty()) {
        adopt_first(state, out, view, now);
        return out;
    }
    switch (view.record.phase) {
        case primary_phase::serving: watch_serving(state, out, view, options, now); break;
        case primary_phase::suspended: choose_successor(state, out, view, options, now); break;
        case primary_phase::chosen: promote_chosen(state, out, view, options, now); break;
    }
    return out;
}

void handle_entry_report(primary_change_state& state, const primary_record& record,
                         const std::string& instance, bool failing,
                         std::optional<duration> served_ago, time_point now)
{
    if (record.instance != instance) {
        return;
    }
    if (failing) {
        state.failing_reported_at = now;
    }
    if (served_ago) {
        state.vouched_at = std::max(state.vouched_at, now - *served_ago);
    }
}

void handle_status_answer(primary_change_state& state, const std::string& instance,
                          const std::optional<instance_status>& answer)
{
    if (!answer) {
        ++state.failed_probes;
        return;
    }
    state.failed_probes = 0;
    state.answers[instance] = *answer;
    state.newest_term = std::max(state.newest_term, answer->term);
}

void handle_promotion_answer(primary_change_state& state, const std::string& instance,
                             promotion_answer answer)
{
    state.promote_in_flight = false;
    state.promote_accepted = answer == promotion_answer::accepted;
    if (answer == promotion_answer::rejected) {
        state.excluded.insert(instance);
    }
}

}  // namespace balsamdrift
