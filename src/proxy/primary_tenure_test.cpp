#include "primary_tenure.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const UpstreamId kPrimary("p");
const UpstreamId kOther("o");
const PrimaryTenure kTenure { kPrimary, Term(3) };
const TimePoint kStart(100s);

GroupView view(std::optional<UpstreamId> primary, std::uint64_t term, bool switchover = false)
{
    GroupView group;
    group.primary = std::move(primary);
    group.term = Term(term);
    group.switchover = switchover;
    return group;
}

struct TenureCase
{
    const char *name;
    bool leaseHeld;
    /// Views applied at kStart; nullopt stands for one without the service.
    std::vector<std::optional<GroupView>> views;
    /// Whether a commit sent in the tenure is acknowledged at kStart, just before the end of
    /// kQuiescePeriod, and at its end.
    std::array<bool, 3> acknowledged;
};

class PrimaryTenureTest : public testing::TestWithParam<TenureCase>
{
};

// Guards against acknowledging a commit after the node confirmed that it uses the primary no more,
// or after its lease ended, which the controller takes for that; and against losing the
// acknowledgements that a planned change waits for.
TEST_P(PrimaryTenureTest, CommitsCountUntilReleaseIsConfirmed)
{
    PrimaryTenures tenures;
    applyPrimary(tenures, view(kPrimary, 3), true, kStart - 1s);
    for (const auto &group : GetParam().views) {
        if (group)
            applyPrimary(tenures, *group, GetParam().leaseHeld, kStart);
        else
            removePrimary(tenures);
    }
    const auto acknowledged = [&](TimePoint now) { return mayAcknowledge(tenures, kTenure, now); };
    EXPECT_EQ(acknowledged(kStart), GetParam().acknowledged[0]);
    EXPECT_EQ(acknowledged(kStart + kQuiescePeriod - 1us), GetParam().acknowledged[1]);
    EXPECT_EQ(acknowledged(kStart + kQuiescePeriod), GetParam().acknowledged[2]);
}

INSTANTIATE_TEST_SUITE_P(
    Views, PrimaryTenureTest,
    testing::Values(
        TenureCase { "NoChange", true, { view(kPrimary, 3) }, { true, true, true } },
        TenureCase { "Released", true, { view(std::nullopt, 3) }, { false, false, false } },
        TenureCase { "Switchover", true, { view(std::nullopt, 3, true) }, { true, true, false } },
        TenureCase { "SwitchoverRepeated",
                     true,
                     { view(std::nullopt, 3, true), view(std::nullopt, 3, true) },
                     { true, true, false } },
        TenureCase { "SwitchoverTakenOverByAnotherController",
                     true,
                     { view(std::nullopt, 3, true), view(std::nullopt, 3) },
                     { false, false, false } },
        TenureCase { "SwitchoverAfterRelease",
                     true,
                     { view(std::nullopt, 3), view(std::nullopt, 3, true) },
                     { false, false, false } },
        TenureCase { "SwitchoverHeardOfAfterALostLease",
                     false,
                     { view(std::nullopt, 3, true) },
                     { false, false, false } },
        TenureCase { "Replaced", true, { view(kOther, 4) }, { false, false, false } },
        TenureCase { "SwitchoverDone",
                     true,
                     { view(std::nullopt, 3, true), view(kOther, 4) },
                     { false, false, false } },
        TenureCase { "LeadsNextTerm", true, { view(kPrimary, 4) }, { false, false, false } },
        TenureCase { "ServiceRemoved", true, { std::nullopt }, { true, true, true } },
        TenureCase {
            "ServiceBack", true, { std::nullopt, view(kPrimary, 3) }, { true, true, true } },
        TenureCase { "ServiceBackReleased",
                     true,
                     { std::nullopt, view(std::nullopt, 3) },
                     { false, false, false } },
        TenureCase { "ServiceBackReplaced",
                     true,
                     { std::nullopt, view(kOther, 4) },
                     { false, false, false } }),
    [](const auto &info) { return info.param.name; });

// Guards against taking a later term of the same database for the one in which a commit was sent.
TEST(PrimaryTenureOf, IsThatOfThePublishedPrimary)
{
    PrimaryTenures tenures;
    EXPECT_EQ(tenureOf(tenures, kPrimary), std::nullopt);
    applyPrimary(tenures, view(kPrimary, 3), true, kStart);
    EXPECT_EQ(tenureOf(tenures, kPrimary), kTenure);
    EXPECT_EQ(tenureOf(tenures, kOther), std::nullopt);
    applyPrimary(tenures, view(std::nullopt, 3), true, kStart);
    EXPECT_EQ(tenureOf(tenures, kPrimary), std::nullopt);
}

} // namespace
} // namespace shallotlever
