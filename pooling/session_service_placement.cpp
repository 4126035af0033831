#include <algorithm>
#include <iterator>

#include "base/event_log.h"
#include "base/metrics.h"
#include "pooling/session_service.h"

namespace balsamdrift {
namespace {

proximity_set distances_of(const std::vector<placement_candidate>& candidates)
{
    proximity_set all;
    for (const placement_candidate& it : candidates) {
        all.insert(it.distance);
    }
    return all;
}

std::vector<placement_candidate> only_at(proximity distance,
                                         const std::vector<placement_candidate>& candidates)
{
    std::vector<placement_candidate> some;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(some),
                 [&](const placement_candidate& it) { return it.distance == distance; });
    return some;
}

}  // namespace

proximity session_service::distance_to(const instance_pool& pool) const
{
    const std::string& there = pool.heartbeat.failure_domain;
    if (there == options_.failure_domain) {
        return proximity::same_failure_domain;
    }
    const auto own = options_.regions.find(options_.failure_domain);
    const auto other = options_.regions.find(there);
    const bool same_region = own != options_.regions.end() && other != options_.regions.end() &&
                             own->second == other->second;
    return same_region ? proximity::same_region : proximity::other_region;
}

duration session_service::latency_of(const instance_pool& pool, time_point now) const
{
    return decayed_latency({pool.latency, pool.latency_recorded_at}, options_.pool.initial_latency,
                           options_.locality, now);
}

std::optional<session_service::chosen_instance>
session_service::choose_instance(const caller_session& session, const service_state& service,
                                 time_point now) const
{
    std::vector<placement_candidate> all = candidates(session, service, now);
    const proximity_set available = distances_of(all);
    if (all.empty() || needs_primary(session)) {
        const auto chosen = choose_placement(all, options_.placement);
        return chosen ? std::optional(chosen_instance{*chosen, available}) : std::nullopt;
    }
    const locality_state& locality = service.locality;
    if (const auto distance =
            choose_distance(locality, options_.locality, options_.placement, available, now)) {
        if (const auto chosen = choose_placement(only_at(*distance, all), options_.placement)) {
            return chosen_instance{*chosen, available};
        }
    }
    // After a spill the latency of the pool, which follows more slowly, may still show the queue.
    const auto at_home = [&](const placement_candidate& it) {
        return it.distance == locality.home;
    };
    if (options_.locality.enabled && std::count_if(all.begin(), all.end(), at_home) == 1) {
        placement_candidate& home = *std::find_if(all.begin(), all.end(), at_home);
        home.latency = std::min(home.latency,
                                expected_latency(locality, options_.locality, locality.home, now));
    }
    const auto chosen = choose_placement(all, options_.placement);
    return chosen ? std::optional(chosen_instance{*chosen, available}) : std::nullopt;
}

void session_service::record_placement(const caller_session& session, service_state& service,
                                       const chosen_instance& chosen, time_point now)
{
    const proximity distance = distance_to(service.pools.at(chosen.instance));
    count_metric("balsamdrift_dispatched_statements_total",
                 metric_label("distance", to_string(distance)));
    if (!needs_primary(session)) {
        record_read_start(service.locality, chosen.available, distance, now);
    }
}

void session_service::record_request_answer(const caller_session& session, service_state& service,
                                            instance_pool& pool, const statement_answer& it,
                                            duration latency)
{
    const time_point now = hooks_.now();
    if (error_code_of(it) == statement_error_code::busy) {
        // The time of a refusal says nothing about the time of a statement.
        record_reachable(pool, now);
    }
    else {
        record_latency(pool, options_.pool, latency, now);
    }
    // Inside a transaction a statement may use the slot that the transaction holds already.
    if (!is_single_statement(*session.transaction) || writes(session, session.pending->request)) {
        return;
    }
    const auto code = error_code_of(it);
    if (!code) {
        record_read_latency(service.locality, options_.locality, distance_to(pool), latency, now);
    }
    else if (code == statement_error_code::busy) {
        record_read_latency(service.locality, options_.locality, distance_to(pool),
                            std::max(latency, options_.locality.refused_latency), now);
    }
}

void session_service::record_lost_answer(const caller_session& session, service_state& service,
                                         const instance_pool& pool, time_point now)
{
    const bool reads = session.pending && session.transaction &&
                       is_single_statement(*session.transaction) &&
                       !writes(session, session.pending->request);
    if (!reads || !session.pending->request_sent) {
        return;
    }
    // The read would have taken longer than this. That says nothing unless it is slow already.
    const duration waited = now - session.pending->dispatched_at;
    const proximity distance = distance_to(pool);
    if (waited > expected_latency(service.locality, options_.locality, distance, now)) {
        record_read_latency(service.locality, options_.locality, distance, waited, now);
    }
}

void session_service::step_placement(const std::string& name, service_state& service,
                                     time_point now)
{
    const double share_before = service.locality.share;
    const auto change = step_share(service.locality, options_.locality, options_.placement, now);
    if (service.locality.share != share_before) {
        set_metric("balsamdrift_away_share", metric_label("service", name), service.locality.share);
    }
    if (change) {
        count_metric("balsamdrift_spill_changes_total",
                     std::string("change=\"") + (change->started ? "started" : "ended") + "\"");
        log_event(change->started ? event_id::spill_started : event_id::spill_ended,
                  {{"service", name},
                   {"home", to_string(change->home)},
                   {"target", to_string(change->target)},
                   {"home_ms", milliseconds_text(change->home_latency)},
                   {"target_ms", milliseconds_text(change->target_latency)}});
    }
}

}  // namespace balsamdrift
