#include <gtest/gtest.h>

#include "shallotlever/policy/token_bucket.h"

namespace shallotlever {
namespace {

const TeamId kTeam("t");
const TimePoint kStart(100s);

struct StopCase
{
    const char *name;
    int arrivals;
    Duration window;
};

class StoppedTraffic : public testing::TestWithParam<StopCase>
{
protected:
    /// A bucket whose last report stated the case's rate, at the returned time.
    TimePoint reportTraffic(TokenBucket &bucket)
    {
        bucket.applyShare({ kTeam, 1000, 1000, 0, true, 1 }, kStart + 1h, kStart);
        bucket.takeDemand(kTeam, kStart);
        for (int i = 0; i < GetParam().arrivals; ++i)
            bucket.countArrival();
        const TimePoint reported = kStart + GetParam().window;
        bucket.takeDemand(kTeam, reported);
        return reported;
    }
};

// Guards against a share that a stopped team keeps longer than if the bucket were polled all the
// time, because the node slept past the moment.
TEST_P(StoppedTraffic, IsReportedWhenDue)
{
    TokenBucket bucket;
    const TimePoint reported = reportTraffic(bucket);
    const TimePoint due = bucket.earlyReportDue(reported);
    ASSERT_NE(due, kNever);
    EXPECT_FALSE(bucket.needsEarlyReport(due - 1us));
    EXPECT_TRUE(bucket.needsEarlyReport(due));
    EXPECT_LE(bucket.earlyReportDue(due), due);
}

TEST_P(StoppedTraffic, ArrivalPostponesReport)
{
    TokenBucket bucket;
    const TimePoint reported = reportTraffic(bucket);
    const TimePoint due = bucket.earlyReportDue(reported);
    bucket.countArrival();
    EXPECT_GT(bucket.earlyReportDue(due), due);
    EXPECT_FALSE(bucket.needsEarlyReport(due));
}

INSTANTIATE_TEST_SUITE_P(Rates, StoppedTraffic,
                         testing::Values(StopCase { "Slow", 2, 2s }, StopCase { "Medium", 20, 1s },
                                         StopCase { "Fast", 1000, 500ms }),
                         [](const auto &info) { return info.param.name; });

// Guards against a node that wakes up for teams without traffic or without a share.
TEST(EarlyReport, IsNeverDueWithoutTrafficOrShare)
{
    TokenBucket bucket;
    EXPECT_EQ(bucket.earlyReportDue(kStart), kNever);
    bucket.applyShare({ kTeam, 1000, 1000, 0, true, 1 }, kStart + 1s, kStart);
    EXPECT_EQ(bucket.earlyReportDue(kStart), kNever);
    EXPECT_EQ(bucket.earlyReportDue(kStart + 2s), kNever);
}

} // namespace
} // namespace shallotlever
