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

class PositionFor : public testing::TestWithParam<PositionCase>
{
};

// Guards against reads that miss commits acknowledged longer ago than the permitted staleness, and
// against a position that is newer than needed, which more replicas lag behind.
TEST_P(PositionFor, IsTheOldestThatIsRecentEnough)
{
    PositionHistory history;
    notePosition(history, point(10), TimePoint(1000ms));
    notePosition(history, point(20), TimePoint(2000ms));
    notePosition(history, point(30), TimePoint(3000ms));
    EXPECT_EQ(positionFor(history, 1500ms, TimePoint(GetParam().now)), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Times, PositionFor,
                         testing::Values(PositionCase { "FirstStillCounts", 2500ms, point(10) },
                                         PositionCase { "FirstIsTooOld", 2501ms, point(20) },
                                         PositionCase { "OnlyTheLast", 4500ms, point(30) },
                                         PositionCase { "None", 4501ms, std::nullopt }),
                         [](const auto &info) { return info.param.name; });

// Guards against an answer that arrives late and moves the position back.
TEST(PositionHistory, LateAnswersAreIgnored)
{
    PositionHistory history;
    notePosition(history, point(20), TimePoint(2000ms));
    notePosition(history, point(10), TimePoint(1000ms));
    EXPECT_EQ(positionFor(history, 2000ms, TimePoint(2500ms)), point(20));
}

// Guards against unbounded memory at a node that asks often.
TEST(PositionHistory, StaysSmall)
{
    PositionHistory history;
    for (unsigned i = 0; i < 100'000; ++i)
        notePosition(history, point(i), TimePoint(i * 1ms));
    EXPECT_LE(history.observations.size(), kPositionAge / kPositionSpacing + 2);
}

} // namespace
} // namespace shallotlever
