#include <gtest/gtest.h>

#include "shallotlever/controller/controller.h"
#include "shallotlever/policy/pool_owner.h"
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
class ControllerNodeRecords : public testing::Test
{
protected:
    ControllerNodeRecords()
    {
        m_state = initialState();
        m_state.cluster.nodes = { { NodeId("a"), Incarnation(1) },
                                  { NodeId("b"), Incarnation(1) } };
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart, true);
    }

    bool reportGetsLease(const NodeReport &r)
    {
        return onNodeReport(m_controller, r, m_now).has_value();
    }

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

/// The controller of a service whose databases confirm commits, which knows a replica.
class ControllerStatuses : public ControllerNodeRecords
{
protected:
    ControllerStatuses()
    {
        ServiceConfig &service = m_state.cluster.config.services[ServiceId("s")];
        service.id = ServiceId("s");
        service.confirmsCommits = true;
        service.confirmingReplicas = 1;
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart);
    }

    void announce(std::uint64_t lifetime)
    {
        NodeReport next = report("a", 1, ++m_reports);
        next.appliedFleet = m_controller.fleetLog.version;
        HeardAnnouncement heard;
        heard.announcement.upstream = UpstreamId("db");
        heard.announcement.service = ServiceId("s");
        heard.announcement.endpoint = { "10.0.0.1", 5432 };
        heard.announcement.lifetime = Incarnation(lifetime);
        next.announcements.push_back(heard);
        reportGetsLease(next);
    }

    UpstreamCall statusCall()
    {
        m_now += 2s;
        const ControllerActions actions = advanceController(m_controller, m_state, m_now);
        EXPECT_FALSE(actions.calls.empty());
        return actions.calls.empty() ? UpstreamCall() : actions.calls.front();
    }

    /// Whether a status is used for the process that is announced.
    bool hasStatus() const
    {
        const auto &statuses = m_controller.groups.at(ServiceId("s")).statuses;
        const auto found = statuses.find(UpstreamId("db"));
        return found != statuses.end()
            && found->second.incarnation
            == m_controller.registry.entries.at(UpstreamId("db")).announcement.lifetime;
    }

    std::uint64_t m_reports = 0;
};

// Guards against taking the log end or the fence of an ended process for those of the process that
// has started under its id with nothing.
TEST_F(ControllerStatuses, AnswerOfAnEndedProcessDoesNotCount)
{
    announce(1);
    const UpstreamCall call = statusCall();
    UpstreamAnswer answer;
    answer.status.emplace();
    announce(2);
    onUpstreamAnswer(m_controller, call, answer, m_now, m_now);
    EXPECT_FALSE(hasStatus());
    const UpstreamCall next = statusCall();
    onUpstreamAnswer(m_controller, next, answer, m_now, m_now);
    EXPECT_TRUE(hasStatus());
    announce(3);
    EXPECT_FALSE(hasStatus());
}

/// A controller that has just started and hears of one replica, while the log records the primary
/// and another replica.
class ControllerMembers : public ControllerStatuses
{
protected:
    ControllerMembers()
    {
        GroupState &group = m_state.cluster.groups[ServiceId("s")];
        group.service = ServiceId("s");
        group.term = group.reservedTerm = Term(1);
        group.primary = UpstreamId("p");
        group.primaryIncarnation = Incarnation(1);
        for (const char *id : { "p", "r", "db" })
            group.members[{ UpstreamId(id), Incarnation(1) }].endpoint = { id, 5432 };
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart);
    }

    /// Runs the controller, with decisions applied and the replica answering, and returns whether
    /// it orders a promotion.
    bool promotes(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 50ms) {
            announce(1);
            for (const UpstreamCall &call : step()) {
                if (call.kind == CallKind::Promote)
                    return true;
                UpstreamAnswer answer;
                answer.status.emplace();
                answer.status->point = { Term(1), LogPosition(20) };
                answer.status->newestTerm = Term(1);
                answer.status->fencedTerm = call.kind == CallKind::Fence ? call.term : m_fence;
                m_fence = answer.status->fencedTerm;
                if (m_heard.contains(call.upstream))
                    onUpstreamAnswer(m_controller, call, answer, m_now, m_now);
            }
        }
        return false;
    }

    std::vector<UpstreamCall> step()
    {
        ControllerActions actions = advanceController(m_controller, m_state, m_now);
        for (const GroupDecision &decision : actions.proposals) {
            const LogIndex index = m_state.cluster.index.next();
            const ChangeResult result = applyCommand(m_state, decision, index, 0);
            onCommandApplied(m_controller, m_state, decision, result, index, m_now);
            onOwnDecisionAccepted(m_controller, decision);
        }
        return actions.calls;
    }

    Term m_fence;
    std::set<UpstreamId> m_heard { UpstreamId("db") };
};

