#include <gtest/gtest.h>

#include "team_simulation_test.h"

namespace shallotlever {
namespace {

constexpr double kRate = 25;
constexpr double kBurst = 25;

/// A team whose demand at six nodes is two and a half times its rate.
class OverloadedTeam : public testing::TestWithParam<std::uint64_t>
{
protected:
    TeamSimulation m_team {
        GetParam(), kRate, kBurst, { { 10 }, { 8 }, { 8 }, { 6 }, { 6 }, { 26 } }, false
    };
};

// Guards against a team over its rate that is admitted less than its rate. This happens if its
// shares change with each report, as a reduction only counts once it is confirmed, or if buckets
// overflow in the gaps between arrivals.
TEST_P(OverloadedTeam, ReceivesItsFullRate)
{
    m_team.runFor(10s);
    m_team.clearCounts();
    m_team.runFor(30s);
    constexpr double kMinAdmittedShare = 0.95;
    EXPECT_GE(static_cast<double>(m_team.admitted.size()), kMinAdmittedShare * kRate * 30);
}

// Guards against an early report for each refusal, which is useless as the whole rate is leased.
// Now and then a long gap between arrivals still causes one: it may be the end of the traffic,
// which the other nodes need to know.
TEST_P(OverloadedTeam, SendsFewEarlyReports)
{
    m_team.runFor(10s);
    m_team.clearCounts();
    m_team.runFor(10s);
    for (const std::uint64_t reports : m_team.reports())
        EXPECT_LE(reports, 10s / kReportInterval + 1);
}

// Guards against more than burst + rate * w admitted requests in a window of length w.
TEST_P(OverloadedTeam, StaysWithinRateAndBurst)
{
    m_team.runFor(30s);
    constexpr Duration kWindow = 5s;
    const double maxAdmitted = kRate * std::chrono::duration<double>(kWindow).count() + kBurst;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_team.admitted.size(); ++last) {
        while (m_team.admitted[first] + kWindow < m_team.admitted[last])
            ++first;
        ASSERT_LE(static_cast<double>(last - first + 1), maxAdmitted);
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, OverloadedTeam, testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace shallotlever
