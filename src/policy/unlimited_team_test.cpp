#include <gtest/gtest.h>

#include "team_simulation_test.h"

namespace shallotlever {
namespace {

/// A team whose demand at six nodes is half of its rate, in transactions of four statements.
class UnderloadedTeam : public testing::TestWithParam<std::uint64_t>
{
protected:
    TeamSimulation m_team {
        GetParam(),
        26,
        26,
        { { 0.4, 4 }, { 0.4, 4 }, { 0.5, 4 }, { 0.5, 4 }, { 0.6, 4 }, { 0.8, 4 } },
        true
    };
};

// Guards against requests within the rate that wait longer than an early report and its answer
// take, although half of the rate is unused.
TEST_P(UnderloadedTeam, MeanWaitIsWithinOneEarlyReport)
{
    m_team.runFor(10s);
    m_team.clearCounts();
    m_team.runFor(60s);
    EXPECT_GT(m_team.admitted.size(), 0U);
    EXPECT_LE(m_team.meanWait(), kEarlyReportInterval + TeamSimulation::kRoundTrip);
}

INSTANTIATE_TEST_SUITE_P(Seeds, UnderloadedTeam, testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace shallotlever
