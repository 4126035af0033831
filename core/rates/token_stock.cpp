#include "core/rates/token_stock.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamdrift {
namespace {

using float_seconds = std::chrono::duration<double>;

double decayed_demand(const customer_stock& it, const token_stock_options& options, time_point now)
{
    const float_seconds passed = now - it.demand_at;
    return it.demand * std::exp(-passed / float_seconds(options.demand_span));
}

void note_demand(customer_stock& it, const token_stock_options& options, time_point now)
{
    it.demand = decayed_demand(it, options, now) + 1 / float_seconds(options.demand_span).count();
    it.demand_at = now;
}

std::uint32_t spare_target(const customer_stock& it, const token_stock_options& options,
                           time_point now)
{
    const double needed =
        decayed_demand(it, options, now) * float_seconds(options.spare_span).count();
    return static_cast<std::uint32_t>(std::ceil(needed));
}

void drop_expired(customer_stock& it, time_point now)
{
    if (now >= it.spare_until) {
        it.spare = 0;
    }
}

}  // namespace

std::variant<token_taken, token_awaited, token_refused>
take_token(token_stock& stock, const token_stock_options& options, const std::string& customer,
           std::uint64_t caller, time_point now)
{
    customer_stock& it = stock.customers[customer];
    note_demand(it, options, now);
    drop_expired(it, now);
    if (it.spare > 0) {
        --it.spare;
        stock.due.insert(customer);
        return token_taken{};
    }
    if (now < it.empty_until) {
        return token_refused{it.empty_wait};
    }
    stock.due.insert(customer);
    if (stock.silent_since && now - *stock.silent_since >= options.patience) {
        return token_refused{options.silent_retry};
    }
    it.waiting.emplace_back(caller, now);
    return token_awaited{};
}

token_asks next_question(token_stock& stock, const token_stock_options& options, time_point now)
{
    if (stock.asked_at && now - *stock.asked_at < options.ask_again) {
        return {};
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
    token_asks all;
    for (const std::string& name : stock.due) {
        customer_stock& it = stock.customers[name];
        drop_expired(it, now);
        all[name] = {.waiting = static_cast<std::uint32_t>(it.waiting.size()),
                     .spare = spare_target(it, options, now),
                     .held = it.spare};
    }
    if (all.empty()) {
        return {};
    }
    ++stock.question;
    stock.asked_at = now;
    stock.last_asked_at = now;
    stock.asked = std::exchange(stock.due, {});
    if (!stock.silent_since) {
        stock.silent_since = now;
    }
    return all;
}

std::vector<token_decision> adopt_answer(token_stock& stock, const token_stock_options& options,
                                         std::uint64_t question, const token_shares& shares,
                                         time_point now)
{
    if (question != stock.question || !stock.asked_at) {
        return {};
    }
    const time_point asked_at = *stock.asked_at;
    stock.asked_at.reset();
    stock.silent_since.reset();
    std::vector<token_decision> decided;
    for (const auto& [name, share] : shares) {
        customer_stock& it = stock.customers[name];
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

std::vector<token_decision> refuse_overdue(token_stock& stock, const token_stock_options& options,
                                           time_point now)
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

void drop_spare(token_stock& stock, const std::string& customer)
{
    const auto it = stock.customers.find(customer);
    if (it != stock.customers.end()) {
        it->second.spare = 0;
    }
}

}  // namespace balsamdrift
