#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/http.h"
#include "rig/soak/instance.h"
#include "rig/soak/journal.h"
#include "rig/soak/judge.h"
#include "rig/soak/site_description.h"

namespace balsamdrift::soak {

/// A database service: a primary, its replicas and the replication between them.
class service {
public:
    /// Addresses of the control members that an instance may call.
    using control_list = std::function<std::vector<address>()>;

    service(event_loop& loop, const site_description& site, std::string name, journal& record,
            judge& verdicts, control_list control, std::uint64_t seed);

    const std::string& name() const { return name_; }
    instance& add(const std::string& id, const address& at, const std::string& zone, bool primary);
    void start(instance& it);
    /// The instance ends without a word and comes back later with its log.
    background crash(instance& it, duration down);
    /// The instance drains and ends, and another one takes over its address and log.
    background release(instance& it);
    /// The platform's promotion of an instance takes effect. False if it does not run.
    bool promote(const std::string& id);
    instance* find(const std::string& id);
    instance* primary();
    std::vector<std::unique_ptr<instance>>& instances() { return instances_; }
    /// Replicas catch up with the primary, and an earlier primary steps down.
    background replicate();

private:
    background serve(instance& it, std::unique_ptr<connection> conn);
    background heartbeat(instance& it);
    task<bool> call_control(instance& it, std::string call, std::string body);
    std::string heartbeat_body(instance& it) const;
    void stop(instance& it);
    void follow(const instance& from, instance& to);
    std::string position(const instance& it) const;
    task<bool> occupy_slot(instance& it, duration work);

    // Statements; each returns false if the connection is to end.
    task<bool> process(instance& it, instance_session& s, connection& conn, std::string line);
    task<bool> process_startup(instance& it, instance_session& s, connection& conn,
                               std::string line);
    bool process_command(instance& it, instance_session& s, connection& conn,
                         const std::string& verb, std::string line);
    task<bool> process_statement(instance& it, instance_session& s, connection& conn,
                                 std::string id, std::string verb, std::string line);
    bool process_begin(instance& it, instance_session& s, connection& conn, bool read_only);
    void commit(instance& it, instance_session& s, const std::string& id);
    bool reply(const instance& it, const instance_session& s, connection& conn,
               const std::string& text) const;
    bool fail(const instance& it, instance_session& s, connection& conn,
              const std::string& code) const;
    std::string receipt(const std::string& id);
    duration draw_work(const instance& it);

    event_loop& loop_;
    const site_description& site_;
    std::string name_;
    journal& record_;
    judge& verdicts_;
    control_list control_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::uint64_t receipts_ = 0;
    int next_id_ = 0;
};

}  // namespace balsamdrift::soak
