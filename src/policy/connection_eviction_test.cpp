#include "shallotlever/policy/connection_eviction.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

struct DecisionCase
{
    const char *name;
    EvictionCase eviction;
    bool allowed;
};

class ConnectionEviction : public testing::TestWithParam<DecisionCase>
{
};

// Guards against a team that waits although a slot is free, and against a database that spends its
// slots on connections which are opened and closed in turn.
TEST_P(ConnectionEviction, KeepsConnectionsUnlessATeamHasNone)
{
    EXPECT_EQ(mayEvictConnection(GetParam().eviction), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(
    Decisions, ConnectionEviction,
    testing::Values(DecisionCase { "RecentlyUsed", { false, 100ms, 1s, 12ms }, false },
                    DecisionCase { "IdleForLong", { false, 300ms, 1s, 12ms }, true },
                    DecisionCase { "StarvedTeam", { true, 1ms, 1s, 12ms }, true },
                    DecisionCase { "TooManyEvictions", { true, 300ms, 20ms, 12ms }, false },
                    DecisionCase { "SlowToOpen", { true, 300ms, 100ms, 80ms }, false }),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
