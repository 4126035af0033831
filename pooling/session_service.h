#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "core/queueing/admission.h"
#include "core/rates/token_cache.h"
#include "core/registry/registry.h"
#include "core/routing/evacuation.h"
#include "core/routing/locality.h"
#include "core/routing/placement.h"
#include "fleet/entry_report.h"
#include "pooling/caller_session.h"
#include "pooling/service_state.h"

namespace balsamdrift {

/// Settings of a session service.
struct session_service_options {
    /// Failure domain of this VM, and the region of each domain.
    std::string failure_domain;
    std::map<std::string, std::string> regions;
    /// Largest number of attempts to run a statement.
    int max_attempts = 4;
    /// A read that is unanswered after this fraction of its time limit is sent to another instance.
    double read_attempt_fraction = 0.5;
    /// A caller is answered this long before the statement's deadline, so that the answer arrives
    /// in time.
    duration answer_margin = milliseconds(20);
    /// Reads require data that is this much fresher than the route's maximum staleness.
    duration staleness_margin = milliseconds(100);
    /// Typical duration of a change of primary, used to predict waits.
    duration primary_change_time = milliseconds(1700);
    /// Time in which an expired lease is usually renewed, used to predict waits.
    duration lease_renewal_time = milliseconds(300);
    /// Keys are accepted for this long after the lease's end. A key that is withdrawn while control
    /// cannot reach this VM is refused within 5 s of that, and the lease takes up to 3 s of them.
    duration key_grace = seconds(2);
    connection_budget_options connections;
    /// A leaving primary is used until its successor serves, but at most for this long.
    duration leaving_grace = seconds(4);
    /// Longest time that a planned change of primary waits for running statements.
    duration settle_timeout = milliseconds(1000);
    /// A session that was served within this time may be about to send its next statement.
    duration min_idle_time = milliseconds(150);
    /// Idle connections are closed after this time.
    duration idle_connection_timeout = seconds(30);
    /// An instance that control's directory lacks is kept for this long, since a new control leader
    /// learns of each instance only from its next heartbeat.
    duration missing_grace = seconds(4);
    /// Longest time that a caller waits for the first configuration. Control elects a leader within
    /// one second, and callers stop waiting after two.
    duration configuration_timeout = milliseconds(1500);
    /// A connection with a pending statement fails if it is not accepted within this time.
    duration connect_timeout = milliseconds(400);
    token_cache_options rates;
    pool_options pool;
    placement_options placement;
    locality_options locality;
    admission_options admission;
    shedding_options shedding;
    /// Time constant of the measured demand for a service. An entry gets a few urgent statements
    /// for a service within it.
    duration demand_time_constant = seconds(10);
    return_options returns;
    position_history_options positions;
    evacuation_options evacuation;
    /// When to come back after a refusal that lasts until an operator withdraws an order or changes
    /// the configuration.
    duration restricted_retry_after = seconds(1);
    /// Least time between two connections that are opened to learn a primary's position.
    duration position_ask_interval = milliseconds(200);
};

/// Functions that a session service calls.
struct session_service_hooks {
    std::function<time_point()> now;
    connection_opener open;
    /// The registry with the configuration in force.
    std::function<std::shared_ptr<const registry>()> configuration;
    /// True while this VM holds its lease and may send statements to primaries.
    std::function<bool(time_point)> holds_lease;
    /// Asks for a report to be sent to control soon.
    std::function<void()> report_soon;
    /// Sends control a request of this number for tokens of customers' rates. `isolated` is true
    /// while control has not answered recently.
    std::function<void(std::uint64_t number, const customer_token_requests&, bool isolated)>
        request_tokens;
    /// When the newest request that control has answered was sent.
    std::function<time_point()> answered_request_sent_at;
};

/// Runs the statements of callers' sessions over pooled connections to instances. Each statement
/// gets exactly one answer, unless its session is closed first. Not thread-safe: all calls and
/// callbacks happen on one thread.
class session_service {
public:
    session_service(session_service_options options, session_service_hooks hooks);

    /// False until the first configuration has arrived.
    bool is_configured() const { return registry_->declared.version > 0; }

    /// Calls `callback` once there is a configuration, or without one after a timeout. A process
    /// that has just started gets the configuration as soon as control has a leader.
    void await_configuration(std::function<void()> callback);

