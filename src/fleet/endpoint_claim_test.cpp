#include "shallotlever/fleet/endpoint_claim.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const UpstreamId kEarlier("a");
const UpstreamId kLater("b");
const MemberId kEarlierProcess { kEarlier, Incarnation(10) };
const MemberId kLaterProcess { kLater, Incarnation(11) };
const TimePoint kStart(100s);

class EndpointClaim : public testing::Test
{
protected:
    EndpointClaim()
    {
        m_registry.services.insert(ServiceId("s"));
        announce(kEarlierProcess, 1, kStart - 1s);
        EXPECT_EQ(announce(kLaterProcess, 1, kStart), AnnouncementVerdict::Accepted);
    }

    AnnouncementVerdict announce(const MemberId &process, std::uint64_t sequence, TimePoint now)
    {
        HeardAnnouncement heard;
        heard.announcement.upstream = process.upstream;
        heard.announcement.service = ServiceId("s");
        heard.announcement.endpoint = { "10.0.0.1", 5432 };
        heard.announcement.lifetime = process.incarnation;
        heard.announcement.sequence = sequence;
        return applyAnnouncement(m_registry, heard, now, now);
    }

    EndpointHold hold(const UpstreamId &upstream) const
    {
        return m_registry.entries.at(upstream).hold;
    }

    UpstreamState stateAt(const UpstreamId &upstream, TimePoint now)
    {
        advanceRegistry(m_registry, now);
        return m_registry.entries.at(upstream).state;
    }

    Registry m_registry;
};

// Guards against a change of primary because of one message that names the primary's endpoint.
TEST_F(EndpointClaim, EndsNothingByItself)
{
    EXPECT_EQ(hold(kEarlier), EndpointHold::Claimed);
    EXPECT_EQ(stateAt(kEarlier, kStart + 900ms), UpstreamState::Live);
    EXPECT_EQ(stateAt(kEarlier, kStart + 1s), UpstreamState::Suspected);
}

// Guards against a foreign message that keeps a running database without requests.
TEST_F(EndpointClaim, IsRefutedByAnAnswerOfTheEarlierProcess)
{
    noteAnswer(m_registry, kEarlierProcess, kStart + 500ms);
    EXPECT_EQ(hold(kEarlier), EndpointHold::Held);
    EXPECT_FALSE(m_registry.entries.contains(kLater));
    EXPECT_EQ(stateAt(kEarlier, kStart + 2s), UpstreamState::Live);
    EXPECT_EQ(announce(kEarlierProcess, 2, kStart + 2s), AnnouncementVerdict::Accepted);
    // The message is ignored when it is sent again.
    EXPECT_EQ(announce(kLaterProcess, 2, kStart + 2s), AnnouncementVerdict::Outdated);
    EXPECT_EQ(hold(kEarlier), EndpointHold::Held);
}

// Guards against an answer of a database that ended afterwards, and whose endpoint is used again.
TEST_F(EndpointClaim, IsNotRefutedByAnEarlierAnswer)
{
    noteAnswer(m_registry, kEarlierProcess, kStart - 1ms);
    EXPECT_EQ(hold(kEarlier), EndpointHold::Claimed);
    noteAnswer(m_registry, { kEarlier, Incarnation(9) }, kStart + 1s);
    EXPECT_EQ(hold(kEarlier), EndpointHold::Claimed);
}

// Guards against a group that waits for a database whose endpoint another one has taken over.
TEST_F(EndpointClaim, IsSettledByAnAnswerOfTheLaterProcess)
{
    noteAnswer(m_registry, kLaterProcess, kStart + 500ms);
    EXPECT_EQ(hold(kEarlier), EndpointHold::Lost);
    EXPECT_EQ(stateAt(kEarlier, kStart + 500ms), UpstreamState::Suspected);
    noteAnswer(m_registry, kEarlierProcess, kStart + 600ms);
    EXPECT_EQ(hold(kEarlier), EndpointHold::Lost);
    EXPECT_EQ(announce(kEarlierProcess, 2, kStart + 1s), AnnouncementVerdict::Outdated);
}

// Guards against a process that stays without requests although it started again elsewhere.
TEST_F(EndpointClaim, EndsWhenTheEarlierDatabaseStartsAgain)
{
    EXPECT_EQ(announce({ kEarlier, Incarnation(12) }, 1, kStart + 1s),
              AnnouncementVerdict::Accepted);
    EXPECT_EQ(hold(kEarlier), EndpointHold::Held);
    EXPECT_EQ(hold(kLater), EndpointHold::Claimed);
    noteAnswer(m_registry, { kEarlier, Incarnation(12) }, kStart + 2s);
    EXPECT_EQ(hold(kLater), EndpointHold::Lost);
}

// Guards against asking databases more often than needed once a claim is settled.
TEST_F(EndpointClaim, ContestEndsWithTheClaim)
{
    EXPECT_TRUE(isContested(m_registry, m_registry.entries.at(kEarlier)));
    EXPECT_TRUE(isContested(m_registry, m_registry.entries.at(kLater)));
    noteAnswer(m_registry, kLaterProcess, kStart);
    EXPECT_FALSE(isContested(m_registry, m_registry.entries.at(kEarlier)));
    EXPECT_FALSE(isContested(m_registry, m_registry.entries.at(kLater)));
}

} // namespace
} // namespace shallotlever
