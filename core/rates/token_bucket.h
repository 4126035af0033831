#pragma once

#include <cstdint>
#include <variant>

#include "base/time.h"

namespace balsamdrift {

/// Limits of a token bucket.
struct bucket_limits {
    /// Tokens per second.
    double rate = 1;
    /// Largest number of tokens that the bucket holds.
    double burst = 1;

    bool operator==(const bucket_limits&) const = default;
};

/// A token bucket that is refilled at a constant rate. The owner of a customer's shard holds the
/// only bucket of that customer, so that its admissions over all VMs never exceed rate and burst.
struct token_bucket {
    bucket_limits limits;
    double tokens = 0;
    time_point refilled_at{};
};

/// Returns an empty bucket, for when all tokens up to `now` are presumed spent, such as after the
/// loss of an owner.
token_bucket make_empty_bucket(const bucket_limits& limits, time_point now);

/// Returns a full bucket, for a customer that never had an owner.
token_bucket make_full_bucket(const bucket_limits& limits, time_point now);

/// Changes the limits from `now` on. Tokens above the new burst are discarded.
void change_limits(token_bucket& bucket, const bucket_limits& limits, time_point now);

/// Refills the bucket and returns the number of available tokens.
double available_tokens(token_bucket& bucket, time_point now);

/// Result: a token was taken.
struct token_taken {};

/// Result: no token was available.
struct token_refused {
    /// Time until the next token is available, unless another caller takes it first.
    duration retry_after{};
};

/// Takes up to `wanted` tokens at once, each only while more than `min_level` are available.
/// Returns how many it took.
std::uint32_t take_tokens_above(token_bucket& bucket, std::uint32_t wanted, double min_level,
                                time_point now);

/// Takes one token, or returns the time until one is available.
std::variant<token_taken, token_refused> take_token(token_bucket& bucket, time_point now);

}  // namespace balsamdrift
