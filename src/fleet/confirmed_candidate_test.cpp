#include <gtest/gtest.h>

#include "shallotlever/fleet/confirmed_change.h"

namespace shallotlever {
namespace {

const UpstreamId kPrimary("p");
const UpstreamId kA("a");
const UpstreamId kB("b");
const TimePoint kStart(100s);
constexpr Term kFence(4);
const auto kReplica = UpstreamRole::Replica;
const auto kLive = UpstreamState::Live;
const auto kDown = UpstreamState::Suspected;

UpstreamStatus status(UpstreamRole role, std::uint64_t position, Term fence = Term())
{
    UpstreamStatus s;
    s.role = role;
    s.point = { Term(3), LogPosition(position) };
    s.newestTerm = Term(3);
    s.fencedTerm = fence;
    return s;
}

ConfirmedMember fenced(std::uint64_t position, UpstreamState state = kLive, bool leaving = false)
{
    ConfirmedMember m;
    m.state = state;
    m.leaving = leaving;
    m.status = status(kReplica, position, kFence);
    m.statusAskedAt = kStart;
    return m;
}

ConfirmedMember evacuated(std::uint64_t position)
{
    ConfirmedMember m = fenced(position, UpstreamState::Leaving, true);
    m.evacuated = true;
    return m;
}

ConfirmedMember silent()
{
    ConfirmedMember m;
    m.state = kDown;
    return m;
}

using Members = std::map<UpstreamId, ConfirmedMember>;

struct CandidateCase
{
    const char *name;
    Members members;
    std::uint32_t confirming;
    std::optional<UpstreamId> expected;
};

class LongestFencedLog : public testing::TestWithParam<CandidateCase>
{
};

// Guards against a choice among the databases that can be promoted before it is known where the
// acknowledged commits are.
TEST_P(LongestFencedLog, IsPromotedWhateverTheStateOfItsDatabase)
{
    ConfirmedInput in;
    in.group.primary = kPrimary;
    in.members = GetParam().members;
    in.confirmingReplicas = GetParam().confirming;
    ConfirmedChange change;
    change.fenceTerm = kFence;
    change.phaseStartedAt = kStart;
    EXPECT_EQ(chooseConfirmedCandidate(change, in), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Groups, LongestFencedLog,
    testing::Values(
        CandidateCase {
            "LeavingHolder",
            { { kPrimary, silent() }, { kA, fenced(7) }, { kB, fenced(9, kLive, true) } },
            1,
            kB },
        CandidateCase { "SuspectedHolder",
                        { { kPrimary, silent() }, { kA, fenced(7) }, { kB, fenced(9, kDown) } },
                        1,
                        kB },
        CandidateCase { "LiveOneAmongEquals",
                        { { kPrimary, silent() }, { kA, fenced(9, kDown) }, { kB, fenced(9) } },
                        1,
                        kB },
        CandidateCase { "OnlyReplicaOfTwoIsLeaving",
                        { { kPrimary, silent() }, { kA, fenced(9, kLive, true) } },
                        1,
                        kA },
        CandidateCase { "EvacuatedOneIsTheLastChoice",
                        { { kPrimary, evacuated(9) }, { kA, evacuated(9) }, { kB, fenced(9) } },
                        1,
                        kB },
        CandidateCase { "LeavingOneBeforeAnEvacuatedOne",
                        { { kPrimary, silent() },
                          { kA, evacuated(9) },
                          { kB, fenced(9, UpstreamState::Leaving, true) } },
                        1,
                        kB },
        CandidateCase { "EvacuatedOneAloneHoldsAllCommits",
                        { { kPrimary, silent() }, { kA, evacuated(9) }, { kB, fenced(7) } },
                        1,
                        kA },
        CandidateCase { "HolderIsUnfencedAndPrimaryFencedAtItsEnd",
                        { { kPrimary, fenced(9) }, { kA, fenced(7) }, { kB, silent() } },
                        1,
                        kPrimary },
        CandidateCase {
            "LeavingPrimaryHoldsWhatNoFencedReplicaHolds",
            { { kPrimary, fenced(9, kLive, true) }, { kA, fenced(7) }, { kB, silent() } },
            1,
            kPrimary },
        CandidateCase {
            "UnconfirmedCommitsOfALeavingPrimaryDoNotCount",
            { { kPrimary, fenced(11, kLive, true) }, { kA, fenced(9) }, { kB, fenced(9) } },
            1,
            kA },
        CandidateCase { "PrimaryThatFailedIsNotPreferredToAReplicaWithAllCommits",
                        { { kPrimary, fenced(11) }, { kA, fenced(7) }, { kB, fenced(9) } },
                        1,
                        kB },
        CandidateCase { "ShorterReplicaAndPrimaryWithTwoConfirming",
                        { { kPrimary, silent() }, { kA, fenced(7) }, { kB, fenced(9, kDown) } },
                        2,
                        kB }),
    [](const auto &info) { return info.param.name; });

/// A group whose primary has failed while B holds the longest log. Databases answer each call to
/// fence them unless they are listed as silent.
class LongestHolder : public testing::Test
{
protected:
    LongestHolder()
    {
        m_in.group.primary = kPrimary;
        m_in.group.term = m_in.group.reservedTerm = Term(1);
        m_in.confirmingReplicas = 1;
        m_in.primaryReleased = true;
        m_in.members = { { kPrimary, silent() }, { kA, {} }, { kB, {} } };
        m_in.members[kA].status = status(kReplica, 7);
        m_in.members[kB].status = status(kReplica, 9);
    }

    void answer(const UpstreamId &id, Term fence)
    {
        UpstreamStatus &status = *m_in.members[id].status;
        if (m_silent.contains(id))
            return;
        if (status.role == UpstreamRole::Replica)
            status.fencedTerm = fence;
        m_in.members[id].statusAskedAt = m_now;
    }

    void stepDown(const UpstreamId &id)
    {
        if (!m_in.members[id].status)
            return;
        m_in.members[id].status->role = UpstreamRole::Replica;
        answer(id, m_in.members[id].status->fencedTerm);
    }

    void execute(const ConfirmedAction &action)
    {
        if (const auto *fence = std::get_if<Fence>(&action))
            answer(fence->upstream, fence->term);
        if (const auto *order = std::get_if<StepDown>(&action))
            stepDown(order->upstream);
        if (const auto *query = std::get_if<QueryStatus>(&action)) {
            if (m_in.members[query->upstream].status)
                answer(query->upstream, m_in.members[query->upstream].status->fencedTerm);
        }
        if (const auto *propose = std::get_if<Propose>(&action)) {
            if (const auto *reserve = std::get_if<ReserveTerm>(&propose->decision))
                m_in.group.reservedTerm = m_in.ownReservedTerm = reserve->term;
        }
    }

    /// Advances until an order is given, for at most `limit`.
    std::optional<Promote> nextOrder(Duration limit)
    {
        for (const TimePoint end = m_now + limit; m_now < end;) {
            m_now += 50ms;
            for (const ConfirmedAction &action : stepConfirmedChange(m_change, m_in, m_now)) {
                execute(action);
                if (const auto *promote = std::get_if<Promote>(&action))
                    return *promote;
            }
        }
        return std::nullopt;
    }

    ConfirmedInput m_in;
    ConfirmedChange m_change;
    TimePoint m_now = kStart;
    std::set<UpstreamId> m_silent;
};

// Guards against a shorter log that is promoted because the platform once refused the database with
// the longest one.
TEST_F(LongestHolder, IsAskedAgainAfterARefusal)
{
    auto order = nextOrder(5s);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->upstream, kB);
    const Term refused = order->term;
    onPromoteAnswer(m_change, kB, m_change.epoch, PromotionOutcome::Refused, m_now);
    order = nextOrder(5s);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->upstream, kB);
    EXPECT_GT(order->term, refused);
}

// Guards against an operator who isn't told that a change waits for a database that the platform
// refuses to promote.
TEST_F(LongestHolder, IsNamedWhileItIsRefused)
{
    ASSERT_TRUE(nextOrder(5s));
    onPromoteAnswer(m_change, kB, m_change.epoch, PromotionOutcome::Refused, m_now);
    EXPECT_FALSE(nextOrder(kRefusedPromotionRetryInterval - 50ms));
    const std::vector<AwaitedProcess> awaited {
        { { kPrimary, Incarnation() }, AwaitReason::Unfenced },
        { { kB, Incarnation() }, AwaitReason::Refused },
    };
    EXPECT_EQ(m_change.awaited, awaited);
}

// Guards against a wait for a database that is refused while another one holds all commits.
TEST_F(LongestHolder, IsNotAwaitedIfAnotherHoldsTheSame)
{
    m_in.members[kA].status = status(kReplica, 9);
    auto order = nextOrder(5s);
    ASSERT_TRUE(order);
    const UpstreamId refused = order->upstream;
    onPromoteAnswer(m_change, refused, m_change.epoch, PromotionOutcome::Refused, m_now);
    order = nextOrder(kRefusedPromotionRetryInterval - 50ms);
    ASSERT_TRUE(order);
    EXPECT_NE(order->upstream, refused);
}

// Guards against a change that starts over for ever instead of promoting a database which runs
// although it is suspected or leaving.
TEST_F(LongestHolder, IsOrderedWhileSuspectedOrLeaving)
{
    for (const bool leaving : { false, true }) {
        m_change = {};
        m_in.group.reservedTerm = m_in.group.term;
        m_in.members[kB].state = leaving ? UpstreamState::Leaving : kDown;
        m_in.members[kB].leaving = leaving;
        const auto order = nextOrder(5s);
        ASSERT_TRUE(order) << "leaving: " << leaving;
        EXPECT_EQ(order->upstream, kB) << "leaving: " << leaving;
    }
}

// Guards against a primary that a predecessor promoted and that is fenced for ever, because it is
// leaving.
TEST_F(LongestHolder, PromotedByAPredecessorIsPublishedWhileLeaving)
{
    m_in.members[kB].leaving = true;
    m_in.members[kB].status = status(UpstreamRole::Primary, 9);
    m_in.members[kB].status->newestTerm = Term(8);
    EXPECT_FALSE(nextOrder(1s));
    EXPECT_EQ(m_change.phase, ConfirmedPhase::Publishing);
    EXPECT_EQ(m_change.candidate, kB);
}

// Guards against a change that waits for ever for a primary of an earlier term, on which a fence
// has no effect.
TEST_F(LongestHolder, IsPromotedAfterAnEarlierPrimaryStepsDown)
{
    m_in.members[kA].status = status(UpstreamRole::Primary, 7);
    m_in.members[kA].status->newestTerm = Term(2);
    m_in.members[kA].status->point.term = Term(2);
    const auto order = nextOrder(5s);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->upstream, kB);
}

