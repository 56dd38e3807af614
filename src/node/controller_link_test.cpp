#include <gtest/gtest.h>

#include "controller_link.h"

namespace shallotlever {
namespace {

const NodeId kFirst("c1");
const NodeId kSecond("c2");
const NodeId kThird("c3");
const TimePoint kStart(100s);

ControllerLink makeLink()
{
    return makeControllerLink({ kFirst, kSecond, kThird }, std::nullopt, kStart);
}

// Guards against a node that finds a new controller only after the timeout of each unresponsive
// member, while the controller waits for the node's report before it grants any lease.
TEST(ControllerLink, SwitchesToMemberThatRequestsReport)
{
    ControllerLink link = makeLink();
    onReportRequest(link, kThird, kStart + 100ms);
    EXPECT_EQ(currentController(link), kThird);
    EXPECT_FALSE(advanceControllerLink(link, kStart + 100ms + kControllerTimeout - 1ms));
    EXPECT_TRUE(advanceControllerLink(link, kStart + 100ms + kControllerTimeout));
}

// Guards against a controller that is not among the configured members and never reports to itself:
// it waited for its own former process until all leases of its predecessor had expired.
TEST(ControllerLink, UnconfiguredControllerReportsToItself)
{
    const NodeId self("c4");
    ControllerLink link = makeControllerLink({ kFirst, kSecond, kThird }, self, kStart);
    EXPECT_EQ(currentController(link), kFirst);
    onReportRequest(link, self, kStart + 100ms);
    EXPECT_EQ(currentController(link), self);
}

// Replays a restart of everything: nodes reported to a member that took part in an election, took
// its silence for a dead link and closed it just when that member became the controller.
TEST(ControllerLink, MemberWithoutLeaderIsNotSilent)
{
    ControllerLink link = makeLink();
    const TimePoint timeout = kStart + kControllerTimeout;
    applyControllerHint(link, kFirst, NodeId(), timeout - 100ms);
    EXPECT_FALSE(isControllerSilent(link, timeout));
    EXPECT_TRUE(advanceControllerLink(link, timeout));
    // The next member sends nothing.
    EXPECT_TRUE(isControllerSilent(link, timeout + kControllerTimeout));
}

// Guards against a link that stays open for ever because the member sent a hint long ago.
TEST(ControllerLink, MemberThatFellSilentIsSilent)
{
    ControllerLink link = makeLink();
    applyControllerHint(link, kFirst, kFirst, kStart + 100ms);
    EXPECT_FALSE(isControllerSilent(link, kStart + 100ms + kControllerTimeout - 1ms));
    EXPECT_TRUE(isControllerSilent(link, kStart + 100ms + kControllerTimeout));
}

// Guards against a node that keeps following a controller that requests reports but grants no
// lease.
TEST(ControllerLink, ReportRequestsDoNotResetTimeout)
{
    ControllerLink link = makeLink();
    onReportRequest(link, kFirst, kStart + kControllerTimeout - 1ms);
    EXPECT_TRUE(advanceControllerLink(link, kStart + kControllerTimeout));
}

// Guards against a node that reports to former members for ever after all members were replaced: it
// knew its seeds only.
TEST(ControllerLink, FollowsMembersThatWereReplacedOneByOne)
{
    const std::vector<NodeId> seeds { kFirst, kSecond, kThird };
    ControllerLink link = makeLink();
    noteControllerAnswer(link, kFirst, kStart);
    EXPECT_TRUE(setControlMembers(link, { kFirst, kSecond, NodeId("c4") }, seeds).empty());
    EXPECT_TRUE(setControlMembers(link, { kFirst, NodeId("c5"), NodeId("c6") }, seeds)
                == std::vector<NodeId> { NodeId("c4") });
    EXPECT_EQ(currentController(link), kFirst);
    EXPECT_TRUE(advanceControllerLink(link, kStart + kControllerTimeout));
    EXPECT_EQ(currentController(link), NodeId("c5"));
    EXPECT_TRUE(link.searching);
    noteControllerAnswer(link, NodeId("c6"), kStart + kControllerTimeout);
    EXPECT_EQ(currentController(link), NodeId("c6"));
    EXPECT_FALSE(link.searching);
}

// Guards against a node that never gets its first lease over a slow link: it gave up the
// controller, and closed the link, while the lease was arriving.
TEST(ControllerLink, KeepsMemberWhoseAnswerIsArriving)
{
    ControllerLink link = makeLink();
    noteControllerProgress(link, kStart + kControllerTimeout - 1ms);
    EXPECT_FALSE(advanceControllerLink(link, kStart + kControllerTimeout));
    EXPECT_TRUE(advanceControllerLink(link, kStart + 2 * kControllerTimeout - 1ms));
}

TEST(ControllerLink, IgnoresRequestsFromUnknownNodes)
{
    ControllerLink link = makeLink();
    onReportRequest(link, NodeId("front"), kStart + 100ms);
    EXPECT_EQ(currentController(link), kFirst);
}

// Guards against a late hint from a member that is no longer the current one.
TEST(ControllerLink, AcceptsHintsFromCurrentMemberOnly)
{
    ControllerLink link = makeLink();
    applyControllerHint(link, kSecond, kThird, kStart);
    EXPECT_EQ(currentController(link), kFirst);
    applyControllerHint(link, kFirst, NodeId(), kStart);
    EXPECT_EQ(currentController(link), kFirst);
    applyControllerHint(link, kFirst, kThird, kStart);
    EXPECT_EQ(currentController(link), kThird);
}

} // namespace
} // namespace shallotlever
