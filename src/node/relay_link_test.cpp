#include <gtest/gtest.h>

#include "relay_link.h"

namespace shallotlever {
namespace {

const NodeId kFirst("r1");
const NodeId kSecond("r2");
const TimePoint kStart(100s);

// A node must not lose its lease because it waits for a relay that is gone.
TEST(RelayLink, FallsBackToControlMembersAfterEveryRelay)
{
    RelayLink link = makeRelayLink({ kFirst, kSecond }, kStart);
    EXPECT_EQ(currentRelay(link), kFirst);
    EXPECT_FALSE(advanceRelayLink(link, true, kStart + kRelaySilence - 1ms));
    EXPECT_TRUE(advanceRelayLink(link, true, kStart + kRelaySilence));
    EXPECT_EQ(currentRelay(link), kSecond);
    EXPECT_TRUE(advanceRelayLink(link, false, kStart + kRelaySilence + kRelayDisconnected));
    EXPECT_EQ(currentRelay(link), std::nullopt);
}

// An answer of a relay that was given up must not keep a silent one in use.
TEST(RelayLink, CountsAnswersOfTheCurrentRelayOnly)
{
    RelayLink link = makeRelayLink({ kFirst, kSecond }, kStart);
    noteRelayAnswer(link, kFirst, kStart + 800ms);
    EXPECT_FALSE(advanceRelayLink(link, true, kStart + kRelaySilence));
    noteRelayAnswer(link, kSecond, kStart + 1600ms);
    EXPECT_TRUE(advanceRelayLink(link, true, kStart + 800ms + kRelaySilence));
}

// A relay that returned must be used again, and a silent one must cost one attempt only.
TEST(RelayLink, TriesOneRelayAfterADirectPeriod)
{
    RelayLink link = makeRelayLink({ kFirst, kSecond }, kStart);
    TimePoint now = kStart;
    while (currentRelay(link))
        advanceRelayLink(link, false, now += 10ms);
    EXPECT_FALSE(advanceRelayLink(link, true, now + kDirectPeriod - 1ms));
    now += kDirectPeriod;
    EXPECT_TRUE(advanceRelayLink(link, true, now));
    EXPECT_TRUE(currentRelay(link));
    EXPECT_TRUE(advanceRelayLink(link, true, now + kRelaySilence));
    EXPECT_EQ(currentRelay(link), std::nullopt);
}

TEST(RelayLink, WithoutRelaysNothingChanges)
{
    RelayLink link = makeRelayLink({}, kStart);
    EXPECT_FALSE(advanceRelayLink(link, false, kStart + 100s));
    EXPECT_EQ(currentRelay(link), std::nullopt);
}

} // namespace
} // namespace shallotlever
