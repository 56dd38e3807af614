#include "shallotlever/telemetry/log_rate_limiter.h"

#include <algorithm>

namespace shallotlever {

bool acquireLogToken(LogRateLimiter &limiter, LogTopic topic, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - limiter.refilledAt).count();
    limiter.tokens = std::min(kLogLineBurst, limiter.tokens + elapsed * kLogLinesPerSecond);
    limiter.refilledAt = now;
    const double reserved = topic == LogTopic::Failure ? 0 : kLogLineBurst / 2;
    if (limiter.tokens < reserved + 1) {
        ++limiter.suppressed;
        return false;
    }
    limiter.tokens -= 1;
    return true;
}

} // namespace shallotlever
