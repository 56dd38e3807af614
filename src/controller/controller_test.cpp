#include <gtest/gtest.h>

#include "shallotlever/controller/controller.h"
#include "shallotlever/policy/token_grants.h"

namespace shallotlever {
namespace {

const TimePoint kStart(100s);

NodeReport report(const char *node, std::uint64_t incarnation, std::uint64_t number)
{
    NodeReport r;
    r.node = NodeId(node);
    r.incarnation = Incarnation(incarnation);
    r.number = number;
    return r;
}

/// A controller whose predecessor gave leases to processes of the nodes a and b.
class Records : public testing::Test
{
protected:
    Records()
    {
        m_state = initialState();
        m_state.cluster.nodes = { { NodeId("a"), Incarnation(1) },
                                  { NodeId("b"), Incarnation(1) } };
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart, true);
    }

    bool leased(const NodeReport &r) { return onNodeReport(m_controller, r, m_now).has_value(); }

    bool waitsForPredecessor() const
    {
        return configInForce(m_controller.leases, ConfigVersion(), m_now).waitsForPredecessor;
    }

    void commitRecords()
    {
        const ControllerActions actions = advanceController(m_controller, m_state, m_now);
        for (const RecordNode &record : actions.records) {
            const LogIndex index = m_state.cluster.index.next();
            const ChangeResult result = applyCommand(m_state, record, index, 0);
            onCommandApplied(m_controller, m_state, record, result, index, m_now);
        }
    }

    void applyInstall(const InstallConfig &install)
    {
        const LogIndex index = m_state.cluster.index.next();
        const ChangeResult result = applyCommand(m_state, install, index, 0);
        onCommandApplied(m_controller, m_state, install, result, index, m_now);
    }