// Guards against a controller that takes the members which it has not heard of since its start for
// absent, and promotes a replica that lacks their commits.
TEST_F(ControllerMembers, MemberNotHeardOfSinceTheElectionMayHoldCommits)
{
    EXPECT_FALSE(promotes(20s));
    const GroupControl &group = m_controller.groups.at(ServiceId("s"));
    EXPECT_EQ(group.confirmed.reason, ChangeReason::Suspected);
    const std::vector<MemberId> awaited { { UpstreamId("p"), Incarnation(1) },
                                          { UpstreamId("r"), Incarnation(1) } };
    EXPECT_EQ(group.confirmed.awaited, awaited);
}

// Guards against a change that waits for a process that holds no commit.
TEST_F(ControllerMembers, MembersThatHaveLeftAreNotAwaited)
{
    m_state.cluster.groups[ServiceId("s")].members.erase({ UpstreamId("r"), Incarnation(1) });
    m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart);
    EXPECT_TRUE(promotes(20s));
}

// Guards against members that a later controller doesn't know of.
TEST_F(ControllerMembers, AnnouncedDatabaseIsRecorded)
{
    m_state.cluster.groups[ServiceId("s")].members.clear();
    announce(1);
    step();
    EXPECT_TRUE(m_state.cluster.groups.at(ServiceId("s"))
                    .members.contains({ UpstreamId("db"), Incarnation(1) }));
}

/// All control members restarted: the controller has no fleet view, and the nodes a and b have that
/// of its predecessor. Node a holds all connections to the only database.
class ControllerWithoutView : public ControllerNodeRecords
{
protected:
    static constexpr std::uint32_t kLimit = 20;
    static constexpr std::uint32_t kHeld = 15;

    ControllerWithoutView()
    {
        const ServiceId service("s");
        m_state.cluster.config.services[service].id = service;
        m_state.cluster.config.services[service].confirmsCommits = true;
        GroupView &group = m_known.view.groups[service];
        group.service = service;
        UpstreamInfo &info = group.upstreams[UpstreamId("db")];
        info.id = UpstreamId("db");
        info.service = service;
        info.endpoint = { "10.0.0.1", 5432 };
        info.connectionLimit = kLimit;
        info.lifetime = Incarnation(3);
        info.poolOwners = { NodeId("a"), NodeId("b") };
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart, true);
    }

    static NodeReport reportWithView(const char *node, std::uint64_t number)
    {
        NodeReport r = report(node, 1, number);
        r.appliedFleet = kVersion;
        r.dataCentre = DataCentreId("dc");
        SlotDemand demand;
        demand.upstream = UpstreamId("db");
        demand.connectionsHeld = node == std::string("a") ? kHeld : 0;
        demand.connectionsOpen = demand.connectionsHeld;
        r.slots = { demand };
        return r;
    }

    /// Connections that the lease lets the node keep or open.
    static std::uint32_t connections(const NodeLease &lease)
    {
        return lease.slots.empty() ? 0 : lease.slots.front().connections;
    }

    NodeLease leaseFor(const NodeReport &r)
    {
        return onNodeReport(m_controller, r, m_now).value_or(NodeLease());
    }

    static constexpr FleetVersion kVersion { ControlTerm(1), 7 };
    FleetState m_known;
};

// Guards against nodes that lose all connections because a controller that knows no database yet
// grants new shares once all processes are accounted for.
TEST_F(ControllerWithoutView, NodesKeepTheirConnections)
{
    EXPECT_EQ(connections(leaseFor(reportWithView("a", 7))), kHeld);
    leaseFor(reportWithView("b", 7));
    EXPECT_FALSE(waitsForPredecessor());
    EXPECT_EQ(connections(leaseFor(reportWithView("a", 8))), kHeld);
    EXPECT_EQ(connections(leaseFor(reportWithView("b", 8))), 0U);
}

// Guards against seconds without databases and owners after a restart of all control members, while
// every node holds the fleet view.
TEST_F(ControllerWithoutView, ContinuesViewOfReportingNode)
{
    EXPECT_TRUE(leaseFor(reportWithView("a", 7)).wantsFleetView);
    EXPECT_FALSE(leaseFor(reportWithView("b", 7)).wantsFleetView);
    NodeReport answer = reportWithView("a", 8);
    answer.fleet = { {}, kVersion, true, diffFleet({}, m_known) };
    EXPECT_EQ(connections(leaseFor(answer)), kHeld - 1);
    EXPECT_EQ(m_controller.fleetLog.version, kVersion);
    EXPECT_EQ(m_controller.fleetLog.state, m_known);
    const NodeLease next = leaseFor(reportWithView("b", 8));
    EXPECT_EQ(next.fleet.to, kVersion);
    EXPECT_GT(connections(next), 0U);
}