    /// Opens a session and returns its number, or the reason for a refusal. `disconnect_caller` is
    /// called when the service ends the session.
    std::variant<std::uint64_t, statement_error>
    open_session(const std::string& database, const std::string& key,
                 std::function<void()> disconnect_caller);

    /// Runs a statement of the session with this number, which must have no unanswered statement.
    /// Without `on_rows`, rows of a long answer come with the answer.
    void run(std::uint64_t number, statement request, answer_handler on_answer,
             rows_handler on_rows = {});

    /// Lets the rows of a long answer go on after `on_rows` returned false.
    void resume_rows(std::uint64_t number);

    /// Closes the session of a caller that has left. Its connection to an instance is closed, so
    /// that the instance rolls back what still runs.
    void close_session(std::uint64_t number);

    /// Applies the configuration in force after a change.
    void on_configuration();

    /// Applies the instructions of control.
    void on_instructions(const entry_instructions& instructions);

    /// Handles control's answer to the token request of this number.
    void on_token_grants(std::uint64_t number, const customer_token_grants& grants);

    /// Handles timeouts and serves the queues. Must be called every few milliseconds.
    void tick();

    /// Returns the report for control, and measures demand.
    entry_report report();

    /// Ends sessions that are outside a transaction, idle for at least `idle_for`, and were opened
    /// before `opened_before`.
    void end_idle_sessions(duration idle_for, time_point opened_before = time_point::max());

    /// Refuses new operations from now on, and ends the sessions that are idle outside a
    /// transaction. Must be called repeatedly until the process exits, to end further sessions as
    /// they become idle.
    void begin_closing();

    /// Answers all pending statements with an error, because the process is about to exit.
    void finish_pending();

    /// True while a statement is pending.
    bool is_answering() const;

    /// Rolls back the open transactions that have no pending statement.
    void abort_transactions();

    std::size_t session_count() const { return sessions_.size(); }

private:
    // Sessions, admission, and statements that need no instance.
    void answer(caller_session& session, const statement_answer& it);
    void answer_success(caller_session& session);
    void answer_error(caller_session& session, statement_error_code code, const std::string& text);
    void run_local(caller_session& session);
    void run_outside_transaction(caller_session& session);
    void run_inside_transaction(caller_session& session);
    void run_in_failed_transaction(caller_session& session);
    void admit_operation(caller_session& session);
    void start_operation(caller_session& session);
    void refuse_for_rate(caller_session& session, duration retry_after);
    void apply_token_decisions(const std::vector<token_decision>& decisions);
    void send_token_request(time_point now);
    void notify_configuration_waiters(time_point now);
    void end_transaction(caller_session& session);
    void abort_transaction(caller_session& session);
    /// Ends a transaction in which a statement failed: has the instance roll it back, whatever
    /// state the instance reported, and takes its connection away. An instance that refused a
    /// statement without running it keeps the transaction open, so a commit that reached it would
    /// succeed although the caller was told that nothing is kept.
    void roll_back(caller_session& session);
    void on_rolled_back(const pooled_connection_ptr& connection,
                        const statement_answer& instance_answer);

    // Placement of statements on connections.
    const declared_route& route_of(const caller_session& session) const;
    const std::string& customer_of(const caller_session& session) const;
    bool writes(const caller_session& session, const statement& request) const;
    bool needs_primary(const caller_session& session) const;
    bool may_use_primary(const service_state& service, time_point now) const;
    /// Lowest position that an instance must have applied to serve the session's reads with the
    /// consistency of the route. Nothing if it is not known, so that only the primary can serve.
    std::optional<log_position> min_position_for(const caller_session& session,
                                                 const service_state& service,
                                                 time_point now) const;
    bool is_eligible(const caller_session& session, const service_state& service,
                     const instance_pool& pool, time_point now) const;
    std::vector<placement_candidate> candidates(const caller_session& session,
                                                const service_state& service, time_point now) const;
    // Evacuated failure domains and home regions.
    void update_evacuations(time_point now);
    /// End of the grace of the evacuation of the instance's domain; nothing if it is not evacuated.
    std::optional<time_point> evacuated_until(const instance_pool& pool) const;
    bool is_in_home_region(const caller_session& session, const instance_pool& pool) const;
    restricted_instance restricted(const caller_session& session, const service_state& service,
                                   const instance_pool& pool) const;
    restricted_statement restricted(const caller_session& session, const service_state& service,
                                    time_point now) const;
    /// True if a new statement or transaction of the session may be sent to the instance.
    bool may_start(const caller_session& session, const service_state& service,
                   const instance_pool& pool, time_point now) const;
    /// True if the pending statement may be sent on the connection that the session's transaction
    /// has.
    bool may_send(const caller_session& session, time_point now) const;
    /// Takes the connection, on which the pending statement may no longer be sent, from the
    /// session. A statement that is the first one there goes elsewhere; otherwise the transaction
    /// is aborted.
    void leave_connection(caller_session& session);
    /// Refuses the pending statement if no instance may run it. False if one may.
    bool refuse_restricted(caller_session& session, service_state& service);
    /// Opens a connection to the primary, whose greeting tells its position, for a waiting read
    /// that may run on replicas only and lacks that position.
    void ask_for_position(const caller_session& session, service_state& service, time_point now);
    /// Aborts idle transactions and refuses waiting statements that no instance may run any more.
    void apply_restrictions(time_point now);
    /// True if idle connections to the instance are of no use any more.
    bool is_vacated(const service_state& service, const instance_pool& pool, time_point now) const;

