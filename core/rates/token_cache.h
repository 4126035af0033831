#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "core/rates/token_pool.h"

namespace balsamdrift {

/// Settings of what an entry keeps of customers' tokens.
struct token_cache_options {
    /// Tokens are kept for this long a time without control, at the usual demand.
    duration spare_span = milliseconds(2500);
    /// Kept tokens are dropped this long after control last confirmed them. Control forgets them
    /// no sooner, since it counts from when it heard the question.
    duration spare_lifetime = seconds(5);
    /// A question without an answer is asked again after this: several round trips between regions.
    duration ask_again = milliseconds(150);
    /// What entries keep is filled up in questions this far apart, for all customers together.
    duration refill_pause = milliseconds(100);
    /// A caller waits this long for a token at most; control then has not answered two questions.
    duration patience = milliseconds(300);
    /// Callers that control was too silent for come back after this: an election takes about that.
    duration silent_retry = milliseconds(500);
    /// Without an answer of control for this long an entry lives on an even part of each rate.
    /// Control has stopped to give that part to others by then: see token_pool_options.
    duration alone_after = milliseconds(900);
    /// While control has no tokens of a customer, it is asked again this often at most.
    duration most_empty_span = milliseconds(100);
    /// Demand is averaged over this span.
    duration demand_span = seconds(3);
};

/// What an entry has of one customer's tokens.
struct customer_token_cache {
    /// The customer's limits, over all entries.
    bucket_limits limits{.rate = 0, .burst = 0};
    std::uint32_t spare = 0;
    time_point spare_until{};
    /// Control had no token left; it is not asked again before this.
    time_point empty_until{};
    /// When control expected the next token, from when it said so.
    duration empty_wait{};
    /// Operations that were admitted out of the entry's own part since it is alone.
    double alone_used = 0;
    /// Operations lately, each weighing less as it ages, as of `demand_at`.
    double recent = 0;
    time_point demand_at{};
    /// When the customer was first seen.
    time_point first_at{};
    /// Callers that wait for a token, first come, first served.
    std::deque<std::pair<std::uint64_t, time_point>> waiting;
};

/// An entry's tokens of all customers. Without an answer of control it lives on what it kept.
struct token_cache {
    std::map<std::string, customer_token_cache> customers;
    /// Customers of which control is to be asked next.
    std::set<std::string> due;
    /// When control was asked last.
    time_point last_asked_at{};
    /// The newest question; answers to earlier ones are void.
    std::uint64_t request_number = 0;
    /// When it was sent, while it has no answer.
    std::optional<time_point> asked_at;
    /// Customers that it was about.
    std::set<std::string> asked;
    /// Since when control has not answered, if it was asked.
    std::optional<time_point> silent_since;
    /// Control answered a question, of whatever kind, that was sent at this time.
    time_point answered_at{};
    /// Entries that may serve callers, this one included.
    std::uint32_t entry_count = 1;
    /// True since the first caller came. Before, an even part of each rate is taken for the demand.
    bool busy = false;
    /// When control is asked again for what is kept before the first caller.
    time_point idle_ask_at{};
};

/// Notes a customer's limits. What was kept under others is dropped.
void set_customer_limits(token_cache& stock, const std::string& customer,
                         const bucket_limits& limits);

/// Notes that control answered a question that was sent at this time.
void record_control_answer(token_cache& stock, time_point sent_at);

/// True while the entry lives on its part of the rates.
bool is_isolated(const token_cache& stock, const token_cache_options& options, time_point now);

/// The caller waits until control has answered.
struct token_pending {};

/// A caller that wants to begin an operation.
struct token_caller {
    std::uint64_t number = 0;
    std::string customer;
    /// False once the entry's lease has run out: others may have got its part of the rate.
    bool may_use_isolated_share = true;
};

/// Takes a token of the customer for a caller, lets the caller wait for one, or refuses.
std::variant<token_taken, token_pending, token_refused>
take_token(token_cache& stock, const token_cache_options& options, const token_caller& caller,
           time_point now);

/// The next question to control, numbered by `stock.request_number`; empty while there is none to
/// ask.
customer_token_requests next_token_request(token_cache& stock, const token_cache_options& options,
                                           time_point now);

/// What became of a caller that waited.
struct token_decision {
    std::uint64_t caller = 0;
    std::string customer;
    /// When to come back, for a caller that got no token.
    std::optional<duration> retry_after;
};

/// Takes over control's answer and says which callers go on.
std::vector<token_decision> apply_token_grants(token_cache& stock,
                                               const token_cache_options& options,
                                               std::uint64_t request_number,
                                               const customer_token_grants& shares, time_point now);

/// Refuses callers that have waited too long.
std::vector<token_decision>
refuse_timed_out_callers(token_cache& stock, const token_cache_options& options, time_point now);

}  // namespace balsamdrift
