#include "controller_fixture.h"
#include "shallotlever/policy/token_grants.h"

namespace shallotlever {
namespace {

// Guards against leases that a later controller does not know of.
TEST_F(ControllerNodeRecords, GrantsLeaseOnlyToRecordedProcess)
{
    EXPECT_FALSE(reportGetsLease(report("a", 2, 1)));
    commitRecords();
    EXPECT_TRUE(reportGetsLease(report("a", 2, 2)));
    EXPECT_EQ(m_state.cluster.nodes.at(NodeId("a")), Incarnation(2));
}

// Guards against shares that are granted twice while a process recorded under the predecessor has
// not reported, and against waiting longer once all processes have reported or been replaced.
TEST_F(ControllerNodeRecords, PredecessorWaitEndsOnceAllProcessesAreAccountedFor)
{
    EXPECT_TRUE(reportGetsLease(report("a", 1, 7)));
    EXPECT_TRUE(waitsForPredecessor());
    EXPECT_GT(m_controller.rates.grantsAllowedFrom, m_now);
    reportGetsLease(report("b", 2, 1));
    EXPECT_FALSE(waitsForPredecessor());
    EXPECT_LE(m_controller.rates.grantsAllowedFrom, m_now);
    EXPECT_LE(m_controller.slots.grantsAllowedFrom, m_now);
}

// Guards against a new controller that waits for the lease of a control-only node, such as the
// previous controller whose failure caused the election.
TEST_F(ControllerNodeRecords, DoesNotRecordProcessWithoutCallers)
{
    NodeReport control = report("c", 1, 1);
    control.controlOnly = true;
    EXPECT_TRUE(reportGetsLease(control));
    commitRecords();
    EXPECT_FALSE(m_state.cluster.nodes.contains(NodeId("c")));
}

// Guards against configuration changes that saturate the links of all nodes: the whole
// configuration was sent to each node for a change of one timeout, which delayed callers meanwhile.
TEST_F(ControllerNodeRecords, SendsInstalledConfigurationAsDifference)
{
    constexpr std::size_t kMaxChangeBytes = 1024;
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
    EXPECT_LE(lease->config.changes.front().size(), kMaxChangeBytes);
}

struct RepeatedUpdateCase
{
    const char *name;
    /// Time between the first lease, which carries the full configuration, and the second report.
    Duration delay;
    std::uint64_t incarnation;
    bool repeated;
};

class RepeatedUpdate : public ControllerNodeRecords,
                       public testing::WithParamInterface<RepeatedUpdateCase>
{
};

// Load pattern: many nodes start at once and are asked for several reports before a full
// configuration has crossed their slow links. Guards against sending it with each answer, and
// against never sending it again when it was lost or the process was replaced.
TEST_P(RepeatedUpdate, IsSentOnlyIfTheFirstWasLost)
{
    m_controller.records.enabled = false;
    InstallConfig install;
    install.content.installed.number = InstallNumber(1);
    applyInstall(install);
    NodeReport node = report("a", 1, 1);
    const auto first = onNodeReport(m_controller, node, m_now);
    ASSERT_TRUE(first);
    ASSERT_EQ(first->config.changes.size(), 1U);
    m_now += GetParam().delay;
    node = report("a", GetParam().incarnation, 2);
    const auto second = onNodeReport(m_controller, node, m_now);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->config.changes.size(), GetParam().repeated ? 1U : 0U);
    EXPECT_EQ(second->config.to, first->config.to);
}

INSTANTIATE_TEST_SUITE_P(Reports, RepeatedUpdate,
                         testing::Values(RepeatedUpdateCase { "InTransit", 100ms, 1, false },
                                         RepeatedUpdateCase { "Lost", 600ms, 1, true },
                                         RepeatedUpdateCase { "NewProcess", 100ms, 2, true }),
                         [](const auto &info) { return info.param.name; });

struct TokenPoolCase
{
    const char *name;
    std::uint64_t incarnation;
    /// Age of both processes when they report, 500 ms after the election.
    Duration processAge;
    int minTokens;
    int maxTokens;
};

class ControllerTokenPool : public ControllerNodeRecords,
                            public testing::WithParamInterface<TokenPoolCase>
{
protected:
    /// Number of requests for a single token that are granted immediately from the token pool.
    int grantedTokens()
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

// Guards against callers that are refused after a restart of all nodes although no tokens were
// spent for some time, and against tokens that are granted twice if a process was not restarted.
TEST_P(ControllerTokenPool, AccruesTokensSinceLastPossibleSpend)
{
    m_state.cluster.config.teams[TeamId("t")] = { TeamId("t"), 100, 100, {} };
    m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart, true);
    m_now = kStart + 500ms;
    NodeReport a = report("a", GetParam().incarnation, 1);
    NodeReport b = report("b", 2, 1);
    a.processAge = b.processAge = GetParam().processAge;
    reportGetsLease(a);
    reportGetsLease(b);
    commitRecords();
    reportGetsLease(report("a", GetParam().incarnation, 2));
    const int tokens = grantedTokens();
    EXPECT_GE(tokens, GetParam().minTokens);
    EXPECT_LE(tokens, GetParam().maxTokens);
}

INSTANTIATE_TEST_SUITE_P(Processes, ControllerTokenPool,
                         testing::Values(TokenPoolCase { "AllReplaced", 2, 0ms, 25, 50 },
                                         TokenPoolCase { "AllReplacedBeforeTheElection", 2, 900ms,
                                                         70, 90 },
                                         TokenPoolCase { "OneSurvived", 1, 900ms, 0, 0 }),
                         [](const auto &info) { return info.param.name; });

// Guards against nodes that lose databases because a controller that knows none yet publishes its
// fleet view, and against nodes that learn of databases only seconds after a restart of all nodes:
// the first view that a controller publishes must not delay the next one.
TEST_F(ControllerNodeRecords, OwnFleetViewsDoNotDelayPublication)
{
    m_state.cluster.config.services[ServiceId("s")].id = ServiceId("s");
    m_now = kStart + 1s;
    reportGetsLease(report("a", 1, 7));
    // The process on b may have a fleet view that must not be replaced yet.
    EXPECT_FALSE(advanceController(m_controller, m_state, m_now).fleetChanged);
    reportGetsLease(report("b", 1, 7));
    EXPECT_TRUE(advanceController(m_controller, m_state, m_now).fleetChanged);
    NodeReport next = report("a", 1, 8);
    next.appliedFleet = m_controller.fleetLog.version;
    HeardAnnouncement heard;
    heard.announcement.upstream = UpstreamId("db");
    heard.announcement.service = ServiceId("s");
    heard.announcement.endpoint = { "10.0.0.1", 5432 };
    next.announcements.push_back(heard);
    reportGetsLease(next);
    EXPECT_TRUE(advanceController(m_controller, m_state, m_now).fleetChanged);
}

// Guards against a wait at each controller change for a node that was removed long ago.
TEST_F(ControllerNodeRecords, RemovesRecordOfNodeWithoutLease)
{
    m_now = kStart + 11s;
    reportGetsLease(report("a", 1, 7));
    commitRecords();
    EXPECT_TRUE(m_state.cluster.nodes.contains(NodeId("a")));
    EXPECT_FALSE(m_state.cluster.nodes.contains(NodeId("b")));
}

} // namespace
} // namespace shallotlever
