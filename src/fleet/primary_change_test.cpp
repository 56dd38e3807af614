#include <gtest/gtest.h>

#include "shallotlever/fleet/primary_change.h"

namespace shallotlever {
namespace {

UpstreamStatus status(std::uint64_t term, std::uint64_t position,
                      UpstreamRole role = UpstreamRole::Replica, std::uint64_t fenced = 0)
{
    return { .point = { .term = Term(term), .position = LogPosition(position) },
             .role = role,
             .fencedTerm = Term(fenced) };
}

struct ChoiceCase
{
    const char *name;
    /// Member, term, position.
    std::vector<std::tuple<const char *, std::uint64_t, std::uint64_t>> fenced;
    std::uint64_t published;
    std::set<UpstreamId> avoid;
    std::optional<UpstreamId> chosen;
};

class ChooseCandidate : public testing::TestWithParam<ChoiceCase>
{
};

TEST_P(ChooseCandidate, HoldsEveryAcknowledgedWrite)
{
    const ChoiceCase &c = GetParam();
    std::map<UpstreamId, UpstreamStatus> fenced;
    for (const auto &[id, term, position] : c.fenced)
        fenced[UpstreamId(id)] = status(term, position);
    const std::set<UpstreamId> set { UpstreamId("a"), UpstreamId("b"), UpstreamId("c") };
    EXPECT_EQ(chooseCandidate(fenced, set, Term(c.published), c.avoid), c.chosen);
}

const UpstreamId kA("a");
const UpstreamId kB("b");

INSTANTIATE_TEST_SUITE_P(
    Rules, ChooseCandidate,
    testing::Values(
        ChoiceCase { "no_majority", { { "a", 2, 9 } }, 2, {}, std::nullopt },
        ChoiceCase { "outsiders_do_not_count", { { "a", 2, 9 }, { "x", 2, 9 } }, 2, {}, {} },
        ChoiceCase { "longest_at_one_term", { { "a", 2, 9 }, { "b", 2, 10 } }, 2, {}, kB },
        ChoiceCase {
            "former_primary_with_longer_log", { { "a", 1, 90 }, { "b", 2, 10 } }, 2, {}, kB },
        ChoiceCase {
            "unpublished_term_before_its_start", { { "a", 2, 50 }, { "b", 3, 10 } }, 2, {}, kA },
        ChoiceCase {
            "unpublished_term_at_same_length", { { "a", 2, 50 }, { "b", 3, 50 } }, 2, {}, kB },
        ChoiceCase { "avoids_failed_with_majority_left",
                     { { "a", 2, 9 }, { "b", 2, 10 }, { "c", 2, 8 } },
                     2,
                     { kB },
                     kA },
        ChoiceCase {
            "cannot_avoid_without_majority", { { "a", 2, 9 }, { "b", 2, 10 } }, 2, { kB }, kB }),
    [](const auto &info) { return info.param.name; });

struct DueCase
{
    const char *name;
    UpstreamState state;
    std::optional<UpstreamStatus> primary;
    std::uint64_t reserved;
    bool operatorRequest;
    bool complete;
    ChangeReason reason;
};

class ChangeDue : public testing::TestWithParam<DueCase>
{
};

TEST_P(ChangeDue, ReturnsReason)
{
    const DueCase &c = GetParam();
    ChangeInput input;
    input.group = { .service = ServiceId("s"),
                    .votingSet = { kA, kB },
                    .reservedTerm = Term(c.reserved),
                    .term = Term(2),
                    .primary = kA };
    input.states[kA] = c.state;
    input.primaryStatus = c.primary;
    input.operatorRequest = c.operatorRequest;
    input.registryComplete = c.complete;
    EXPECT_EQ(changeDue(input), c.reason);
}

constexpr auto kPrimary = UpstreamRole::Primary;
constexpr auto kLive = UpstreamState::Live;
constexpr auto kSilent = UpstreamState::Suspected;

INSTANTIATE_TEST_SUITE_P(
    Rules, ChangeDue,
    testing::Values(
        DueCase { "healthy", kLive, status(2, 1, kPrimary), 2, false, true, ChangeReason::None },
        DueCase { "suspected", kSilent, {}, 2, false, true, ChangeReason::Suspected },
        DueCase { "new_controller_waits", kSilent, {}, 2, false, false, ChangeReason::None },
        DueCase { "leaving", UpstreamState::Leaving, {}, 2, false, true, ChangeReason::Leaving },
        DueCase { "fenced", kLive, status(2, 1, kPrimary, 3), 2, false, true,
                  ChangeReason::Fenced },
        DueCase { "no_longer_primary", kLive, status(2, 1), 2, false, true, ChangeReason::Fenced },
        DueCase { "unfinished", kLive, {}, 3, false, true, ChangeReason::Unfinished },
        DueCase { "operator", kLive, {}, 2, true, true, ChangeReason::Operator }),
    [](const auto &info) { return info.param.name; });

/// Drives one change; replies are passed in by the test.
struct Driver
{
    PrimaryChange change;
    ChangeInput input;
    Random random { 1 };
    TimePoint now { 100s };

