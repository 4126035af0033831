#include "core/failover/group_state.h"

#include <algorithm>

#include "base/outcome.h"

namespace balsamdrift {
namespace {

/// Number of samples of the primary's position that are kept.
constexpr std::size_t max_samples = 1024;

using actions = std::vector<group_action>;

instance_state* find_instance(group_state& state, const std::string& name)
{
    const auto it = state.instances.find(name);
    return it == state.instances.end() ? nullptr : &it->second;
}

/// True when the instance is a reachable replica that is not leaving.
bool is_replica(const instance_state& it) { return it.reachable && it.in_recovery && !it.leaving; }

/// True when the instance has not answered probes, or has refused connections, for too long.
/// The time without an answer is counted from the start of this owner at the earliest.
bool is_lost(const group_state& state, const instance_state& it, time_point now)
{
    const bool refused =
        it.refused_since && now - *it.refused_since >= state.options.refusal_timeout;
    const time_point last_answer = std::max(it.answered_probe_sent_at, state.started_at);
    return refused || now - last_answer >= state.options.answer_timeout;
}

void mark_unreachable(actions& out, const std::string& name, instance_state& it)
{
    if (it.reachable) {
        it.reachable = false;
        out.push_back(drop_instance{name, false});
    }
}

/// The reachable replica with the newest position, or an empty name. The first name wins a tie.
std::string best_replica(const group_state& state)
{
    std::string best;
    for (const auto& [name, it] : state.instances) {
        if (!is_replica(it) || name == state.primary) {
            continue;
        }
        if (best.empty() || it.received > state.instances.at(best).received) {
            best = name;
        }
    }
    return best;
}

std::size_t count_reachable_replicas(const group_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.instances.begin(), state.instances.end(), [&](const auto& it) {
            return it.first != state.primary && is_replica(it.second);
        }));
}

/// True when promoting the replica, which must be the most advanced one, loses no acknowledged
/// write: it has received every acknowledged position, or all instances but the primary are
/// reachable, so that none can have more.
bool has_acknowledged_writes(const group_state& state, const std::string& replica)
{
    if (!state.options.replicated_acknowledgement) {
        return true;
    }
    if (state.acknowledged && state.instances.at(replica).received >= *state.acknowledged) {
        return true;
    }
    return count_reachable_replicas(state) + 1 >= static_cast<std::size_t>(state.options.instances);
}

void enter_phase(group_state& state, failover_phase phase, const std::string& candidate,
                 time_point now)
{
    state.phase = phase;
    state.candidate = candidate;
    state.phase_since = now;
}

/// Proposes a replica as primary if one can take over without losing acknowledged writes.
void try_failover(group_state& state, actions& out, time_point now)
{
    const std::string replica = best_replica(state);
    if (replica.empty() || !has_acknowledged_writes(state, replica)) {
        return;
    }
    enter_phase(state, failover_phase::recording, replica, now);
    out.push_back(propose_primary{replica, state.primary_term + 1});
}

/// Proposes the first primary of a group that has none recorded: the most advanced instance that
/// already acts as primary.
void adopt_first_primary(group_state& state, actions& out, time_point now)
{
    std::string first_primary;
    for (const auto& [name, it] : state.instances) {
        const bool is_primary = it.reachable && !it.in_recovery;
        if (is_primary &&
            (first_primary.empty() || it.received > state.instances.at(first_primary).received)) {
            first_primary = name;
        }
    }
    if (!first_primary.empty()) {
        enter_phase(state, failover_phase::recording, first_primary, now);
        out.push_back(
            propose_primary{first_primary, state.instances.at(first_primary).received.term});
    }
}

/// Replaces a primary that is leaving once no write is running and a replica has received them all.
void try_planned_handover(group_state& state, actions& out, const instance_state& primary,
                          int writes_in_flight, time_point now)
{
    const std::string replica = best_replica(state);
    if (writes_in_flight > 0 || replica.empty() ||
        state.instances.at(replica).received < primary.received) {
        return;
    }
    enter_phase(state, failover_phase::recording, replica, now);
    out.push_back(propose_primary{replica, state.primary_term + 1});
}

/// True when the recorded primary is still a replica: its promotion has not taken effect yet, or an
/// earlier owner recorded it but did not promote it.
bool is_promotion_pending(const group_state& state, const instance_state* primary)
{
    return state.phase == failover_phase::promoting ||
           (primary != nullptr && primary->reachable && primary->in_recovery);
}

