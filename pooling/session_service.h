#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "core/queueing/admission.h"
#include "core/rates/token_cache.h"
#include "core/registry/registry.h"
#include "core/routing/placement.h"
#include "fleet/entry_report.h"
#include "pooling/caller_session.h"
#include "pooling/service_state.h"

namespace balsamdrift {

/// Settings of the sessions of one VM.
struct session_service_options {
    /// Failure domain of this VM, and the region of each domain.
    std::string failure_domain;
    std::map<std::string, std::string> regions;
    /// A statement is sent to this many instances at most.
    int most_attempts = 4;
    /// A read that was not answered for this part of its limit is tried elsewhere.
    double read_attempt_part = 0.5;
    /// A session's answer leaves this long before the statement's limit.
    duration answer_margin = milliseconds(20);
    /// Data is read this much fresher than the route accepts.
    duration staleness_margin = milliseconds(100);
    /// A change of primary takes about this long, from its beginning to its end.
    duration primary_change_time = milliseconds(1700);
    /// A lease that ran out is usually renewed within this time.
    duration lease_renewal_time = milliseconds(300);
    /// Connections of an instance that stay free for control and for changes of the shares.
    int spare_connections = 2;
    /// A leaving primary serves on until its successor does, but not for longer than this.
    duration leaving_grace = seconds(4);
    /// What a planned change of primary waits for running statements.
    duration settle_patience = milliseconds(1000);
    /// An idle connection is closed after this.
    duration idle_link_timeout = seconds(30);
    /// An instance that control does not list is kept this long: a new leader hears of all
    /// instances only after their next heartbeats.
    duration missing_grace = seconds(4);
    /// A caller that comes before the first configuration waits this long for it. Callers give up
    /// after two seconds; control elects a leader within one.
    duration configuration_patience = milliseconds(1500);
    /// A new connection that is not accepted after this is given up.
    duration connect_timeout = milliseconds(400);
    token_cache_options rates;
    pool_options pool;
    placement_options placement;
    admission_options admission;
    position_history_options book;
};

/// What the sessions need from outside.
struct session_service_hooks {
    std::function<time_point()> now;
    connection_opener open;
    /// The configuration in force.
    std::function<std::shared_ptr<const registry>()> configuration;
    /// True while this VM may send work to primaries.
    std::function<bool(time_point)> holds_lease;
    /// Control should hear the report soon.
    std::function<void()> report_soon;
    /// Control is asked for tokens of customers' rates, under this number. `isolated` says that its
    /// answers did not come lately.
    std::function<void(std::uint64_t number, const customer_token_requests&, bool isolated)>
        request_tokens;
    /// When the newest question that control has answered was sent.
    std::function<time_point()> answered_request_sent_at;
};

/// Serves the sessions of callers over pooled connections to instances. Every caller's statement
/// ends in exactly one answer. All work happens on one thread.
class session_service {
public:
    session_service(session_service_options options, session_service_hooks hooks);

    /// False until the first configuration has come.
    bool is_configured() const { return state_->declared.version > 0; }

    /// Calls back once there is a configuration, or after a while without one: a process that has
    /// just started hears of it as soon as control has a leader.
    void await_configuration(std::function<void()> then);

    /// Opens a session, or says why not. `end` is called when this side ends it.
    std::variant<std::uint64_t, statement_error>
    open_session(const std::string& database, const std::string& key, std::function<void()> end);

    /// Runs a statement of a session that waits for no other answer.
    void run(std::uint64_t session, statement sent, answer_handler on_answer);

    /// The caller left; what runs for it is abandoned and rolled back.
    void close_session(std::uint64_t session);

    /// The configuration in force changed.
    void on_configuration();

    /// Control said what to do.
    void on_instructions(const entry_instructions& it);

    /// Control answered the question for tokens with this number.
    void on_token_grants(std::uint64_t number, const customer_token_grants& shares);

    /// Ends what is due; called every few milliseconds.
    void tick();

    /// What control is told.
    entry_report report();

    /// Ends sessions that rest outside transactions.
    void end_idle_sessions(duration idle_for);

    /// Takes no further operations: what runs is answered, what comes is refused, and sessions end
    /// as soon as they rest outside a transaction. Called again and again until the process ends.
    void begin_closing();

    /// Answers whatever still waits, because the process ends now.
    void finish_pending();

    /// True while a caller waits for an answer.
    bool is_answering() const;

    /// Ends open transactions: nothing of them is kept.
    void abort_transactions();

