#pragma once

#include <QObject>
#include <QTimer>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "base/random.h"
#include "control/control_options.h"
#include "control/lease_table.h"
#include "control/log_storage.h"
#include "control/service_coordinator.h"
#include "core/consensus/consensus.h"
#include "core/registry/registry.h"
#include "fleet/fleet_node.h"
#include "fleet/lease_message.h"
#include "fleet/report_exchange.h"

namespace balsamdrift {

/// Outcome of a proposal to a member that is not the leader.
struct not_leading {
    /// Fleet address of the leader; empty if it is not known.
    std::string leader;
};

/// Outcome of a proposal whose result is unknown, because the leader changed or its storage failed
/// before the command was known to be committed. Sending the same change again gives its result.
struct unsettled {};

/// How a proposed command ended.
using proposal_outcome = std::variant<change_result, not_leading, unsettled>;

/// Status of a control member, for operators.
struct control_status {
    std::string name;
    bool leads = false;
    /// False while the data folder cannot be used: the member then takes no part in consensus.
    bool serves = false;
    /// Name of the leader; empty if it is not known.
    std::string leader;
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    membership members;
    /// Registry index that each entry with a lease has confirmed, by the entry's name. Only the
    /// leader has it.
    std::map<std::string, std::uint64_t> entry_index;
    std::shared_ptr<const registry> state;
};

/// A control member. It keeps its copy of the replicated log in its data folder and applies the log
/// to the registry. The leader also grants leases to entries and assigns owners. All work is done
/// on the thread of this object; the functions for other threads queue their work to it.
class control_service : public QObject {
public:
    /// Called once with the outcome of a proposal.
    using proposal_handler = std::function<void(proposal_outcome)>;

    /// Called once. If `settled` is true, `text` is the declared configuration, if that was
    /// requested. Otherwise `text` is the reason if the submission was refused, of which nothing is
    /// kept then, and empty if its result is not known.
    using submit_handler = std::function<void(bool settled, const std::string& text)>;

    /// Services are coordinated only if the functions of `requests` are set.
    control_service(control_options options, fleet_node& fleet,
                    const failover_requests& requests = {});
    ~control_service() override;

    /// Opens the data folder and starts to take part in consensus. If the folder cannot be opened
    /// for now, for example because the disk is full, the member tries again until it can. Fails if
    /// that would never succeed.
    outcome<std::monostate> start();

    /// Handles a message of the consensus or lease channel. Safe from any thread.
    void receive(fleet_message message);

    /// Proposes a command to the log. `on_done` is called when the command has been committed and
    /// applied, when this member does not lead, or when its result can no longer be known. Safe
    /// from any thread.
    void propose(const registry_command& command, proposal_handler on_done);

    /// Has a command committed by the current leader, and retries until a timeout. If `on_done`
    /// gets false for `settled` and no reason, the command may have been committed or not, and the
    /// caller may submit it again. Only for idempotent commands. An order for a failure domain that
    /// the leader does not know is refused. Safe from any thread.
    void submit(const registry_command& command, submit_handler on_done);

    /// Reads the declared configuration from a member whose leadership is confirmed at that time.
    /// Safe from any thread.
    void read_declared_configuration(submit_handler on_done);

    /// Records a heartbeat if this member leads, otherwise forwards it to the leader. It is settled
    /// once the leader has it. Safe from any thread.
    void handle_heartbeat(
        const instance_heartbeat& it, submit_handler on_done = [](bool, const std::string&) {});

    /// Removes an instance from the directory, here and on the leader, after the incarnation that
    /// started at `born_ms` deregistered. Safe from any thread.
    void handle_deregistration(const std::string& instance, std::int64_t born_ms);

