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

/// Runs an open-loop load against a site: arrivals follow their schedule whether answers come or
/// not, sessions roam over the entries that the balancer holds ready, faults happen at their times.
class load_runner : public QObject {
public:
    load_runner(const experiment& plan, site& target, std::vector<std::string> keys);

    /// Runs the whole load, then audits the databases.
    load_result run();

private:
    /// A session of a customer; one request at a time.
    struct session {
        std::string token;
        std::size_t group = 0;
        std::string last_row;
        bool busy = false;
        bool wrote = false;
    };
    /// A customer's schedule and sessions.
    struct customer_state {
        std::vector<session> sessions;
        duration next_arrival{};
    };
    /// A request under way.
    struct flight {
        load_record record;
        std::size_t session = 0;
        int tries = 0;
        /// Transactions: the step that runs, and the transaction's id.
        int step = 0;
        std::string transaction;
        std::string expected;
        /// The connection that the request is on, while it awaits its answer.
        load_connection* connection = nullptr;
    };

    void on_tick();
    void start_arrivals(duration now);
    void start(std::size_t customer, duration intended_start);
    void send(const std::shared_ptr<flight>& it);
    void on_answer(const std::shared_ptr<flight>& it, const load_answer& answer);
    bool advance_transaction(flight& it, const load_answer& answer);
    void roll_back(const flight& it);
    void finish(const std::shared_ptr<flight>& it);
    std::string request_of(const flight& it) const;
    std::size_t pick_entry();
    void check_entries();
    void run_faults(duration now);
    void inject(const scheduled_fault& fault);
    std::string resolve_target(const std::string& target);
    void audit(load_result& result);
    duration elapsed() const;

    experiment plan_;
    site& site_;
    std::vector<std::string> keys_;
    std::mt19937_64 random_;
    std::vector<customer_state> customers_;
    std::vector<std::vector<std::unique_ptr<load_connection>>> idle_;
    std::vector<bool> entry_ready_;
    std::vector<endpoint> entries_;
    std::vector<std::unique_ptr<load_connection>> checks_;
    load_result result_;
    std::size_t in_flight_ = 0;
    std::size_t next_fault_ = 0;
    std::uint64_t next_row_ = 1;
    time_point started_{};
    duration next_check_{};
    QTimer timer_;
};

}  // namespace balsamdrift::rig
