#include "core/rates/token_cache.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamdrift {
namespace {

/// Part of a quantity that is left after this time, at the pace at which demand is forgotten.
double left_after(duration passed, const token_cache_options& options)
{
    return std::exp(-float_seconds(passed) / float_seconds(options.demand_span));
}

/// Demand is not judged by less time than this.
constexpr milliseconds shortest_demand_time(300);

void note_demand(customer_token_cache& it, const token_cache_options& options, time_point now)
{
    if (it.first_at == time_point{}) {
        it.first_at = now;
    }
    it.recent = it.recent * left_after(now - it.demand_at, options) + 1;
    it.demand_at = now;
}

/// Operations per second, over the time that the customer has been seen.
double demand_of(const customer_token_cache& it, const token_cache_options& options, time_point now)
{
    const double recent = it.recent * left_after(now - it.demand_at, options);
    const duration seen = std::max<duration>(now - it.first_at, shortest_demand_time);
    const double whole = float_seconds(options.demand_span).count();
    return recent / (whole * (1 - left_after(seen, options)));
}

std::uint32_t spare_target(const token_cache& stock, const customer_token_cache& it,
                           const token_cache_options& options, time_point now)
{
    const double even = it.limits.rate / std::max(stock.entry_count, 1U);
    const double demand = stock.busy ? demand_of(it, options, now) : even;
    const double needed = demand * float_seconds(options.spare_span).count();
    return static_cast<std::uint32_t>(std::ceil(needed));
}

void drop_expired(customer_token_cache& it, time_point now)
{
    if (now >= it.spare_until) {
        it.spare = 0;
    }
}

/// Uses the entry's own part of the rate, which has run up since it is alone.
bool take_own_part(const token_cache& stock, const token_cache_options& options,
                   customer_token_cache& it, time_point now)
{
    const float_seconds alone_for = now - stock.answered_at - options.alone_after;
    const double own_rate = it.limits.rate / std::max(stock.entry_count, 1U);
    if (it.alone_used + 1 > own_rate * alone_for.count()) {
        return false;
    }
    it.alone_used += 1;
    return true;
}

}  // namespace

void set_customer_limits(token_cache& stock, const std::string& customer,
                         const bucket_limits& limits)
{
    customer_token_cache& it = stock.customers[customer];
    if (it.limits != limits) {
        it.limits = limits;
        it.spare = 0;
    }
}

void record_control_answer(token_cache& stock, time_point sent_at)
{
    if (sent_at <= stock.answered_at) {
        return;
    }
    stock.answered_at = sent_at;
    for (auto& [name, it] : stock.customers) {
        it.alone_used = 0;
    }
}

bool is_isolated(const token_cache& stock, const token_cache_options& options, time_point now)
{
    return stock.answered_at != time_point{} && now - stock.answered_at >= options.alone_after;
}

std::variant<token_taken, token_pending, token_refused>
take_token(token_cache& stock, const token_cache_options& options, const token_caller& caller,
           time_point now)
{
    customer_token_cache& it = stock.customers[caller.customer];
    stock.busy = true;
    note_demand(it, options, now);
    drop_expired(it, now);
    if (it.spare > 0) {
        --it.spare;
        stock.due.insert(caller.customer);
        return token_taken{};
    }
    if (is_isolated(stock, options, now)) {
        stock.due.insert(caller.customer);
        if (caller.may_use_isolated_share && take_own_part(stock, options, it, now)) {
            return token_taken{};
        }
        return token_refused{options.silent_retry};
    }
    if (now < it.empty_until) {
        return token_refused{it.empty_wait};
    }
    stock.due.insert(caller.customer);
    if (stock.silent_since && now - *stock.silent_since >= options.patience) {
        return token_refused{options.silent_retry};
    }
    it.waiting.emplace_back(caller.number, now);
    return token_pending{};
}

customer_token_requests next_token_request(token_cache& stock, const token_cache_options& options,
                                           time_point now)
{
    if (stock.asked_at && now - *stock.asked_at < options.ask_again) {
        return {};
    }
    if (!stock.busy && now >= stock.idle_ask_at) {
        stock.idle_ask_at = now + options.spare_lifetime / 2;
        for (const auto& [name, it] : stock.customers) {
            stock.due.insert(name);
        }
    }
    const bool urgent = std::any_of(stock.due.begin(), stock.due.end(), [&](const auto& name) {
        return !stock.customers[name].waiting.empty();
    });
    if (!urgent && now - stock.last_asked_at < options.refill_pause) {
        return {};
    }
    if (stock.asked_at) {
        stock.due.insert(stock.asked.begin(), stock.asked.end());
    }
    customer_token_requests all;
    for (const std::string& name : stock.due) {
        customer_token_cache& it = stock.customers[name];
        drop_expired(it, now);
        all[name] = {.waiting = static_cast<std::uint32_t>(it.waiting.size()),
                     .spare = spare_target(stock, it, options, now),
                     .held = it.spare};
    }
    if (all.empty()) {
        return {};
    }
    ++stock.request_number;
    stock.asked_at = now;
    stock.last_asked_at = now;
    stock.asked = std::exchange(stock.due, {});
    if (!stock.silent_since) {
        stock.silent_since = now;
    }
    return all;
}

std::vector<token_decision> apply_token_grants(token_cache& stock,
                                               const token_cache_options& options,
                                               std::uint64_t request_number,
                                               const customer_token_grants& shares, time_point now)
{
    if (request_number != stock.request_number || !stock.asked_at) {
        return {};
    }
    const time_point asked_at = *stock.asked_at;
    record_control_answer(stock, asked_at);
    stock.asked_at.reset();
    stock.silent_since.reset();
    std::vector<token_decision> decided;
    for (const auto& [name, share] : shares) {
        customer_token_cache& it = stock.customers[name];
        drop_expired(it, now);
        it.spare += share.spare;
        // Control counts what is kept from when it heard the question, which is later.
        it.spare_until = asked_at + options.spare_lifetime;
        for (std::uint32_t n = 0; n < share.waiting && !it.waiting.empty(); ++n) {
            decided.push_back({it.waiting.front().first, name, {}});
            it.waiting.pop_front();
        }
        if (share.retry_after_ms > 0) {
            const duration wait = milliseconds(share.retry_after_ms);
            it.empty_until = now + std::min(wait, options.most_empty_span);
            it.empty_wait = wait;
            // The next tokens come one after the other, and so may the callers.
            for (int turn = 1; !it.waiting.empty(); ++turn) {
                decided.push_back({it.waiting.front().first, name, wait * turn});
                it.waiting.pop_front();
            }
        }
        if (share.more || !it.waiting.empty()) {
            stock.due.insert(name);
        }
    }
    return decided;
}

std::vector<token_decision>
refuse_timed_out_callers(token_cache& stock, const token_cache_options& options, time_point now)
{
    std::vector<token_decision> decided;
    for (auto& [name, it] : stock.customers) {
        while (!it.waiting.empty() && now - it.waiting.front().second >= options.patience) {
            decided.push_back({it.waiting.front().first, name, options.silent_retry});
            it.waiting.pop_front();
        }
    }
    return decided;
}

}  // namespace balsamdrift
