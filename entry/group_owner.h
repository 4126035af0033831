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
#include "entry/entry_view.h"
#include "entry/session_pool.h"
#include "fleet/work_message.h"

namespace balsamdrift {

/// Settings of one group's owner.
struct group_owner_options {
    std::string group;
    std::uint64_t epoch = 0;
    std::string failure_domain;
    duration probe_interval = milliseconds(100);
    /// Probes while writes wait to be replicated.
    duration fast_probe_interval = milliseconds(4);
    /// Probes while a replica has not applied everything that the primary has.
    duration catch_up_probe_interval = milliseconds(10);
    /// How long a claim keeps a write from running again.
    duration claim_lifetime = std::chrono::hours(24);
};

/// What operators see of a group.
struct group_status {
    std::string group;
    std::uint64_t epoch = 0;
    group_state state;
    running_counts running;
    std::size_t queued = 0;
    std::size_t connections = 0;
    std::size_t transactions = 0;
};

/// Owns one database group for the fleet: all its connections, queue, claims, transactions and
/// failovers. Every statement of the group runs here, so limits, order and fencing need no
/// agreement between entries. Lives on one thread.
class group_owner : public QObject {
public:
    using answer_function = std::function<void(work_answer)>;
    using propose_function = std::function<void(const registry_command&)>;

    group_owner(group_owner_options options, entry_view& view, propose_function propose);
    ~group_owner() override;

    /// Takes a statement and answers it exactly once.
    void submit(work_request request, answer_function on_answer);

    /// The caller left: a statement that has not started is dropped.
    void cancel(const std::string& customer, std::uint64_t request_id);

    /// Takes an instance's announcement.
    void announce(const announcement& it);

    /// Looks at the changed configuration.
    void on_view_changed();

    /// Takes no new statements from now on.
    void drain() { draining_ = true; }

    /// True when nothing is queued, running or open.
    bool is_idle() const { return works_.empty() && transactions_.empty(); }

    /// Answers everything that is left: the epoch is over.
    void end();

    /// For operators.
    group_status status() const;

private:
    /// Where a statement stands.
    enum class work_phase : std::uint8_t {
        queued,
        connecting,
        running,
        /// The write is committed on the primary and waits until a replica has it.
        replicating,
    };

    /// A statement under way.
    struct work {
        work_request request;
        answer_function on_answer;
        time_point deadline{};
        time_point started_at{};
        work_phase phase = work_phase::queued;
        std::string instance;
        db_session* session = nullptr;
        int attempts = 0;
        /// Term in which the write ran, and its answer while it waits for replication.
        log_position position;
        work_answer answer;
        /// True once bytes of a write may have reached an instance.
        bool sent = false;
    };

    /// An open transaction and the connection it is pinned to.
    struct open_transaction {
        std::string customer;
        db_session* session = nullptr;
        time_point used_at{};
        /// Request id of the work that runs in it now, or zero.
        std::uint64_t work = 0;
        std::uint64_t term = 0;
    };

    using results = std::vector<query_result>;

    // Admission and dispatch.
    std::optional<work_answer> refuse_early(const work_request& request, time_point deadline,
                                            time_point now) const;
    void pump();
    bool can_start(const work& it, std::string& instance) const;
    void start(std::uint64_t id, const std::string& instance);
    void run_on(std::uint64_t id, const std::string& instance, db_session* session,
                const std::string& message);
    void start_in_transaction(std::uint64_t id);
    using result_handler = void (group_owner::*)(std::uint64_t, results&);
    void run_batch(std::uint64_t id, const std::vector<sql_statement>& batch,
                   result_handler on_results);
    void on_batch_done(std::uint64_t id, db_session* session, bool was_reset,
                       result_handler on_results, batch_outcome res);
    void release_orphan(db_session* session);

    // Results, by kind of work.
    void on_read(std::uint64_t id, results& res);
    void on_write(std::uint64_t id, results& res);
    void on_claim_taken(std::uint64_t id, results& res);
    void on_claim_read(std::uint64_t id, results& res);
    void on_claim_committed(std::uint64_t id, results& res);
    void on_begin(std::uint64_t id, results& res);
    void on_transaction_statement(std::uint64_t id, results& res);
    void on_transaction_end(std::uint64_t id, results& res);
    void on_lost(std::uint64_t id);

    // Ends.
    void finish_write(std::uint64_t id, const query_result& probe, std::string result);
    void confirm_replicated();
    void pace_probes();
    void answer(std::uint64_t id, work_answer reply);
    void answer_sql_error(std::uint64_t id, const query_result& res);
    void release_session(work& it);
    void end_transaction(const std::string& transaction, bool clean);
    void requeue(std::uint64_t id, const std::string& why);
    void settle_unsure(std::uint64_t id, const std::string& why);
    bool still_owns() const;
    bool may_acknowledge(const work& it) const;

    // Instances.
    void apply(const group_event& event);
    void perform(const group_action& action);
    void probe(const std::string& instance);
    void on_probe_done(const std::string& instance, time_point sent_at, batch_outcome res);
    void promote(const std::string& instance);
    void prepare_primary();
    void lose_instance(const std::string& instance, bool forget);
    void note_position(const std::string& instance, const query_result& probe, time_point sent_at);

    void clean_claims(time_point now);
    void on_tick();
    int writes_in_flight() const;
    void expire_transactions(time_point now);
    void expire_works(time_point now);
    void refresh_settings();
    duration service_time_estimate() const { return service_time_; }
    int parallel_slots(bool read) const;

    /// The monitor connection to an instance.
    struct monitor {
        std::unique_ptr<pg_connection> connection;
        bool promote = false;
        time_point probe_at{};
        /// Since when the monitor waits for a connection or an answer.
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
    session_pool pool_;
    fair_queue queue_;
    running_counts running_;
    retry_budget retries_;
    std::map<std::uint64_t, work> works_;
    std::map<std::string, open_transaction> transactions_;
    std::map<std::string, monitor> monitors_;
    /// Requests whose write waits for a replica.
    std::set<std::uint64_t> replicating_;
    duration service_time_ = milliseconds(2);
    bool claims_ready_ = false;
    bool draining_ = false;
    bool ended_ = false;
    bool pumping_ = false;
    time_point claims_cleaned_at_{};
    QTimer timer_{this};
    QTimer replication_timer_{this};
};

}  // namespace balsamdrift
