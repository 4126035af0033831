#include "core/failover/holder_steps.h"

#include <algorithm>

namespace balsamdrift {
namespace {

/// Asks the departed holders whether they still run, and for their position.
void request_departed_holders(primary_change_state& state, actions& out,
                              const primary_change_view& view,
                              const primary_change_options& options, time_point now)
{
    const bool serving = view.record.phase == primary_phase::serving;
    for (auto& [holder, it] : state.holders.departed) {
        const duration interval =
            serving && it.answer ? options.slow_status_interval : options.status_interval;
        const bool due = !it.requested_at || now - *it.requested_at >= interval;
        if (due && !it.superseded) {
            it.requested_at = now;
            out.push_back(request_holder_status{holder});
        }
    }
}

/// Number of replicas that have received what the serving primary had at its sample. Requests the
/// answers that this needs.
int count_caught_up(primary_change_state& state, actions& out, const primary_change_view& view,
                    duration interval, time_point sample_since, time_point now)
{
    take_primary_sample(state.holders, state.status_answers, view.record.instance, sample_since);
    int caught_up = 0;
    for (const known_instance& it : view.instances) {
        const std::string& name = it.last_heartbeat.instance;
        request_status_if_due(state, out, name, interval, now);
        caught_up += name != view.record.instance &&
                     has_caught_up(state.holders, state.status_answers, name);
    }
    return caught_up;
}

/// Ends a comparison with the primary. Its answer would make the next request to it wait, which
/// would delay the detection of its loss.
void drop_primary_sample(primary_change_state& state, const primary_change_view& view)
{
    state.holders.primary_sample.reset();
    state.status_answers.erase(view.record.instance);
    state.status_requested_at.erase(view.record.instance);
}

/// Forgets the departed holders that do not run any more once enough replicas of the serving
/// primary have received what it had after their end. One that may still run could acknowledge
/// later commits alone.
void forget_covered_holders(primary_change_state& state, actions& out,
                            const primary_change_view& view, const primary_change_options& options,
                            commit_holders& holders, time_point now)
{
    std::optional<time_point> since;
    for (const auto& [holder, it] : state.holders.departed) {
        if (it.ended_at) {
            since = std::max(since.value_or(*it.ended_at), *it.ended_at);
        }
    }
    if (!since) {
        return;
    }
    const int caught_up = count_caught_up(state, out, view, options.status_interval, *since, now);
    if (caught_up >= view.synchronous_replicas) {
        std::erase_if(holders, [&](const commit_holder& it) {
            const auto departed = state.holders.departed.find(it);
            return departed != state.holders.departed.end() && departed->second.ended_at;
        });
        drop_primary_sample(state, view);
    }
}

/// Follows changes of the number of synchronous replicas. A higher one counts once that many
/// replicas have what the primary had after the change, because earlier commits may have fewer
/// copies.
void update_copies(primary_change_state& state, actions& out, const primary_change_view& view,
                   const primary_change_options& options, time_point now)
{
    commit_copies& copies = state.copies;
    if (copies.declared != view.synchronous_replicas) {
        copies = {.declared = view.synchronous_replicas,
                  .declared_since = now,
                  .guaranteed = std::min(copies.guaranteed, view.synchronous_replicas)};
        copies.guaranteed = std::max(copies.guaranteed, 1);
    }
    const time_point since = copies.declared_since + options.replication_change_time;
    if (copies.guaranteed >= copies.declared || view.record.phase != primary_phase::serving ||
        now < since) {
        return;
    }
    if (count_caught_up(state, out, view, options.slow_status_interval, since, now) >=
        copies.declared) {
        copies.guaranteed = copies.declared;
        drop_primary_sample(state, view);
    }
}

/// Requests the status of the instances whose heartbeats are late. One that answers stays in the
/// directory, so that it can be chosen, and one that does not run leaves it.
void request_late_instances(primary_change_state& state, actions& out,
                            const primary_change_view& view, const primary_change_options& options,
                            time_point now)
{
    for (const known_instance& it : view.instances) {
        const std::string& name = it.last_heartbeat.instance;
        if (name != view.record.instance &&
            now - it.last_heartbeat_at > options.heartbeat_timeout) {
            request_status_if_due(state, out, name, options.slow_status_interval, now);
        }
    }
}

}  // namespace

void track_holders(primary_change_state& state, actions& out, const primary_change_view& view,
                   const primary_change_options& options, time_point now)
{
    // Instances from before synchronous replicas were declared are added, until they are recorded.
    commit_holders recorded = view.holders;
    for (const auto& [holder, seen_at] : state.holders.recent) {
        recorded.insert(holder);
    }
    if (recorded == view.holders) {
        state.holders.recent.clear();
    }
    commit_holders holders = holders_to_record(state.holders, recorded, view.instances, now);
    std::erase_if(holders, [&](const commit_holder& it) {
        const auto departed = state.holders.departed.find(it);
        return departed != state.holders.departed.end() &&
               now - departed->second.last_heard_at > options.holder_timeout;
    });
    update_copies(state, out, view, options, now);
    request_late_instances(state, out, view, options, now);
    request_departed_holders(state, out, view, options, now);
    if (view.record.phase == primary_phase::serving) {
        forget_covered_holders(state, out, view, options, holders, now);
    }
    const bool proposed =
        state.holders_proposed_at && now - *state.holders_proposed_at < proposal_timeout;
    if (holders != view.holders && !proposed) {
        state.holders_proposed_at = now;
        out.push_back(propose_holders{std::move(holders)});
    }
}

void handle_holder_status(primary_change_state& state, const commit_holder& holder,
                          const status_result& result, time_point requested_at, time_point now)
{
    const auto found = state.holders.departed.find(holder);
    if (found == state.holders.departed.end() || found->second.superseded) {
        return;
    }
    departed_holder& it = found->second;
    const auto* const status = std::get_if<instance_status>(&result);
    // The recorded incarnation has ended if nothing listens there any more, or if what answers
    // holds nothing: it has started again without its log.
    const bool ended = status == nullptr
                           ? std::get<status_failure>(result) == status_failure::not_running
                           : status->received == log_position{};
    if (ended) {
        it.answer.reset();
        it.ended_at = it.ended_at.value_or(now);
    }
    else if (status != nullptr) {
        it.answer = dated_status{*status, requested_at};
        it.last_heard_at = now;
        it.ended_at.reset();
        state.newest_term = std::max(state.newest_term, status->term);
    }
}

}  // namespace balsamdrift
