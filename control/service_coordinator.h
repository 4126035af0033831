#pragma once

#include <functional>
#include <map>
#include <string>

#include "control/failover_requests.h"
#include "control/lease_table.h"
#include "core/failover/primary_change.h"
#include "core/instances/instance_directory.h"
#include "core/rates/share_allocation.h"
#include "core/rates/token_pool.h"
#include "core/registry/registry.h"
#include "fleet/lease_message.h"

namespace balsamdrift {

/// What the coordinator sees of the control member that it runs on.
struct coordinator_view {
    const registry& state;
    const lease_table& leases;
    std::vector<replica_id> entries;
    duration lease{};
    std::string holder;
    std::uint64_t term = 0;
};

/// The leader's work for the declared services: it keeps the directory of instances, replaces
/// primaries that are lost or leave, and divides the customers' rates among the entries. A new
/// leader starts with nothing and learns all of it from heartbeats and reports within seconds.
class service_coordinator {
public:
    using proposer = std::function<void(const registry_command&)>;

    service_coordinator(failover_requests orders, token_pool_options rates, proposer propose);

    /// Forgets everything: a leadership began.
    void begin(time_point now, std::uint64_t term);

    /// Notes what an instance said.
    void note(const instance_heartbeat& it, time_point now);

    /// Drops an instance that said goodbye.
    void remove(const std::string& instance);

    /// An entry has ended for certain; what it held is free.
    void release(const std::string& entry);

    /// Notes what an entry reported and says what it is to do.
    entry_instructions instruct(const coordinator_view& view, const replica_id& entry,
                                const entry_report& report, time_point now);

    /// Gives an entry tokens of the customers' rates.
    rate_token_grant answer(const registry& state, const rate_token_request& question,
                            time_point now);

    /// Goes on with every service.
    void advance_services(const coordinator_view& view, time_point now);

    /// Grows when entries need to be told about instances.
    std::uint64_t directory_version() const;

    /// The directory for an entry that has `known_version`.
    void fill_directory(entry_instructions& answer, std::uint64_t known_version) const;

private:
    void advance_service(const coordinator_view& view, const std::string& service,
                         const declared_service& declared, time_point now);
    void perform(const coordinator_view& view, const std::string& service,
                 const primary_record& record, const primary_action& action);
    const instance_heartbeat* find(const std::string& instance) const;

    failover_requests orders_;
    proposer propose_;
    instance_directory directory_;
    std::map<std::string, primary_change_state> changes_;
    token_pool_options rates_;
    token_pool tokens_;
    share_table connection_allotments_;
    std::uint64_t term_ = 0;
};

}  // namespace balsamdrift
