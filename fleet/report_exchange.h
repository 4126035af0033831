#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/registry/records.h"
#include "fleet/lease_message.h"
#include "fleet/report_delta.h"

namespace balsamdrift {

/// What an entry knows of the reports that the control leader has from it.
struct report_sender {
    std::uint64_t last_number = 0;
    /// Reports that were sent since the confirmed one, and the confirmed one itself, by number.
    std::map<std::uint64_t, numbered_report> sent;
    /// Number of the newest report that `holder` has confirmed; zero if there is none.
    std::uint64_t confirmed = 0;
    /// `address:port` of the control member that confirmed it.
    std::string holder;
};

/// Numbers a report that is sent in full and returns its number.
std::uint64_t record_full_report(report_sender& sender, const entry_report& report);

/// Returns the difference between the report and what `receiver` has confirmed. Not set if it has
/// confirmed nothing; the report must then be sent in full.
std::optional<report_delta> make_next_delta(report_sender& sender, const std::string& receiver,
                                            const entry_report& report);

/// Records that a control member has a report. Late and repeated confirmations change nothing.
void record_confirmed_report(report_sender& sender, const std::string& receiver,
                             std::uint64_t number);

/// Records that a control member lacks the base of a delta: the next report is sent in full.
void record_missing_base(report_sender& sender, const std::string& receiver);

/// Returns the shares of a grant that states changes. Not set if the report that they refer to is
/// not known any more.
std::optional<share_map> shares_of_grant(const report_sender& sender, const share_changes& changes);

/// The entry process that sent reports, and those that it may still refer to.
struct known_reports {
    std::string entry;
    entry_record record;
    std::map<std::uint64_t, numbered_report> reports;
};

/// The reports that the control leader has, by the incarnation of the entry process. A new leader
/// starts without any and refuses deltas.
using report_table = std::map<std::uint64_t, known_reports>;

/// Records a report that was received in full.
void record_full_report(report_table& table, const lease_request& request);

/// Rebuilds the lease request that a renewal stands for. Not set if the base is missing.
std::optional<lease_request> expand_renewal(report_table& table, const lease_renewal& renewal);

/// Returns the report of this number; null if it is not known.
const numbered_report* find_report(const report_table& table, std::uint64_t incarnation,
                                   std::uint64_t number);

/// Checksum of a list of addresses, by which the leader finds out whether an entry has the current
/// one. The same in all builds.
std::uint32_t address_list_checksum(const std::vector<std::string>& addresses);

}  // namespace balsamdrift
