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

/// Settings of an entry's token cache.
struct token_cache_options {
    /// The prefetched tokens cover the usual demand for this long without control.
    duration prefetch_duration = milliseconds(2500);
    /// Prefetched tokens are discarded this long after the newest answered request was sent.
    /// Control counts them for at least as long, since its time starts when the request arrives.
    duration prefetch_lifetime = seconds(5);
    /// An unanswered request is sent again after this time, which covers several round trips
    /// between regions.
    duration resend_interval = milliseconds(150);
    /// Minimum time between requests that only refill prefetched tokens. Each request covers all
    /// customers that are due.
    duration refill_interval = milliseconds(100);
    /// The same while enough tokens of all customers are left. The tokens used in this time are a
    /// sixth of what `prefetch_duration` covers.
    duration relaxed_refill_interval = milliseconds(400);
    /// Callers are refused when control has left their request unanswered for this long, which
    /// covers two requests.
    duration max_answer_wait = milliseconds(300);
    /// A caller waits for a token that is predicted to come within this time of its arrival, and is
    /// refused otherwise. After a loss of all processes the callers of a second or two return at
    /// once, and the rate serves most of them within this time.
    duration max_token_wait = milliseconds(500);
    /// Retry delay for callers that are refused because control did not answer, about the length of
    /// an election.
    duration no_answer_retry = milliseconds(500);
    /// An entry without an answer from control for this long is isolated and uses an even share of
    /// each rate. Control has stopped granting that share to others by then: see
    /// `token_pool_options::contact_timeout`.
    duration isolation_timeout = milliseconds(900);
    /// While control has no tokens for a customer, the entry waits at most this long before it
    /// requests tokens for that customer again.
    duration max_empty_backoff = milliseconds(100);
    /// Time constant of the exponential average of demand.
    duration demand_time_constant = seconds(3);
};

/// An entry's tokens of one customer.
struct customer_token_cache {
    /// The customer's limits over all entries.
    bucket_limits limits{.rate = 0, .burst = 0};
    /// Tokens for future callers, valid until `prefetched_until`.
    std::uint32_t prefetched = 0;
    time_point prefetched_until{};
    /// Control could not grant all that the entry may prefetch. While no caller waits, the entry
    /// requests no more before this time.
    time_point prefetch_again_at{};
    /// Control had no tokens left. The entry requests none before this time.
    time_point pool_empty_until{};
    /// Predicted time from one token to the next when control reported that it had none left.
    duration pool_retry_after{};
    /// Operations admitted from the entry's own share of the rate since it became isolated.
    double isolated_share_used = 0;
    /// Number of operations up to `decayed_at`, each with a weight that decays exponentially.
    double decayed_operations = 0;
    time_point decayed_at{};
    /// When the customer's first operation arrived.
    time_point first_operation_at{};
    /// Callers that wait for a token, oldest first, with their time of arrival.
    std::deque<std::pair<std::uint64_t, time_point>> waiting;
};

/// An entry's tokens of all customers. Prefetched tokens admit operations while control does not
/// answer.
struct token_cache {
    std::map<std::string, customer_token_cache> customers;
    /// Customers to include in the next request to control.
    std::set<std::string> customers_due;
    /// When the newest request was sent.
    time_point last_request_at{};
    /// Number of the newest request. Answers to earlier requests are ignored.
    std::uint64_t request_number = 0;
    /// When the newest request was sent, while it has no answer.
    std::optional<time_point> pending_request_at;
    /// Customers that the newest request includes.
    std::set<std::string> requested_customers;
    /// When the oldest unanswered request was sent.
    std::optional<time_point> unanswered_since;
    /// When the newest answered request, of any kind, was sent.
    time_point last_answered_at{};
    /// Entries that may serve callers, this one included.
    std::uint32_t entry_count = 1;
    /// True once a caller has arrived. Before that, an even share of each rate is taken as demand.
    bool has_seen_caller = false;
    /// When prefetched tokens are next renewed before the first caller has arrived.
    time_point next_idle_request_at{};
};

/// Sets a customer's limits. If they differ from before, its prefetched tokens are discarded.
void set_customer_limits(token_cache& cache, const std::string& customer,
                         const bucket_limits& limits);

/// Records that control answered a request of any kind that was sent at `sent_at`.
void record_control_answer(token_cache& cache, time_point sent_at);

/// True if control has not answered for the isolation timeout. The entry then uses its own share of
/// the rates. False before control's first answer.
bool is_isolated(const token_cache& cache, const token_cache_options& options, time_point now);

/// The caller waits until control has answered.
struct token_pending {};

/// A caller that requests a token for an operation.
struct token_caller {
    std::uint64_t number = 0;
    std::string customer;
    /// False once the entry's lease has run out, since other entries may then use its share of the
    /// rate.
    bool may_use_isolated_share = true;
};

/// Takes a token of the customer for a caller, queues the caller until control answers, or refuses.
std::variant<token_taken, token_pending, token_refused>
take_token(token_cache& cache, const token_cache_options& options, const token_caller& caller,
           time_point now);

/// Returns the next request to control, whose number is then `cache.request_number`. Empty if no
/// request is due.
customer_token_requests next_token_request(token_cache& cache, const token_cache_options& options,
                                           time_point now);

/// The result for a caller that waited for a token.
struct token_decision {
    std::uint64_t caller = 0;
    std::string customer;
    /// Retry delay of a caller that got no token. Not set if it got one.
    std::optional<duration> retry_after;
};

/// Applies control's answer to the request of the given number and returns the results for waiting
/// callers. Ignores answers to earlier requests.
std::vector<token_decision> apply_token_grants(token_cache& cache,
                                               const token_cache_options& options,
                                               std::uint64_t request_number,
                                               const customer_token_grants& grants, time_point now);

/// Refuses callers whose request control left unanswered, and those that waited for a token for
/// longer than was predicted.
std::vector<token_decision>
refuse_timed_out_callers(token_cache& cache, const token_cache_options& options, time_point now);

}  // namespace balsamdrift
