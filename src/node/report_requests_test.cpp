#include "report_requests.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const TimePoint kStart(100s);
const NodeId kNode("n1");
const std::vector<NodeId> kNodes { kNode };

NodeReport reportOf(const NodeId &node, std::uint64_t incarnation = 1)
{
    NodeReport report;
    report.node = node;
    report.incarnation = Incarnation(incarnation);
    return report;
}

HeldReport heldReport(std::uint64_t incarnation, TimePoint at)
{
    return { reportOf(kNode, incarnation), { kNode, Incarnation(incarnation) }, 7, at };
}

// Replays a restart of everything: 110 records are committed one after the other, and each of them
// must not make all nodes report that are about to do so anyway.
TEST(ReportRequests, RequestsOneReportForManyChanges)
{
    ReportRequests requests;
    EXPECT_EQ(nodesToRequest(requests, kNodes, kStart), kNodes);
    EXPECT_TRUE(nodesToRequest(requests, kNodes, kStart + 10ms).empty());
    noteReportReceived(requests, reportOf(kNode));
    EXPECT_EQ(nodesToRequest(requests, kNodes, kStart + 50ms), kNodes);
}

// Guards against a change that never reaches a node whose request was lost.
TEST(ReportRequests, RequestsAgainAfterLoss)
{
    ReportRequests requests;
    nodesToRequest(requests, kNodes, kStart);
    EXPECT_TRUE(nodesToRequest(requests, kNodes, kStart + kReportRequestTimeout - 1ms).empty());
    EXPECT_EQ(nodesToRequest(requests, kNodes, kStart + kReportRequestTimeout), kNodes);
}

// Guards against nodes behind a relay that count as silent.
TEST(ReportRequests, CountsReportsOfRelayedNodes)
{
    ReportRequests requests;
    nodesToRequest(requests, kNodes, kStart);
    NodeReport relay = reportOf(NodeId("relay"));
    relay.nodes.push_back(reportOf(kNode));
    noteReportReceived(requests, relay);
    EXPECT_EQ(nodesToRequest(requests, kNodes, kStart + 10ms), kNodes);
}

// Guards against a lease that outlives the one counted from the node's own sending: a held report
// ages, as one that a relay holds.
TEST(ReportRequests, HeldReportAges)
{
    ReportRequests requests;
    holdReport(requests, heldReport(1, kStart));
    holdReport(requests, heldReport(1, kStart + 20ms));
    const auto held = takeHeldReport(requests, { kNode, Incarnation(1) }, kStart + 70ms);
    ASSERT_TRUE(held);
    EXPECT_EQ(held->report.age, Duration(50ms));
    EXPECT_FALSE(takeHeldReport(requests, { kNode, Incarnation(1) }, kStart + 80ms));
}

// Guards against an answer to a process that has been replaced since.
TEST(ReportRequests, DropsReportOfReplacedProcess)
{
    ReportRequests requests;
    holdReport(requests, heldReport(1, kStart));
    EXPECT_FALSE(takeHeldReport(requests, { kNode, Incarnation(2) }, kStart));
    EXPECT_FALSE(takeHeldReport(requests, { kNode, Incarnation(1) }, kStart));
}

} // namespace
} // namespace shallotlever
