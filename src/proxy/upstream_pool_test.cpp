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

} // namespace
} // namespace shallotlever