    // Cold instances.
    /// True if all entries together may start only a limited number of statements on the instance.
    bool is_warmup_limited(const instance_pool& pool) const;
    /// True if this VM may start a statement on the instance now, as far as it is cold.
    bool has_warmup_room(const instance_pool& pool, time_point now) const;
    void record_cold_start(instance_pool& pool, time_point now) const;
    void apply_warmup_grant(const warmup_grant& grant);
    /// This VM's demand for cold instances.
    warmup_request warmup_demand() const;

    /// Number of connections that this VM may have to the instance.
    connection_budget budget_for(const instance_pool& pool) const;
    proximity distance_to(const instance_pool& pool) const;

    /// The instance that a statement runs on, and the distances at which it could have run.
    struct chosen_instance {
        std::string instance;
        proximity_set available;
    };
    /// Latency estimate of the instance for placement.
    duration latency_of(const instance_pool& pool, time_point now) const;
    /// Chooses the instance for the pending statement; nothing if none has a connection available.
    std::optional<chosen_instance> choose_instance(const caller_session& session,
                                                   const service_state& service,
                                                   time_point now) const;
    void record_placement(const caller_session& session, service_state& service,
                          const chosen_instance& chosen, time_point now);
    /// Records what the answer to a caller's statement says about the instance.
    void record_request_answer(const caller_session& session, service_state& service,
                               instance_pool& pool, const statement_answer& it, duration latency);
    /// Records that the connection of a pending statement ended before its answer.
    void record_lost_answer(const caller_session& session, service_state& service,
                            const instance_pool& pool, time_point now);
    /// Adapts the share of the reads that is sent away, and logs its start and end.
    void step_placement(const std::string& name, service_state& service, time_point now);

    /// Sends the pending statement to an instance, or refuses it if its key was withdrawn. False if
    /// no instance has a connection or the attempts are used up.
    bool dispatch(caller_session& session, service_state& service);
    void start_on_instance(caller_session& session, service_state& service, instance_pool& pool);
    pooled_connection_ptr acquire_connection(const caller_session& session, instance_pool& pool);
    pooled_connection_ptr open_connection(instance_pool& pool, const std::string& customer);
    /// Drops prepared statements of the connection at the instance, by their names there.
    void deallocate(pooled_connection& connection, const std::vector<std::string>& names);
    /// Sends the session values and the prepared statement that the connection lacks.
    void set_up_connection(caller_session& session, pooled_connection& connection);
    void send_request(caller_session& session, pooled_connection& connection);
    void send(pooled_connection& connection, const statement& it, answer_purpose purpose);

