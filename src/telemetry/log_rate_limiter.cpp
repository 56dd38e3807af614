#include "shallotlever/telemetry/log_rate_limiter.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// Tokens that are kept for more important lines.
double reservedTokens(LogTopic topic)
{
    switch (topic) {
    case LogTopic::Failure:
        return 0;
    case LogTopic::Retry:
        return kLogLineBurst / 2;
    case LogTopic::Preparation:
        return kLogLineBurst * 3 / 4;
    }
    return 0;
}

} // namespace

bool acquireLogToken(LogRateLimiter &limiter, LogTopic topic, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - limiter.refilledAt).count();
    limiter.tokens = std::min(kLogLineBurst, limiter.tokens + elapsed * kLogLinesPerSecond);
    limiter.refilledAt = now;
    if (limiter.tokens < reservedTokens(topic) + 1) {
        ++limiter.suppressed;
        return false;
    }
    limiter.tokens -= 1;
    return true;
}

} // namespace shallotlever
