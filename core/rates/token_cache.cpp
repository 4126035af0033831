#include "core/rates/token_cache.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace balsamdrift {
namespace {

/// Weight of an operation of this age in the exponential average of demand.
double decay_factor(duration age, const token_cache_options& options)
{
    return std::exp(-float_seconds(age) / float_seconds(options.demand_time_constant));
}

/// Shortest observation time of a customer's demand. Shorter times would overestimate it.
constexpr milliseconds min_demand_time(300);

/// Shortest retry delay of a caller whose token did not come as predicted.
constexpr milliseconds min_retry_after(50);

void record_operation(customer_token_cache& it, const token_cache_options& options, time_point now)
{
    if (it.first_operation_at == time_point{}) {
        it.first_operation_at = now;
    }
    it.decayed_operations = it.decayed_operations * decay_factor(now - it.decayed_at, options) + 1;
    it.decayed_at = now;
}

/// Operations per second, averaged over the time since the customer's first operation.
double operations_per_second(const customer_token_cache& it, const token_cache_options& options,
                             time_point now)
{
    const double operations = it.decayed_operations * decay_factor(now - it.decayed_at, options);
    const duration observed = std::max<duration>(now - it.first_operation_at, min_demand_time);
    const double time_constant = float_seconds(options.demand_time_constant).count();
    return operations / (time_constant * (1 - decay_factor(observed, options)));
}

std::uint32_t prefetch_target(const token_cache& cache, const customer_token_cache& it,
                              const token_cache_options& options, time_point now)
{
    const double even_share = it.limits.rate / std::max(cache.entry_count, 1U);
    const double demand =
        cache.has_seen_caller ? operations_per_second(it, options, now) : even_share;
    const double needed = demand * float_seconds(options.prefetch_duration).count();
    constexpr double max_target = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(std::ceil(needed), max_target));
}

void discard_expired_tokens(customer_token_cache& it, time_point now)
{
    if (now >= it.prefetched_until) {
        it.prefetched = 0;
    }
}

/// True if the customer's tokens should be refilled soon: fewer than half of the target are left.
/// Where the target is so small that this means none, the next caller requests one.
bool is_refill_urgent(const token_cache& cache, const customer_token_cache& it,
                      const token_cache_options& options, time_point now)
{
    return now >= it.prefetch_again_at && now >= it.pool_empty_until &&
           it.prefetched + 1 < prefetch_target(cache, it, options, now) / 2;
}

/// Time after which missing prefetched tokens are requested again. Control may have only one to
/// give at a time: all that are missing then arrive in the time in which the usual demand uses up
/// one. Without this, many entries that each want to hold one token of each customer, more than the
/// burst allows, would repeat their requests all the time.
duration prefetch_retry_interval(const token_cache& cache, const customer_token_cache& it,
                                 const token_cache_options& options, time_point now)
{
    const std::uint32_t target = std::max(prefetch_target(cache, it, options, now), 1U);
    const std::uint32_t missing = target > it.prefetched ? target - it.prefetched : 1;
    return std::max(options.prefetch_duration / (std::int64_t{target} * missing),
                    options.refill_interval);
}

/// Takes a token of the entry's own share of the rate, which accrues from the moment the entry
/// became isolated. False if none is left.
bool take_isolated_share(const token_cache& cache, const token_cache_options& options,
                         customer_token_cache& it, time_point now)
{
    const float_seconds isolated_for = now - cache.last_answered_at - options.isolation_timeout;
    const double own_rate = it.limits.rate / std::max(cache.entry_count, 1U);
    if (it.isolated_share_used + 1 > own_rate * isolated_for.count()) {
        return false;
    }
    it.isolated_share_used += 1;
    return true;
}

/// Refuses the callers that are predicted to get their tokens too late. Tokens become available one
/// at a time, so the predicted times, which are also the retry delays, are staggered.
void refuse_callers_without_prospect(customer_token_cache& it, const token_cache_options& options,
                                     const std::string& customer, duration interval, time_point now,
                                     std::vector<token_decision>& decisions)
{
    std::deque<std::pair<std::uint64_t, time_point>> staying;
    int turn = 1;
    for (const auto& [caller, arrived_at] : it.waiting) {
        const duration predicted = interval * turn;
        if (now - arrived_at + predicted <= options.max_token_wait) {
            staying.emplace_back(caller, arrived_at);
        }
        else {
            decisions.push_back({caller, customer, predicted});
        }
        ++turn;
    }
    it.waiting = std::move(staying);
}

}  // namespace

void set_customer_limits(token_cache& cache, const std::string& customer,
                         const bucket_limits& limits)
{
    customer_token_cache& it = cache.customers[customer];
    if (it.limits != limits) {
        it.limits = limits;
        it.prefetched = 0;
        it.prefetch_again_at = {};
    }
}

void record_control_answer(token_cache& cache, time_point sent_at)
{
    if (sent_at <= cache.last_answered_at) {
        return;
    }
    cache.last_answered_at = sent_at;
    for (auto& [name, it] : cache.customers) {
        it.isolated_share_used = 0;
    }
}

bool is_isolated(const token_cache& cache, const token_cache_options& options, time_point now)
{
    return cache.last_answered_at != time_point{} &&
           now - cache.last_answered_at >= options.isolation_timeout;
}

