#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace balsamdrift {

/// The part of each customer's window headroom that only a new control leader may use. A new leader
/// presumes that every token of earlier leaders is used up, so without the reserve it starts with
/// none. Load pattern: all processes are lost at once, and the callers of a second or two return to
/// the new leader together.
///
/// Whether the reserve was used is kept in the registry, as the term of the leader that used it.
/// The next leader may not use it again before the window that it was used in has passed.
struct restart_reserve_options {
    /// Fraction of the window headroom that is reserved, as far as the rest covers the customer's
    /// burst.
    double fraction = 0.3;
    /// Callers that a loss of all processes has held up return within this time. What is left of
    /// the reserve is not used after it.
    duration usable_for = seconds(2);
    /// Allowance for tokens on their way and for clocks that run at different speeds.
    duration margin = seconds(1);
};

/// Tokens of the headroom that are reserved for a customer with this burst.
double reserved_tokens(const restart_reserve_options& options, double headroom, double burst);

/// True while the leader of `term`, which leads since `leading_since`, may use the reserve.
/// `used_by_term` is the term in the registry.
bool may_use_reserve(const restart_reserve_options& options, std::uint64_t used_by_term,
                     std::uint64_t term, time_point leading_since, time_point now);

/// The term that the leader should record in the registry now: its own before it uses the reserve,
/// zero once the reserve is whole again; nothing if the recorded one is right. `window` is that of
/// the customers' limits.
std::optional<std::uint64_t> reserve_term_to_record(const restart_reserve_options& options,
                                                    std::uint64_t used_by_term, std::uint64_t term,
                                                    duration window, time_point leading_since,
                                                    time_point now);

}  // namespace balsamdrift
