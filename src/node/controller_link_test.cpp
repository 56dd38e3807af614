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

// Guards against a node that finds a new controller only by waiting for each silent member, while
// the controller waits for its report before it grants any lease.
TEST(ControllerLink, FollowsAMemberThatAsksForAReport)
{
    ControllerLink link = makeLink();
    onReportRequest(link, kThird, kStart + 100ms);
    EXPECT_EQ(currentController(link), kThird);
    EXPECT_FALSE(advanceControllerLink(link, kStart + 100ms + kControllerSilence - 1ms));
    EXPECT_TRUE(advanceControllerLink(link, kStart + 100ms + kControllerSilence));
}

// Guards against a controller that is not configured and never reports to itself: it waited for its
// own former process until all leases of its predecessor had expired.
TEST(ControllerLink, AControllerThatIsNotConfiguredFindsItself)
{
    const NodeId self("c4");
    ControllerLink link = makeControllerLink({ kFirst, kSecond, kThird }, self, kStart);
    EXPECT_EQ(currentController(link), kFirst);
    onReportRequest(link, self, kStart + 100ms);
    EXPECT_EQ(currentController(link), self);
}

// Guards against a controller that grants no lease and is followed for as long as it asks.
TEST(ControllerLink, RequestsForReportsAreNoAnswers)
{
    ControllerLink link = makeLink();
    onReportRequest(link, kFirst, kStart + kControllerSilence - 1ms);
    EXPECT_TRUE(advanceControllerLink(link, kStart + kControllerSilence));
}

TEST(ControllerLink, IgnoresANodeThatIsNoMember)
{
    ControllerLink link = makeLink();
    onReportRequest(link, NodeId("front"), kStart + 100ms);
    EXPECT_EQ(currentController(link), kFirst);
}

// Guards against a late hint of a member that was given up.
TEST(ControllerLink, TakesHintsOfTheCurrentMemberOnly)
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