    /// Returns the newest published status; all its parts are of the same time. Safe from any
    /// thread.
    control_status status() const;

private:
    /// A proposal that was appended to the log and is not yet committed.
    struct pending_proposal {
        /// Term in which it was appended.
        std::uint64_t term = 0;
        proposal_handler on_done;
    };
    /// A large registry update that was sent to an entry and is not yet confirmed.
    struct pending_transfer {
        /// Newest registry index that was sent.
        std::uint64_t index = 0;
        time_point started_at{};
    };
    /// A proposal that is not yet appended to the log.
    struct queued_proposal {
        /// Encoded registry_command.
        std::string command;
        proposal_handler on_done;
    };

    /// A submission that waits for a leader or for the leader's answer.
    struct submission {
        /// Encoded registry_command; empty to read the declared configuration.
        std::string command;
        /// Passed on in place of the command if it is set.
        std::optional<instance_heartbeat> heartbeat;
        submit_handler on_done;
        time_point deadline{};
        /// When it was last passed to a leader; unset if it never was.
        std::optional<time_point> sent_at;
    };

    outcome<std::monostate> open_storage();
    void on_tick();
    /// Sets the timer to the time when on_tick() has something to do next.
    void schedule_tick();
    void on_message(const fleet_message& message);
    void on_consensus(const fleet_message& message);
    void on_lease(const fleet_message& message);
    void run_step(const consensus_event& event);
    /// Returns false if data could not be stored; the member then no longer takes part in
    /// consensus.
    bool perform(const consensus_action& action);
    void apply_committed(const apply_entries& action);
    /// Stops taking part in consensus until the data folder can be opened again.
    void handle_storage_failure(const std::string& message);
    /// Tries to open the data folder again after a failure, at intervals.
    void reopen_storage(time_point now);
    /// Handles a message while the data folder cannot be used. The member only learns who leads,
    /// and passes on changes and heartbeats.
    void receive_without_storage(const fleet_message& message);
    outcome<std::monostate> save_own_snapshot(const log_snapshot& snapshot);
    outcome<std::monostate> adopt_leader_snapshot(const log_snapshot& snapshot);
    /// Appends all queued proposals to the log, or fails them if this member does not lead.
    void flush_proposals();
    /// Why an order for a failure domain is refused; empty if it is accepted, if this member does
    /// not lead, or if `domain` is empty because the command is none.
    std::string refusal_of(const std::string& domain) const;
    /// Adds the failure domain of a heartbeat to `seen_domains_`.
    void remember_domain(const std::string& domain);
    /// Calls the handlers of the proposals at a log index that is now committed with this term.
    void complete_proposals(std::uint64_t index, std::uint64_t term, const change_result& result);
    /// Fails all pending and queued proposals.
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
    void handle(const lease_renewal& it, const std::string& sender);
    void handle(const renewal_refused& it, const std::string& sender);
    /// Confirms the report of the request. In answer to a renewal, replaces the shares by their
    /// changes, and removes the list of control members if the entry has it.
    void shorten_grant(lease_grant& grant, const lease_request& it, const lease_renewal* renewal);
    /// `origin` is the requesting entry's address if `sender` forwards for it, otherwise empty.
    /// `renewal` is the renewal that the request was made of; null if it was received in full.
    void process_lease_request(const lease_request& it, const std::string& sender,
                               const std::string& origin, const lease_renewal* renewal = nullptr);
    void send_grant(const std::string& address, const std::string& origin,
                    const lease_grant& grant);
    void send_message(const std::string& address, const lease_message& message);
    void send_leader_hint(const std::string& address);
    /// Takes the command or heartbeat, and its handler.
    void add_submission(submission it);
    /// Passes a submission to the leader, which may be this member. Does nothing if none is known.
    void dispatch_submission(std::uint64_t id, submission& it, time_point now);
    void complete_submission(std::uint64_t id, bool settled, const std::string& text);
    /// Handles a submission on the leader.
    void run_submission(const std::string& command, submit_handler on_done);
    /// Ends submissions that timed out and passes those to the leader again that it did not answer.
    void check_submissions(time_point now);
    coordinator_view make_coordinator_view() const;
    void append_recent_log(log_entry entry);
    std::vector<std::string> member_addresses() const;
    lease_grant make_grant(const lease_request& it, const replica_id& entry);
    /// Adds to a grant what an entry at this registry index is missing: log entries or the whole
    /// registry.
    void add_registry_update(lease_grant& grant, std::uint64_t known_index) const;
    /// The encoded and compressed registry as entries get it: without the declared document.
    const std::string& compressed_registry() const;
    /// Sends registry and directory changes to all entries with a lease.
    void push_configuration();
    /// Tells the registered entries once who leads, so that they need not ask every member.
    void announce_leadership();
    /// Periodic work of the leader; does nothing on other members.
    void run_leader_tasks();
    void expire_entries(time_point now);
    void assign_owners(time_point now);
    /// Activates a preset that is being switched to once all entries have confirmed the switch.
    void finish_preset_switch(time_point now);
    /// Replaces the log by a snapshot once it is large enough.
    void compact_log();
    void publish_status();
    std::vector<replica_id> registered_entries() const;
    /// Fleet address of the leader; empty if it is not known.
    std::string leader_address() const;
    /// Proposes a command whose result is not needed.
    void propose_internal(const registry_command& command);

