#include "core/rates/token_pool.h"

#include <algorithm>
#include <cmath>

namespace balsamdrift {
namespace {

/// A pool with room for less has none left to be kept.
constexpr double smallest_burst = 2;

/// Rates below this are taken for it, so that there is a time for the next token.
constexpr double smallest_rate = 0.01;

/// The pool's own bucket: the rate, and the part of the reserve that entries do not keep.
bucket_limits pool_limits(const token_pool_options& options, const bucket_limits& limits,
                          double part)
{
    const double reserve = window_reserve(options, limits);
    const double burst = std::max(reserve * (1 - options.spare_part), smallest_burst);
    return {.rate = std::max(limits.rate * part, smallest_rate),
            .burst = std::max(std::min(burst, reserve), 1.0)};
}

/// What the entry may keep, so that all entries together stay within the reserve and each gets a
/// part of it that fits what it usually needs.
std::uint32_t keepable(const customer_tokens& tokens, const token_pool_options& options,
                       const bucket_limits& limits, const std::string& entry,
                       const customer_token_request& ask)
{
    const double reserve =
        std::floor(window_reserve(options, limits) - pool_limits(options, limits, 1).burst);
    double others_keep = 0;
    double all_want = ask.spare;
    for (const auto& [name, it] : tokens.kept) {
        if (name != entry) {
            others_keep += it.count;
            all_want += it.wanted;
        }
    }
    const double part = all_want > 0 ? reserve * ask.spare / all_want : 0;
    const double most = std::min(std::max(std::floor(part), 1.0), reserve - others_keep);
    return std::min(ask.spare, static_cast<std::uint32_t>(std::max(most, 0.0)));
}

}  // namespace

double window_reserve(const token_pool_options& options, const bucket_limits& limits)
{
    const double over_window = limits.rate * float_seconds(options.window).count();
    const double allowed = (over_window + limits.burst) * (1 + options.overage) + options.slack;
    return (allowed - over_window) * options.used_part;
}

customer_token_grant grant_tokens(token_pool& pool, const token_pool_options& options,
                                  const std::string& customer, const bucket_limits& limits,
                                  const std::string& entry, const customer_token_request& ask,
                                  time_point now)
{
    const bucket_limits own = pool_limits(options, limits, pool.part);
    const auto [found, first] = pool.customers.try_emplace(
        customer, customer_tokens{make_empty_bucket(own, pool.leading_since), {}});
    customer_tokens& tokens = found->second;
    if (!first && tokens.bucket.limits != own) {
        change_limits(tokens.bucket, own, now);
    }
    std::erase_if(tokens.kept, [&](const auto& it) { return it.second.until <= now; });
    customer_token_grant share;
    // Callers that wait first: what entries keep is only for a time without control.
    while (share.waiting < ask.waiting) {
        const auto res = take_token(tokens.bucket, now);
        if (const auto* const refused = std::get_if<token_refused>(&res)) {
            share.retry_after_ms =
                std::max<std::int64_t>(to_milliseconds(refused->retry_after).count(), 1);
            break;
        }
        ++share.waiting;
    }
    const std::uint32_t most = keepable(tokens, options, limits, entry, ask);
    const bool settled = now - pool.leading_since >= options.spare_lifetime;
    // Half of the bucket stays for callers that wait elsewhere.
    const double spared = own.burst / 2;
    while (settled && share.retry_after_ms == 0 && ask.held + share.spare < most &&
           tokens_left(tokens.bucket, now) > spared &&
           std::holds_alternative<token_taken>(take_token(tokens.bucket, now))) {
        ++share.spare;
    }
    const std::uint32_t kept = ask.held + share.spare;
    share.more = settled && kept < most;
    if (kept > 0 || ask.spare > 0) {
        tokens.kept[entry] = {kept, ask.spare, now + options.spare_lifetime};
    }
    else {
        tokens.kept.erase(entry);
    }
    return share;
}

void record_entry_contact(token_pool& pool, const std::string& entry, bool alone, time_point now)
{
    if (alone) {
        pool.heard.erase(entry);
    }
    else {
        pool.heard[entry] = now;
    }
}

void update_granted_fraction(token_pool& pool, const token_pool_options& options,
                             const std::vector<std::string>& registered, time_point now)
{
    if (registered.empty()) {
        pool.part = 1;
        return;
    }
    const auto in_touch =
        std::count_if(registered.begin(), registered.end(), [&](const std::string& name) {
            const auto it = pool.heard.find(name);
            return it != pool.heard.end() && now - it->second < options.heard_within;
        });
    pool.part = static_cast<double>(in_touch) / static_cast<double>(registered.size());
}

void remove_entry_tokens(token_pool& pool, const std::string& entry)
{
    pool.heard.erase(entry);
    for (auto& [customer, it] : pool.customers) {
        it.kept.erase(entry);
    }
}

}  // namespace balsamdrift
