#include <gtest/gtest.h>

#include "shallotlever/fleet/confirmed_change.h"

namespace shallotlever {
namespace {

const ServiceId kService("s");
const UpstreamId kPrimary("p");
const TimePoint kStart(100s);

UpstreamStatus status(UpstreamRole role, std::uint64_t position, std::uint64_t fenced = 0)
{
    UpstreamStatus s;
    s.role = role;
    s.point = { Term(3), LogPosition(position) };
    s.fencedTerm = Term(fenced);
    s.newestTerm = Term(3);
    return s;
}

ConfirmedInput input()
{
    ConfirmedInput in;
    in.group.service = kService;
    in.group.primary = kPrimary;
    in.group.term = in.group.reservedTerm = Term(1);
    in.confirmingReplicas = 1;
    return in;
}

ConfirmedMember member(std::optional<UpstreamStatus> answered,
                       UpstreamState state = UpstreamState::Live, bool leaving = false)
{
    ConfirmedMember m;
    m.state = state;
    m.leaving = leaving;
    m.status = answered;
    m.statusAskedAt = kStart;
    return m;
}

constexpr std::uint64_t kFence = 4;
const auto kDown = UpstreamState::Suspected;

struct CandidateCase
{
    const char *name;
    std::map<UpstreamId, ConfirmedMember> members;
    std::uint32_t confirming;
    std::optional<UpstreamId> expected;
};

class ConfirmedCandidate : public testing::TestWithParam<CandidateCase>
{
};

// Guards against the promotion of a database that may lack an acknowledged commit.
TEST_P(ConfirmedCandidate, HoldsEveryAcknowledgedCommit)
{
    ConfirmedInput in = input();
    in.members = GetParam().members;
    in.confirmingReplicas = GetParam().confirming;
    ConfirmedChange change;
    change.fenceTerm = Term(kFence);
    change.phaseStartedAt = kStart;
    EXPECT_EQ(chooseConfirmedCandidate(change, in), GetParam().expected);
}

const UpstreamId kA("a");
const UpstreamId kB("b");
const auto kReplica = UpstreamRole::Replica;

INSTANTIATE_TEST_SUITE_P(
    Groups, ConfirmedCandidate,
    testing::Values(
        CandidateCase { "LongestOfAllReplicas",
                        { { kPrimary, member(std::nullopt, kDown) },
                          { kA, member(status(kReplica, 7, kFence)) },
                          { kB, member(status(kReplica, 9, kFence)) } },
                        1,
                        kB },
        CandidateCase { "OneReplicaUnknownAndPrimaryUnknown",
                        { { kPrimary, member(std::nullopt, kDown) },
                          { kA, member(status(kReplica, 7, kFence)) },
                          { kB, member(std::nullopt, kDown) } },
                        1,
                        std::nullopt },
        CandidateCase { "OneReplicaUnknownButPrimaryFencedAndReached",
                        { { kPrimary, member(status(kReplica, 7)) },
                          { kA, member(status(kReplica, 7, kFence)) },
                          { kB, member(std::nullopt, kDown) } },
                        1,
                        kA },
        CandidateCase { "OneReplicaUnknownAndPrimaryIsAhead",
                        { { kPrimary, member(status(kReplica, 8), UpstreamState::Live, true) },
                          { kA, member(status(kReplica, 7, kFence)) },
                          { kB, member(std::nullopt, kDown) } },
                        1,
                        kPrimary },
        CandidateCase { "FenceOfALowerTermDoesNotCount",
                        { { kPrimary, member(std::nullopt, kDown) },
                          { kA, member(status(kReplica, 7, kFence - 1)) },
                          { kB, member(status(kReplica, 6, kFence)) } },
                        1,
                        std::nullopt },
        CandidateCase { "TwoConfirmingReplicasAllowOneUnknown",
                        { { kPrimary, member(std::nullopt, kDown) },
                          { kA, member(status(kReplica, 7, kFence)) },
                          { kB, member(std::nullopt, kDown) } },
                        2,
                        kA },
        CandidateCase { "LeavingReplicaIsNotPromoted",
                        { { kPrimary, member(std::nullopt, kDown) },
                          { kA, member(status(kReplica, 7, kFence)) },
                          { kB, member(status(kReplica, 7, kFence), UpstreamState::Live, true) } },
                        1,
                        kA }),
    [](const auto &info) { return info.param.name; });

class UnpromotableHolder : public testing::TestWithParam<ConfirmedMember>
{
};

// Guards against the promotion of a database that lacks commits which a fenced replica holds that
// can't be promoted itself.
TEST_P(UnpromotableHolder, NoOtherIsPromotedWithoutItsCommits)
{
    ConfirmedInput in = input();
    in.members = { { kPrimary, member(std::nullopt, kDown) },
                   { kA, member(status(kReplica, 7, kFence)) },
                   { kB, GetParam() } };
    ConfirmedChange change;
    change.phaseStartedAt = kStart;
    change.fenceTerm = Term(kFence);
    EXPECT_NE(chooseConfirmedCandidate(change, in), kA);
}

INSTANTIATE_TEST_SUITE_P(Replicas, UnpromotableHolder,
                         testing::Values(member(status(kReplica, 9, kFence), UpstreamState::Live,
                                                true),
                                         member(status(kReplica, 9, kFence), kDown)));

ConfirmedMember process(std::uint64_t incarnation, const ConfirmedMember &answered)
{
    ConfirmedMember m = answered;
    m.incarnation = Incarnation(incarnation);
    return m;
}

struct ProcessCase
{
    const char *name;
    std::map<UpstreamId, ConfirmedMember> members;
    std::set<MemberId> recorded;
    std::optional<UpstreamId> expected;
};

class RecordedProcesses : public testing::TestWithParam<ProcessCase>
{
};

const MemberId kFirstP { kPrimary, Incarnation(1) };
const MemberId kFirstA { kA, Incarnation(1) };
const MemberId kFirstB { kB, Incarnation(1) };

// Guards against the promotion of a database that lacks acknowledged commits, because the process
// that confirmed them is not heard of or has been replaced by one that starts with nothing.
TEST_P(RecordedProcesses, CountAsUnfencedUntilHeard)
{
    ConfirmedInput in = input();
    in.members = GetParam().members;
    for (const MemberId &recorded : GetParam().recorded)
        in.group.members[recorded] = {};
    in.group.primaryIncarnation = Incarnation(1);
    ConfirmedChange change;
    change.fenceTerm = Term(kFence);
    change.phaseStartedAt = kStart;
    EXPECT_EQ(chooseConfirmedCandidate(change, in), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Groups, RecordedProcesses,
    testing::Values(ProcessCase { "AllHeard",
                                  { { kPrimary, process(1, member(std::nullopt, kDown)) },
                                    { kA, process(1, member(status(kReplica, 9, kFence))) },
                                    { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, kFirstA, kFirstB },
                                  kA },
                    ProcessCase { "RebornReplicaHoldsNothing",
                                  { { kPrimary, process(1, member(std::nullopt, kDown)) },
                                    { kA, process(2, member(status(kReplica, 0, kFence))) },
                                    { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, kFirstA, kFirstB, { kA, Incarnation(2) } },
                                  std::nullopt },
                    ProcessCase { "RebornReplicaAndPrimaryFencedAndReached",
                                  { { kPrimary, process(1, member(status(kReplica, 9), kDown)) },
                                    { kA, process(2, member(status(kReplica, 0, kFence))) },
                                    { kB, process(1, member(status(kReplica, 9, kFence))) } },
                                  { kFirstP, kFirstA, kFirstB, { kA, Incarnation(2) } },
                                  kB },
                    ProcessCase { "RebornReplicaWhoseFirstProcessHasLeft",
                                  { { kPrimary, process(1, member(std::nullopt, kDown)) },
                                    { kA, process(2, member(status(kReplica, 9, kFence))) },
                                    { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, kFirstB, { kA, Incarnation(2) } },
                                  kA },
                    ProcessCase { "ReplicaNotHeardOf",
                                  { { kPrimary, process(1, member(std::nullopt, kDown)) },
                                    { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, kFirstA, kFirstB },
                                  std::nullopt },
                    ProcessCase { "ReplicaAndPrimaryNotHeardOf",
                                  { { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, kFirstA, kFirstB },
                                  std::nullopt },
                    ProcessCase { "RebornPrimaryWithoutItsLog",
                                  { { kPrimary, process(2, member(status(kReplica, 0))) },
                                    { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, { kPrimary, Incarnation(2) }, kFirstA, kFirstB },
                                  std::nullopt },
                    ProcessCase { "RebornPrimaryWithAShorterLogThanAReplica",
                                  { { kPrimary, process(2, member(status(kReplica, 6))) },
                                    { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, { kPrimary, Incarnation(2) }, kFirstA, kFirstB },
                                  std::nullopt },
                    ProcessCase { "RestartedPrimaryWithItsLog",
                                  { { kPrimary, process(2, member(status(kReplica, 9))) },
                                    { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, { kPrimary, Incarnation(2) }, kFirstA, kFirstB },
                                  kPrimary },
                    ProcessCase { "ReplicaNotYetRecorded",
                                  { { kPrimary, process(1, member(std::nullopt, kDown)) },
                                    { kA, process(1, member(std::nullopt)) },
                                    { kB, process(1, member(status(kReplica, 7, kFence))) } },
                                  { kFirstP, kFirstB },
                                  std::nullopt }),
    [](const auto &info) { return info.param.name; });

template <typename Action>
const Action *find(const std::vector<ConfirmedAction> &actions)
{
    for (const ConfirmedAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

/// A group whose primary has failed. reserve() reserves epoch 2 for the change.
class ConfirmedChangeTest : public testing::Test
{
protected:
    ConfirmedChangeTest()
    {
        m_in = input();
        m_in.members = { { kPrimary, member(status(UpstreamRole::Primary, 9), kDown) },
                         { kA, member(status(kReplica, 9)) },
                         { kB, member(status(kReplica, 8)) } };
    }

    std::vector<ConfirmedAction> step()
    {
        m_now += 50ms;
        return stepConfirmedChange(m_change, m_in, m_now);
    }

    void reserve()
    {
        step();
        const auto actions = step();
        ASSERT_NE(find<Propose>(actions), nullptr);
        m_in.group.reservedTerm = m_in.ownReservedTerm = Term(2);
        step();
    }

    void fenceReplicas()
    {
        step();
        for (const auto &[id, position] : { std::pair(kA, 9), std::pair(kB, 8) }) {
            m_in.members[id].status = status(kReplica, position, kFence);
            m_in.members[id].statusAskedAt = m_now;
        }
    }

    /// Goes on until the promotion of kA is ordered.
    void promote()
    {
        reserve();
        fenceReplicas();
        m_in.primaryReleased = true;
        step();
        ASSERT_NE(find<Promote>(step()), nullptr);
    }

    ConfirmedInput m_in;
    ConfirmedChange m_change;
    TimePoint m_now = kStart;
};

// Guards against promoting a second primary while a node may still read from the first.
TEST_F(ConfirmedChangeTest, PromotesOnlyAfterAllNodesReleasedPrimary)
{
    reserve();
    for (int i = 0; i < 20; ++i) {
        fenceReplicas();
        EXPECT_EQ(find<Promote>(step()), nullptr);
    }
    m_in.primaryReleased = true;
    step();
    const auto actions = step();
    const auto *promote = find<Promote>(actions);
    ASSERT_NE(promote, nullptr);
    EXPECT_EQ(promote->upstream, kA);
    EXPECT_EQ(promote->term, Term(2));
}

// Guards against a new group without a primary, in which every write fails, for as long as one of
// many nodes has not applied the view.
TEST_F(ConfirmedChangeTest, FirstPrimaryIsPublishedWithoutWaitingForNodes)
{
    m_in.group.primary.reset();
    m_in.members[kPrimary] = member(status(UpstreamRole::Primary, 9));
    m_in.members[kPrimary].announcedRole = UpstreamRole::Primary;
    reserve();
    m_in.members[kPrimary].statusAskedAt = m_now;
    step();
    const auto actions = step();
    const auto *propose = find<Propose>(actions);
    ASSERT_NE(propose, nullptr);
    EXPECT_EQ(std::get<SetPrimary>(propose->decision).upstream, kPrimary);
}

// Guards against publishing a primary before it has taken the role, and against a change that hangs
// because the promoted database has no free slot for a status query.
TEST_F(ConfirmedChangeTest, PublishesAfterCandidateAnnouncesPrimaryRole)
{
    reserve();
    fenceReplicas();
    m_in.primaryReleased = true;
    step();
    step();
    onPromoteAnswer(m_change, kA, Term(2), PromotionOutcome::Accepted, m_now);
    EXPECT_EQ(find<Propose>(step()), nullptr);
    m_in.members[kA].announcedRole = UpstreamRole::Primary;
    step();
    const auto actions = step();
    const auto *propose = find<Propose>(actions);
    ASSERT_NE(propose, nullptr);
    const auto &set = std::get<SetPrimary>(propose->decision);
    EXPECT_EQ(set.upstream, kA);
    EXPECT_EQ(set.term, Term(2));
}

// Guards against orders that are under way together: a late one of an earlier epoch takes effect
// after a later one.
TEST_F(ConfirmedChangeTest, OneOrderIsUnderWayAtATime)
{
    promote();
    for (TimePoint end = m_now + kPromotionOrderTimeout - 50ms; m_now < end;)
        EXPECT_EQ(find<Promote>(step()), nullptr);
    onPromoteAnswer(m_change, kA, Term(2), PromotionOutcome::Unknown, m_now);
    fenceReplicas();
    bool repeated = false;
    for (int i = 0; i < 6; ++i)
        repeated = repeated || find<Promote>(step()) != nullptr;
    EXPECT_TRUE(repeated);
}

// Guards against taking the answer to the order of an earlier epoch for one to the present order.
TEST_F(ConfirmedChangeTest, AnswerOfAnEarlierEpochIsIgnored)
{
    promote();
    onPromoteAnswer(m_change, kA, Term(1), PromotionOutcome::Accepted, m_now);
    EXPECT_FALSE(m_change.promotedAt);
}

// Guards against a group that stays without a primary because the answer to the promotion was lost.
TEST_F(ConfirmedChangeTest, PromotionWithoutAnAnswerIsSeenByTheRole)
{
    promote();
    step();
    m_in.members[kA].status = status(UpstreamRole::Primary, 9);
    m_in.members[kA].statusAskedAt = m_now;
    step();
    EXPECT_EQ(m_change.phase, ConfirmedPhase::Publishing);
}

// Guards against a candidate that was chosen from fences which have been lost since, by a restart
// or by a late call of a former controller.
TEST_F(ConfirmedChangeTest, FencesThatAreNotConfirmedAgainDoNotCount)
{
    reserve();
    fenceReplicas();
    while (m_now < kStart + kMaxFenceAge + 1s)
        step();
    m_in.primaryReleased = true;
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(find<Promote>(step()), nullptr);
    fenceReplicas();
    step();
    EXPECT_NE(find<Promote>(step()), nullptr);
}

// Guards against an order that is given again, long after the first one, from fences that have been
// lost since.
TEST_F(ConfirmedChangeTest, OrderIsNotRepeatedWithoutConfirmedFences)
{
    promote();
    for (TimePoint end = m_now + kPromotionOrderTimeout; m_now < end;)
        step();
    onPromoteAnswer(m_change, kA, Term(2), PromotionOutcome::Unknown, m_now);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(find<Promote>(step()), nullptr);
    EXPECT_EQ(m_change.phase, ConfirmedPhase::Fencing);
    EXPECT_EQ(m_change.epoch, Term(2));
    fenceReplicas();
    step();
    EXPECT_NE(find<Promote>(step()), nullptr);
}

// Guards against publishing a former primary that was stepped down and doesn't lead again yet.
TEST_F(ConfirmedChangeTest, EarlierAnnouncementOfTheFormerPrimaryDoesNotCount)
{
    m_in.members[kPrimary] = member(status(kReplica, 10));
    m_in.members[kPrimary].announcedRole = UpstreamRole::Primary;
    m_change.phase = ConfirmedPhase::Promoting;
    m_change.candidate = kPrimary;
    m_change.phaseStartedAt = m_change.promotedAt.emplace(m_now);
    step();
    EXPECT_EQ(m_change.phase, ConfirmedPhase::Promoting);
    m_in.members[kPrimary].status = status(UpstreamRole::Primary, 10);
    m_in.members[kPrimary].statusAskedAt = m_now;
    step();
    EXPECT_EQ(m_change.phase, ConfirmedPhase::Publishing);
}

// Guards against a new controller that lifts the fences on which a change of its predecessor
// relies.
TEST_F(ConfirmedChangeTest, FencesOfAnUnfinishedChangeAreNotLifted)
{
    m_in.members[kPrimary].state = UpstreamState::Live;
    m_in.members[kA].status = status(kReplica, 9, kFence);
    m_in.group.reservedTerm = Term(2);
    m_change.notBefore = m_now + 10s;
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(find<Resume>(step()), nullptr);
}

// Guards against a new controller that lifts fences before it has heard of the databases.
TEST_F(ConfirmedChangeTest, FencesAreNotLiftedWithAnIncompleteRegistry)
{
    m_in.members[kPrimary].state = UpstreamState::Live;
    m_in.members[kA].status = status(kReplica, 9, kFence);
    m_in.registryComplete = false;
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(find<Resume>(step()), nullptr);
    m_in.registryComplete = true;
    EXPECT_NE(find<Resume>(step()), nullptr);
}

// Guards against repeating a promotion that the platform refused.
TEST_F(ConfirmedChangeTest, RefusedPromotionRequiresNewEpoch)
{
    reserve();
    fenceReplicas();
    m_in.primaryReleased = true;
    step();
    step();
    onPromoteAnswer(m_change, kA, Term(2), PromotionOutcome::Refused, m_now);
    step();
    const auto actions = step();
    const auto *propose = find<Propose>(actions);
    ASSERT_NE(propose, nullptr);
    EXPECT_EQ(std::get<ReserveTerm>(propose->decision).term, Term(3));
}

// Guards against a failover caused by missing statuses: an overloaded database answers no status
// query, which made a healthy primary appear to be cut off from its replicas.
TEST_F(ConfirmedChangeTest, MissingStatusesDoNotIndicateStall)
{
    m_in.members[kPrimary].state = UpstreamState::Live;
    for (int i = 0; i < 100; ++i) {
        m_in.members[kPrimary].status->point.position = LogPosition(static_cast<unsigned>(10 + i));
        m_in.members[kPrimary].statusAskedAt = m_now;
        step();
        ASSERT_EQ(m_change.phase, ConfirmedPhase::Idle);
    }
}

// Guards against a primary that is not replaced although none of its commits can be confirmed.
TEST_F(ConfirmedChangeTest, ReplacesPrimaryWithStalledReplication)
{
    m_in.members[kPrimary].state = UpstreamState::Live;
    for (int i = 0; i < 60; ++i) {
        m_in.members[kPrimary].status->point.position = LogPosition(20);
        for (auto &[id, m] : m_in.members)
            m.statusAskedAt = m_now;
        step();
    }
    EXPECT_NE(m_change.phase, ConfirmedPhase::Idle);
    EXPECT_EQ(m_change.reason, ChangeReason::Stalled);
}

// Guards against taking the empty process that starts under the id of a promoted database for it.
TEST_F(ConfirmedChangeTest, CandidateThatStartsAgainIsNotPublished)
{
    reserve();
    fenceReplicas();
    m_in.primaryReleased = true;
    step();
    step();
    onPromoteAnswer(m_change, kA, Term(2), PromotionOutcome::Accepted, m_now);
    m_in.members[kA].incarnation = Incarnation(2);
    m_in.members[kA].announcedRole = UpstreamRole::Primary;
    step();
    const auto actions = step();
    const auto *propose = find<Propose>(actions);
    ASSERT_NE(propose, nullptr);
    EXPECT_TRUE(std::holds_alternative<ReserveTerm>(propose->decision));
}

// Guards against a primary that starts again with nothing and stays in office.
TEST_F(ConfirmedChangeTest, PrimaryThatStartsAgainIsReplaced)
{
    m_in.group.primaryIncarnation = Incarnation(1);
    m_in.members[kPrimary] = process(2, member(status(UpstreamRole::Primary, 0)));
    EXPECT_EQ(confirmedChangeDue(m_change, m_in, m_now), ChangeReason::Restarted);
    m_in.group.primaryIncarnation = Incarnation(2);
    EXPECT_EQ(confirmedChangeDue(m_change, m_in, m_now), ChangeReason::None);
}

// Guards against a planned change, which lets commits finish, for a primary that a new controller
// has not heard of.
TEST_F(ConfirmedChangeTest, PrimaryNotHeardOfIsNotLeaving)
{
    m_in.members.erase(kPrimary);
    EXPECT_EQ(confirmedChangeDue(m_change, m_in, m_now), ChangeReason::Suspected);
}

// Guards against an empty log of the former primary that passes for all that it acknowledged, when
// it was longer before.
TEST_F(ConfirmedChangeTest, LogEndsHeardBeforeAChangeCount)
{
    m_in.group.primaryIncarnation = Incarnation(1);
    reserve();
    m_in.members[kPrimary] = process(2, member(status(kReplica, 8)));
    m_in.members[kPrimary].statusAskedAt = m_now;
    m_in.members.erase(kA);
    m_in.group.members[{ kA, Incarnation() }] = {};
    m_in.members[kB].status = status(kReplica, 8, kFence);
    m_in.members[kB].statusAskedAt = m_now;
    step();
    EXPECT_FALSE(m_change.candidate);
    EXPECT_FALSE(m_change.awaited.empty());
}

// Guards against a planned change that interrupts in-flight commits.
TEST_F(ConfirmedChangeTest, PlannedChangeFencesOnlyAfterPrimaryIsReleased)
{
    m_in.members[kPrimary] = member(status(UpstreamRole::Primary, 9), UpstreamState::Live, true);
    reserve();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(find<StepDown>(step()), nullptr);
    m_in.primaryReleased = true;
    bool fenced = false;
    for (int i = 0; i < 5; ++i)
        fenced = fenced || find<StepDown>(step()) != nullptr;
    EXPECT_TRUE(fenced);
}

} // namespace
} // namespace shallotlever
