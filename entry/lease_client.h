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

namespace balsamdrift {

/// Settings of the lease client.
struct lease_client_options {
    entry_record record;
    /// Fleet addresses of the control members.
    std::vector<std::string> control;
    duration renew_interval = milliseconds(500);
    /// A request without an answer for this long is sent to every control member.
    duration answer_timeout = milliseconds(200);
    /// Set by entries that run statements themselves: what control is told, and what it answers.
    std::function<entry_report()> make_report = {};
    std::function<void(const entry_instructions&)> on_instructions = {};
    /// Control's answer to the question for tokens with this number.
    std::function<void(std::uint64_t number, const customer_token_grants&)> on_tokens = {};
};

/// Keeps the entry's lease and configuration: asks the control leader in turn, applies what it
/// commits, and never goes back to an older configuration.
class lease_client : public QObject {
public:
    lease_client(lease_client_options options, entry_view& view, fleet_node& fleet);

    /// Begins to ask for the lease. `on_change` is called after every change of the configuration.
    void start(std::function<void()> on_change);

    /// Takes a message for the lease channel. Safe from any thread.
    void receive(fleet_message message);

    /// Proposes a command that an owner may propose. Safe from any thread.
    void propose(const registry_command& command);

    /// Asks again within a few milliseconds: control should hear something new.
    void ask_soon();

    /// Asks control for tokens of customers' rates.
    void ask_tokens(std::uint64_t number, customer_token_requests asks, bool alone);

    /// When the newest question that control has answered was sent.
    time_point answered_at() const { return answered_at_; }

    /// Tells control that this entry stops: it keeps its lease and gets no new items.
    void drain();

    /// Gives the lease back; the entry no longer serves.
    void give_back();

private:
    void on_tick();
    void ask();
    void handle(const lease_grant& it, const std::string& sender);
    void handle(const not_leader& it, const std::string& sender);
    void handle(const lease_request& it, const std::string& sender);
    void handle(const relayed_lease_grant& it, const std::string& sender);
    void handle(const rate_token_request& it, const std::string& sender);
    void handle(const rate_token_grant& it, const std::string& sender);
    bool reaches_control() const;
    bool is_control(const std::string& address) const;
    void ask_through_others(const lease_request& request);
    template<class Other>
    void handle(const Other&, const std::string&)
    {
    }
    bool adopt(const lease_grant& it);
    void send(const std::string& address, const lease_message& message);
    void send_to_control(const lease_message& message);
    void send_to_all(const lease_message& message);

    lease_client_options options_;
    entry_view& view_;
    fleet_node& fleet_;
    std::function<void()> on_change_;
    registry registry_;
    std::string leader_;
    /// Control members as the leader named them last.
    std::vector<std::string> members_;
    time_point asked_at_{};
    time_point answered_at_{};
    time_point renew_at_{};
    /// When control itself answered last, or was asked last while another entry passes it on.
    time_point direct_at_{};
    random_engine random_{random_identity()};
    bool held_ = false;
    bool draining_ = false;
    bool given_back_ = false;
    QTimer timer_{this};
};

}  // namespace balsamdrift
