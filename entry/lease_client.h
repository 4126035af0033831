#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "entry/entry_view.h"
#include "fleet/fleet_node.h"
#include "fleet/lease_message.h"
#include "fleet/report_exchange.h"

namespace balsamdrift {

/// Settings of the lease client.
struct lease_client_options {
    entry_record record;
    /// Fleet addresses of the control members.
    std::vector<std::string> control;
    duration renew_interval = milliseconds(500);
    /// A request that is not answered within this time is sent to every control member.
    duration answer_timeout = milliseconds(200);
    /// Creates the report for control. Set only by entries that run statements themselves, like the
    /// next two.
    std::function<entry_report()> make_report = {};
    /// Called with the instructions of every grant.
    std::function<void(const entry_instructions&)> on_instructions = {};
    /// Called with control's answer to the token request of this number.
    std::function<void(std::uint64_t number, const customer_token_grants&)> on_token_grants = {};
};

/// Keeps the entry's lease and configuration up to date: renews the lease with the control leader
/// at a regular interval and applies the committed configuration. Never returns to an older
/// configuration. An entry that cannot reach control sends its requests through other entries.
class lease_client : public QObject {
public:
    lease_client(lease_client_options options, entry_view& view, fleet_node& fleet);

    /// Starts to request the lease. `on_change` is called after every change of the configuration.
    void start(std::function<void()> on_change);

    /// Handles a message of the lease channel. Safe from any thread.
    void receive(fleet_message message);

    /// Proposes a command to the control log as the owner of an item. Safe from any thread.
    void propose(const registry_command& command);

    /// Renews the lease within a few milliseconds, so that control receives a new report.
    void renew_soon();

    /// Requests tokens of customers' rates from control. Does nothing while no way to control is
    /// known.
    void request_tokens(std::uint64_t number, customer_token_requests requests, bool isolated);

    /// When the newest lease request that control has answered was sent.
    time_point answered_request_sent_at() const { return answered_request_sent_at_; }

    /// Tells control that this entry is stopping: it keeps its lease but is assigned no new items.
    void drain();

    /// Gives up the lease; the entry no longer serves.
    void release_lease();

private:
    void on_tick();
    void send_lease_request();
    void handle(const lease_grant& grant, const std::string& sender);
    void handle(const not_leader& refusal, const std::string& sender);
    void handle(const lease_request& request, const std::string& sender);
    void handle(const relayed_lease_grant& relayed, const std::string& sender);
    void handle(const rate_token_request& request, const std::string& sender);
    void handle(const rate_token_grant& grant, const std::string& sender);
    void handle(const renewal_refused& refusal, const std::string& sender);
    /// Sends the request as a renewal if the recipient has confirmed a report. False if it must be
    /// sent in full.
    bool send_renewal(const lease_request& request);
    /// The grant's instructions with all shares in them. Without shares if those that the grant
    /// changes are not known any more.
    entry_instructions complete_instructions(const lease_grant& grant) const;
    /// True when the newest requests were answered by a control member itself, so that this entry
    /// can forward requests of others.
    bool has_control_contact() const;
    bool is_control_member(const std::string& address) const;
    void send_through_other_entries(const lease_request& request);
    /// Ignores all other messages.
    template<class Other>
    void handle(const Other&, const std::string&)
    {
    }
    /// Applies the configuration of a grant. True when the registry index changed.
    bool apply_grant(const lease_grant& grant);
    void send(const std::string& address, const lease_message& message);
    void send_to_control(const lease_message& message);
    void send_to_all(const lease_message& message);

    lease_client_options options_;
    entry_view& view_;
    fleet_node& fleet_;
    std::function<void()> on_change_;
    registry registry_;
    /// Address that requests are sent to: the control leader, or an entry that forwards them. Empty
    /// if neither is known; requests then go to every control member.
    std::string upstream_;
    /// Control members that the leader named last.
    std::vector<std::string> control_members_;
    /// When the newest lease request was sent.
    time_point requested_at_{};
    time_point answered_request_sent_at_{};
    /// When the next lease request is due.
    time_point renew_at_{};
    /// When a control member last granted the lease directly or, while another entry forwards the
    /// requests, when control was last tried directly.
    time_point control_contact_at_{};
    /// Reports that the leader has from this process. Unused without make_report.
    report_sender reports_;
    random_engine random_{random_identity()};
    /// Whether the lease was held at the last tick.
    bool lease_was_held_ = false;
    bool draining_ = false;
    bool released_ = false;
    QTimer timer_{this};
};

}  // namespace balsamdrift
