#include "core/rates/restart_reserve.h"

#include <algorithm>

namespace balsamdrift {

double reserved_tokens(const restart_reserve_options& options, double headroom, double burst)
{
    return std::max(std::min(headroom * options.fraction, headroom - burst), 0.0);
}

bool may_use_reserve(const restart_reserve_options& options, std::uint64_t used_by_term,
                     std::uint64_t term, time_point leading_since, time_point now)
{
    return used_by_term == term && now - leading_since < options.usable_for;
}

std::optional<std::uint64_t> reserve_term_to_record(const restart_reserve_options& options,
                                                    std::uint64_t used_by_term, std::uint64_t term,
                                                    duration window, time_point leading_since,
                                                    time_point now)
{
    const duration led_for = now - leading_since;
    if (used_by_term == 0 && led_for < options.usable_for) {
        return term;
    }
    // An earlier leader used it before this one was elected.
    const bool whole_again = led_for >= options.usable_for + window + options.margin;
    return used_by_term != 0 && whole_again ? std::optional<std::uint64_t>(0) : std::nullopt;
}

}  // namespace balsamdrift
