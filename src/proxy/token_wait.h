#pragma once

#include <optional>

#include "shallotlever/policy/token_bucket.h"

namespace shallotlever {

/// Maximum wait for a rate token while the team exceeds its rate, and while it does not.
constexpr Duration kMaxOverRateWait = 150ms;
constexpr Duration kMaxInsideRateWait = 1500ms;

inline Duration tokenWaitLimit(const TokenBucket &bucket, TimePoint now)
{
    const bool inside = bucket.refusalClass(now) == RateRefusal::InsideRate;
    return inside ? kMaxInsideRateWait : kMaxOverRateWait;
}

/// Whether a statement that has no token is refused, as none comes until `limit`.
inline bool tokenComesTooLate(const TokenBucket &bucket, TimePoint now, TimePoint limit)
{
    const auto next = bucket.timeUntilToken(now);
    return now >= limit || (next && now + *next > limit) || (!next && bucket.deniedFor(now));
}

} // namespace shallotlever
