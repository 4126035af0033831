#pragma once

#include <functional>
#include <map>
#include <string>

#include "control/failover_requests.h"
#include "control/lease_table.h"
#include "core/failover/primary_change.h"
#include "core/instances/instance_directory.h"
#include "core/rates/connection_budget.h"
#include "core/rates/share_allocation.h"
#include "core/rates/token_pool.h"
#include "core/rates/warmup_allocation.h"
#include "core/registry/registry.h"
#include "fleet/lease_message.h"

namespace balsamdrift {

/// State of the control member that the coordinator runs on, for one call.
struct coordinator_view {
    const registry& state;
    const lease_table& leases;
    duration lease_duration{};
    /// Name of this member, which leads.
    std::string leader;
    std::uint64_t term = 0;
    /// Whether this member still leads that term, at the time of the call.
    std::function<bool()> still_leads = [] { return true; };
};

/// Manages the declared services on the control leader: keeps the directory of instances, replaces
/// primaries that are lost or leaving, and divides connections and customers' rates among the
/// entries. Of this only the instances are replicated, with some delay: a new leader collects the
/// rest again from heartbeats and entry reports, which takes seconds.
class service_coordinator {
public:
    /// Proposes a command to the control log.
    using proposer = std::function<void(const registry_command&)>;

    service_coordinator(failover_requests requests, token_pool_options rates, warmup_options warmup,
                        proposer propose);

    /// Clears all state. Called when this member starts or stops leading.
    void reset(time_point now, std::uint64_t term);

    /// Records a heartbeat of an instance, unless it names a service that is not declared and would
    /// displace a known instance.
    void handle_heartbeat(const registry& state, const instance_heartbeat& it, time_point now);

    /// Removes an instance that deregistered from the directory, unless a later incarnation than
    /// the one that started at `born_ms` is known.
    void handle_deregistration(const std::string& instance, std::int64_t born_ms);

    /// Frees the connection shares and rate tokens of an entry that is known to have ended.
    void release_entry(const std::string& entry);

    /// Handles an entry's report and returns the instructions for it. Their `control` addresses are
    /// left to the caller.
    entry_instructions make_instructions(const coordinator_view& view, const replica_id& entry,
                                         const entry_report& report, time_point now);

    /// Grants an entry tokens of the customers' rates.
    rate_token_grant grant_rate_tokens(const registry& state, const rate_token_request& request,
                                       time_point now);

    /// Removes expired instances and takes the next step in the change of primary of each service.
    /// Must be called periodically.
    void advance_services(const coordinator_view& view, time_point now);

    /// Version of the instance directory. It changes whenever entries need the directory again,
    /// also with a new leader.
    std::uint64_t directory_version() const;

    /// Adds what an entry with `known_version` of the directory lacks to the instructions for it.
    void fill_directory(entry_instructions& instructions, std::uint64_t known_version) const;

private:
    /// Proposes to record that this leader uses the reserve of the customers' rates, or that the
    /// reserve is whole again.
    void record_reserve_use(const registry& state, time_point now);
    /// Starts from the instances that an earlier leader recorded, once after each election.
    void restore_directory(const registry& state, time_point now);
    /// Proposes to record what has changed in the directory.
    void record_directory(const registry& state, time_point now);
    void advance_service(const coordinator_view& view, const std::string& service,
                         const declared_service& declared, std::vector<known_instance> instances,
                         time_point now);
    void perform(const coordinator_view& view, const std::string& service,
                 const primary_record& record, const primary_action& action);
    /// Lists the connections to divide again if the directory or the configuration has changed.
    void update_divided_connections(const registry& state);
    /// Statements per second that all entries together may start on each cold instance.
    std::map<std::string, int> warmup_limits(const registry& state) const;
    /// Keeps an instance that answers in the directory although its heartbeats do not arrive, and
    /// removes a replica that does not run. Whether a primary is lost is decided elsewhere.
    void handle_sign_of_life(const std::string& instance, bool is_recorded_primary,
                             const status_result& result);
    /// Newest heartbeat of an instance; null if it is not in the directory.
    const instance_heartbeat* find_instance(const std::string& instance) const;

    failover_requests requests_;
    proposer propose_;
    instance_directory directory_;
    bool directory_restored_ = false;
    /// Version of the directory that was last proposed to be recorded, and when the next one may
    /// be.
    std::uint64_t recorded_directory_version_ = 0;
    time_point next_record_at_{};
    /// By service.
    std::map<std::string, primary_change_state> primary_changes_;
    token_pool_options rate_options_;
    token_pool tokens_;
    /// The newest term of a reserve's use that this leader proposed.
    std::optional<std::uint64_t> proposed_reserve_term_;
    share_table connection_shares_;
    /// The connections of each instance, as of the directory and configuration versions below.
    std::map<std::string, divided_resource> divided_connections_;
    std::uint64_t divided_directory_version_ = 0;
    std::uint64_t divided_configuration_version_ = 0;
    warmup_options warmup_options_;
    warmup_table warmup_;
    std::uint64_t term_ = 0;
};

}  // namespace balsamdrift
