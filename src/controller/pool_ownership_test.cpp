#include <gtest/gtest.h>

#include "shallotlever/controller/controller.h"

namespace shallotlever {
namespace {

const ServiceId kService("s");
const UpstreamId kUpstream("u");
const DataCentreId kDataCentre("dc");
const TimePoint kStart(100s);

using Owners = std::vector<NodeId>;

/// A controller of a database that confirms commits itself, and of nodes in its data centre.
class PoolOwnershipTest : public testing::Test
{
protected:
    PoolOwnershipTest()
    {
        m_state = initialState();
        ServiceConfig &service = m_state.cluster.config.services[kService];
        service.id = kService;
        service.confirmsCommits = true;
        elect(FleetLog());
    }

    void elect(const FleetLog &inherited)
    {
        m_term = m_term.next();
        m_controller = makeController(m_term, m_state, inherited, 1, m_now);
    }

    /// Reports of the nodes at intervals of 500 ms, for the given time.
    void run(const std::vector<NodeId> &nodes, Duration duration, bool leaving = false)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 500ms) {
            for (const NodeId &node : nodes)
                onNodeReport(m_controller, report(node, leaving), m_now);
            advanceController(m_controller, m_state, m_now);
        }
    }

    NodeReport report(const NodeId &node, bool leaving)
    {
        NodeReport r;
        r.node = node;
        r.incarnation = Incarnation(1);
        r.number = ++m_reports;
        r.dataCentre = kDataCentre;
        r.leaving = leaving;
        HeardAnnouncement heard;
        heard.announcement.upstream = kUpstream;
        heard.announcement.service = kService;
        heard.announcement.dataCentre = kDataCentre;
        heard.announcement.endpoint = { "10.0.0.1", 5432 };
        heard.announcement.connectionLimit = 20;
        r.announcements.push_back(heard);
        return r;
    }

    Owners owners() const
    {
        return m_controller.fleetLog.state.view.groups.at(kService)
            .upstreams.at(kUpstream)
            .poolOwners;
    }

    ReplicatedState m_state;
    ControlTerm m_term { 1 };
    ControllerState m_controller;
    TimePoint m_now = kStart;
    std::uint64_t m_reports = 0;
};

const Owners kNodes { NodeId("a"), NodeId("b"), NodeId("c") };

Owners without(Owners nodes, const NodeId &node)
{
    std::erase(nodes, node);
    return nodes;
}

// Guards against statements that are sent to a node that has failed.
TEST_F(PoolOwnershipTest, SilentOwnerIsReplacedByItsStandby)
{
    run(kNodes, 6s);
    const Owners before = owners();
    ASSERT_EQ(before.size(), 2U);
    run(without(kNodes, before.front()), 3s);
    EXPECT_EQ(owners().front(), before.back());
    EXPECT_EQ(owners().size(), 2U);
}

// Guards against a planned stop that ends the statements of other nodes.
TEST_F(PoolOwnershipTest, LeavingOwnerIsReplacedAtOnce)
{
    run(kNodes, 6s);
    const NodeId leaving = owners().front();
    onNodeReport(m_controller, report(leaving, true), m_now);
    advanceController(m_controller, m_state, m_now);
    EXPECT_NE(owners().front(), leaving);
    EXPECT_NE(owners().back(), leaving);
}

// Guards against connections that move to the nodes that happen to find a new controller first.
TEST_F(PoolOwnershipTest, NewControllerKeepsOwnersUntilNodesHaveReported)
{
    run(kNodes, 6s);
    const Owners before = owners();
    elect(m_controller.fleetLog);
    run(without(kNodes, before.front()), 1s);
    EXPECT_EQ(owners(), before);
    run(without(kNodes, before.front()), 3s);
    EXPECT_EQ(owners().front(), before.back());
}

// Guards against connections that are leased to nodes to which no statements are sent.
TEST_F(PoolOwnershipTest, OnlyOwnersGetConnections)
{
    run(kNodes, 6s);
    std::map<NodeId, std::uint32_t> connections;
    for (const NodeId &node : kNodes) {
        NodeReport r = report(node, false);
        r.slots = { { kUpstream, 0, 0, 1, 0 } };
        const auto lease = onNodeReport(m_controller, r, m_now);
        ASSERT_TRUE(lease);
        for (const SlotShare &share : lease->slots)
            connections[node] += share.connections;
    }
    const std::uint32_t leasable = 20 - connectionReserve(20);
    EXPECT_EQ(connections[owners().front()], leasable - standbyConnections(leasable));
    EXPECT_EQ(connections[owners().back()], standbyConnections(leasable));
    EXPECT_EQ(connections[without(without(kNodes, owners().front()), owners().back()).front()], 0U);
}

// Guards against owners of databases whose connections every node holds itself.
TEST_F(PoolOwnershipTest, DatabasesThatDoNotConfirmCommitsHaveNoOwners)
{
    m_state.cluster.config.services[kService].confirmsCommits = false;
    run(kNodes, 6s);
    EXPECT_TRUE(owners().empty());
}

} // namespace
} // namespace shallotlever
