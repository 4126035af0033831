#pragma once

#include <QObject>
#include <QTimer>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "control/control_options.h"
#include "control/lease_table.h"
#include "control/log_storage.h"
#include "core/consensus/consensus.h"
#include "core/registry/registry.h"
#include "fleet/fleet_node.h"
#include "fleet/lease_message.h"

namespace balsamdrift {

/// The member asked does not lead; the leader's name may be known.
struct not_leading {
    std::string leader;
};

/// How a proposed command ended. `unsettled` means the leader changed before it was committed:
/// sending the same change again gives its true answer.
struct unsettled {};
using proposal_outcome = std::variant<change_result, not_leading, unsettled>;

/// What a control member shows of itself.
struct control_status {
    std::string name;
    bool leads = false;
    bool serves = false;
    std::string leader;
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    membership members;
    /// Registry index in force on each entry with a lease; filled on the leader.
    std::map<std::string, std::uint64_t> entry_index;
    std::shared_ptr<const registry> state;
};

/// A control member: runs the replicated log on its data folder, applies it to the registry, and,
/// as leader, grants leases to entries and assigns ownership. All work happens on one thread.
class control_service : public QObject {
public:
    using proposal_handler = std::function<void(proposal_outcome)>;

    control_service(control_options options, fleet_node& fleet);
    ~control_service() override;

    /// Opens the data folder and begins to take part.
    outcome<std::monostate> start();

    /// Takes a message for the consensus or lease channel. Safe from any thread.
    void receive(fleet_message message);

    /// Proposes a command; answers once it is committed or known not to be. Safe from any thread.
    void propose(const registry_command& command, proposal_handler on_done);

    /// A consistent view for operators. Safe from any thread.
    control_status status() const;

private:
    struct waiting_proposal {
        std::uint64_t term = 0;
        proposal_handler on_done;
    };
    struct queued_proposal {
        std::string command;
        proposal_handler on_done;
    };

    outcome<std::monostate> open_storage();
    void on_tick();
    void on_message(const fleet_message& message);
    void on_consensus(const fleet_message& message);
    void on_lease(const fleet_message& message);
    void run_step(const consensus_event& event);
    bool perform(const consensus_action& action);
    void perform_apply(const apply_entries& action);
    void fail_storage(const std::string& message);
    void flush_proposals();
    void resolve(std::uint64_t index, std::uint64_t term, const change_result& result);
    void fail_proposals();
    void handle(const lease_request& it, const std::string& sender);
    void handle(const owner_command& it, const std::string& sender);
    void handle(const lease_return& it, const std::string& sender);
    void handle(const lease_grant& it, const std::string& sender);
    void handle(const not_leader& it, const std::string& sender);
    lease_grant make_grant(const lease_request& it) const;
    void push_configuration();
    void lead();
    void expire_entries(time_point now);
    void assign_owners(time_point now);
    void finish_preset_switch(time_point now);
    void compact_log();
    void publish_status();
    std::vector<replica_id> registered_entries() const;
    std::string leader_address() const;
    void propose_internal(const registry_command& command);

    control_options options_;
    fleet_node& fleet_;
    log_storage storage_;
    std::optional<consensus_state> consensus_;
    registry registry_;
    /// Recent log entries, so that an entry that lags a little needs no whole registry.
    std::deque<log_entry> recent_;
    lease_table leases_;
    std::vector<queued_proposal> queued_;
    std::multimap<std::uint64_t, waiting_proposal> waiting_;
    bool flush_scheduled_ = false;
    time_point assign_at_{};
    time_point publish_at_{};
    /// Registry index and live entries for which the plan of owners asked for nothing.
    std::uint64_t planned_index_ = 0;
    std::set<replica_id> planned_entries_;
    time_point reopen_at_{};
    QTimer timer_{this};

    mutable std::mutex status_mutex_;
    control_status status_;
};

}  // namespace balsamdrift
