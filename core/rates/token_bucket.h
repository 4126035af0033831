#pragma once

#include <variant>

#include "base/time.h"

namespace balsamdrift {

/// Limits of one bucket.
struct bucket_limits {
    /// Tokens per second.
    double rate = 1;
    /// Most tokens the bucket holds.
    double burst = 1;

    bool operator==(const bucket_limits&) const = default;
};

/// A token bucket. The owner of a customer's shard holds the only bucket of that customer, so its
/// admissions over all VMs never exceed the rate and burst.
struct token_bucket {
    bucket_limits limits;
    double tokens = 0;
    time_point filled_at{};
};

/// A bucket that presumes every token up to `now` spent: the state after an owner was lost.
token_bucket make_empty_bucket(const bucket_limits& limits, time_point now);

/// A bucket that is full: the state of a customer that never had an owner.
token_bucket make_full_bucket(const bucket_limits& limits, time_point now);

/// Puts changed limits in force; tokens above the new burst are dropped.
void change_limits(token_bucket& bucket, const bucket_limits& limits, time_point now);

/// Tokens that are there now.
double tokens_left(token_bucket& bucket, time_point now);

/// One token was taken.
struct token_taken {};

/// No token was left.
struct token_refused {
    /// When the next token is there, if nobody else takes it.
    duration retry_after{};
};

/// Takes one token, or says when one would be there.
std::variant<token_taken, token_refused> take_token(token_bucket& bucket, time_point now);

}  // namespace balsamdrift