// Guards against a database that is leaving and stays primary although another one can lead.
TEST_F(LongestHolder, IsReplacedAfterItLeadsWhileLeaving)
{
    m_in.group.primary = kB;
    m_in.members[kB] = fenced(9, kLive, true);
    m_in.members[kB].status->role = UpstreamRole::Primary;
    EXPECT_EQ(confirmedChangeDue(m_change, m_in, m_now), ChangeReason::Leaving);
}

// Guards against an endless wait for a database that died after it had been fenced.
TEST_F(LongestHolder, ThatDiedIsNotAwaitedOnceThePrimaryIsBack)
{
    const auto first = nextOrder(5s);
    ASSERT_TRUE(first);
    ASSERT_EQ(first->upstream, kB);
    m_silent = { kB };
    m_in.members[kB].state = kDown;
    onPromoteAnswer(m_change, kB, m_change.epoch, PromotionOutcome::Refused, m_now);
    EXPECT_FALSE(nextOrder(1s));
    m_in.members[kPrimary] = fenced(9);
    m_in.members[kPrimary].statusAskedAt = m_now;
    const auto order = nextOrder(5s);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->upstream, kPrimary);
}

// Guards against the promotion of a shorter log when the only holder of the longest one died after
// it had been fenced.
TEST_F(LongestHolder, ThatDiedIsAwaitedWhileItAloneMayHoldCommits)
{
    const auto first = nextOrder(5s);
    ASSERT_TRUE(first);
    m_silent = { kB };
    m_in.members[kB].state = kDown;
    onPromoteAnswer(m_change, kB, m_change.epoch, PromotionOutcome::Refused, m_now);
    EXPECT_FALSE(nextOrder(20s));
    EXPECT_FALSE(m_change.awaited.empty());
}

