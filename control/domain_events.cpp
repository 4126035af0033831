#include "control/domain_events.h"

#include "base/event_log.h"

namespace balsamdrift {
namespace {

void log_domains_only_in(const std::set<std::string>& one, const std::set<std::string>& other,
                         event_id event, std::uint64_t index)
{
    for (const std::string& it : one) {
        if (!other.contains(it)) {
            log_event(event, {{"failure_domain", it}, {"index", std::to_string(index)}});
        }
    }
}

}  // namespace

void report_domain_changes(const std::set<std::string>& before, const std::set<std::string>& after,
                           std::uint64_t index)
{
    log_domains_only_in(after, before, event_id::domain_evacuated, index);
    log_domains_only_in(before, after, event_id::domain_restored, index);
}

}  // namespace balsamdrift
