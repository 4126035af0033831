#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/presets/preset_policy.h"
#include "core/queueing/fair_queue.h"
#include "core/rates/retry_budget.h"
#include "core/routing/route.h"
#include "entry/db_connection_pool.h"
#include "entry/entry_view.h"
#include "fleet/work_message.h"

namespace balsamdrift {

/// Settings of the owner of one database group.
struct group_owner_options {
    std::string group;
    /// Ownership epoch in which the owner acts.
    std::uint64_t epoch = 0;
    /// Failure domain of this VM.
    std::string failure_domain;
    /// Interval between probes of an instance.
    duration probe_interval = milliseconds(100);
    /// Interval between probes while writes wait for their replication.
    duration replication_probe_interval = milliseconds(4);
    /// Interval between probes while a replica has not applied all acknowledged writes.
    duration catch_up_probe_interval = milliseconds(10);
    /// A claim prevents a second run of its write for this long; then it is deleted.
    duration claim_lifetime = std::chrono::hours(24);
};

/// Status of a group for operators.
struct group_status {
    std::string group;
    std::uint64_t epoch = 0;
    group_state state;
    /// Statements that are running, by instance.
    running_counts running;
    std::size_t queued = 0;
    std::size_t connections = 0;
    std::size_t transactions = 0;
};

/// Owner of one database group: manages all its connections, queue, claims, transactions and
/// failovers. Every statement of the group in the whole fleet runs here, so that limits, order and
/// fencing need no agreement between entries. Lives on one thread.
class group_owner : public QObject {
public:
    using answer_function = std::function<void(work_answer)>;
    using propose_function = std::function<void(const registry_command&)>;

    group_owner(group_owner_options options, entry_view& view, propose_function propose);
    ~group_owner() override;

    /// Runs a request and answers it exactly once. A repeated request that is still in progress
    /// only replaces the answer function.
    void submit(work_request request, answer_function on_answer);

    /// Handles the disconnection of a request's caller: the request is dropped if it is still
    /// queued.
    void cancel(const std::string& customer, std::uint64_t request_id);

    /// Handles an instance's announcement.
    void handle_announcement(const announcement& announced);

    /// Applies the changed configuration.
    void on_view_changed();

    /// Refuses new requests from now on, except those of open transactions.
    void drain() { draining_ = true; }

    /// True when no request is in progress and no transaction is open.
    bool is_idle() const { return requests_.empty() && transactions_.empty(); }

    /// Answers all requests in progress, because the ownership epoch has ended.
    void end_epoch();

    group_status status() const;

private:
    /// Progress of a request.
    enum class request_phase : std::uint8_t {
        queued,
        connecting,
        running,
        /// The write is committed on the primary and waits until a replica has received it.
        replicating,
    };

    /// A request in progress.
    struct active_request {
        work_request request;
        answer_function on_answer;
        time_point deadline{};
        /// When it was sent to the instance.
        time_point started_at{};
        request_phase phase = request_phase::queued;
        std::string instance;
        db_connection* connection = nullptr;
        int attempts = 0;
        /// Position of a committed write and its answer, while it waits for replication.
        log_position position;
        work_answer answer;
        /// True while a write may have taken effect on an instance.
        bool may_have_run = false;
    };

    /// An open transaction and the connection it is pinned to.
    struct open_transaction {
        std::string customer;
        db_connection* connection = nullptr;
        time_point used_at{};
        /// Id of the request that runs in it; zero if none.
        std::uint64_t request_id = 0;
        std::uint64_t term = 0;
    };

    using results = std::vector<query_result>;

    // Admission and dispatch.
    /// Returns the refusal of a request that cannot be accepted now.
    std::optional<work_answer> check_admission(const work_request& request, time_point deadline,
                                               time_point now) const;
    void dispatch_queue();
    bool can_start(const active_request& candidate, std::string& instance) const;
    void start(std::uint64_t id, const std::string& instance);
    void on_connection_acquired(std::uint64_t id, const std::string& instance,
                                db_connection* connection, const std::string& message);
    void start_in_transaction(std::uint64_t id);
    using result_handler = void (group_owner::*)(std::uint64_t, results&);
    void run_batch(std::uint64_t id, const std::vector<sql_statement>& batch,
                   result_handler on_results);
    void on_batch_done(std::uint64_t id, db_connection* connection, bool was_reset,
                       result_handler on_results, batch_outcome res);
    /// Returns a connection to the pool. It is closed if a transaction is open on it.
    void return_connection(db_connection* connection);

