#include "shallotlever/telemetry/line_budget.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

int taken(LineBudget &budget, LineTopic topic, TimePoint from, Duration length)
{
    int lines = 0;
    for (TimePoint now = from; now < from + length; now += 1ms)
        lines += takeLine(budget, topic, now) ? 1 : 0;
    return lines;
}

// Guards against logs whose volume grows with the number of failures, and against failures that
// leave no line because retries used the budget.
TEST(LineBudget, BoundsLinesAndKeepsAHalfForFailures)
{
    LineBudget budget;
    const TimePoint start(100s);
    budget.filledAt = start;
    const int retries = taken(budget, LineTopic::Retry, start, 10s);
    EXPECT_LE(retries, kLinesAtOnce / 2 + 10 * kLinesPerSecond);
    EXPECT_EQ(budget.suppressed, static_cast<std::uint64_t>(10'000 - retries));
    EXPECT_EQ(taken(budget, LineTopic::Failure, start + 10s, 100ms), 100);
}

} // namespace
} // namespace shallotlever
