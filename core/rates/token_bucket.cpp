#include "core/rates/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace balsamdrift {
namespace {

void refill(token_bucket& bucket, time_point now)
{
    if (now <= bucket.refilled_at) {
        return;
    }
    const double elapsed = float_seconds(now - bucket.refilled_at).count();
    bucket.tokens = std::min(bucket.limits.burst, bucket.tokens + elapsed * bucket.limits.rate);
    bucket.refilled_at = now;
}

}  // namespace

token_bucket make_empty_bucket(const bucket_limits& limits, time_point now)
{
    return {.limits = limits, .tokens = 0, .refilled_at = now};
}

token_bucket make_full_bucket(const bucket_limits& limits, time_point now)
{
    return {.limits = limits, .tokens = limits.burst, .refilled_at = now};
}

void change_limits(token_bucket& bucket, const bucket_limits& limits, time_point now)
{
    refill(bucket, now);
    bucket.limits = limits;
    bucket.tokens = std::min(bucket.tokens, limits.burst);
}

double available_tokens(token_bucket& bucket, time_point now)
{
    refill(bucket, now);
    return bucket.tokens;
}

std::uint32_t take_tokens_above(token_bucket& bucket, std::uint32_t wanted, double min_level,
                                time_point now)
{
    refill(bucket, now);
    const double above = std::ceil(bucket.tokens - min_level);
    const double whole = std::floor(bucket.tokens);
    const double taken = std::clamp(std::min(above, whole), 0.0, static_cast<double>(wanted));
    bucket.tokens -= taken;
    return static_cast<std::uint32_t>(taken);
}

std::variant<token_taken, token_refused> take_token(token_bucket& bucket, time_point now)
{
    refill(bucket, now);
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return token_taken{};
    }
    const float_seconds wait((1 - bucket.tokens) / bucket.limits.rate);
    return token_refused{std::chrono::ceil<duration>(wait)};
}

}  // namespace balsamdrift