    ReplicatedState m_state;
    ControllerState m_controller;
    TimePoint m_now = kStart + 10ms;
};

// Guards against a lease that a later controller does not know of.
TEST_F(Records, AProcessGetsALeaseOnlyOnceItIsRecorded)
{
    EXPECT_FALSE(leased(report("a", 2, 1)));
    commitRecords();
    EXPECT_TRUE(leased(report("a", 2, 2)));
    EXPECT_EQ(m_state.cluster.nodes.at(NodeId("a")), Incarnation(2));
}

// Guards against shares granted twice while a process of the predecessor's time is not heard from,
// and against waiting any longer once all have reported or been replaced.
TEST_F(Records, TheWaitEndsWhenEveryRecordedProcessIsAccountedFor)
{
    EXPECT_TRUE(leased(report("a", 1, 7)));
    EXPECT_TRUE(waitsForPredecessor());
    EXPECT_GT(m_controller.rates.grantsAllowedFrom, m_now);
    leased(report("b", 2, 1));
    EXPECT_FALSE(waitsForPredecessor());
    EXPECT_LE(m_controller.rates.grantsAllowedFrom, m_now);
    EXPECT_LE(m_controller.slots.grantsAllowedFrom, m_now);
}

// Guards against a new controller that waits for the leases of a control machine without callers,
// such as the former controller, which has just been lost.
TEST_F(Records, AProcessWithoutCallersIsNotRecorded)
{
    NodeReport control = report("c", 1, 1);
    control.controlOnly = true;
    EXPECT_TRUE(leased(control));
    commitRecords();
    EXPECT_FALSE(m_state.cluster.nodes.contains(NodeId("c")));
}

// Guards against configuration changes that fill the links of all nodes: a whole configuration was
// sent to each for a change of one time limit, which held up callers for as long.
TEST_F(Records, AnInstalledConfigurationReachesNodesAsADifference)
{
    constexpr std::size_t kMostBytes = 1024;
    InstallConfig install;
    install.content.installed.number = InstallNumber(1);
    for (int i = 0; i < 80; ++i) {
        const std::string name = "team-" + std::to_string(i);
        install.content.teams[TeamId(name)] = { TeamId(name), 10, 10, {} };
        install.content.keys[KeyId(name)] = { KeyId(name), KeyRole::Caller, TeamId(name), {}, {} };
    }
    install.content.databases[DatabaseName("d")].name = DatabaseName("d");
    applyInstall(install);
    NodeReport node = report("a", 1, 1);
    node.appliedConfig = m_state.cluster.config.version;
    install.content.installed.number = InstallNumber(2);
    install.content.databases[DatabaseName("d")].statementTimeout = 800ms;
    applyInstall(install);
    const auto lease = onNodeReport(m_controller, node, m_now);
    ASSERT_TRUE(lease);
    ASSERT_EQ(lease->config.changes.size(), 1U);
    EXPECT_FALSE(lease->config.full);
    EXPECT_LE(lease->config.changes.front().size(), kMostBytes);
}

struct PoolCase
{
    const char *name;
    std::uint64_t incarnation;
    int least;
    int most;
};

class Pool : public Records, public testing::WithParamInterface<PoolCase>
{
protected:
    /// Single tokens that a node gets at once, taken from the pool.
    int tokensAtOnce()
    {
        const TokenRequest one { TeamId("t"), 1 };
        int tokens = 0;
        while (!handleTokenRequests(m_controller.rates, { NodeId("a"), Incarnation(2), 1 },
                                    { &one, 1 }, m_now)
                    .empty())
            ++tokens;
        return tokens;
    }
};

// Guards against callers refused after a restart of everything, when no token has been spent for
// long, and against tokens granted twice if a process survived.
TEST_P(Pool, FillsFromTheTimeSinceWhichNothingWasSpent)
{
    m_state.cluster.config.teams[TeamId("t")] = { TeamId("t"), 100, 100, {} };
    m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart, true);
    m_now = kStart + 500ms;
    leased(report("a", GetParam().incarnation, 1));
    leased(report("b", 2, 1));
    commitRecords();
    leased(report("a", GetParam().incarnation, 2));
    const int tokens = tokensAtOnce();
    EXPECT_GE(tokens, GetParam().least);
    EXPECT_LE(tokens, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(Processes, Pool,
                         testing::Values(PoolCase { "AllReplaced", 2, 25, 50 },
                                         PoolCase { "OneSurvived", 1, 0, 0 }),
                         [](const auto &info) { return info.param.name; });

// Guards against databases that a node loses to the view of a controller which knows none yet, and
// against databases that nodes learn of only seconds after a restart of everything: the
// first view of a controller is no reason to hold back the next one.
TEST_F(Records, OwnViewsDoNotDelayTheNextOne)
{
    m_state.cluster.config.services[ServiceId("s")].id = ServiceId("s");
    m_now = kStart + 1s;
    leased(report("a", 1, 7));
    // The process on b may have a view that must not be lost.
    EXPECT_FALSE(advanceController(m_controller, m_state, m_now).fleetChanged);
    leased(report("b", 1, 7));
    EXPECT_TRUE(advanceController(m_controller, m_state, m_now).fleetChanged);
    NodeReport next = report("a", 1, 8);
    next.appliedFleet = m_controller.fleetLog.version;
    HeardAnnouncement heard;
    heard.announcement.upstream = UpstreamId("db");
    heard.announcement.service = ServiceId("s");
    heard.announcement.endpoint = { "10.0.0.1", 5432 };
    next.announcements.push_back(heard);
    leased(next);
    EXPECT_TRUE(advanceController(m_controller, m_state, m_now).fleetChanged);
}

// Guards against a wait, at each change of controller, for a node that was removed long ago.
TEST_F(Records, ANodeWithoutALeaseIsForgotten)
{
    m_now = kStart + 11s;
    leased(report("a", 1, 7));
    commitRecords();
    EXPECT_TRUE(m_state.cluster.nodes.contains(NodeId("a")));
    EXPECT_FALSE(m_state.cluster.nodes.contains(NodeId("b")));
}

} // namespace
} // namespace shallotlever
