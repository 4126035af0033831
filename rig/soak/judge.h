#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "rig/soak/config_history.h"
#include "rig/soak/journal.h"
#include "rig/soak/service_record.h"
#include "rig/soak/site_description.h"
#include "rig/soak/statement_record.h"

namespace balsamdrift::soak {

/// The rules of the users' pages that a run checks.
enum class rule {
    config,
    fault,
    too_little_served,
    recover,
    lost,
    ack,
    route,
    unasked,
    pinned,
    twice,
    refused,
    mixed
};

struct touch;

/// Decides from what callers, instances, the operator and the platform see whether a rule is
/// broken.
class judge {
public:
    judge(const site_description& site, journal& record);

    /// Tells for which machines rules with a time bound hold.
    void set_touch(std::function<touch(const machine&, time_point)> look)
    {
        touch_at_ = std::move(look);
    }
    void break_rule(rule which, const std::string& observation);
    void remark(const std::string& text) { remarks_.push_back(text); }

    config_history& history() { return history_; }
    service_record& served() { return served_; }

    // Callers.
    void statement_sent(const std::string& id, statement_record it);
    void statement_succeeded(const std::string& id, const std::string& receipt);
    void promised_nothing(const std::string& id);
    /// A session or statement was refused with NODB or NOAUTH.
    void caller_refused(const statement_record& it, const std::string& code);

    // Instances.
    void ran(const std::string& id, const std::string& instance, const std::string& service,
             const std::string& tenant, const std::string& shape, const std::string& arguments);
    void committed(const std::string& id, const std::string& instance);
    void gave_receipt(const std::string& id, const std::string& receipt);

    // Operator.
    void change_refused(int version, int status, const std::string& answer);
    void invalid_acked(int version, const std::string& kind);
    /// A member answered a read of the configuration.
    void config_read(const machine& from, time_point sent_at, const std::string& body, rule broken);

    /// Forgets statements that were sent before the time.
    void forget(time_point before);
    /// Prints a line for each rule; true if none is broken.
    bool report(std::ostream& out) const;

private:
    /// The oldest version that may still be in force for a request that was sent at the time.
    int floor_at(time_point sent_at, milliseconds stretch) const;
    void check_regress(const statement_record& it, const config_history::predicate& condition,
                       bool raises, const std::string& what);
    std::string describe(const statement_record& it) const;

    const site_description& site_;
    journal& record_;
    std::function<touch(const machine&, time_point)> touch_at_;
    config_history history_;
    service_record served_;
    std::unordered_map<std::string, statement_record> statements_;
    /// What an incarnation of an entry was seen to have in force, with the time.
    std::map<std::pair<const machine*, int>, std::vector<std::pair<time_point, int>>> seen_;
    std::map<rule, std::vector<std::string>> broken_;
    std::vector<std::string> remarks_;
};

}  // namespace balsamdrift::soak
