#include <gtest/gtest.h>

#include "shallotlever/types/config.h"
#include "team_simulation_test.h"

namespace shallotlever {
namespace {

struct SparseCase
{
    const char *name;
    std::size_t nodes;
    double rate;
};

/// A team whose demand is half of its rate and spread over so many nodes that each sees few
/// requests.
class SparseTeam : public testing::TestWithParam<SparseCase>
{
protected:
    static std::vector<TeamTraffic> traffic(const SparseCase &c)
    {
        return { c.nodes, TeamTraffic { c.rate / 2 / static_cast<double>(c.nodes), 1 } };
    }
    TeamSimulation m_team { 1, GetParam().rate, GetParam().rate, traffic(GetParam()), true };
};

// Guards against requests within the rate that get no token, because nodes hold the rate in shares
// that they do not use, or because a few arrivals are mistaken for a high demand.
TEST_P(SparseTeam, IsRarelyRefusedWithinItsRate)
{
    constexpr double kMaxRefusedShare = 0.001;
    m_team.runFor(10s);
    m_team.clearCounts();
    m_team.runFor(60s);
    EXPECT_LE(m_team.shareWaitingLonger(PresetPolicy().rateWait), kMaxRefusedShare);
}

INSTANTIATE_TEST_SUITE_P(Fleets, SparseTeam,
                         testing::Values(SparseCase { "small_62", 62, 8 },
                                         SparseCase { "small_87", 87, 10 },
                                         SparseCase { "middle_87", 87, 26 },
                                         SparseCase { "large_87", 87, 160 }),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
