#include "core/rates/token_pool.h"

#include <algorithm>
#include <cmath>

namespace balsamdrift {
namespace {

/// Smallest burst of the pool's bucket, if the headroom allows it. With a headroom up to this,
/// entries prefetch nothing.
constexpr double min_pool_burst = 2;

/// Lower rates are raised to this, in tokens per second, so that the time until the next token is
/// finite.
constexpr double min_pool_rate = 0.01;

/// Headroom of a window without the restart reserve.
double granted_headroom(const token_pool_options& options, const bucket_limits& limits)
{
    const double headroom = window_headroom(options, limits);
    return headroom - reserved_tokens(options.reserve, headroom, limits.burst);
}

/// Takes a token of the restart reserve. False if none may be used.
bool take_reserved_token(const token_pool& pool, const token_pool_options& options,
                         const bucket_limits& limits, customer_tokens& tokens)
{
    const double headroom = window_headroom(options, limits);
    const double reserve = reserved_tokens(options.reserve, headroom, limits.burst);
    if (!pool.reserve_usable || tokens.reserve_used + 1 > reserve) {
        return false;
    }
    tokens.reserve_used += 1;
    return true;
}

/// Limits of the pool's own bucket: the granted fraction of the rate, and the part of the headroom
/// that is not available for prefetching.
bucket_limits pool_limits(const token_pool_options& options, const bucket_limits& limits,
                          double granted_fraction)
{
    const double headroom = granted_headroom(options, limits);
    const double burst = std::max(headroom * (1 - options.prefetch_fraction), min_pool_burst);
    return {.rate = std::max(limits.rate * granted_fraction, min_pool_rate),
            .burst = std::max(std::min(burst, headroom), 1.0)};
}

/// Number of tokens that the entry may hold prefetched, so that all entries together stay within
/// the headroom and each gets a part of it in proportion to its usual demand.
std::uint32_t prefetch_limit(const customer_tokens& tokens, const token_pool_options& options,
                             const bucket_limits& limits, const std::string& entry,
                             const customer_token_request& request)
{
    const double headroom =
        std::floor(granted_headroom(options, limits) - pool_limits(options, limits, 1).burst);
    const auto own = tokens.prefetched.find(entry);
    const entry_prefetch held = own == tokens.prefetched.end() ? entry_prefetch{} : own->second;
    const auto held_by_others = static_cast<double>(tokens.total_count - held.count);
    const double total_target = static_cast<double>(tokens.total_target - held.target) +
                                static_cast<double>(request.prefetch_target);
    const double own_part =
        total_target > 0 ? headroom * request.prefetch_target / total_target : 0;
    const double limit = std::min(std::max(std::floor(own_part), 1.0), headroom - held_by_others);
    return static_cast<std::uint32_t>(
        std::clamp(limit, 0.0, static_cast<double>(request.prefetch_target)));
}

/// Replaces what is known of the entry's prefetched tokens.
void record_prefetch(customer_tokens& tokens, const std::string& entry, const entry_prefetch& next)
{
    const auto [it, inserted] = tokens.prefetched.try_emplace(entry);
    tokens.total_count += next.count - std::uint64_t{it->second.count};
    tokens.total_target += next.target - std::uint64_t{it->second.target};
    it->second = next;
    if (next.count == 0 && next.target == 0) {
        tokens.prefetched.erase(it);
    }
}

/// Replaces what is known of the entry's waiting callers.
void record_waiting(customer_tokens& tokens, const std::string& entry, const entry_waiting& next)
{
    const auto [it, inserted] = tokens.waiting.try_emplace(entry);
    tokens.total_waiting += next.count - std::uint64_t{it->second.count};
    it->second = next;
    if (next.count == 0) {
        tokens.waiting.erase(it);
    }
}

/// Predicted time from one token for the entry to the next. All waiting callers share the tokens
/// that the rate brings.
duration predicted_interval(const customer_tokens& tokens, const bucket_limits& pool_bucket_limits,
                            std::uint32_t waiting)
{
    const double part = static_cast<double>(tokens.total_waiting) / std::max(waiting, 1U);
    return std::chrono::duration_cast<duration>(float_seconds(part / pool_bucket_limits.rate));
}

/// Removes the tokens that entries have discarded by now, and the callers that wait no longer.
/// Between two sweeps they count as before.
void remove_expired(customer_tokens& tokens, const token_pool_options& options, time_point now)
{
    if (now < tokens.next_sweep_at) {
        return;
    }
    tokens.next_sweep_at = now + options.sweep_interval;
    std::erase_if(tokens.prefetched, [&](const auto& entry) {
        const bool expired = entry.second.expires_at <= now;
        if (expired) {
            tokens.total_count -= entry.second.count;
            tokens.total_target -= entry.second.target;
        }
        return expired;
    });
    std::erase_if(tokens.waiting, [&](const auto& entry) {
        const bool expired = entry.second.expires_at <= now;
        if (expired) {
            tokens.total_waiting -= entry.second.count;
        }
        return expired;
    });
}

}  // namespace

double window_headroom(const token_pool_options& options, const bucket_limits& limits)
{
    const double at_rate = limits.rate * float_seconds(options.window).count();
    const double allowed = (at_rate + limits.burst) * (1 + options.overage) + options.slack;
    return (allowed - at_rate) * options.usable_fraction;
}

customer_token_grant grant_tokens(token_pool& pool, const token_pool_options& options,
                                  const std::string& customer, const bucket_limits& limits,
                                  const std::string& entry, const customer_token_request& request,
                                  time_point now)
{
    const bucket_limits pool_bucket_limits = pool_limits(options, limits, pool.granted_fraction);
    const auto [found, inserted] = pool.customers.try_emplace(
        customer, customer_tokens{make_empty_bucket(pool_bucket_limits, pool.leading_since), {}});
    customer_tokens& tokens = found->second;
    if (!inserted && tokens.bucket.limits != pool_bucket_limits) {
        change_limits(tokens.bucket, pool_bucket_limits, now);
    }
    remove_expired(tokens, options, now);
    customer_token_grant grant;
    // Waiting callers come first: prefetched tokens are only needed while control is unavailable.
    while (grant.for_waiting < request.waiting) {
        if (std::holds_alternative<token_refused>(take_token(tokens.bucket, now)) &&
            !take_reserved_token(pool, options, limits, tokens)) {
            break;
        }
        ++grant.for_waiting;
    }
    const std::uint32_t left_waiting = request.waiting - grant.for_waiting;
    record_waiting(tokens, entry, {left_waiting, now + options.waiting_lifetime});
    if (left_waiting > 0) {
        const duration interval = predicted_interval(tokens, pool_bucket_limits, left_waiting);
        grant.retry_after_ms = std::max<std::int64_t>(to_milliseconds(interval).count(), 1);
    }
    const std::uint32_t limit = prefetch_limit(tokens, options, limits, entry, request);
    const bool earlier_grants_expired = now - pool.leading_since >= options.prefetch_lifetime;
    // Half of the bucket stays available for callers that wait on other entries.
    const double min_bucket_level = pool_bucket_limits.burst / 2;
    if (earlier_grants_expired && grant.retry_after_ms == 0 && request.prefetched < limit) {
        // At once: with a very high rate these are so many that taking one at a time would stop the
        // leader for seconds.
        grant.for_prefetch =
            take_tokens_above(tokens.bucket, limit - request.prefetched, min_bucket_level, now);
    }
    const std::uint32_t prefetched_count = request.prefetched + grant.for_prefetch;
    grant.prefetch_incomplete = earlier_grants_expired && prefetched_count < limit;
    record_prefetch(tokens, entry,
                    {prefetched_count, request.prefetch_target, now + options.prefetch_lifetime});
    return grant;
}

void record_entry_contact(token_pool& pool, const std::string& entry, bool isolated, time_point now)
{
    if (isolated) {
        pool.last_contact.erase(entry);
        pool.granted_fraction_due_at = now;
    }
    else {
        pool.last_contact[entry] = now;
    }
}

bool is_granted_fraction_due(const token_pool& pool, time_point now)
{
    return now >= pool.granted_fraction_due_at;
}

void update_granted_fraction(token_pool& pool, const token_pool_options& options,
                             const std::vector<std::string>& registered, time_point now)
{
    pool.granted_fraction_due_at = now + options.sweep_interval;
    if (registered.empty()) {
        pool.granted_fraction = 1;
        return;
    }
    const auto in_contact =
        std::count_if(registered.begin(), registered.end(), [&](const std::string& name) {
            const auto it = pool.last_contact.find(name);
            return it != pool.last_contact.end() && now - it->second < options.contact_timeout;
        });
    pool.granted_fraction =
        static_cast<double>(in_contact) / static_cast<double>(registered.size());
}

void remove_entry_tokens(token_pool& pool, const std::string& entry)
{
    pool.last_contact.erase(entry);
    for (auto& [customer, it] : pool.customers) {
        record_prefetch(it, entry, {});
        record_waiting(it, entry, {});
    }
}

}  // namespace balsamdrift