    std::size_t session_count() const { return sessions_.size(); }

private:
    // Sessions and statements that need no instance.
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
    void apply_decisions(const std::vector<token_decision>& decisions);
    void ask_for_tokens(time_point now);
    void call_early_callers(time_point now);
    void end_transaction(caller_session& session);
    void lose_transaction(caller_session& session);

    // Placement of statements on connections.
    const declared_route& route_of(const caller_session& session) const;
    const std::string& customer_of(const caller_session& session) const;
    bool writes(const caller_session& session, const statement& sent) const;
    bool needs_primary(const caller_session& session) const;
    bool may_use_primary(const service_state& service, time_point now) const;
    std::optional<log_position> floor_of(const caller_session& session,
                                         const service_state& service, time_point now) const;
    bool is_eligible(const caller_session& session, const service_state& service,
                     const instance_pool& pool, time_point now) const;
    std::vector<placement_candidate> candidates(const caller_session& session,
                                                const service_state& service, time_point now) const;
    int share_of(const instance_pool& pool) const;
    proximity distance_to(const instance_pool& pool) const;
    duration blocked_for(const caller_session& session, const service_state& service,
                         time_point now) const;
    bool dispatch(caller_session& session, service_state& service);
    void enqueue(caller_session& session, service_state& service);
    void leave_queue(caller_session& session);
    void serve_queue(service_state& service);
    void start_on(caller_session& session, service_state& service, instance_pool& pool);
    pooled_link_ptr take_link(const caller_session& session, instance_pool& pool);
    pooled_link_ptr open_link(instance_pool& pool, const std::string& customer);
    void set_up_link(caller_session& session, pooled_link& link);
    void send_main(caller_session& session, pooled_link& link);
    void send(pooled_link& link, const statement& it, answer_purpose purpose);

    // Answers of instances.
    void on_started(const pooled_link_ptr& link, const statement_answer& it);
    void on_link_answer(const pooled_link_ptr& link, const statement_answer& it);
    void on_link_end(const pooled_link_ptr& link, connection_end_reason why,
                     const statement_error& error);
    void on_set_up_answer(caller_session& session, const pooled_link_ptr& link,
                          const statement_answer& it, answer_purpose purpose);
    void on_main_answer(caller_session& session, const pooled_link_ptr& link,
                        const statement_answer& it);
    void on_success(caller_session& session, const statement_answer& it);
    void on_error(caller_session& session, const pooled_link_ptr& link, const statement_answer& it);
    void note_position(service_state& service, instance_pool& pool, const statement_answer& it,
                       const expected_answer& expected);
    void note_refusal(service_state& service, instance_pool& pool, statement_error_code code);
    bool still_valid(const caller_session& session, const service_state& service) const;
    void retry(caller_session& session, const std::string& instance, const std::string& reason);
    void finish_lost(caller_session& session, const std::string& reason);
    void release_link(const pooled_link_ptr& link);
    /// Closes a connection on which something may have run without an answer.
    void break_link(const pooled_link_ptr& link);
    void drop_link(const pooled_link_ptr& link);
    caller_session* find_session(std::uint64_t number);
    link_home home_of(const pooled_link& link);

    // Changes of configuration, primaries and directory.
    void adopt_record(const std::string& name, service_state& service,
                      const primary_record& record);
    void stop_primary_work(service_state& service, bool planned);
    bool uses_earlier_primary(const caller_session& session, const service_state& service) const;
    void adopt_directory(const std::vector<instance_heartbeat>& instances);
    void drop_missing(service_state& service, time_point now);
    void drop_surplus(instance_pool& pool);
    void measure_demand(time_point now);
    void check_pending(caller_session& session, time_point now);
    void check_links(time_point now);
    void check_settled(service_state& service, time_point now);
    /// Customer that holds the session's key in the configuration in force, or `-`.
    std::string customer_of_key(const caller_session& session) const;
    void log_refusal(const caller_session& session, const std::string& reason,
                     duration retry_after);

    session_service_options options_;
    session_service_hooks hooks_;
    std::shared_ptr<const registry> state_;
    std::map<std::uint64_t, std::unique_ptr<caller_session>> sessions_;
    std::map<std::string, service_state> services_;
    token_cache tokens_;
    time_point demand_since_{};
    share_grant connection_shares_;
    std::map<std::string, double> connection_demand_;
    std::uint64_t directory_version_ = 0;
    std::uint32_t entry_count_ = 1;
    /// When this VM was last seen to hold its lease.
    time_point lease_seen_at_{};
    /// Callers that wait for the first configuration, and until when.
    std::deque<std::pair<time_point, std::function<void()>>> early_callers_;
    bool closing_ = false;
    std::uint64_t next_session_ = 1;
    std::uint64_t next_queue_number_ = 1;
};

}  // namespace balsamdrift
