#include "control/service_coordinator.h"

#include <utility>

#include "base/event_log.h"

namespace balsamdrift {
namespace {

/// Statements per second that all entries together usually send to an instance. It only determines
/// how large the shares of entries without demand are in relation to the others.
constexpr double typical_instance_load = 40;

/// Shortest interval between two records of the directory, so that the instances of a site that
/// starts, or of a service that is released, are recorded together.
constexpr milliseconds record_interval(500);

/// Delay after which an entry requests tokens again for a customer that the leader does not know.
constexpr milliseconds unknown_customer_retry(100);

}  // namespace

service_coordinator::service_coordinator(failover_requests requests, token_pool_options rates,
                                         warmup_options warmup, proposer propose)
    : requests_(std::move(requests)),
      propose_(std::move(propose)),
      rate_options_(rates),
      warmup_options_(warmup)
{
}

void service_coordinator::reset(time_point now, std::uint64_t term)
{
    directory_ = {};
    directory_restored_ = false;
    recorded_directory_version_ = 0;
    primary_changes_.clear();
    connection_shares_ = {.leading_since = now};
    divided_connections_.clear();
    divided_directory_version_ = 0;
    tokens_ = {.customers = {}, .leading_since = now};
    warmup_ = {.leading_since = now, .term = term};
    term_ = term;
    proposed_reserve_term_.reset();
}

std::uint64_t service_coordinator::directory_version() const
{
    return (term_ << directory_term_shift) + directory_.version;
}

void service_coordinator::handle_heartbeat(const registry& state, const instance_heartbeat& it,
                                           time_point now)
{
    const auto is_declared = [&](const std::string& service) {
        return state.declared.services.contains(service);
    };
    if (is_declared(it.service)) {
        remove_undeclared(directory_, it, is_declared);
    }
    else if (displaces_instance(directory_, it)) {
        log_event(event_id::heartbeat_rejected,
                  {{"instance", it.instance},
                   {"reason", "it names an undeclared service under the name or address of another "
                              "instance"},
                   {"service", it.service},
                   {"address", it.address}});
        return;
    }
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

void service_coordinator::handle_deregistration(const std::string& instance, std::int64_t born_ms)
{
    remove_instance(directory_, instance, born_ms);
}

void service_coordinator::release_entry(const std::string& entry)
{
    release_shares(connection_shares_, entry);
    remove_entry_tokens(tokens_, entry);
}

const instance_heartbeat* service_coordinator::find_instance(const std::string& instance) const
{
    const auto it = directory_.instances.find(instance);
    return it == directory_.instances.end() ? nullptr : &it->second.last_heartbeat;
}

void service_coordinator::handle_sign_of_life(const std::string& instance, bool is_recorded_primary,
                                              const status_result& result)
{
    const auto it = directory_.instances.find(instance);
    if (it == directory_.instances.end()) {
        return;
    }
    // Still late, so that it is asked again.
    const time_point late_since =
        monotonic_clock::now() - primary_change_options{}.heartbeat_timeout;
    if (std::holds_alternative<instance_status>(result)) {
        record_sign_of_life(directory_, instance, late_since);
    }
    else if (std::get<status_failure>(result) == status_failure::not_running &&
             !is_recorded_primary && it->second.last_heartbeat_at < late_since) {
        remove_instance(directory_, instance, it->second.last_heartbeat.born_ms);
    }
}

void service_coordinator::fill_directory(entry_instructions& instructions,
                                         std::uint64_t known_version) const
{
    instructions.directory_version = directory_version();
    // Until it has received heartbeats, a new leader knows fewer instances than the entries do.
    instructions.has_directory =
        !directory_.instances.empty() && known_version != instructions.directory_version;
    if (!instructions.has_directory) {
        return;
    }
    const bool same_leader = known_version >> directory_term_shift == term_;
    const std::uint64_t base = same_leader ? known_version - (term_ << directory_term_shift) : 0;
    directory_changes changes = changes_since(directory_, base);
    instructions.directory_base = changes.complete ? 0 : known_version;
    instructions.instances = std::move(changes.changed);
    instructions.removed = std::move(changes.removed);
}

void service_coordinator::update_divided_connections(const registry& state)
{
    if (divided_directory_version_ == directory_.version &&
        divided_configuration_version_ == state.declared.version) {
        return;
    }
    divided_directory_version_ = directory_.version;
    divided_configuration_version_ = state.declared.version;
    divided_connections_.clear();
    for (const auto& [name, it] : directory_.instances) {
        const auto service = state.declared.services.find(it.last_heartbeat.service);
        const int accepted =
            service == state.declared.services.end() ? 0 : service->second.connections;
        if (const int divided = divided_connections(accepted, {}); divided > 0) {
            divided_connections_[name] = {.usual_demand = typical_instance_load,
                                          .unit = 1.0 / divided};
        }
    }
}

std::map<std::string, int> service_coordinator::warmup_limits(const registry& state) const
{
    std::map<std::string, int> limits;
    for (const auto& [name, it] : directory_.instances) {
        const auto service = state.declared.services.find(it.last_heartbeat.service);
        if (is_cold(it.last_heartbeat) && service != state.declared.services.end() &&
            service->second.warmup_rate > 0) {
            limits[name] = warmup_limit(service->second.warmup_rate, warmup_options_);
        }
    }
    return limits;
}

entry_instructions service_coordinator::make_instructions(const coordinator_view& view,
                                                          const replica_id& entry,
                                                          const entry_report& report,
                                                          time_point now)
{
    restore_directory(view.state, now);
    for (const primary_evidence& it : report.primaries) {
        const auto record = view.state.primaries.find(it.service);
        if (record != view.state.primaries.end()) {
            const auto since_last_served = it.since_last_served.count() < 0
                                               ? std::nullopt
                                               : std::optional<duration>(it.since_last_served);
            handle_entry_report(primary_changes_[it.service], record->second, it.instance,
                                it.failing, since_last_served, now);
        }
    }
    update_divided_connections(view.state);
    record_entry_contact(tokens_, entry.name, report.isolated, now);
    const std::size_t entry_count = view.state.entries.size();
    entry_instructions instructions;
    instructions.entry_count = static_cast<std::uint32_t>(entry_count);
    instructions.connections =
        grant_shares(connection_shares_, {.reserved_fraction = 0}, entry.name, entry.incarnation,
                     report.connections, divided_connections_, entry_count, now);
    instructions.warmup =
        grant_warmup(warmup_, warmup_options_, entry.name, entry.incarnation, report.warmup,
                     warmup_limits(view.state), view.lease_duration, now);
    fill_directory(instructions, report.directory_version);
    return instructions;
}

rate_token_grant service_coordinator::grant_rate_tokens(const registry& state,
                                                        const rate_token_request& request,
                                                        time_point now)
{
    record_entry_contact(tokens_, request.entry.name, request.isolated, now);
    tokens_.reserve_usable = may_use_reserve(rate_options_.reserve, state.rate_reserve_term, term_,
                                             tokens_.leading_since, now);
    if (is_granted_fraction_due(tokens_, now)) {
        std::vector<std::string> registered;
        registered.reserve(state.entries.size());
        for (const auto& [name, it] : state.entries) {
            registered.push_back(name);
        }
        update_granted_fraction(tokens_, rate_options_, registered, now);
    }
    rate_token_grant grant{
        .entry = request.entry, .origin = request.origin, .number = request.number};
    for (const auto& [name, requested] : request.requests) {
        const auto customer = state.declared.customers.find(name);
        if (customer == state.declared.customers.end()) {
            // The entry has an older or newer configuration than this member. Without the limit,
            // no tokens can be granted.
            grant.grants[name] = {.retry_after_ms = unknown_customer_retry.count()};
            continue;
        }
        const bucket_limits limits{.rate = customer->second.rate, .burst = customer->second.burst};
        grant.grants[name] =
            grant_tokens(tokens_, rate_options_, name, limits, request.entry.name, requested, now);
    }
    return grant;
}

void service_coordinator::restore_directory(const registry& state, time_point now)
{
    if (!directory_restored_) {
        directory_restored_ = true;
        restore_instances(directory_, state.instances, now);
    }
}

void service_coordinator::record_directory(const registry& state, time_point now)
{
    if (recorded_directory_version_ == directory_.version || now < next_record_at_) {
        return;
    }
    recorded_directory_version_ = directory_.version;
    next_record_at_ = now + record_interval;
    instance_record_changes changes = changes_to_record(directory_, state.instances);
    if (!changes.changed.empty() || !changes.removed.empty()) {
        propose_(record_instances{std::move(changes.changed), std::move(changes.removed)});
    }
}

void service_coordinator::record_reserve_use(const registry& state, time_point now)
{
    const auto term = reserve_term_to_record(rate_options_.reserve, state.rate_reserve_term, term_,
                                             rate_options_.window, tokens_.leading_since, now);
    if (!term || proposed_reserve_term_ == term) {
        return;
    }
    proposed_reserve_term_ = term;
    propose_(record_rate_reserve{state.rate_reserve_term, *term});
}

void service_coordinator::advance_services(const coordinator_view& view, time_point now)
{
    restore_directory(view.state, now);
    remove_expired_instances(directory_, {}, now);
    record_directory(view.state, now);
    record_reserve_use(view.state, now);
    std::map<std::string, std::vector<known_instance>> instances;
    for (const auto& [name, it] : directory_.instances) {
        known_instance& listed = instances[it.last_heartbeat.service].emplace_back(it);
        listed.last_heartbeat.leaving =
            it.last_heartbeat.leaving || is_leaving(view.state, name, it.last_heartbeat.born_ms);
    }
    for (const auto& [name, declared] : view.state.declared.services) {
        advance_service(view, name, declared, std::move(instances[name]), now);
    }
}

void service_coordinator::advance_service(const coordinator_view& view, const std::string& service,
                                          const declared_service& declared,
                                          std::vector<known_instance> instances, time_point now)
{
    primary_change_view change_view{.service = service,
                                    .instances = std::move(instances),
                                    .synchronous_replicas = declared.synchronous_replicas};
    const auto record = view.state.primaries.find(service);
    if (record != view.state.primaries.end()) {
        change_view.record = record->second;
    }
    const auto holders = view.state.holders.find(service);
    if (holders != view.state.holders.end()) {
        change_view.holders = holders->second;
    }
    for (const known_instance& it : change_view.instances) {
        if (is_evacuated(view.state, it.last_heartbeat.failure_domain)) {
            change_view.evacuated.insert(it.last_heartbeat.instance);
        }
    }
    // The other phases do not depend on it, and asking costs a look at every entry.
    change_view.entries_settled = change_view.record.phase == primary_phase::suspended &&
                                  all_settled(view.leases, view.state.entries,
                                              change_view.record.epoch, view.lease_duration, now);
    for (const primary_action& it : advance(primary_changes_[service], change_view, {}, now)) {
        perform(view, service, change_view.record, it);
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
                           {"failed_probes", std::to_string(failed_status_requests(
                                                 primary_changes_[service], record.instance))},
                           {"vouched_ms_ago",
                            milliseconds_text(monotonic_clock::now() -
                                              primary_changes_[service].last_served_at)}});
                propose_(change_primary{service, record.epoch, it.instance, it.phase, it.planned,
                                        it.newest_term, it.late_promotion});
            },
            [&](const request_status& it) {
                const instance_heartbeat* const instance = find_instance(it.instance);
                if (instance == nullptr) {
                    handle_status_answer(primary_changes_[service], it.instance, std::nullopt, {});
                    return;
                }
                const std::uint64_t epoch = primary_changes_[service].epoch;
                const bool is_recorded = record.instance == it.instance;
                const auto on_answer = [this, service, epoch, is_recorded, name = it.instance,
                                        requested_at =
                                            monotonic_clock::now()](const status_result& res) {
                    const auto* const status = std::get_if<instance_status>(&res);
                    handle_sign_of_life(name, is_recorded, res);
                    if (primary_changes_[service].epoch == epoch) {
                        handle_status_answer(primary_changes_[service], name,
                                             status == nullptr ? std::nullopt
                                                               : std::optional(*status),
                                             requested_at);
                    }
                };
                requests_.request_status(*instance, on_answer);
            },
            [&](const request_holder_status& it) {
                const auto on_answer = [this, service, holder = it.holder,
                                        requested_at =
                                            monotonic_clock::now()](const status_result& res) {
                    handle_holder_status(primary_changes_[service], holder, res, requested_at,
                                         monotonic_clock::now());
                };
                requests_.request_status({.instance = it.holder.instance,
                                          .service = service,
                                          .address = it.holder.address},
                                         on_answer);
            },
            [&](const request_promotion& it) {
                log_event(event_id::promotion_started, {{"service", service},
                                                        {"instance", it.instance},
                                                        {"token", std::to_string(view.term)}});
                const std::uint64_t epoch = primary_changes_[service].epoch;
                requests_.promote({service, it.instance, view.leader, view.term, view.still_leads},
                                  [this, service, epoch, name = it.instance](promotion_answer res) {
                                      if (primary_changes_[service].epoch == epoch) {
                                          handle_promotion_answer(primary_changes_[service], name,
                                                                  res, monotonic_clock::now());
                                      }
                                  });
            },
            [&](const request_step_down& it) {
                if (const instance_heartbeat* const instance = find_instance(it.instance)) {
                    log_event(event_id::stale_primary_ignored, {{"service", service},
                                                                {"instance", it.instance},
                                                                {"term", std::to_string(it.term)}});
                    requests_.step_down(*instance, it.term);
                }
            },
            [&](const report_blocked_evacuation& it) {
                log_event(event_id::evacuation_blocked,
                          {{"service", service}, {"instance", it.instance}});
            },
            [&](const propose_holders& it) {
                propose_(record_commit_holders{service, it.holders});
            },
            [&](const report_missing_holder& it) {
                log_event(event_id::commit_holder_missing,
                          {{"service", service}, {"instance", it.instance}});
            },
        },
        action);
}

}  // namespace balsamdrift