    // Handlers of results.
    void on_read(std::uint64_t id, results& res);
    void on_write(std::uint64_t id, results& res);
    void on_claim_inserted(std::uint64_t id, results& res);
    void on_claim_selected(std::uint64_t id, results& res);
    void on_claim_committed(std::uint64_t id, results& res);
    void on_begin(std::uint64_t id, results& res);
    void on_transaction_statement(std::uint64_t id, results& res);
    void on_transaction_end(std::uint64_t id, results& res);
    void on_connection_lost(std::uint64_t id);

    // Answers.
    /// Holds back the answer of a committed write until the write is replicated.
    void finish_write(std::uint64_t id, const query_result& probe, std::string result);
    void acknowledge_replicated_writes();
    /// Probes faster while writes wait for replication or a replica lags behind.
    void adjust_probe_rate();
    void answer(std::uint64_t id, work_answer reply);
    void answer_sql_error(std::uint64_t id, const query_result& res);
    void release_connection(active_request& request);
    /// Closes a transaction. Its connection is reused only if `clean` and no transaction is open on
    /// it; otherwise it is closed, which rolls the transaction back.
    void end_transaction(const std::string& name, bool clean);
    /// Queues a request again, or answers it if no further attempt is allowed.
    void requeue(std::uint64_t id, const std::string& reason);
    /// Queues a write that may have taken effect again if it is repeatable; otherwise answers that
    /// its outcome is unknown.
    void retry_or_report_unknown(std::uint64_t id, const std::string& reason);
    bool still_owns() const;
    bool may_acknowledge(const active_request& write) const;

    // Instances.
    void apply(const group_event& event);
    void perform(const group_action& action);
    void probe(const std::string& instance);
    void on_probe_done(const std::string& instance, time_point sent_at, batch_outcome res);
    void request_promotion(const std::string& instance);
    void prepare_claim_table();
    /// Closes all connections to an instance; with `expired` it is no longer probed.
    void close_instance(const std::string& instance, bool expired);
    void record_position(const std::string& instance, const query_result& probe,
                         time_point sent_at);

    /// Creates the table of claims if needed, and deletes expired claims from time to time.
    void maintain_claims(time_point now);
    void on_tick();
    int writes_in_flight() const;
    void expire_transactions(time_point now);
    void expire_requests(time_point now);
    void refresh_settings();
    duration service_time_estimate() const { return service_time_; }
    /// Number of statements that the group runs concurrently: on the replicas for reads, on the
    /// primary for writes.
    int total_slots(bool read) const;

    /// The monitor connection to an instance.
    struct monitor {
        std::unique_ptr<pg_connection> connection;
        /// True if the next probe must also promote the instance.
        bool promotion_requested = false;
        time_point next_probe_at{};
        /// Since when the connection attempt or the probe has been pending.
        std::optional<time_point> waiting_since;
    };

    group_owner_options options_;
    entry_view& view_;
    propose_function propose_;
    group_state group_;
    group_record record_;
    preset_policy policy_;
    bool preset_switching_ = false;
    route_options route_options_;
    db_connection_pool pool_;
    fair_queue queue_;
    running_counts running_;
    retry_budget retries_;
    std::map<std::uint64_t, active_request> requests_;
    std::map<std::string, open_transaction> transactions_;
    std::map<std::string, monitor> monitors_;
    /// Ids of requests in phase `replicating`.
    std::set<std::uint64_t> awaiting_replication_;
    /// Moving average of the duration of a statement.
    duration service_time_ = milliseconds(2);
    /// True while the table of claims is known to exist on the primary.
    bool claims_ready_ = false;
    bool draining_ = false;
    bool ended_ = false;
    bool dispatching_ = false;
    time_point claims_maintained_at_{};
    QTimer timer_{this};
    QTimer fast_probe_timer_{this};
};

}  // namespace balsamdrift
