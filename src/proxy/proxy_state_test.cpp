#include "proxy_state.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

struct SentCase
{
    const char *name;
    std::uint32_t pending;
    std::uint32_t sentSinceReport;
    std::uint32_t ended;
    /// Statements that are still believed to be at the database.
    std::uint32_t expected;
};

class SentStatements : public testing::TestWithParam<SentCase>
{
};

// Guards against a database that gets no statements any more, because those that were refused or
// lost without a report of its load count as still there.
TEST_P(SentStatements, CountWhileTheyAreUnanswered)
{
    const SentCase &sent = GetParam();
    DatabaseRoute route;
    route.pending = sent.pending;
    route.sentSinceReport = sent.sentSinceReport;
    for (std::uint32_t i = 0; i < sent.ended; ++i)
        endPending(route);
    EXPECT_EQ(remoteLoad(route, false, true, 1ms, TimePoint(1s)).sentSinceReport, sent.expected);
}

INSTANTIATE_TEST_SUITE_P(Cases, SentStatements,
                         testing::Values(SentCase { "AllRefused", 50, 50, 50, 0 },
                                         SentCase { "SomeRefused", 50, 50, 20, 30 },
                                         SentCase { "SentBeforeTheReport", 50, 10, 20, 10 }),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