std::variant<token_taken, token_pending, token_refused>
take_token(token_cache& cache, const token_cache_options& options, const token_caller& caller,
           time_point now)
{
    customer_token_cache& it = cache.customers[caller.customer];
    cache.has_seen_caller = true;
    record_operation(it, options, now);
    discard_expired_tokens(it, now);
    if (it.prefetched > 0) {
        --it.prefetched;
        cache.customers_due.insert(caller.customer);
        return token_taken{};
    }
    if (is_isolated(cache, options, now)) {
        cache.customers_due.insert(caller.customer);
        if (caller.may_use_isolated_share && take_isolated_share(cache, options, it, now)) {
            return token_taken{};
        }
        return token_refused{options.no_answer_retry};
    }
    if (now < it.pool_empty_until) {
        const duration predicted =
            it.pool_retry_after * static_cast<std::int64_t>(it.waiting.size() + 1);
        if (predicted > options.max_token_wait) {
            return token_refused{predicted};
        }
    }
    cache.customers_due.insert(caller.customer);
    if (cache.unanswered_since && now - *cache.unanswered_since >= options.max_answer_wait) {
        return token_refused{options.no_answer_retry};
    }
    it.waiting.emplace_back(caller.number, now);
    return token_pending{};
}

customer_token_requests next_token_request(token_cache& cache, const token_cache_options& options,
                                           time_point now)
{
    if (cache.pending_request_at && now - *cache.pending_request_at < options.resend_interval) {
        return {};
    }
    if (!cache.has_seen_caller && now >= cache.next_idle_request_at) {
        cache.next_idle_request_at = now + options.prefetch_lifetime / 2;
        for (const auto& [name, it] : cache.customers) {
            cache.customers_due.insert(name);
        }
    }
    const bool callers_waiting =
        std::any_of(cache.customers_due.begin(), cache.customers_due.end(), [&](const auto& name) {
            const customer_token_cache& it = cache.customers[name];
            return !it.waiting.empty() && now >= it.pool_empty_until;
        });
    if (!callers_waiting && now - cache.last_request_at < options.refill_interval) {
        return {};
    }
    const bool urgent =
        callers_waiting || cache.pending_request_at ||
        now - cache.last_request_at >= options.relaxed_refill_interval ||
        std::any_of(cache.customers_due.begin(), cache.customers_due.end(), [&](const auto& name) {
            return is_refill_urgent(cache, cache.customers[name], options, now);
        });
    if (!urgent) {
        return {};
    }
    if (cache.pending_request_at) {
        cache.customers_due.insert(cache.requested_customers.begin(),
                                   cache.requested_customers.end());
    }
    customer_token_requests requests;
    std::set<std::string> later;
    for (const std::string& name : cache.customers_due) {
        customer_token_cache& it = cache.customers[name];
        if (now < it.pool_empty_until || (it.waiting.empty() && now < it.prefetch_again_at)) {
            later.insert(name);
            continue;
        }
        discard_expired_tokens(it, now);
        requests[name] = {.waiting = static_cast<std::uint32_t>(it.waiting.size()),
                          .prefetch_target = prefetch_target(cache, it, options, now),
                          .prefetched = it.prefetched};
    }
    if (requests.empty()) {
        return {};
    }
    ++cache.request_number;
    cache.pending_request_at = now;
    cache.last_request_at = now;
    cache.customers_due = std::move(later);
    cache.requested_customers.clear();
    for (const auto& [name, it] : requests) {
        cache.requested_customers.insert(name);
    }
    if (!cache.unanswered_since) {
        cache.unanswered_since = now;
    }
    return requests;
}

std::vector<token_decision> apply_token_grants(token_cache& cache,
                                               const token_cache_options& options,
                                               std::uint64_t request_number,
                                               const customer_token_grants& grants, time_point now)
{
    if (request_number != cache.request_number || !cache.pending_request_at) {
        return {};
    }
    const time_point request_sent_at = *cache.pending_request_at;
    record_control_answer(cache, request_sent_at);
    cache.pending_request_at.reset();
    cache.unanswered_since.reset();
    std::vector<token_decision> decisions;
    for (const auto& [name, grant] : grants) {
        customer_token_cache& it = cache.customers[name];
        discard_expired_tokens(it, now);
        it.prefetched += grant.for_prefetch;
        // Control counts the tokens until later, since its time starts when the request arrives.
        it.prefetched_until = request_sent_at + options.prefetch_lifetime;
        for (std::uint32_t n = 0; n < grant.for_waiting && !it.waiting.empty(); ++n) {
            decisions.push_back({it.waiting.front().first, name, {}});
            it.waiting.pop_front();
        }
        if (grant.retry_after_ms > 0) {
            const duration wait = milliseconds(grant.retry_after_ms);
            it.pool_empty_until = now + std::min(wait, options.max_empty_backoff);
            it.pool_retry_after = wait;
            refuse_callers_without_prospect(it, options, name, wait, now, decisions);
        }
        if (grant.prefetch_incomplete) {
            it.prefetch_again_at = now + prefetch_retry_interval(cache, it, options, now);
        }
        if (grant.prefetch_incomplete || !it.waiting.empty()) {
            cache.customers_due.insert(name);
        }
    }
    return decisions;
}

std::vector<token_decision>
refuse_timed_out_callers(token_cache& cache, const token_cache_options& options, time_point now)
{
    std::vector<token_decision> decisions;
    const bool unanswered =
        cache.unanswered_since && now - *cache.unanswered_since >= options.max_answer_wait;
    for (auto& [name, it] : cache.customers) {
        const duration max_wait = unanswered ? options.max_answer_wait : options.max_token_wait;
        const duration retry_after = unanswered
                                         ? options.no_answer_retry
                                         : std::max<duration>(it.pool_retry_after, min_retry_after);
        while (!it.waiting.empty() && now - it.waiting.front().second >= max_wait) {
            decisions.push_back({it.waiting.front().first, name, retry_after});
            it.waiting.pop_front();
        }
    }
    return decisions;
}

}  // namespace balsamdrift
