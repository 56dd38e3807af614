#include "controller_fixture.h"
#include "shallotlever/policy/pool_owner.h"

namespace shallotlever {
namespace {

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

} // namespace
} // namespace shallotlever
