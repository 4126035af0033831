#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/entry_report.h"

namespace balsamdrift {

/// Values by the index of their name in a table of names.
using indexed_values = std::map<std::uint32_t, std::uint32_t>;

/// An entry_report, its number, and the names that differences from it refer to by index.
struct numbered_report {
    /// Increases with each report of an entry process; the first is 1.
    std::uint64_t number = 0;
    entry_report report;
    std::vector<std::string> names;
};

/// primary_evidence with indexes in place of names.
struct indexed_evidence {
    std::uint32_t service = 0;
    std::uint32_t instance = 0;
    bool failing = false;
    milliseconds since_last_served{-1};
    MSGPACK_DEFINE(service, instance, failing, since_last_served)
};

/// What changed between two reports of one entry process.
struct report_delta {
    /// Number of the report that this describes.
    std::uint64_t number = 0;
    /// Number of the report that it is relative to.
    std::uint64_t base = 0;
    /// The report without its primaries, demand and held shares. Members that are added to
    /// entry_report later travel here in full.
    entry_report rest;
    /// Appended to the names of the base; indexes refer to the result.
    std::vector<std::string> names;
    /// All primaries: the times in them change with each report.
    std::vector<indexed_evidence> primaries;
    /// Changed demand in hundredths of a statement per second; zero removes the name.
    indexed_values demand;
    /// Changed held shares in multiples of 2^-24; zero removes the name.
    indexed_values held;
    MSGPACK_DEFINE(number, base, rest, names, primaries, demand, held)
};

/// Which changes of demand are worth reporting. Demand is a noisy average that decides only how
/// connections are divided; a change below both bounds changes a share by less than a connection.
struct report_delta_options {
    /// Statements per second.
    double min_demand_change = 0.05;
    /// Relative to the demand in the base.
    double min_relative_demand_change = 0.05;
};

/// The shares in a grant as changes of those that the entry held in a report.
struct share_changes {
    /// Number of that report; zero if the grant holds all shares in its instructions.
    std::uint64_t base = 0;
    /// Appended to the names of that report; indexes refer to the result.
    std::vector<std::string> names;
    /// Changed shares in multiples of 2^-24; zero removes the name.
    indexed_values shares;
    MSGPACK_DEFINE(base, names, shares)
};

/// Numbers a report that is sent in full.
numbered_report number_report(std::uint64_t number, entry_report report);

/// Returns the difference between two reports. apply_delta() gives the report that the receiver
/// has, which differs from `report` by demand that hardly changed.
report_delta make_delta(const numbered_report& base, std::uint64_t number,
                        const entry_report& report, const report_delta_options& options);

/// Rebuilds a report from its base. Not set if the delta refers to another base or to names that
/// do not exist.
std::optional<numbered_report> apply_delta(const numbered_report& base, const report_delta& delta);

/// Returns how the granted shares differ from those held in the report. Not set if a share is no
/// multiple of 2^-24: it must then be sent in full.
std::optional<share_changes> make_share_changes(const numbered_report& report,
                                                const share_map& granted);

/// Rebuilds granted shares. Not set if the changes refer to another report or to names that do not
/// exist.
std::optional<share_map> apply_share_changes(const numbered_report& report,
                                             const share_changes& changes);

}  // namespace balsamdrift
