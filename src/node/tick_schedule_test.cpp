#include "tick_schedule.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const TimePoint kStart(100s);

struct PlanCase
{
    const char *name;
    /// Due time and expected wake-up, after kStart.
    Duration due;
    Duration wakeAt;
};

class TickPlan : public testing::TestWithParam<PlanCase>
{
};

// Guards against work that runs later than when it is due, and against ticks that never come.
TEST_P(TickPlan, WakesWhenWorkIsDue)
{
    TickSchedule schedule;
    ASSERT_TRUE(takeTick(schedule, kStart, kStart));
    planTick(schedule, kStart + GetParam().due, kStart);
    EXPECT_EQ(schedule.wakeAt, kStart + GetParam().wakeAt);
}

INSTANTIATE_TEST_SUITE_P(DueTimes, TickPlan,
                         testing::Values(PlanCase { "Overdue", -1s, kMinTickInterval },
                                         PlanCase { "AtOnce", 0s, kMinTickInterval },
                                         PlanCase { "Soon", 30ms, 30ms },
                                         PlanCase { "Late", 500ms, kMaxTickWait }),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(TickSchedule, NothingDueIsReadAgainAfterMaximumWait)
{
    TickSchedule schedule;
    planTick(schedule, kNever, kStart);
    EXPECT_EQ(schedule.wakeAt, kStart + kMaxTickWait);
    EXPECT_FALSE(takeTick(schedule, kNever, schedule.wakeAt));
}

// Guards against an event whose consequences wait for a time that was planned before it.
TEST(TickSchedule, EventSoonAfterPlanIsSeenWithinMinimumInterval)
{
    TickSchedule schedule;
    planTick(schedule, kNever, kStart);
    EXPECT_FALSE(mayPlan(schedule, kStart + kMinPlanInterval - 1us));
    noteUnplannedEvent(schedule);
    EXPECT_EQ(schedule.wakeAt, kStart + kMinTickInterval);
    EXPECT_TRUE(mayPlan(schedule, kStart + kMinPlanInterval));
}

// Guards against two ticks in a row when work stays due.
TEST(TickSchedule, TicksAreMinimumIntervalApart)
{
    TickSchedule schedule;
    ASSERT_TRUE(takeTick(schedule, kStart, kStart));
    EXPECT_FALSE(takeTick(schedule, kStart, kStart + kMinTickInterval - 1us));
    EXPECT_TRUE(takeTick(schedule, kStart, kStart + kMinTickInterval));
}

struct DelayCase
{
    const char *name;
    Duration late;
    std::optional<Duration> logged;
};

class TickDelay : public testing::TestWithParam<DelayCase>
{
};

// Guards against a thread that stands still without a trace, and against a line for each tick.
TEST_P(TickDelay, LongDelayIsLogged)
{
    EXPECT_EQ(loggedDelay(kStart, kStart + GetParam().late), GetParam().logged);
}

INSTANTIATE_TEST_SUITE_P(Delays, TickDelay,
                         testing::Values(DelayCase { "Early", -1s, std::nullopt },
                                         DelayCase { "Usual", 15ms, std::nullopt },
                                         DelayCase { "Long", kLoggedDelay, kLoggedDelay },
                                         DelayCase { "Stall", 3s, 3s }),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace shallotlever
