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

/// A stand-in for a database instance: its data, its role in the group and its replication. Client
/// sessions run their statements on its data.
class instance : public QObject {
public:
    explicit instance(instance_options options);
    ~instance() override;

    /// Starts replication, and announcements of the given SQL address to the entries. Returns the
    /// address for replication and fault commands.
    outcome<endpoint> start(const endpoint& sql_address);

    const instance_options& options() const { return options_; }
    /// Committed data, which sessions read outside of transactions.
    const sql_database& committed() const { return *committed_; }
    /// Data that sessions write to, one transaction at a time.
    const sql_database& working() const { return *working_; }
    bool is_primary() const { return primary_; }
    /// Whether the instance ignores its clients and the other instances, see `fault_command`.
    bool is_cut() const { return cut_; }
    /// Number of the current term, which each promotion increases; reported as the timeline.
    std::uint64_t term() const { return term_; }
    std::uint64_t received_lsn() const { return received_lsn_; }
    std::uint64_t applied_lsn() const { return applied_lsn_; }

    /// Appends a transaction that a session committed on this primary to the history, and sends it
    /// to the replicas after the ship delay.
    void commit(std::vector<replayed_statement> statements);

    /// Applies everything that was received and becomes the primary of a new term.
    void promote();

    /// Waits for a free slot, occupies it for the service time, then calls `on_done`.
    void run_in_slot(std::function<void()> on_done);

    /// Called when all sessions must end, because the instance discards its data to follow a new
    /// primary.
    std::function<void()> on_sessions_invalidated;

private:
    /// A transaction that was received, but is not visible to reads yet.
    struct unapplied_transaction {
        time_point apply_at;
        committed_transaction transaction;
    };

    void on_message(const fleet_message& message);
    void handle(const replication_stream& stream, const std::string& sender);
    void handle(const replication_request& request, const std::string& sender);
    void handle(const fault_command& command, const std::string& sender);
    /// Sends the transactions after a position to another instance; none if it has them all.
    void ship(std::uint64_t after_lsn, const std::string& address);
    void apply_due_transactions();
    void announce();
    /// Replaces the data and the history by empty ones.
    void reset_data();
    /// Becomes a replica of the sender of the stream. Discards the data if they may differ from it.
    void follow_primary(const replication_stream& stream);
    void append_to_run_log(const committed_transaction& transaction);
    void release_slot();

    instance_options options_;
    std::unique_ptr<sql_database> committed_;
    std::unique_ptr<sql_database> working_;
    /// Makes the names of the databases unique, also after `reset_data`.
    int reset_count_ = 0;
    bool primary_ = false;
    bool cut_ = false;
    bool leaving_ = false;
    std::uint64_t term_ = 1;
    /// Position at which the term began.
    std::uint64_t term_start_ = 0;
    std::uint64_t received_lsn_ = 0;
    std::uint64_t applied_lsn_ = 0;
    /// All transactions, so that a replica without data can catch up.
    std::vector<committed_transaction> history_;
    std::deque<unapplied_transaction> unapplied_;
    std::deque<std::function<void()>> slot_waiters_;
    int busy_slots_ = 0;
    /// Whether this replaced primary waits to follow its successor.
    bool rejoining_ = false;
    fleet_node replication_node_;
    QTimer apply_timer_;
    QTimer heartbeat_timer_;
    QTimer announce_timer_;
    QNetworkAccessManager http_;
    std::size_t next_entry_ = 0;
    std::string sql_address_;
    std::ofstream run_log_;
};

}  // namespace balsamdrift::rig