void on_tick(group_state& state, actions& out, int writes_in_flight, time_point now)
{
    for (auto it = state.instances.begin(); it != state.instances.end();) {
        const auto& [name, instance] = *it;
        if (now - instance.announced_at >= state.options.announcement_expiry &&
            !instance.reachable) {
            out.push_back(drop_instance{name, true});
            it = state.instances.erase(it);
            continue;
        }
        if (is_lost(state, it->second, now)) {
            mark_unreachable(out, name, it->second);
        }
        ++it;
    }
    const bool retry_due = now - state.phase_since >= state.options.retry_interval;
    if (state.phase != failover_phase::steady && !retry_due) {
        return;
    }
    if (state.primary.empty()) {
        adopt_first_primary(state, out, now);
        return;
    }
    const instance_state* primary = find_instance(state, state.primary);
    const bool lost = primary == nullptr ? now - state.started_at >= state.options.answer_timeout
                                         : is_lost(state, *primary, now);
    if (lost) {
        state.primary_serves = false;
        try_failover(state, out, now);
    }
    else if (primary != nullptr && primary->leaving) {
        state.primary_serves = false;
        try_planned_handover(state, out, *primary, writes_in_flight, now);
    }
    else if (is_promotion_pending(state, primary)) {
        enter_phase(state, failover_phase::promoting, state.primary, now);
        out.push_back(promote_instance{state.primary});
    }
}

void handle(group_state& state, actions&, const instance_announced& it, time_point now)
{
    instance_state& instance = state.instances[it.instance];
    instance.address = it.address;
    instance.failure_domain = it.failure_domain;
    instance.leaving = it.leaving;
    instance.announced_at = now;
}

void record_sample(group_state& state, const probe_answered& it)
{
    state.samples.push_back({it.sent_at, it.received});
    if (state.samples.size() > max_samples) {
        state.samples.pop_front();
    }
}

void handle(group_state& state, actions& out, const probe_answered& it, time_point now)
{
    instance_state* instance = find_instance(state, it.instance);
    if (instance == nullptr || it.sent_at < instance->answered_probe_sent_at) {
        return;
    }
    // An answer to a probe older than the timeout does not show that the instance still runs.
    if (now - it.sent_at >= state.options.answer_timeout) {
        return;
    }
    instance->reachable = true;
    instance->refused_since.reset();
    instance->answered_probe_sent_at = it.sent_at;
    instance->in_recovery = it.in_recovery;
    instance->received = it.received;
    instance->applied = it.applied;
    const bool is_serving_primary =
        it.instance == state.primary && !it.in_recovery && it.received.term >= state.primary_term;
    if (!is_serving_primary || state.phase == failover_phase::recording) {
        return;
    }
    record_sample(state, it);
    if (!state.acknowledged || state.acknowledged->term < it.received.term) {
        state.acknowledged = it.received;
    }
    if (!state.primary_serves && !instance->leaving) {
        state.primary_serves = true;
        enter_phase(state, failover_phase::steady, "", now);
        out.push_back(primary_ready{it.instance, it.received.term});
    }
}

void handle(group_state& state, actions&, const probe_refused& it, time_point now)
{
    instance_state* instance = find_instance(state, it.instance);
    if (instance != nullptr && !instance->refused_since) {
        instance->refused_since = now;
    }
}

void handle(group_state& state, actions& out, const primary_in_force& it, time_point now)
{
    if (it.term < state.primary_term ||
        (it.term == state.primary_term && it.primary == state.primary)) {
        return;
    }
    const std::string previous = state.primary;
    state.primary = it.primary;
    state.primary_term = it.term;
    state.primary_serves = false;
    state.samples.clear();
    enter_phase(state, failover_phase::steady, "", now);
    if (!previous.empty() && previous != it.primary) {
        out.push_back(drop_instance{previous, false});
    }
    const instance_state* instance = find_instance(state, it.primary);
    if (instance != nullptr && instance->reachable && instance->in_recovery) {
        enter_phase(state, failover_phase::promoting, it.primary, now);
        out.push_back(promote_instance{it.primary});
    }
}

void handle(group_state& state, actions&, const write_acknowledged& it, time_point)
{
    if (!state.acknowledged || *state.acknowledged < it.position) {
        state.acknowledged = it.position;
    }
}

void handle(group_state& state, actions& out, const group_ticked& it, time_point now)
{
    on_tick(state, out, it.writes_in_flight, now);
}

}  // namespace

group_state make_group(const failover_options& options, time_point now)
{
    group_state state{.options = options};
    state.started_at = now;
    state.phase_since = now;
    return state;
}

std::vector<group_action> step(group_state& state, const group_event& event, time_point now)
{
    actions out;
    std::visit([&](const auto& it) { handle(state, out, it, now); }, event);
    return out;
}

std::optional<duration> staleness_bound(const group_state& state, const std::string& instance,
                                        time_point now)
{
    const auto found = state.instances.find(instance);
    if (found == state.instances.end() || !found->second.reachable) {
        return std::nullopt;
    }
    const log_position applied = found->second.applied;
    const auto it = std::find_if(
        state.samples.rbegin(), state.samples.rend(),
        [&](const primary_position_sample& sample) { return sample.position <= applied; });
    if (it == state.samples.rend()) {
        return std::nullopt;
    }
    return now - it->at;
}

bool is_replicated(const group_state& state, const log_position& position)
{
    return std::any_of(state.instances.begin(), state.instances.end(), [&](const auto& it) {
        return it.first != state.primary && is_replica(it.second) &&
               it.second.received.term == position.term && it.second.received >= position;
    });
}

}  // namespace balsamdrift
