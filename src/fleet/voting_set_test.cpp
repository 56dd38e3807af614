#include <gtest/gtest.h>

#include "shallotlever/fleet/voting_set.h"

namespace shallotlever {
namespace {

const UpstreamId kA("a");
const UpstreamId kB("b");
const UpstreamId kC("c");
const TimePoint kNow { 1000s };

MemberStatus member(std::uint64_t position, UpstreamRole role = UpstreamRole::Replica,
                    std::uint64_t term = 2)
{
    MemberStatus result { .status = {}, .askedAt = kNow };
    result.status.point = { .term = Term(term), .position = LogPosition(position) };
    result.status.role = role;
    return result;
}

RegistryEntry announced(const UpstreamId &id, UpstreamRole role = UpstreamRole::Replica)
{
    RegistryEntry entry;
    entry.announcement.upstream = id;
    entry.announcement.role = role;
    entry.announcement.point.term = Term(2);
    entry.receivedAt = kNow;
    return entry;
}

VotingSetInput readyToJoin()
{
    VotingSetInput input;
    input.group = { .service = ServiceId("s"),
                    .votingSet = { kA, kB },
                    .reservedTerm = Term(2),
                    .term = Term(2),
                    .primary = kA };
    input.viewInForceAt = kNow;
    input.statuses = { { kA, member(5000, UpstreamRole::Primary) },
                       { kB, member(5000) },
                       { kC, member(4500) } };
    for (const UpstreamId &id : { kA, kB, kC })
        input.announced[id] = announced(id);
    return input;
}

struct JoinCase
{
    const char *name;
    void (*change)(VotingSetInput &);
    bool proposed;
};

class Join : public testing::TestWithParam<JoinCase>
{
};

TEST_P(Join, ProposedOnlyWhenSafe)
{
    VotingSetInput input = readyToJoin();
    GetParam().change(input);
    VotingSetProgress progress;
    EXPECT_EQ(nextVotingSetDecision(progress, input, kNow).has_value(), GetParam().proposed);
    // No further decision may be proposed while one is outstanding.
    EXPECT_FALSE(nextVotingSetDecision(progress, input, kNow + 10ms).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Rules, Join,
    testing::Values(
        JoinCase { "ready", [](VotingSetInput &) {}, true },
        JoinCase { "view_not_in_force", [](VotingSetInput &i) { i.viewInForceAt.reset(); }, false },
        JoinCase { "change_running", [](VotingSetInput &i) { i.primaryChanging = true; }, false },
        JoinCase { "term_reserved", [](VotingSetInput &i) { i.group.reservedTerm = Term(3); },
                   false },
        JoinCase { "too_far_behind", [](VotingSetInput &i) { i.statuses[kC] = member(3999); },
                   false },
        JoinCase { "other_term", [](VotingSetInput &i) { i.statuses[kC] = member(5000, {}, 1); },
                   false },
        JoinCase { "majority_behind_the_barrier",
                   [](VotingSetInput &i) { i.statuses[kB] = member(4999); }, false },
        JoinCase { "joiner_suspected",
                   [](VotingSetInput &i) { i.announced[kC].state = UpstreamState::Suspected; },
                   false }),
    [](const auto &info) { return info.param.name; });

// A group of two must be able to acknowledge writes again after its replica was absent for long.
TEST(VotingSet, RemovesMemberAfterLongAbsence)
{
    VotingSetInput input = readyToJoin();
    input.announced.erase(kC);
    input.statuses.erase(kB);
    input.announced[kB].state = UpstreamState::Suspected;
    input.announced[kB].receivedAt = kNow - kMemberRemovalTimeout + 1s;
    VotingSetProgress progress;
    EXPECT_FALSE(nextVotingSetDecision(progress, input, kNow).has_value());
    const auto decision = nextVotingSetDecision(progress, input, kNow + 1s);
    ASSERT_TRUE(decision.has_value());
    EXPECT_EQ(std::get<LeaveVotingSet>(*decision).upstream, kB);
}

TEST(Bootstrap, PublishesFirstPrimaryOnce)
{
    VotingSetInput input;
    input.group.service = ServiceId("s");
    input.controllerSince = kNow - kBootstrapWait;
    input.announced[kA] = announced(kA, UpstreamRole::Primary);
    input.announced[kB] = announced(kB);
    EXPECT_TRUE(std::holds_alternative<JoinVotingSet>(*nextBootstrapDecision(input, kNow)));
    input.group.votingSet = { kA };
    EXPECT_TRUE(std::holds_alternative<ReserveTerm>(*nextBootstrapDecision(input, kNow)));
    input.group.reservedTerm = Term(2);
    EXPECT_TRUE(std::holds_alternative<SetPrimary>(*nextBootstrapDecision(input, kNow)));
    input.group.primary = kA;
    EXPECT_FALSE(nextBootstrapDecision(input, kNow).has_value());
}

TEST(Bootstrap, RejectsTwoPrimariesOfSameTerm)
{
    VotingSetInput input;
    input.controllerSince = kNow - kBootstrapWait;
    input.announced[kA] = announced(kA, UpstreamRole::Primary);
    input.announced[kB] = announced(kB, UpstreamRole::Primary);
    EXPECT_FALSE(nextBootstrapDecision(input, kNow).has_value());
}

} // namespace
} // namespace shallotlever
