#include <gtest/gtest.h>

#include "shallotlever/fleet/endpoint_claim.h"
#include "shallotlever/fleet/group_members.h"

namespace shallotlever {
namespace {

const UpstreamId kPrimary("p");
const UpstreamId kA("a");
const UpstreamId kB("b");
const TimePoint kStart(100s);

ConfirmedMember member(std::uint64_t incarnation, UpstreamRole role, std::uint64_t position,
                       TimePoint askedAt)
{
    ConfirmedMember m;
    m.incarnation = Incarnation(incarnation);
    m.status.emplace();
    m.status->role = role;
    m.status->point = { Term(3), LogPosition(position) };
    m.statusAskedAt = askedAt;
    return m;
}

/// A group whose replica "a" has started again with an empty log; its first process confirmed the
/// commits up to 9.
class EndedMember : public testing::Test
{
protected:
    EndedMember()
    {
        m_in.group.group.primary = kPrimary;
        m_in.group.group.term = Term(1);
        m_in.group.confirmingReplicas = 1;
        m_in.group.group.primaryIncarnation = Incarnation(1);
        m_in.group.group.members = { { { kPrimary, Incarnation(1) }, {} },
                                     { { kA, Incarnation(1) }, {} },
                                     { { kA, Incarnation(2) }, {} },
                                     { { kB, Incarnation(1) }, {} } };
        m_in.ended = { { kA, Incarnation(1) } };
        answer(kPrimary, 9);
        answer(kA, 0);
        answer(kB, 5);
    }

    void answer(const UpstreamId &id, std::uint64_t position)
    {
        const bool primary = id == kPrimary;
        m_in.group.members[id] =
            member(id == kA ? 2 : 1, primary ? UpstreamRole::Primary : UpstreamRole::Replica,
                   position, m_now);
    }

    bool leaves()
    {
        m_now += 50ms;
        const auto changes = nextMemberChanges(m_progress, m_in, m_now);
        return changes && !changes->leaving.empty();
    }

    MemberInput m_in;
    MemberProgress m_progress;
    TimePoint m_now = kStart;
};

// Guards against forgetting a process while it alone, besides the primary, held commits.
TEST_F(EndedMember, StaysUntilAReplicaHoldsItsCommits)
{
    EXPECT_FALSE(leaves());
    answer(kPrimary, 10);
    EXPECT_FALSE(leaves());
    answer(kB, 9);
    EXPECT_FALSE(leaves());
    answer(kB, 10);
    EXPECT_TRUE(leaves());
}

// Guards against a position of the primary from before the end of the process.
TEST_F(EndedMember, BarrierIsQueriedAfterTheEnd)
{
    answer(kB, 9);
    EXPECT_FALSE(leaves());
}

// Guards against a position of a primary that started again with an empty log.
TEST_F(EndedMember, PrimaryThatStartedAgainIsNoReference)
{
    EXPECT_FALSE(leaves());
    m_in.group.group.members[{ kPrimary, Incarnation(2) }] = {};
    answer(kPrimary, 1);
    m_in.group.members[kPrimary].incarnation = Incarnation(2);
    answer(kB, 5);
    EXPECT_FALSE(leaves());
}

// Guards against a member that leaves while a change of primary counts it.
TEST_F(EndedMember, StaysDuringAChangeOfPrimary)
{
    EXPECT_FALSE(leaves());
    answer(kPrimary, 10);
    answer(kB, 10);
    m_in.changing = true;
    EXPECT_FALSE(leaves());
}

// Guards against a group that counts fewer replicas than it needs for each commit.
TEST_F(EndedMember, StaysUntilAsManyReplicasAsConfirmHoldItsCommits)
{
    m_in.group.confirmingReplicas = 2;
    EXPECT_FALSE(leaves());
    answer(kPrimary, 10);
    answer(kB, 10);
    EXPECT_FALSE(leaves());
    answer(kA, 10);
    EXPECT_TRUE(leaves());
}

// Guards against a replica that may confirm commits without being counted.
TEST_F(EndedMember, AnnouncedProcessJoinsAlsoDuringAChange)
{
    m_in.group.group.members.erase({ kB, Incarnation(1) });
    m_in.changing = true;
    const auto changes = nextMemberChanges(m_progress, m_in, m_now);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->joining.size(), 1U);
    EXPECT_EQ(changes->joining.begin()->first, (MemberId { kB, Incarnation(1) }));
}

struct EndCase
{
    const char *name;
    std::vector<Announcement> announcements;
    /// Processes that answer a call afterwards, in this order.
    std::vector<MemberId> answers;
    bool ended;
};

Announcement announcement(const UpstreamId &id, std::uint64_t lifetime, const char *host,
                          bool gone = false)
{
    Announcement a;
    a.upstream = id;
    a.service = ServiceId("s");
    a.lifetime = Incarnation(lifetime);
    a.endpoint = { host, 1 };
    a.gone = gone;
    return a;
}

class MemberEnd : public testing::TestWithParam<EndCase>
{
};

// Guards against a silent member that is taken for ended, as it may still confirm commits, and
// against one that is taken for ended because somebody announced its endpoint.
TEST_P(MemberEnd, IsKnownFromALaterProcessOrTheFinalAnnouncement)
{
    Registry registry;
    registry.services.insert(ServiceId("s"));
    for (const Announcement &a : GetParam().announcements)
        applyAnnouncement(registry, { a, Duration(0) }, kStart, kStart);
    for (const MemberId &process : GetParam().answers)
        noteAnswer(registry, process, kStart);
    EXPECT_EQ(hasEnded(registry, { kA, Incarnation(10) }), GetParam().ended);
}

INSTANTIATE_TEST_SUITE_P(
    Announcements, MemberEnd,
    testing::Values(EndCase { "NotHeardOf", {}, {}, false },
                    EndCase { "Announced", { announcement(kA, 10, "h1") }, {}, false },
                    EndCase { "StartedAgain",
                              { announcement(kA, 10, "h1"), announcement(kA, 11, "h1") },
                              {},
                              true },
                    EndCase { "Deregistered",
                              { announcement(kA, 10, "h1"), announcement(kA, 10, "h1", true) },
                              {},
                              true },
                    EndCase { "EndpointAnnouncedByAnother",
                              { announcement(kA, 10, "h1"), announcement(kB, 11, "h1") },
                              {},
                              false },
                    EndCase { "ReplacedAtItsEndpoint",
                              { announcement(kA, 10, "h1"), announcement(kB, 11, "h1") },
                              { { kB, Incarnation(11) } },
                              true },
                    EndCase { "AnswersAtItsEndpoint",
                              { announcement(kA, 10, "h1"), announcement(kB, 11, "h1") },
                              { { kA, Incarnation(10) }, { kB, Incarnation(11) } },
                              false },
                    EndCase { "OtherEndpoint",
                              { announcement(kA, 10, "h1"), announcement(kB, 11, "h2") },
                              { { kB, Incarnation(11) } },
                              false }),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
