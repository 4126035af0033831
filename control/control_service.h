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
#include "control/service_coordinator.h"
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

    /// Hears whether a submission was settled, and the document if one was asked for.
    using submit_handler = std::function<void(bool settled, const std::string& document)>;

    /// `orders` reaches the instances and the platform; without it no service is coordinated.
    control_service(control_options options, fleet_node& fleet,
                    const failover_requests& orders = {});
    ~control_service() override;

    /// Opens the data folder and begins to take part.
    outcome<std::monostate> start();

    /// Takes a message for the consensus or lease channel. Safe from any thread.
    void receive(fleet_message message);

    /// Proposes a command; answers once it is committed or known not to be. Safe from any thread.
    void propose(const registry_command& command, proposal_handler on_done);

    /// Has a command committed by whichever member leads. `on_done` hears whether it certainly was;
    /// otherwise the caller may send the same again. Only for commands that are idempotent. Safe
    /// from any thread.
    void submit(const registry_command& command, submit_handler on_done);

    /// Reads the declared configuration from a leader that has just proved itself. Safe from any
    /// thread.
    void read_declared_configuration(submit_handler on_done);

    /// Notes a heartbeat, or passes it on to the leader. Safe from any thread.
    void handle_heartbeat(const instance_heartbeat& it);

    /// Drops an instance that said goodbye from the directory. Safe from any thread.
    void handle_deregistration(const std::string& instance);

    /// A consistent view for operators. Safe from any thread.
    control_status status() const;

private:
    struct waiting_proposal {
        std::uint64_t term = 0;
        proposal_handler on_done;
    };
    /// A change that takes its time on an entry's link.
    struct transfer {
        /// Newest index that was sent.
        std::uint64_t index = 0;
        time_point began_at{};
    };
    struct queued_proposal {
        std::string command;
        proposal_handler on_done;
    };

    /// A submission that waits for a leader or for its answer.
    struct submission {
        /// Encoded registry_command; empty to read the declared configuration.
        std::string command;
        submit_handler on_done;
        time_point give_up_at{};
        /// When it was last handed to a leader, if it was.
        std::optional<time_point> sent_at;
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
    void handle(const lease_release& it, const std::string& sender);
    void handle(const lease_grant& it, const std::string& sender);
    void handle(const not_leader& it, const std::string& sender);
    void handle(const relayed_heartbeat& it, const std::string& sender);
    void handle(const relayed_command& it, const std::string& sender);
    void handle(const relayed_command_result& it, const std::string& sender);
    void handle(const relayed_deregistration& it, const std::string& sender);
    void handle(const relayed_lease_request& it, const std::string& sender);
    void handle(const relayed_lease_grant& it, const std::string& sender);
    void handle(const rate_token_request& it, const std::string& sender);
    void handle(const rate_token_grant& it, const std::string& sender);
    void take_lease_request(const lease_request& it, const std::string& sender,
                            const std::string& origin);
    void send_grant(const std::string& address, const std::string& origin,
                    const lease_grant& grant);
    void send_message(const std::string& address, const lease_message& message);
    void refuse_not_leading(const std::string& address);
    void add_submission(std::string command, submit_handler on_done);
    void forward_submission(std::uint64_t id, submission& it, time_point now);
    void settle_submission(std::uint64_t id, bool settled, const std::string& document);
    void serve_submission(const std::string& command, submit_handler on_done);
    void check_submissions(time_point now);
    coordinator_view make_coordinator_view() const;
    void remember_recent(log_entry entry);
    std::vector<std::string> member_addresses() const;
    lease_grant make_grant(const lease_request& it, const replica_id& entry);
    void fill_registry(lease_grant& answer, std::uint64_t known) const;
    const std::string& packed_registry() const;
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
    /// Bytes of data in the recent entries.
    std::size_t recent_bytes_ = 0;
    lease_table leases_;
    service_coordinator coordinator_;
    bool coordinates_ = false;
    std::map<std::uint64_t, submission> submissions_;
    std::uint64_t next_submission_ = 1;
    /// Directory that all entries were last told about.
    std::uint64_t pushed_directory_ = 0;
    /// Something was applied that entries have not been told yet.
    bool push_due_ = false;
    /// Large changes on their way to entries.
    std::map<replica_id, transfer> transfers_;
    /// The registry as it is sent to entries that need the whole of it, and its index.
    mutable std::string packed_registry_;
    mutable std::uint64_t packed_index_ = 0;
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
