#pragma once

#include <QNetworkAccessManager>
#include <QObject>
#include <QTimer>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>

#include "fleet/fleet_node.h"
#include "rig/standin/instance_options.h"
#include "rig/standin/replication_message.h"
#include "rig/standin/sql_engine.h"

namespace balsamdrift::rig {

/// One stand-in instance: its data, its role and its replication. Sessions run their SQL on it.
class instance : public QObject {
public:
    explicit instance(instance_options options);
    ~instance() override;

    /// Starts replication and announcements.
    outcome<endpoint> start(const endpoint& sql_address);

    const instance_options& options() const { return options_; }
    /// What sessions outside of transactions read: committed data only.
    const sql_database& committed() const { return *committed_; }
    /// What sessions write to; one transaction at a time.
    const sql_database& working() const { return *working_; }
    bool is_primary() const { return primary_; }
    bool is_cut() const { return cut_; }
    std::uint64_t term() const { return term_; }
    std::uint64_t received_lsn() const { return received_lsn_; }
    std::uint64_t applied_lsn() const { return applied_lsn_; }

    /// Adds a transaction that a session committed on this primary.
    void commit(std::vector<replayed_statement> statements);

    /// Becomes the primary of a new term, once everything received is applied.
    void promote();

    /// Runs `done` when a slot was free for the service time.
    void run_in_slot(std::function<void()> done);

    /// Called when all sessions must end: the instance was cut off or follows a new primary.
    std::function<void()> on_sessions_invalidated;

private:
    /// A transaction that arrived and is not visible yet.
    struct unapplied {
        time_point visible_at;
        committed_transaction transaction;
    };

    void on_message(const fleet_message& message);
    void handle(const replication_stream& it, const std::string& sender);
    void handle(const replication_request& it, const std::string& sender);
    void handle(const fault_command& it, const std::string& sender);
    void ship(std::uint64_t after_lsn, const std::string& address);
    void apply_due();
    void announce();
    void start_from_nothing();
    void follow(const replication_stream& it);
    void log_run(const committed_transaction& it);
    void release_slot();

    instance_options options_;
    std::unique_ptr<sql_database> committed_;
    std::unique_ptr<sql_database> working_;
    int generation_ = 0;
    bool primary_ = false;
    bool cut_ = false;
    bool leaving_ = false;
    std::uint64_t term_ = 1;
    std::uint64_t term_start_ = 0;
    std::uint64_t received_lsn_ = 0;
    std::uint64_t applied_lsn_ = 0;
    /// The whole history, so that any replica can start from nothing.
    std::vector<committed_transaction> history_;
    std::deque<unapplied> unapplied_;
    std::deque<std::function<void()>> waiting_for_slot_;
    int busy_slots_ = 0;
    bool rejoining_ = false;
    fleet_node fleet_;
    QTimer apply_timer_;
    QTimer heartbeat_timer_;
    QTimer announce_timer_;
    QNetworkAccessManager http_;
    std::size_t next_entry_ = 0;
    std::string sql_address_;
    std::ofstream run_log_;
};

}  // namespace balsamdrift::rig