    // Queues, limits of overloaded instances, and refusals.
    limited_work work_of(const caller_session& session, const service_state& service,
                         time_point now) const;
    /// How far the customer is above its usual rate.
    int excess_of(const std::string& customer, time_point now) const;
    /// Until when the instance takes no statement like the pending one because it, or the primary,
    /// is overloaded; the clock's epoch while nothing is.
    time_point held_back_until(const caller_session& session, const service_state& service,
                               const instance_pool& pool, time_point now) const;
    void record_demand(const caller_session& session, service_state& service);
    /// Records that an instance answered BUSY to a statement of this priority.
    void record_overload(service_state& service, instance_pool& pool, int priority);
    /// Records a statement that the instance ran, for the limits.
    void record_time_on_instance(const caller_session& session, service_state& service,
                                 instance_pool& pool);
    /// Records that work which only the primary can run is delayed there.
    void record_primary_delay(const caller_session& session, service_state& service);
    /// Ends the service's overload, and the limits of its instances, when BUSY is long ago.
    void expire_overload(const std::string& name, service_state& service, time_point now);
    /// Sends a statement that an instance answered with BUSY elsewhere, or queues it.
    void retry_busy(caller_session& session);
    /// Predicted time until an instance can serve the pending statement; zero if one can now.
    duration blocked_for(const caller_session& session, const service_state& service,
                         time_point now) const;
    waiting_statement waiting_of(const caller_session& session, const service_state& service,
                                 time_point now) const;
    /// The statements that wait for the service, in the order of service.
    std::vector<waiting_statement> waiting_for(const service_state& service, time_point now) const;
    /// Mean time for which statements of the session's kind hold a connection.
    duration hold_time_of(const caller_session& session, const service_state& service) const;
    /// Predicts whether the pending statement starts in time. `waiting` is what waits.
    std::variant<admission_granted, admission_refused>
    predict(const caller_session& session, const service_state& service,
            const std::vector<waiting_statement>& waiting, time_point now) const;
    /// Expected time from one start of the session's kind to the next, over all instances that can
    /// run it; zero while one of them has no limit.
    duration start_spacing(const caller_session& session, const service_state& service,
                           time_point now) const;
    /// Queues the pending statement, or refuses it if it is predicted to wait too long.
    void enqueue(caller_session& session, service_state& service);
    /// Refuses a statement that was not sent, with the time to come back.
    void refuse_waiting(caller_session& session, service_state& service, const std::string& reason,
                        duration blocked_for);
    void remove_from_queue(caller_session& session);
    void serve_queue(service_state& service);
    /// Refuses waiting statements of an overloaded service that can no longer start in time.
    void refuse_hopeless(service_state& service, time_point now);

    // Answers of instances.
    void on_started(const pooled_connection_ptr& connection,
                    const statement_answer& instance_answer);
    void on_instance_answer(const pooled_connection_ptr& connection,
                            const statement_answer& instance_answer);
    /// Has the instance wait with the rows of its answer, or go on.
    static void set_rows_paused(pooled_connection& connection, bool paused);
    void on_instance_rows(const pooled_connection_ptr& connection,
                          const std::vector<std::string>& rows);
    void on_connection_end(const pooled_connection_ptr& connection, connection_end_reason reason,
                           const statement_error& error);
    void on_set_up_answer(caller_session& session, const pooled_connection_ptr& connection,
                          const statement_answer& instance_answer, answer_purpose purpose);
    void on_request_answer(caller_session& session, const pooled_connection_ptr& connection,
                           const statement_answer& instance_answer);
    void on_success(caller_session& session, const statement_answer& instance_answer);
    void on_error(caller_session& session, const pooled_connection_ptr& connection,
                  const statement_answer& instance_answer);
    void record_position(service_state& service, instance_pool& pool,
                         const statement_answer& instance_answer, const expected_answer& expected);
    /// `priority` is that of the refused statement.
    void record_refusal(service_state& service, instance_pool& pool, statement_error_code code,
                        int priority);
    /// False if the statement ran under a lease on a primary that this VM may no longer use.
    bool may_report_success(const caller_session& session, const service_state& service) const;
    /// Sends a statement that had no effect on `instance` to another one, or queues it.
    void retry(caller_session& session, const std::string& instance, const std::string& reason);
    /// Answers the pending statement with an error and aborts its transaction. The error code says
    /// whether a write may have been committed.
    void fail_pending_statement(caller_session& session, const std::string& reason);
    /// `ran` is false if the instance refused what was sent, so that the time for which the
    /// connection was held says nothing about the statement.
    void release_connection(const pooled_connection_ptr& connection, bool ran = true);
    /// Handles a connection as broken: statements on it may have run without an answer.
    void fail_connection(const pooled_connection_ptr& connection);
    void close_connection(const pooled_connection_ptr& connection);
    caller_session* find_session(std::uint64_t number);
    pool_location find_pool(const pooled_connection& connection);

