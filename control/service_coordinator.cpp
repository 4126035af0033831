#include "control/service_coordinator.h"

#include <utility>

#include "base/event_log.h"

namespace balsamdrift {
namespace {

/// The upper bits of a directory's version are the leader's term, so that versions of different
/// leaders differ.
constexpr unsigned term_shift = 32;

/// Statements per second that an instance usually gets from all entries; only the ratio to what
/// entries without demand keep depends on it.
constexpr double usual_instance_load = 40;

/// A customer that the leader does not know yet is asked about again after this.
constexpr milliseconds unknown_customer_retry(100);

}  // namespace

service_coordinator::service_coordinator(failover_requests orders, token_pool_options rates,
                                         proposer propose)
    : orders_(std::move(orders)), propose_(std::move(propose)), rates_(rates)
{
}

void service_coordinator::begin(time_point now, std::uint64_t term)
{
    directory_ = {};
    changes_.clear();
    connection_allotments_ = {.entries = {}, .leading_since = now};
    tokens_ = {.customers = {}, .leading_since = now};
    term_ = term;
}

std::uint64_t service_coordinator::directory_version() const
{
    return (term_ << term_shift) + directory_.version;
}

void service_coordinator::note(const instance_heartbeat& it, time_point now)
{
    const std::uint64_t version = directory_.version;
    const bool known = directory_.instances.contains(it.instance);
    const heartbeat_result result = record_heartbeat(directory_, it, now);
    if (result == heartbeat_result::accepted && directory_.version != version) {
        log_event(event_id::instance_announced,
                  {{"instance", it.instance},
                   {"service", it.service},
                   {"address", it.address},
                   {"role", it.reports_primary ? "primary" : "replica"},
                   {"leaving", it.leaving ? "yes" : "no"},
                   {"born", std::to_string(it.born_ms)},
                   {"sequence", std::to_string(it.sequence)},
                   {"known", known ? "yes" : "no"}});
    }
}

void service_coordinator::remove(const std::string& instance)
{
    remove_instance(directory_, instance);
}

void service_coordinator::release(const std::string& entry)
{
    release_shares(connection_allotments_, entry);
    remove_entry_tokens(tokens_, entry);
}

const instance_heartbeat* service_coordinator::find(const std::string& instance) const
{
    const auto it = directory_.instances.find(instance);
    return it == directory_.instances.end() ? nullptr : &it->second.last_heartbeat;
}

void service_coordinator::fill_directory(entry_instructions& answer,
                                         std::uint64_t known_version) const
{
    answer.directory_version = directory_version();
    // A leader that has heard nobody yet knows less than the entries do.
    answer.has_directory =
        !directory_.instances.empty() && known_version != answer.directory_version;
    if (answer.has_directory) {
        answer.instances = list_instances(directory_);
    }
}

entry_instructions service_coordinator::instruct(const coordinator_view& view,
                                                 const replica_id& entry,
                                                 const entry_report& report, time_point now)
{
    for (const primary_evidence& it : report.primaries) {
        const auto record = view.state.primaries.find(it.service);
        if (record != view.state.primaries.end()) {
            const auto served = it.since_last_served.count() < 0
                                    ? std::nullopt
                                    : std::optional<duration>(it.since_last_served);
            handle_entry_report(changes_[it.service], record->second, it.instance, it.failing,
                                served, now);
        }
    }
    std::map<std::string, double> connections;
    for (const auto& [name, it] : directory_.instances) {
        connections[name] = usual_instance_load;
    }
    record_entry_contact(tokens_, entry.name, report.isolated, now);
    const std::size_t entries = view.state.entries.size();
    entry_instructions answer;
    answer.entry_count = static_cast<std::uint32_t>(entries);
    answer.connections =
        grant_shares(connection_allotments_, {.reserved_fraction = 0}, entry.name,
                     entry.incarnation, report.connections, connections, entries, now);
    fill_directory(answer, report.directory_version);
    return answer;
}

rate_token_grant service_coordinator::answer(const registry& state,
                                             const rate_token_request& question, time_point now)
{
    record_entry_contact(tokens_, question.entry.name, question.isolated, now);
    std::vector<std::string> registered;
    registered.reserve(state.entries.size());
    for (const auto& [name, it] : state.entries) {
        registered.push_back(name);
    }
    update_granted_fraction(tokens_, rates_, registered, now);
    rate_token_grant out{
        .entry = question.entry, .origin = question.origin, .number = question.number};
    for (const auto& [name, ask] : question.requests) {
        const auto customer = state.declared.customers.find(name);
        if (customer == state.declared.customers.end()) {
            // The entry knows an older or a newer configuration; a limit that is not known here
            // cannot be kept here.
            out.shares[name] = {.retry_after_ms = unknown_customer_retry.count()};
            continue;
        }
        const bucket_limits limits{.rate = customer->second.rate, .burst = customer->second.burst};
        out.shares[name] =
            grant_tokens(tokens_, rates_, name, limits, question.entry.name, ask, now);
    }
    return out;
}

void service_coordinator::advance_services(const coordinator_view& view, time_point now)
{
    remove_expired_instances(directory_, {}, now);
    for (const auto& [name, declared] : view.state.declared.services) {
        advance_service(view, name, declared, now);
    }
}

void service_coordinator::advance_service(const coordinator_view& view, const std::string& service,
                                          const declared_service& declared, time_point now)
{
    primary_change_view seen{.service = service,
                             .synchronous_replicas = declared.synchronous_replicas};
    const auto record = view.state.primaries.find(service);
    if (record != view.state.primaries.end()) {
        seen.record = record->second;
    }
    for (const auto& [name, it] : directory_.instances) {
        if (it.last_heartbeat.service == service) {
            seen.instances.push_back(it);
            seen.instances.back().last_heartbeat.leaving =
                it.last_heartbeat.leaving ||
                is_leaving(view.state, name, it.last_heartbeat.born_ms);
        }
    }
    seen.entries_settled =
        all_settled(view.leases, view.entries, seen.record.epoch, view.lease, now);
    for (const primary_action& it : advance(changes_[service], seen, {}, now)) {
        perform(view, service, seen.record, it);
    }
}

void service_coordinator::perform(const coordinator_view& view, const std::string& service,
                                  const primary_record& record, const primary_action& action)
{
    std::visit(
        overloaded{
            [&](const propose_phase& it) {
                log_event(event_id::primary_phase_proposed,
                          {{"service", service},
                           {"instance", it.instance},
                           {"phase", to_string(it.phase)},
                           {"planned", it.planned ? "yes" : "no"},
                           {"previous", record.instance},
                           {"epoch", std::to_string(record.epoch)},
                           {"failed_probes", std::to_string(changes_[service].failed_probes)},
                           {"vouched_ms_ago", milliseconds_text(monotonic_clock::now() -
                                                                changes_[service].vouched_at)}});
                propose_(change_primary{service, record.epoch, it.instance, it.phase, it.planned});
            },
            [&](const request_status& it) {
                const instance_heartbeat* const instance = find(it.instance);
                if (instance == nullptr) {
                    handle_status_answer(changes_[service], it.instance, std::nullopt);
                    return;
                }
                const std::uint64_t epoch = changes_[service].epoch;
                const auto on_answer = [this, service, epoch, name = it.instance](
                                           const std::optional<instance_status>& status) {
                    if (changes_[service].epoch == epoch) {
                        handle_status_answer(changes_[service], name, status);
                    }
                };
                orders_.request_status(*instance, on_answer);
            },
            [&](const request_promotion& it) {
                log_event(event_id::promotion_started, {{"service", service},
                                                        {"instance", it.instance},
                                                        {"token", std::to_string(view.term)}});
                const std::uint64_t epoch = changes_[service].epoch;
                orders_.promote({service, it.instance, view.holder, view.term},
                                [this, service, epoch, name = it.instance](promotion_answer res) {
                                    if (changes_[service].epoch == epoch) {
                                        handle_promotion_answer(changes_[service], name, res);
                                    }
                                });
            },
            [&](const request_step_down& it) {
                if (const instance_heartbeat* const instance = find(it.instance)) {
                    log_event(event_id::stale_primary_ignored, {{"service", service},
                                                                {"instance", it.instance},
                                                                {"term", std::to_string(it.term)}});
                    orders_.step_down(*instance, it.term);
                }
            },
        },
        action);
}

}  // namespace balsamdrift
