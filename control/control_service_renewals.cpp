#include "control/control_service.h"

namespace balsamdrift {

void control_service::handle(const lease_renewal& it, const std::string& sender)
{
    if (!holds_leadership(*consensus_, monotonic_clock::now())) {
        send_leader_hint(sender);
        return;
    }
    const std::optional<lease_request> request = expand_renewal(reports_, it);
    if (!request) {
        send_message(sender, renewal_refused{it.incarnation});
        return;
    }
    process_lease_request(*request, sender, {}, &it);
}

void control_service::handle(const renewal_refused&, const std::string&) {}

void control_service::shorten_grant(lease_grant& grant, const lease_request& it,
                                    const lease_renewal* renewal)
{
    grant.confirmed_report = it.report_number;
    if (renewal == nullptr) {
        record_full_report(reports_, it);
        return;
    }
    entry_instructions& instructions = grant.instructions;
    if (renewal->control_checksum == address_list_checksum(instructions.control)) {
        instructions.control.clear();
    }
    const numbered_report* const report =
        find_report(reports_, it.record.incarnation, it.report_number);
    if (report == nullptr) {
        return;
    }
    if (auto changes = make_share_changes(*report, instructions.connections.shares)) {
        grant.shares = std::move(*changes);
        instructions.connections.shares.clear();
    }
}

}  // namespace balsamdrift
