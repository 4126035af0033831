#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "rig/soak/connection.h"
#include "rig/soak/http.h"
#include "rig/soak/journal.h"

namespace review {

using namespace balsamdrift;
using namespace balsamdrift::soak;

/// A commit in the log of an instance.
struct commit_entry {
    std::uint64_t term = 0;
    std::string id;
    time_point at{};
};

/// A stand-in of a database instance.
struct node {
    std::string id;
    address at;
    std::string zone;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    bool primary = false;
    std::uint64_t term = 1;
    std::vector<commit_entry> log;
    /// Time until this replica receives a commit.
    duration lag{};
    bool down = false;
    bool draining = false;
    int starts = 0;
    /// Next place in the list of control members that its heartbeats go to. It stays with the one
    /// that acknowledged the last one.
    std::size_t reports_to = 0;
    time_point sees_newer_since = time_point::max();
    std::set<connection*> connections;
    std::unique_ptr<listener> door;
    std::unique_ptr<waiter> beat_now;
};

struct database_options {
    std::string service = "registre-1";
    int synchronous_replicas = 0;
    duration work = milliseconds(3);
    duration promotion = milliseconds(300);
    duration heartbeat = milliseconds(1200);
    /// How long an instance that leaves goes on serving.
    duration drain = milliseconds(8000);
    /// Until a new instance takes over its address and log.
    duration reuse = milliseconds(2000);
};

/// One service: a primary, its replicas, the replication between them, and the platform's call that
/// promotes a replica. Behaves as the pages say.
class database {
public:
    database(event_loop& loop, journal& record, database_options options,
             std::vector<address> control);

    node& add(const std::string& id, const address& at, const std::string& zone, duration lag,
              bool primary, std::size_t reports_to);
    void start(node& it);
    /// Ends without a word; replication that was under way is lost.
    void crash(node& it);
    /// Drains and ends as planned; another instance takes over its address and log.
    background release(node& it);
    background replicate();
    /// Serves the platform's promotion call at this address.
    void serve_platform(const address& at);

    node* primary();
    node* find(const std::string& id);
    bool has(const node& it, const std::string& id) const;
    std::vector<std::unique_ptr<node>>& nodes() { return nodes_; }
    /// A read of the item `audit` is answered with so many rows of this size.
    int audit_rows = 1;
    std::size_t audit_row_bytes = 1000;
    /// The platform handles the calls that it receives from now on so much later.
    duration platform_delay{};
    /// Writes that an instance committed after another one had been promoted.
    std::unordered_set<std::string> committed_at_old_primary;
    /// Called when a promotion takes effect.
    std::function<void(node& promoted)> on_promoted;

private:
    background serve(node& it, std::unique_ptr<connection> conn);
    background heartbeat(node& it);
    background serve_promotions(std::unique_ptr<connection> conn);
    task<bool> call_control(node& it, std::string call, std::string body);
    task<bool> process(node& it, connection& conn, std::string line, std::string& state,
                       std::vector<std::string>& writes);
    task<bool> commit(node& it, std::vector<std::string> ids);
    bool is_received(const node& from, std::size_t count) const;
    std::string ready(const node& it, const std::string& state) const;
    void promote(const std::string& id);

    event_loop& loop_;
    journal& record_;
    database_options options_;
    std::vector<address> control_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::unique_ptr<listener> platform_;
    std::uint64_t receipts_ = 0;
    int next_id_ = 0;
};

}  // namespace review
