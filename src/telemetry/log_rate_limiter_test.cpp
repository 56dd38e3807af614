#include "shallotlever/telemetry/log_rate_limiter.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

int countLoggedLines(LogRateLimiter &limiter, LogTopic topic, TimePoint start, Duration length)
{
    int lines = 0;
    for (TimePoint now = start; now < start + length; now += 1ms)
        lines += acquireLogToken(limiter, topic, now) ? 1 : 0;
    return lines;
}

// Guards against logs whose volume grows with the number of failures, and against failures that
// are not logged because retries used up all tokens.
TEST(LogRateLimiter, LimitsRateAndReservesHalfForFailures)
{
    LogRateLimiter limiter;
    const TimePoint start(100s);
    limiter.refilledAt = start;
    const int retries = countLoggedLines(limiter, LogTopic::Retry, start, 10s);
    EXPECT_LE(retries, kLogLineBurst / 2 + 10 * kLogLinesPerSecond);
    EXPECT_EQ(limiter.suppressed, static_cast<std::uint64_t>(10'000 - retries));
    EXPECT_EQ(countLoggedLines(limiter, LogTopic::Failure, start + 10s, 100ms), 100);
}

} // namespace
} // namespace shallotlever