// Guards against more connections than a database accepts: a former owner may have some open
// without a share of them.
TEST_F(ControllerWithoutView, CountsOpenConnectionsWithoutShare)
{
    UpstreamInfo &info = m_known.view.groups[ServiceId("s")].upstreams[UpstreamId("db")];
    info.poolOwners = { NodeId("b"), NodeId("a") };
    NodeReport former = reportWithView("a", 7);
    former.slots.front().connectionsHeld = 0;
    EXPECT_EQ(connections(leaseFor(former)), 0U);
    NodeReport answer = reportWithView("b", 7);
    answer.fleet = { {}, kVersion, true, diffFleet({}, m_known) };
    EXPECT_LE(connections(leaseFor(answer)), kLimit - kHeld);
}

// Guards against shares of connections that are withheld for good: the node with a newer view has
// ended before it sent the view, and the view that the controller builds is equal to its own.
TEST_F(ControllerWithoutView, GrantsConnectionsAlthoughANewerViewIsLost)
{
    const DataCentreId dataCentre("dc");
    UpstreamInfo &info = m_known.view.groups[ServiceId("s")].upstreams[UpstreamId("db")];
    const std::vector<PoolOwnerCandidate> nodes { { NodeId("a"), dataCentre, false },
                                                  { NodeId("b"), dataCentre, false } };
    info.poolOwners = selectPoolOwners(info.id, info.dataCentre, nodes);
    m_now = kStart + 1s;
    NodeReport older = reportWithView("b", 7);
    older.fleet = { {}, kVersion, true, diffFleet({}, m_known) };
    leaseFor(older);
    NodeReport newer = reportWithView("a", 7);
    newer.appliedFleet.number += 1;
    leaseFor(newer);
    EXPECT_TRUE(m_controller.slots.awaitsLimits);
    m_now = kStart + kAnnouncementLease;
    EXPECT_FALSE(advanceController(m_controller, m_state, m_now).fleetChanged);
    EXPECT_FALSE(m_controller.slots.awaitsLimits);
}

struct AskedNodeCase
{
    const char *name;
    const char *node;
    std::uint64_t viewNumber;
    Duration delay;
    bool asked;
};

class RepeatedViewRequest : public ControllerWithoutView,
                            public testing::WithParamInterface<AskedNodeCase>
{
};

// Guards against a controller that waits for a node that has stopped, and against views sent by all
// nodes at once over slow links.
TEST_P(RepeatedViewRequest, FollowsUnansweredOrOlderOne)
{
    EXPECT_TRUE(leaseFor(reportWithView("a", 7)).wantsFleetView);
    m_now += GetParam().delay;
    NodeReport second = reportWithView(GetParam().node, 8);
    second.appliedFleet.number = GetParam().viewNumber;
    EXPECT_EQ(leaseFor(second).wantsFleetView, GetParam().asked);
}

INSTANTIATE_TEST_SUITE_P(Reports, RepeatedViewRequest,
                         testing::Values(AskedNodeCase { "SameView", "b", 7, 100ms, false },
                                         AskedNodeCase { "NewerView", "b", 8, 100ms, true },
                                         AskedNodeCase { "Unanswered", "b", 7, 400ms, true }),
                         [](const auto &info) { return info.param.name; });

// Guards against a view that is taken from a process whose report names another version, or that
// replaces what the controller has published itself.
TEST_F(ControllerWithoutView, IgnoresViewsThatDoNotFit)
{
    NodeReport other = reportWithView("a", 7);
    other.fleet = { {}, { ControlTerm(1), 6 }, true, diffFleet({}, m_known) };
    leaseFor(other);
    EXPECT_EQ(m_controller.fleetLog.version, FleetVersion());
    m_now = kStart + 5s;
    EXPECT_TRUE(advanceController(m_controller, m_state, m_now).fleetChanged);
    const FleetVersion published = m_controller.fleetLog.version;
    NodeReport late = reportWithView("a", 8);
    late.fleet = { {}, kVersion, true, diffFleet({}, m_known) };
    EXPECT_FALSE(leaseFor(late).wantsFleetView);
    EXPECT_EQ(m_controller.fleetLog.version, published);
}

// Guards against a view that hides what a database has announced to the new controller.
TEST_F(ControllerWithoutView, AnnouncementsPrecedeTheView)
{
    HeardAnnouncement heard;
    heard.announcement.upstream = UpstreamId("db");
    heard.announcement.service = ServiceId("s");
    heard.announcement.endpoint = { "10.0.0.2", 5432 };
    heard.announcement.lifetime = Incarnation(4);
    NodeReport first = reportWithView("b", 7);
    first.announcements.push_back(heard);
    leaseFor(first);
    NodeReport answer = reportWithView("a", 7);
    answer.fleet = { {}, kVersion, true, diffFleet({}, m_known) };
    leaseFor(answer);
    const RegistryEntry &entry = m_controller.registry.entries.at(UpstreamId("db"));
    EXPECT_FALSE(entry.seeded);
    EXPECT_EQ(entry.announcement.lifetime, Incarnation(4));
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