    Driver()
    {
        input.group = { .service = ServiceId("s"),
                        .votingSet = { kA, kB, UpstreamId("c") },
                        .reservedTerm = Term(2),
                        .term = Term(2),
                        .primary = kA };
        input.states = { { kA, kSilent }, { kB, kLive }, { UpstreamId("c"), kLive } };
    }
    template <typename Action>
    std::vector<Action> step()
    {
        now += 50ms;
        std::vector<Action> found;
        for (const ChangeAction &action : stepPrimaryChange(change, input, now, random)) {
            if (const auto *match = std::get_if<Action>(&action))
                found.push_back(*match);
        }
        return found;
    }
    void reserve(bool own)
    {
        const auto proposals = step<Propose>();
        ASSERT_EQ(proposals.size(), 1U);
        input.group.reservedTerm = std::get<ReserveTerm>(proposals[0].decision).term;
        input.ownReservedTerm = own ? input.group.reservedTerm : Term();
    }
    void fenceReplicas(std::uint64_t term)
    {
        onCallAnswer(change, { CallKind::Fence, kB, Term(term), status(2, 10, {}, term) }, now);
        onCallAnswer(change,
                     { CallKind::Fence, UpstreamId("c"), Term(term), status(2, 9, {}, term) }, now);
    }
};

// Guards against a detection time measured from the start of the change, which hid the time before
// the failure was detected.
TEST(PrimaryChange, DetectionTimeIsMeasuredFromLastPrimaryStatus)
{
    Driver d;
    d.input.primarySeenAt = d.now - 700ms;
    d.step<Propose>();
    EXPECT_EQ(d.change.times.detected - d.change.times.lastSeen, 750ms);
}

TEST(PrimaryChange, CompletesAllPhases)
{
    Driver d;
    d.reserve(true);
    EXPECT_EQ(d.step<Fence>().size(), 3U);
    d.fenceReplicas(3);
    const auto promotions = d.step<Promote>();
    ASSERT_EQ(promotions.size(), 1U);
    EXPECT_EQ(promotions[0].upstream, kB);
    onCallAnswer(d.change, { CallKind::Promote, kB, Term(3), status(3, 10, kPrimary, 3) }, d.now);
    // Databases outside the voting set and members before the start of the term do not confirm.
    onCallAnswer(d.change, { CallKind::Status, UpstreamId("x"), Term(), status(3, 10) }, d.now);
    onCallAnswer(d.change, { CallKind::Status, UpstreamId("c"), Term(), status(3, 9) }, d.now);
    EXPECT_TRUE(d.step<Propose>().empty());
    onCallAnswer(d.change, { CallKind::Status, UpstreamId("c"), Term(), status(3, 10) }, d.now);
    const auto proposals = d.step<Propose>();
    ASSERT_EQ(proposals.size(), 1U);
    EXPECT_EQ(std::get<SetPrimary>(proposals[0].decision).upstream, kB);
    d.input.group.term = Term(3);
    d.input.group.primary = kB;
    EXPECT_EQ(d.step<ChangeDone>().size(), 1U);
}

// Two controllers may propose the same term; only the one whose entry was committed may use it.
TEST(PrimaryChange, DoesNotUseTermReservedByAnotherController)
{
    Driver d;
    d.reserve(false);
    EXPECT_TRUE(d.step<Fence>().empty());
    EXPECT_EQ(d.change.term, Term(4));
}

// The candidate may have become primary without replying, so its term must not be reused.
TEST(PrimaryChange, FailedPromotionRequiresNewTerm)
{
    Driver d;
    d.reserve(true);
    d.step<Fence>();
    d.fenceReplicas(3);
    d.step<Promote>();
    onCallAnswer(d.change, { CallKind::Promote, kB, Term(3), std::nullopt }, d.now);
    const auto proposals = d.step<Propose>();
    ASSERT_EQ(proposals.size(), 1U);
    EXPECT_EQ(std::get<ReserveTerm>(proposals[0].decision).term, Term(4));
}

} // namespace
} // namespace shallotlever