    // Changes of configuration, primaries and directory, timeouts, and reports.
    void apply_primary_record(const std::string& name, service_state& service,
                              const primary_record& record);
    void stop_work_on_earlier_primary(service_state& service, bool planned);
    bool uses_earlier_primary(const caller_session& session, const service_state& service) const;
    /// Brings the copy of control's directory up to date. False if the changes do not follow on the
    /// version that this VM has; control then sends them again with its next answer.
    bool update_directory(const entry_instructions& instructions);
    void apply_directory();
    void remove_missing_instances(service_state& service, time_point now);
    void close_surplus_connections(instance_pool& pool);
    void measure_demand(time_point now);
    void check_deadline(caller_session& session, time_point now);
    void close_unused_connections(time_point now);
    /// Marks the current primary record as settled once no work under an earlier one remains.
    void update_settled_epoch(service_state& service, time_point now);
    /// Customer that holds the session's key in the configuration in force, or `-`.
    std::string customer_of_key(const caller_session& session) const;
    /// What a caller is told whose database or key the configuration in force lacks: this error
    /// under a lease, to come back otherwise, since a newer configuration may hold it.
    statement_error checked_by_lease(const statement_error& error, time_point now) const;
    /// Why a session is refused, for the log, and what its caller is told.
    struct access_refusal {
        std::string reason;
        statement_error error;
    };
    /// Why the configuration in force does not allow sessions with this key on this database.
    std::optional<access_refusal> find_access_refusal(const std::string& database,
                                                      const std::string& key, time_point now) const;
    /// Refuses the pending statement if the configuration in force does not allow the session.
    bool refuse_without_access(caller_session& session);
    /// True while the customer of the session's transaction is known to hold the session's key.
    bool may_continue(const caller_session& session, time_point now) const;
    /// Rolls back the session's transaction because its key was withdrawn.
    void revoke_transaction(caller_session& session);
    /// Refuses the pending statement, which no instance runs, because its key was withdrawn.
    void refuse_revoked(caller_session& session);
    /// Tells the caller that its transaction was rolled back.
    void answer_rolled_back(caller_session& session);
    /// Rolls back the idle transactions that may not continue under the configuration in force.
    void apply_withdrawals(time_point now);
    /// Ends the idle sessions that the configuration in force does not allow any more.
    void end_revoked_sessions(time_point now);
    /// True if the lease expired so long ago that any key may have been withdrawn since.
    bool may_lack_withdrawals(time_point now) const;
    /// When a lease can be expected: an expired one is renewed only after as much time as has
    /// passed already.
    duration expected_lease_wait(time_point now) const;
    /// For log lines: whether the lease is held, and for how many milliseconds control has not
    /// answered ("-" if it never has).
    std::string lease_text(time_point now) const;
    std::string control_silence_text(time_point now) const;
    void log_refusal(const caller_session& session, const std::string& reason,
                     duration retry_after);

    session_service_options options_;
    session_service_hooks hooks_;
    std::shared_ptr<const registry> registry_;
    std::map<std::uint64_t, std::unique_ptr<caller_session>> sessions_;
    std::map<std::string, service_state> services_;
    token_cache tokens_;
    std::map<std::string, customer_demand> customer_demand_;
    time_point demand_measured_at_{};
    share_grant connection_shares_;
    std::map<std::string, double> connection_demand_;
    std::uint64_t directory_version_ = 0;
    /// The instances in control's directory, by name.
    std::map<std::string, instance_heartbeat> directory_;
    std::uint32_t entry_count_ = 1;
    /// What this VM may start on cold instances, and until when.
    warmup_grant warmup_;
    time_point warmup_valid_until_{};
    /// End of the grace of each evacuated failure domain, by name.
    std::map<std::string, time_point> evacuated_until_;
    /// True if the configuration restricts a route or a customer to regions.
    bool has_home_regions_ = false;
    /// When, as of the last tick, the newest request that control has answered was sent.
    time_point last_contact_{};
    /// When the last tick that found this VM to hold its lease took place.
    time_point lease_last_held_at_{};
    /// Deadlines and callbacks of callers that wait for the first configuration.
    std::deque<std::pair<time_point, std::function<void()>>> configuration_waiters_;
    /// Sessions that the configuration in force does not allow, until they are ended.
    std::set<std::uint64_t> revoked_sessions_;
    /// True once begin_closing() was called.
    bool closing_ = false;
    std::uint64_t next_session_ = 1;
    std::uint64_t next_queue_number_ = 1;
};

}  // namespace balsamdrift
