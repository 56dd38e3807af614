#include "shallotlever/policy/pool_owner.h"

#include <map>

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const DataCentreId kNear("near");
const DataCentreId kFar("far");

PoolOwnerCandidate candidate(int number, const DataCentreId &dataCentre, bool leaving = false)
{
    return { NodeId("n" + std::to_string(number)), dataCentre, leaving };
}

std::vector<PoolOwnerCandidate> nodesOf(const DataCentreId &dataCentre, int count)
{
    std::vector<PoolOwnerCandidate> nodes;
    for (int i = 0; i < count; ++i)
        nodes.push_back(candidate(i, dataCentre));
    return nodes;
}

struct PreferenceCase
{
    const char *name;
    std::vector<PoolOwnerCandidate> candidates;
    std::vector<NodeId> owners;
};

class PoolOwnerPreference : public testing::TestWithParam<PreferenceCase>
{
};

// Guards against statements that cross data centres, or go to a stopping node, without need.
TEST_P(PoolOwnerPreference, SelectsNearNodesThatStay)
{
    EXPECT_EQ(selectPoolOwners(UpstreamId("u"), kNear, GetParam().candidates), GetParam().owners);
}

INSTANTIATE_TEST_SUITE_P(
    Candidates, PoolOwnerPreference,
    testing::Values(PreferenceCase { "None", {}, {} },
                    PreferenceCase { "OnlyFar", { candidate(1, kFar) }, { NodeId("n1") } },
                    PreferenceCase { "NearBeforeFar",
                                     { candidate(1, kFar), candidate(2, kNear) },
                                     { NodeId("n2"), NodeId("n1") } },
                    PreferenceCase { "StayingBeforeLeaving",
                                     { candidate(1, kNear, true), candidate(2, kFar) },
                                     { NodeId("n2"), NodeId("n1") } }),
    [](const auto &info) { return info.param.name; });

// Guards against a rolling restart that moves the connections of databases whose owner stays.
TEST(PoolOwner, OnlyDatabasesOfTheLostNodeMove)
{
    constexpr int kNodes = 20;
    constexpr int kDatabases = 200;
    const std::vector<PoolOwnerCandidate> all = nodesOf(kNear, kNodes);
    std::vector<PoolOwnerCandidate> remaining = all;
    const NodeId lost = remaining.back().node;
    remaining.pop_back();
    for (int i = 0; i < kDatabases; ++i) {
        const UpstreamId upstream("u" + std::to_string(i));
        const auto before = selectPoolOwners(upstream, kNear, all);
        const auto after = selectPoolOwners(upstream, kNear, remaining);
        EXPECT_EQ(after.front(), before.front() == lost ? before.back() : before.front());
    }
}

// Guards against a node that owns so many databases that it limits all of them.
TEST(PoolOwner, DatabasesAreSpreadOverNodes)
{
    constexpr int kNodes = 20;
    constexpr int kDatabases = 400;
    constexpr int kMaxPerNode = 3 * kDatabases / kNodes;
    std::map<NodeId, int> owned;
    for (int i = 0; i < kDatabases; ++i)
        ++owned[selectPoolOwners(UpstreamId("u" + std::to_string(i)), kNear, nodesOf(kNear, kNodes))
                    .front()];
    EXPECT_EQ(owned.size(), static_cast<std::size_t>(kNodes));
    for (const auto &[node, count] : owned)
        EXPECT_LE(count, kMaxPerNode) << node;
}

} // namespace
} // namespace shallotlever
