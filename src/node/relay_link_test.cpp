#include <gtest/gtest.h>

#include "relay_link.h"

namespace shallotlever {
namespace {

const NodeId kFirst("r1");
const NodeId kSecond("r2");
const TimePoint kStart(100s);

// Guards against a node that loses its lease because it waits for a relay that has failed.
TEST(RelayLink, FallsBackToControlMembersAfterEveryRelay)
{
    RelayLink link = makeRelayLink({ kFirst, kSecond }, kStart);
    EXPECT_EQ(currentRelay(link), kFirst);
    EXPECT_FALSE(advanceRelayLink(link, true, kStart + kRelayTimeout - 1ms));
    EXPECT_TRUE(advanceRelayLink(link, true, kStart + kRelayTimeout));
    EXPECT_EQ(currentRelay(link), kSecond);
    EXPECT_TRUE(advanceRelayLink(link, false, kStart + kRelayTimeout + kRelayReconnectTimeout));
    EXPECT_EQ(currentRelay(link), std::nullopt);
}

// Guards against an unresponsive relay that stays in use because its predecessor answers late.
TEST(RelayLink, AcceptsAnswersFromCurrentRelayOnly)
{
    RelayLink link = makeRelayLink({ kFirst, kSecond }, kStart);
    noteRelayAnswer(link, kFirst, kStart + 800ms);
    EXPECT_FALSE(advanceRelayLink(link, true, kStart + kRelayTimeout));
    noteRelayAnswer(link, kSecond, kStart + 1600ms);
    EXPECT_TRUE(advanceRelayLink(link, true, kStart + 800ms + kRelayTimeout));
}

// A relay that has recovered must be used again, and an unresponsive one must cost only one
// attempt.
TEST(RelayLink, TriesOneRelayAfterDirectPeriod)
{
    RelayLink link = makeRelayLink({ kFirst, kSecond }, kStart);
    TimePoint now = kStart;
    while (currentRelay(link))
        advanceRelayLink(link, false, now += 10ms);
    EXPECT_FALSE(advanceRelayLink(link, true, now + kDirectReportPeriod - 1ms));
    now += kDirectReportPeriod;
    EXPECT_TRUE(advanceRelayLink(link, true, now));
    EXPECT_TRUE(currentRelay(link));
    EXPECT_TRUE(advanceRelayLink(link, true, now + kRelayTimeout));
    EXPECT_EQ(currentRelay(link), std::nullopt);
}

TEST(RelayLink, ReportsDirectlyWithoutRelays)
{
    RelayLink link = makeRelayLink({}, kStart);
    EXPECT_FALSE(advanceRelayLink(link, false, kStart + 100s));
    EXPECT_EQ(currentRelay(link), std::nullopt);
}

} // namespace
} // namespace shallotlever
