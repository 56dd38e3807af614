#include <gtest/gtest.h>

#include "shallotlever/proxy/positions.h"

namespace shallotlever {
namespace {

HistoryPoint point(std::uint64_t position, std::uint64_t term = 1)
{
    return { Term(term), LogPosition(position) };
}

struct PositionCase
{
    const char *name;
    Duration now;
    std::optional<HistoryPoint> expected;
};

class LowestSufficientPosition : public testing::TestWithParam<PositionCase>
{
};

// Guards against reads that miss commits acknowledged longer ago than the permitted staleness, and
// against a position that is higher than needed, which fewer replicas satisfy.
TEST_P(LowestSufficientPosition, ReturnsTheOldestRecentObservation)
{
    PositionHistory history;
    recordPosition(history, point(10), TimePoint(1000ms));
    recordPosition(history, point(20), TimePoint(2000ms));
    recordPosition(history, point(30), TimePoint(3000ms));
    EXPECT_EQ(lowestSufficientPosition(history, 1500ms, TimePoint(GetParam().now)),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Times, LowestSufficientPosition,
                         testing::Values(PositionCase { "FirstIsRecentEnough", 2500ms, point(10) },
                                         PositionCase { "FirstIsTooOld", 2501ms, point(20) },
                                         PositionCase { "OnlyTheLast", 4500ms, point(30) },
                                         PositionCase { "None", 4501ms, std::nullopt }),
                         [](const auto &info) { return info.param.name; });

// Guards against a late response that moves the position back.
TEST(PositionHistory, LateResponsesAreIgnored)
{
    PositionHistory history;
    recordPosition(history, point(20), TimePoint(2000ms));
    recordPosition(history, point(10), TimePoint(1000ms));
    EXPECT_EQ(lowestSufficientPosition(history, 2000ms, TimePoint(2500ms)), point(20));
}

// Guards against unbounded memory use on a node that sends many requests.
TEST(PositionHistory, MemoryIsBounded)
{
    PositionHistory history;
    for (unsigned i = 0; i < 100'000; ++i)
        recordPosition(history, point(i), TimePoint(i * 1ms));
    EXPECT_LE(history.observations.size(), kMaxPositionAge / kMinPositionInterval + 2);
}

} // namespace
} // namespace shallotlever
