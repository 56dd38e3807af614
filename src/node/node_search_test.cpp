#include "node_search.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const NodeId kNode("10.0.0.1");
const std::vector<NodeId> kNodes { kNode };
const TimePoint kElected(100s);

class RecordedNode : public testing::Test
{
protected:
    RecordedNode() { noteRecordedNode(m_search, kNode, kElected); }

    void report(const NodeId &node, TimePoint now)
    {
        NodeReport report;
        report.node = node;
        noteReport(m_search, report, now);
    }

    std::vector<NodeId> connects(TimePoint now) { return advanceNodeSearch(m_search, now).connect; }

    std::vector<NodeId> disconnects(TimePoint now)
    {
        return advanceNodeSearch(m_search, now).disconnect;
    }

    NodeSearch m_search;
};

// Guards against review/5 with real processes: after a restart of everything nodes whose settings
// named replaced control members only were never served again, although the controller knew them.
TEST_F(RecordedNode, IsConnectedToUnlessItReports)
{
    EXPECT_TRUE(connects(kElected + kNodeSearchDelay - 1ms).empty());
    EXPECT_EQ(connects(kElected + kNodeSearchDelay), kNodes);
    EXPECT_TRUE(connects(kElected + 2 * kNodeSearchDelay).empty());
}

// Guards against links to nodes that find the controller by themselves.
TEST_F(RecordedNode, IsNotConnectedToWhileItReports)
{
    for (TimePoint now = kElected; now < kElected + 10s; now += 500ms) {
        report(kNode, now);
        EXPECT_TRUE(connects(now).empty());
    }
    // It restarts with old settings.
    EXPECT_EQ(connects(kElected + 9500ms + kNodeSearchDelay), kNodes);
}

// Guards against a link that is closed before the first lease has arrived, and against one that
// stays although it is not needed.
TEST_F(RecordedNode, IsDisconnectedSomeTimeAfterItWasFound)
{
    const TimePoint found = kElected + kNodeSearchDelay;
    EXPECT_EQ(connects(found), kNodes);
    for (TimePoint now = found; now < found + kFoundNodeRetention; now += 500ms) {
        report(kNode, now);
        EXPECT_TRUE(disconnects(now).empty());
    }
    report(kNode, found + kFoundNodeRetention);
    EXPECT_EQ(disconnects(found + kFoundNodeRetention), kNodes);
}

// Guards against attempts without end to reach a machine that is gone.
TEST_F(RecordedNode, IsGivenUpAfterSomeTime)
{
    EXPECT_EQ(connects(kElected + kNodeSearchPeriod - 1ms), kNodes);
    EXPECT_TRUE(disconnects(kElected + kNodeSearchPeriod).empty());
    EXPECT_EQ(disconnects(kElected + kNodeSearchPeriod + kFoundNodeRetention), kNodes);
    EXPECT_TRUE(connects(kElected + 2 * kNodeSearchPeriod).empty());
}

// Guards against a former controller that keeps links to nodes.
TEST_F(RecordedNode, IsDisconnectedWhenTheTermEnds)
{
    EXPECT_EQ(connects(kElected + kNodeSearchDelay), kNodes);
    EXPECT_EQ(endNodeSearch(m_search).disconnect, kNodes);
    EXPECT_TRUE(connects(kElected + 2 * kNodeSearchDelay).empty());
}

// Guards against links to nodes without callers, which are not recorded.
TEST_F(RecordedNode, OthersAreNotSearched)
{
    report(NodeId("10.0.0.2"), kElected);
    report(kNode, kElected + kNodeSearchDelay);
    EXPECT_TRUE(connects(kElected + kNodeSearchDelay).empty());
}

} // namespace
} // namespace shallotlever
