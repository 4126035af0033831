#include "core/queueing/shedding.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace balsamdrift {
namespace {

constexpr int max_excess_level = 3;

}  // namespace

bool is_served_before(const waiting_statement& left, const waiting_statement& right, time_point now)
{
    const auto rank = [now](const waiting_statement& it) {
        const bool late = now > it.objective_start;
        return std::tuple(it.priority, late, it.excess, it.arrived_at, it.number);
    };
    return rank(left) < rank(right);
}

void sort_for_service(std::vector<waiting_statement>& waiting, const start_credits& credits,
                      time_point now)
{
    std::sort(waiting.begin(), waiting.end(), [now](const auto& left, const auto& right) {
        return is_served_before(left, right, now);
    });
    // Least urgent priorities last, so that the most urgent one with a credit becomes the first.
    for (auto it = credits.by_priority.rbegin(); it != credits.by_priority.rend(); ++it) {
        const auto first =
            std::find_if(waiting.begin(), waiting.end(), [&](const waiting_statement& statement) {
                return statement.priority == it->first;
            });
        if (it->second >= 1 && first != waiting.end()) {
            std::rotate(waiting.begin(), first, first + 1);
        }
    }
}

void record_start(start_credits& credits, const shedding_options& options, int started,
                  const std::vector<waiting_statement>& waiting)
{
    std::set<int> priorities;
    for (const waiting_statement& it : waiting) {
        priorities.insert(it.priority);
    }
    std::erase_if(credits.by_priority,
                  [&](const auto& it) { return !priorities.contains(it.first); });
    for (const int priority : priorities) {
        double& credit = credits.by_priority[priority];
        // A priority does not save up starts for a time in which it could not run.
        credit = priority == started ? std::max(credit - 1, 0.0)
                                     : std::min(credit + options.min_start_fraction, 1.0);
        // Sums of a tenth are not exact.
        credit = credit > 1 - options.min_start_fraction / 2 ? 1 : credit;
    }
}

bool has_credit(const start_credits& credits, int priority)
{
    const auto it = credits.by_priority.find(priority);
    return it != credits.by_priority.end() && it->second >= 1;
}

std::optional<std::uint64_t> choose_displaced(const std::vector<waiting_statement>& waiting,
                                              const waiting_statement& arriving, time_point now)
{
    const auto last = std::max_element(
        waiting.begin(), waiting.end(),
        [now](const auto& left, const auto& right) { return is_served_before(left, right, now); });
    const bool displaces = last != waiting.end() && last->priority > arriving.priority;
    return displaces ? std::optional(last->number) : std::nullopt;
}

void record_arrival(customer_demand& demand, const shedding_options& options, time_point now)
{
    if (demand.first_at == time_point{}) {
        demand.first_at = now;
    }
    add_event(demand.present, options.present_time_constant, now);
    add_event(demand.usual, options.usual_time_constant, now);
}

int excess_level(const customer_demand& demand, const shedding_options& options, time_point now)
{
    // Until a customer is known for long enough, its usual rate cannot be told.
    if (demand.first_at == time_point{} ||
        now - demand.first_at < options.usual_time_constant / 3) {
        return 0;
    }
    const double present = count_at(demand.present, options.present_time_constant, now);
    // The usual count has not reached its steady value for a customer that is new.
    const float_seconds age = now - demand.first_at;
    const double filled = 1 - std::exp(-age / float_seconds(options.usual_time_constant));
    const double usual =
        count_at(demand.usual, options.usual_time_constant, now) / filled *
        (float_seconds(options.present_time_constant) / float_seconds(options.usual_time_constant));
    const double ratio = (present + options.excess_allowance) / (usual + options.excess_allowance);
    return std::clamp(static_cast<int>(std::floor(std::log2(ratio))), 0, max_excess_level);
}

}  // namespace balsamdrift
