#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "core/registry/primary_record.h"

namespace balsamdrift {

/// Settings of the evacuation of a failure domain.
///
/// Load pattern: an operator evacuates a domain because it is about to be lost, while callers have
/// open transactions in it and some primaries stand in it.
struct evacuation_options {
    /// How long a primary in an evacuated domain and open transactions there are still used after
    /// the entry learned of the order. A planned change of primary takes about 1.7 s.
    duration grace = milliseconds(2500);
    /// The grace ends at the latest this long after the entry was last known to be up to date
    /// without the order. Nothing may arrive in the domain later than 5 s after the order was
    /// acknowledged; the rest is for a statement on its way.
    duration max_after_contact = milliseconds(4500);
};

/// When an entry stops to use a domain whose evacuation it learned of at `learned_at`.
/// `last_contact` is when it last asked control and was brought up to date without the order; the
/// clock's epoch if it never was, as after a restart. Then there is no grace.
time_point evacuation_deadline(const evacuation_options& options, time_point learned_at,
                               time_point last_contact);

/// An instance of a service, as far as operators' orders and home regions restrict its use.
struct restricted_instance {
    /// End of the grace of its failure domain's evacuation; nothing if it is not evacuated.
    std::optional<time_point> evacuated_until;
    /// False if the route or the customer may not be served in the instance's region.
    bool in_home_region = true;
    /// True for the instance that the primary record names.
    bool is_primary = false;
    /// True if it is leaving and gets no new reads.
    bool leaving = false;
};

/// A statement and the instances of its service.
struct restricted_statement {
    /// True if only the primary can run it.
    bool needs_primary = false;
    primary_phase phase = primary_phase::serving;
    std::vector<restricted_instance> instances;
};

/// True if no instance but the primary may run the statement: it needs the primary, or all others
/// are leaving, evacuated or outside its home regions.
bool only_primary_may_run(const restricted_statement& it);

/// True if a new statement or a new transaction may be sent to the instance. In an evacuated domain
/// this is only a serving primary, within the grace, for what no other instance may run
/// (`only_primary`).
bool may_start_on(const restricted_instance& it, bool only_primary, primary_phase phase,
                  time_point now);

/// True if a transaction that is open on the instance may send a further statement there.
bool may_continue_on(const restricted_instance& it, time_point now);

/// Why no instance may run a statement, although the service has one that otherwise could.
enum class restriction : std::uint8_t { evacuated, home_region };

/// Name of a restriction, for refusals and logs.
const char* to_string(restriction value);

/// The reason to refuse the statement at once; nothing if an instance may run it now or after a
/// change of primary that has begun, or if the service has no instance that could run it anyway.
std::optional<restriction> find_restriction(const restricted_statement& it, time_point now);

}  // namespace balsamdrift
