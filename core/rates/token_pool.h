#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/rates/token_bucket.h"

namespace balsamdrift {

/// Tokens of one customer that an entry asks for. A token admits one operation.
struct customer_token_request {
    /// For callers that wait now.
    std::uint32_t waiting = 0;
    /// The most that the entry would keep for callers to come.
    std::uint32_t spare = 0;
    /// Kept by the entry already.
    std::uint32_t held = 0;
    MSGPACK_DEFINE(waiting, spare, held)
};

/// What an entry gets of one customer's tokens.
struct customer_token_grant {
    std::uint32_t waiting = 0;
    std::uint32_t spare = 0;
    /// When the next token is there, for callers that got none; zero when all got one.
    std::int64_t retry_after_ms = 0;
    /// True when the entry may keep more than there was; it asks again for the rest.
    bool more = false;
    MSGPACK_DEFINE(waiting, spare, retry_after_ms, more)
};

/// What control says of one customer's tokens in an answer.
using customer_token_requests = std::map<std::string, customer_token_request>;
using customer_token_grants = std::map<std::string, customer_token_grant>;

/// Settings of the division of customers' rates.
struct token_pool_options {
    /// Operations are counted over any span of this length.
    duration window = seconds(5);
    /// Part by which the operations of a window may go beyond the customer's limit.
    double overage = 0;
    /// Operations by which they may go beyond it in addition.
    double slack = 0;
    /// Part of what a window allows beyond the rate that is used; the rest covers clocks that run
    /// unevenly.
    double used_part = 0.9;
    /// Part of it that entries may keep between them; the rest is the burst of the pool.
    double spare_part = 0.9;
    /// An entry that was not heard for this long may already live on its part of the rate. It
    /// begins to only after a longer time (token_cache_options::alone_after), on its own clock.
    duration heard_within = milliseconds(600);
    /// An entry drops what it kept for this long without asking.
    duration spare_lifetime = seconds(5);
};

/// What one entry may still keep.
struct kept_tokens {
    std::uint32_t count = 0;
    /// How much the entry asked to keep: what it usually needs.
    std::uint32_t wanted = 0;
    time_point until{};
};

/// The tokens of one customer.
struct customer_tokens {
    token_bucket bucket;
    std::map<std::string, kept_tokens> kept;
};

/// The rates of all customers, as the leader of control divides them among entries. In any window,
/// what entries use is at most what they kept at its beginning and what the pool gave since, so
/// the customer's limit holds whatever is lost on the way. A new leader starts with empty buckets:
/// what an earlier leader gave is presumed used.
struct token_pool {
    std::map<std::string, customer_tokens> customers;
    /// Entries may still keep what an earlier leader gave, for `spare_lifetime` from then.
    time_point leading_since{};
    /// When each entry was last heard with control's answers reaching it.
    std::map<std::string, time_point> heard;
    /// Part of each rate that the pool gives out; the rest is used by entries that are cut off.
    double part = 1;
};

/// Notes that an entry was heard. `alone` says that it lives on its part of the rates, because
/// control's answers do not reach it.
void record_entry_contact(token_pool& pool, const std::string& entry, bool alone, time_point now);

/// Works out which part of the rates the pool gives out: that of the registered entries that are
/// in touch. Each of the others may use an even part of every rate.
void update_granted_fraction(token_pool& pool, const token_pool_options& options,
                             const std::vector<std::string>& registered, time_point now);

/// Operations of a window beyond the customer's rate that the pool and the entries may hold.
double window_reserve(const token_pool_options& options, const bucket_limits& limits);

/// Gives an entry tokens of one customer. Callers that wait go before what entries keep.
customer_token_grant grant_tokens(token_pool& pool, const token_pool_options& options,
                                  const std::string& customer, const bucket_limits& limits,
                                  const std::string& entry, const customer_token_request& ask,
                                  time_point now);

/// Frees what an entry kept that has ended for certain.
void remove_entry_tokens(token_pool& pool, const std::string& entry);

}  // namespace balsamdrift