struct SuccessorCase
{
    const char *name;
    Endpoint endpoint;
    std::uint64_t incarnation;
    std::uint64_t position;
    std::optional<UpstreamId> expected;
};

class PrimarySuccessor : public testing::TestWithParam<SuccessorCase>
{
};

// Guards against a group that stays without a primary for ever after the primary and a replica have
// left in order, and against taking any later database for the one that got the primary's log.
TEST_P(PrimarySuccessor, HoldsThePrimarysLog)
{
    const Endpoint primaryEndpoint { "10.0.0.1", 7000 };
    const UpstreamId successor("y");
    ConfirmedInput in;
    in.confirmingReplicas = 1;
    in.group.primary = kPrimary;
    in.group.term = in.group.reservedTerm = Term(1);
    in.group.primaryIncarnation = Incarnation(2);
    in.group.members[{ kPrimary, Incarnation(2) }].endpoint = primaryEndpoint;
    in.group.members[{ kA, Incarnation(1) }].endpoint = { "10.0.0.2", 7000 };
    in.group.members[{ kB, Incarnation(1) }].endpoint = { "10.0.0.3", 7000 };
    in.members[kB] = fenced(7);
    in.members[kB].incarnation = Incarnation(1);
    in.members[successor] = fenced(GetParam().position);
    in.members[successor].incarnation = Incarnation(GetParam().incarnation);
    in.members[successor].record.endpoint = GetParam().endpoint;
    ConfirmedChange change;
    change.fenceTerm = kFence;
    EXPECT_EQ(chooseConfirmedCandidate(change, in), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Databases, PrimarySuccessor,
    testing::Values(SuccessorCase { "GotTheLog", { "10.0.0.1", 7000 }, 3, 9, UpstreamId("y") },
                    SuccessorCase { "StartedEmpty", { "10.0.0.1", 7000 }, 3, 0, std::nullopt },
                    SuccessorCase {
                        "IsShorterThanAReplica", { "10.0.0.1", 7000 }, 3, 6, std::nullopt },
                    SuccessorCase { "RunsElsewhere", { "10.0.0.9", 7000 }, 3, 9, std::nullopt },
                    SuccessorCase { "StartedEarlier", { "10.0.0.1", 7000 }, 1, 9, std::nullopt }),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
