#pragma once

#include <QObject>
#include <QTimer>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "rig/load/experiment.h"
#include "rig/load/load_connection.h"
#include "rig/load/load_record.h"
#include "rig/site/site.h"

namespace balsamdrift::rig {

/// Runs an open-loop load against a site: requests start at their scheduled times whether or not
/// earlier ones were answered. Each request goes to a random entry among those that are ready, as
/// behind a load balancer. Faults are injected at their scheduled times.
class load_runner : public QObject {
public:
    load_runner(const experiment& plan, site& target, std::vector<std::string> keys);

    /// Runs the load to its end, then compares the rows in the databases with the answers. Blocks.
    load_result run();

private:
    /// A session of a customer, with one request at a time.
    struct session {
        std::string token;
        std::size_t group = 0;
        /// Id of the row that was written last and that reads look for; empty before the first.
        std::string last_written_row;
        bool busy = false;
        bool has_written = false;
    };
    /// A customer's schedule and sessions.
    struct customer_state {
        std::vector<session> sessions;
        duration next_arrival{};
    };
    /// A request that has started and not finished.
    struct active_request {
        load_record record;
        /// Index of the session among those of the customer.
        std::size_t session = 0;
        int attempts = 0;
        /// Step of a transaction: 0 begins it, 1 runs a statement, 2 commits.
        int step = 0;
        /// Id of the transaction.
        std::string transaction;
        /// Id of the row that a read must return; empty if any answer is right.
        std::string expected_row;
        /// The connection on which the request awaits its answer.
        load_connection* connection = nullptr;
    };

    void on_tick();
    /// Starts the requests that are due; the times between them are distributed exponentially.
    void start_arrivals(duration now);
    void start_request(std::size_t customer, duration intended_start);
    void send(const std::shared_ptr<active_request>& request);
    void on_answer(const std::shared_ptr<active_request>& request, const load_answer& answer);
    bool advance_transaction(active_request& request, const load_answer& answer);
    void roll_back(const active_request& request);
    void finish(const std::shared_ptr<active_request>& request);
    std::string format_request(const active_request& request) const;
    /// Index of a random ready entry, or of any entry if none is ready.
    std::size_t pick_entry();
    /// Queries the readiness of all entries, as a load balancer does.
    void check_readiness();
    void inject_due_faults(duration now);
    void inject_fault(const scheduled_fault& fault);
    /// Name of the process that a fault targets now.
    std::string resolve_target(const std::string& target);
    void audit(load_result& result);
    duration elapsed() const;

    experiment plan_;
    site& site_;
    std::vector<std::string> keys_;
    std::mt19937_64 random_;
    std::vector<customer_state> customers_;
    /// Connections without a request, by entry.
    std::vector<std::vector<std::unique_ptr<load_connection>>> idle_connections_;
    std::vector<bool> entry_ready_;
    std::vector<endpoint> entries_;
    std::vector<std::unique_ptr<load_connection>> checks_;
    load_result result_;
    std::size_t active_request_count_ = 0;
    std::size_t next_fault_ = 0;
    std::uint64_t next_row_ = 1;
    time_point started_at_{};
    duration next_readiness_check_{};
    QTimer timer_;
};

}  // namespace balsamdrift::rig