    control_options options_;
    fleet_node& fleet_;
    log_storage storage_;
    std::optional<consensus_state> consensus_;
    registry registry_;
    /// Recent log entries. An entry process that lags by no more than these is sent log entries
    /// instead of the whole registry.
    std::deque<log_entry> recent_log_;
    /// Sum of the sizes of the data in `recent_log_`.
    std::size_t recent_log_bytes_ = 0;
    lease_table leases_;
    /// Reports that entries' renewals refer to. Filled while this member leads.
    report_table reports_;
    service_coordinator coordinator_;
    /// True if services are coordinated here while this member leads.
    bool coordinates_services_ = false;
    /// Failure domains in the settings and in the heartbeats that this member has received.
    std::set<std::string> seen_domains_;
    /// By id.
    std::map<std::uint64_t, submission> submissions_;
    /// Starts at random, so that the leader's late result for an earlier process of this member
    /// matches none of this process.
    std::uint64_t next_submission_ = random_identity();
    /// Version of the instance directory that was last pushed to all entries.
    std::uint64_t pushed_directory_version_ = 0;
    time_point next_directory_push_at_{};
    /// True if the registry changed since the last push to the entries.
    bool push_due_ = false;
    /// Term in which this member last announced its leadership.
    std::uint64_t announced_term_ = 0;
    /// Large updates that entries have not yet confirmed.
    std::map<replica_id, pending_transfer> transfers_;
    /// Cached result of compressed_registry() and the registry index that it belongs to.
    mutable std::string compressed_registry_;
    mutable std::uint64_t compressed_registry_index_ = 0;
    std::vector<queued_proposal> queued_proposals_;
    /// By log index.
    std::multimap<std::uint64_t, pending_proposal> pending_proposals_;
    /// True if a call of flush_proposals() is queued in the event loop.
    bool flush_scheduled_ = false;
    time_point next_assignment_at_{};
    time_point next_publish_at_{};
    /// Registry index and live entries for which the last assignment plan was empty.
    std::uint64_t planned_index_ = 0;
    std::set<replica_id> planned_entries_;
    /// When to try again to open the data folder after a failure.
    time_point reopen_at_{};
    /// When the data folder failed, and why it could not be opened last.
    time_point storage_failed_at_{};
    std::string storage_failure_;
    /// Address of the leader while the data folder cannot be used; empty if it is not known.
    std::string leader_without_storage_;
    /// No snapshot is saved before this time.
    time_point next_compaction_at_{};
    QTimer timer_{this};
    /// When `timer_` calls on_tick().
    time_point tick_at_{};

    /// Guards `status_`.
    mutable std::mutex status_mutex_;
    control_status status_;
};

}  // namespace balsamdrift
