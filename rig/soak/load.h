#pragma once

#include <string>
#include <vector>

#include "rig/soak/caller_session.h"
#include "rig/soak/change_operator.h"
#include "rig/soak/platform_stand_in.h"

namespace balsamdrift::soak {

/// The callers of a site: long and short sessions, and sessions that look at what changes.
class load {
public:
    load(event_loop& loop, const site_description& site, platform_stand_in& platform,
         change_operator& changes, judge& verdicts, std::uint64_t seed);

    /// Opens the sessions within some seconds.
    void start();
    /// No further operations begin.
    void stop() { stopped_ = true; }
    /// Opens a session to each ready entry for a database that has just changed.
    background look_at(std::string database, std::string key);

private:
    /// A kind of caller, after its route.
    struct caller_kind {
        const char* route_kind;
        double share;
        double write_share;
        double transaction_share;
    };
    background run_caller(caller_kind kind, std::string database, std::string key, std::string zone,
                          bool one_shot);
    task<bool> run_operation(caller_session& session, operation_plan plan, std::string zone);
    background run_explorer();
    background look_at_entry(machine& entry, std::string database, std::string key);
    operation_plan plan_for(const caller_kind& kind);
    double draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

    event_loop& loop_;
    const site_description& site_;
    platform_stand_in& platform_;
    change_operator& changes_;
    judge& verdicts_;
    std::mt19937_64 random_;
    bool stopped_ = false;
};

}  // namespace balsamdrift::soak
