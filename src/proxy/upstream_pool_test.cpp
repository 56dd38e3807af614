#include "upstream_pool.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const TimePoint kStart(100s);

struct TimeoutCase
{
    const char *name;
    /// How long before the timeouts the database responded to another request.
    Duration responseAge;
    std::uint32_t timeouts;
    bool reachable;
};

class PoolTimeout : public testing::TestWithParam<TimeoutCase>
{
protected:
    SessionProtocol m_protocol {};
    UpstreamPool m_pool { m_protocol,
                          UpstreamInfo(),
                          { [](const HistoryPoint &, TimePoint) {}, [](bool) {},
                            [](LinkOpenFailure, const std::string &, Duration) {} } };
};

// Guards against a busy database that is taken for a dead one because statements run out of time,
// and against a dead one that is taken for busy.
TEST_P(PoolTimeout, ShowsAFailureOnlyIfNothingElseIsAnswered)
{
    const TimeoutCase &c = GetParam();
    m_pool.recordResponse(20ms, kStart);
    for (std::uint32_t i = 0; i < c.timeouts; ++i)
        m_pool.recordTimeout(kStart + c.responseAge);
    EXPECT_EQ(m_pool.load().reachable, c.reachable);
}

INSTANTIATE_TEST_SUITE_P(
    Ages, PoolTimeout,
    testing::Values(TimeoutCase { "Busy", 100ms, 5, true },
                    TimeoutCase { "SilentOnce", 400ms, kTimeoutsUntilUnreachable - 1, true },
                    TimeoutCase { "Silent", 400ms, kTimeoutsUntilUnreachable, false }),
    [](const auto &info) { return info.param.name; });

struct PoolDeadlineCase
{
    const char *name;
    Duration timeLeft;
    /// Time until the pool's tick at which the statement is refused; nullopt: at once.
    std::optional<Duration> refusedAfter;
};

class PoolDeadline : public testing::TestWithParam<PoolDeadlineCase>
{
protected:
    SessionProtocol m_protocol {};
    UpstreamPool m_pool { m_protocol,
                          UpstreamInfo(),
                          { [](const HistoryPoint &, TimePoint) {}, [](bool) {},
                            [](LinkOpenFailure, const std::string &, Duration) {} } };
    std::optional<LinkResult> m_result;
};

// Guards against a statement that waits for a connection until its deadline has passed.
TEST_P(PoolDeadline, RefusesWhatCannotFinishInTime)
{
    const PoolDeadlineCase &c = GetParam();
    m_pool.recordCost({}, 50ms);
    m_pool.acquire(
        { { .deadline = kStart + c.timeLeft }, {} },
        [this](const LinkResult &result) { m_result = result; }, kStart);
    EXPECT_EQ(m_result.has_value(), !c.refusedAfter.has_value());
    if (c.refusedAfter) {
        m_pool.tick(kStart + *c.refusedAfter - 1ms);
        EXPECT_FALSE(m_result);
        m_pool.tick(kStart + *c.refusedAfter + 1ms);
    }
    EXPECT_EQ(m_result, LinkResult(LinkAcquireFailure::DeadlineTooShort));
    EXPECT_EQ(m_pool.occupancy(kStart).waiting, 0U);
}

INSTANTIATE_TEST_SUITE_P(Times, PoolDeadline,
                         testing::Values(PoolDeadlineCase { "TooShort", 40ms, std::nullopt },
                                         PoolDeadlineCase { "WaitsTooLong", 200ms, 150ms }),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
