#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/rates/restart_reserve.h"
#include "core/rates/token_bucket.h"

namespace balsamdrift {

/// Tokens of one customer that an entry requests. A token admits one operation.
struct customer_token_request {
    /// Number of callers that are waiting for a token.
    std::uint32_t waiting = 0;
    /// Number of tokens that the entry would like to hold for future callers.
    std::uint32_t prefetch_target = 0;
    /// Number of tokens that the entry already holds for future callers.
    std::uint32_t prefetched = 0;
    MSGPACK_DEFINE(waiting, prefetch_target, prefetched)
};

/// Tokens of one customer that control grants to an entry.
struct customer_token_grant {
    /// Tokens for callers that are waiting.
    std::uint32_t for_waiting = 0;
    /// Tokens that the entry holds for future callers.
    std::uint32_t for_prefetch = 0;
    /// Predicted time until the first of the callers that got none gets a token, and from each of
    /// them to the next. Zero if all got one.
    std::int64_t retry_after_ms = 0;
    /// True if the entry may prefetch more than was available now; it requests the rest again.
    bool prefetch_incomplete = false;
    MSGPACK_DEFINE(for_waiting, for_prefetch, retry_after_ms, prefetch_incomplete)
};

/// Token requests and grants by customer.
using customer_token_requests = std::map<std::string, customer_token_request>;
using customer_token_grants = std::map<std::string, customer_token_grant>;

/// Settings that control uses to divide customers' rates among entries.
struct token_pool_options {
    /// The limit applies to the operations in any time window of this length.
    duration window = seconds(5);
    /// Fraction by which the operations in a window may exceed the customer's limit.
    double overage = 0;
    /// Number of operations by which they may exceed it in addition.
    double slack = 0;
    /// Fraction of the headroom of a window that is used. The rest allows for clocks that run at
    /// different speeds.
    double usable_fraction = 0.9;
    /// Fraction of the usable headroom that all entries together may prefetch. The rest is the
    /// burst of the pool's own bucket.
    double prefetch_fraction = 0.9;
    /// The part of the usable headroom that is kept for a new leader.
    restart_reserve_options reserve;
    /// The pool stops granting the share of an entry that was not in contact for this long, because
    /// the entry may be isolated and use that share itself. The entry starts to do so only after
    /// the longer `token_cache_options::isolation_timeout`, measured on its own clock.
    duration contact_timeout = milliseconds(600);
    /// An entry discards prefetched tokens if it has not requested tokens for this long.
    duration prefetch_lifetime = seconds(5);
    /// An entry that did not ask again for this long has no callers waiting any more.
    duration waiting_lifetime = milliseconds(300);
    /// Interval between looks at all entries: at which of them are in contact, and at which of them
    /// hold expired tokens. Far below the difference between `contact_timeout` and
    /// `token_cache_options::isolation_timeout`.
    duration sweep_interval = milliseconds(20);
};

/// Prefetched tokens of one customer that one entry may still hold.
struct entry_prefetch {
    std::uint32_t count = 0;
    /// The entry's `prefetch_target`, which reflects its usual demand.
    std::uint32_t target = 0;
    time_point expires_at{};
};

/// Callers of one entry that wait for tokens of one customer.
struct entry_waiting {
    std::uint32_t count = 0;
    time_point expires_at{};
};

/// The tokens of one customer.
struct customer_tokens {
    token_bucket bucket;
    std::map<std::string, entry_prefetch> prefetched;
    /// Sums of `count` and `target` over `prefetched`, so that the work for a request does not grow
    /// with the number of entries.
    std::uint64_t total_count = 0;
    std::uint64_t total_target = 0;
    /// Entries whose callers did not all get a token, and the sum of their counts.
    std::map<std::string, entry_waiting> waiting;
    std::uint64_t total_waiting = 0;
    /// Tokens of the restart reserve that this leader granted.
    double reserve_used = 0;
    /// When expired tokens and waiting callers are next removed.
    time_point next_sweep_at{};
};

/// The rates of all customers, as the leader of control divides them among entries. In any window
/// the entries use at most the tokens that they had prefetched at its beginning and those granted
/// since, so the customer's limit holds whichever messages are lost. A new leader starts with empty
/// buckets, because all tokens granted by earlier leaders are presumed used, and with the restart
/// reserve, which none of them granted.
struct token_pool {
    std::map<std::string, customer_tokens> customers;
    /// When this leader began to lead. Entries may hold tokens that an earlier leader granted until
    /// `prefetch_lifetime` after this.
    time_point leading_since{};
    /// True while waiting callers may get tokens of the restart reserve.
    bool reserve_usable = false;
    /// When each entry that receives control's answers was last in contact with control.
    std::map<std::string, time_point> last_contact;
    /// Fraction of each rate that the pool grants. The rest is used by isolated entries.
    double granted_fraction = 1;
    /// When `granted_fraction` must be updated before the next grant.
    time_point granted_fraction_due_at{};
};

/// Records that an entry contacted control. `isolated` means that the entry does not receive
/// control's answers and uses its own share of the rates.
void record_entry_contact(token_pool& pool, const std::string& entry, bool isolated,
                          time_point now);

/// True if update_granted_fraction() must be called before tokens are granted.
bool is_granted_fraction_due(const token_pool& pool, time_point now);

/// Sets the fraction of each rate that the pool grants to the fraction of registered entries that
/// are in contact. Each of the other entries may use an even share of every rate.
void update_granted_fraction(token_pool& pool, const token_pool_options& options,
                             const std::vector<std::string>& registered, time_point now);

/// Number of operations beyond the customer's rate that are allowed in a window, and that the
/// pool's bucket, the prefetched tokens and the restart reserve may therefore hold together.
double window_headroom(const token_pool_options& options, const bucket_limits& limits);

/// Grants an entry tokens of one customer. Waiting callers take precedence over prefetching.
customer_token_grant grant_tokens(token_pool& pool, const token_pool_options& options,
                                  const std::string& customer, const bucket_limits& limits,
                                  const std::string& entry, const customer_token_request& request,
                                  time_point now);

/// Frees the prefetched tokens of an entry that is known to have ended.
void remove_entry_tokens(token_pool& pool, const std::string& entry);

}  // namespace balsamdrift
