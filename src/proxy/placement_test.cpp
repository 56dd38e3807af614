#include <gtest/gtest.h>

#include "shallotlever/proxy/placement.h"

namespace shallotlever {
namespace {

const TimePoint kNow(100s);

UpstreamLoad load(const char *id, Duration roundTrip, bool primary = false)
{
    UpstreamLoad l;
    l.id = UpstreamId(id);
    l.primary = primary;
    l.slots = 2;
    l.leasedConnections = 4;
    l.roundTrip = roundTrip;
    l.serviceTime = 15ms;
    l.serviceTimeUpdatedAt = kNow;
    return l;
}

/// A primary and a replica nearby, and a replica in another region.
std::vector<UpstreamLoad> group()
{
    return { load("primary", 1ms, true), load("near", 1ms), load("far", 24ms) };
}

struct SelectionCase
{
    const char *name;
    void (*change)(std::vector<UpstreamLoad> &loads);
    bool allowReplicas;
    std::set<UpstreamId> excluded;
    std::optional<UpstreamId> expected;
};

class SelectUpstream : public testing::TestWithParam<SelectionCase>
{
};

// Guards against reads that wait for a busy, distant or unsuitable database while a better one is
// available.
TEST_P(SelectUpstream, ChoosesTheShortestExpectedResponseTime)
{
    std::vector<UpstreamLoad> loads = group();
    GetParam().change(loads);
    const auto candidates =
        weighUpstreams(loads, GetParam().allowReplicas, GetParam().excluded, kNow);
    // Exact figures leave nothing to chance.
    for (const double chance : { 0.0, 0.3, 0.6, 0.999 }) {
        const PlacementCandidate *chosen = drawCandidate(candidates, chance);
        EXPECT_EQ(chosen == nullptr ? std::nullopt : std::optional(chosen->id),
                  GetParam().expected);
    }
}

const UpstreamId kPrimary("primary");
const UpstreamId kNear("near");
const UpstreamId kFar("far");

INSTANTIATE_TEST_SUITE_P(
    Loads, SelectUpstream,
    testing::Values(
        SelectionCase { "PrefersNearReplicaToPrimary", [](auto &) {}, true, {}, kNear },
        SelectionCase { "PrimaryIfReplicasAreNotAllowed", [](auto &) {}, false, {}, kPrimary },
        SelectionCase { "NoneIfRequiredPrimaryIsUnreachable",
                        [](auto &l) { l[0].reachable = false; },
                        false,
                        {},
                        std::nullopt },
        SelectionCase { "NearReplicaWhileItHasFreeSlot",
                        [](auto &l) { l[1].outstanding = 1; },
                        true,
                        {},
                        kNear },
        SelectionCase { "PrimaryIfNearReplicaIsBusy",
                        [](auto &l) { l[1].outstanding = 6; },
                        true,
                        {},
                        kPrimary },
        SelectionCase { "FarReplicaIfNearDatabasesAreBusy",
                        [](auto &l) { l[0].outstanding = l[1].outstanding = 8; },
                        true,
                        {},
                        kFar },
        SelectionCase { "PrefersOpenConnectionToNewOne",
                        [](auto &l) { l[1].needsConnection = true; },
                        true,
                        {},
                        kPrimary },
        SelectionCase { "SkipsDatabaseInRefusalCooldown",
                        [](auto &l) { l[1].avoidUntil = kNow + 1ms; },
                        true,
                        {},
                        kPrimary },
        SelectionCase { "DatabaseInRefusalCooldownIfNoOtherCanServe",
                        [](auto &l) {
                            l[1].avoidUntil = kNow + 1ms;
                            l[0].reachable = l[2].reachable = false;
                        },
                        true,
                        {},
                        kNear },
        SelectionCase { "SkipsLeavingDatabase",
                        [](auto &l) { l[1].state = UpstreamState::Leaving; },
                        true,
                        {},
                        kPrimary },
        SelectionCase { "SkipsDatabaseWithoutLeasedConnections",
                        [](auto &l) { l[1].leasedConnections = 0; },
                        true,
                        {},
                        kPrimary },
        SelectionCase { "SkipsExcludedDatabase", [](auto &) {}, true, { kNear }, kPrimary }),
    [](const auto &info) { return info.param.name; });

// Guards against a queue that never drains: with 7 nodes sharing a database of 2 slots and a queue
// of 16, refused statements that are retried immediately keep the queue full. Refusals must shrink
// the windows of the nodes to the capacity of the database, and successes must grow them again.
TEST(ConcurrencyWindow, NodesConvergeToTheCapacityOfADatabase)
{
    constexpr std::size_t kNodes = 7;
    constexpr std::uint32_t kCapacity = 18;
    std::array<ConcurrencyWindow, kNodes> windows;
    std::uint32_t refusedInSteadyState = 0;
    std::uint32_t sentInSteadyState = 0;
    TimePoint now = kNow;
    for (int round = 0; round < 400; ++round, now += 60ms) {
        std::uint32_t received = 0;
        for (std::size_t i = 0; i < kNodes; ++i) {
            // Each round starts with a different node.
            ConcurrencyWindow &window = windows[(i + static_cast<std::size_t>(round)) % kNodes];
            for (std::uint32_t running = 0; running < 8 && windowHasCapacity(window, running);
                 ++running) {
                const bool refused = ++received > kCapacity;
                refused ? recordWindowRefusal(window, now) : recordWindowSuccess(window);
                sentInSteadyState += round >= 200 ? 1 : 0;
                refusedInSteadyState += refused && round >= 200 ? 1 : 0;
            }
        }
    }
    EXPECT_LT(refusedInSteadyState * 3, sentInSteadyState);
    EXPECT_GE(sentInSteadyState, 200 * kCapacity * 9 / 10);
}

struct ForwardedTimeCase
{
    const char *name;
    Duration timeLeft;
    bool mustBeKnown;
    std::optional<Duration> limit;
};

class ForwardedTime : public testing::TestWithParam<ForwardedTimeCase>
{
};

// Guards against writes reported as in doubt because they were sent again to a node that could not
// run them, too late for its answer to arrive.
TEST_P(ForwardedTime, LeavesTimeForTheAnswer)
{
    EXPECT_EQ(forwardedTimeLimit(GetParam().timeLeft, GetParam().mustBeKnown), GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(Statements, ForwardedTime,
                         testing::Values(ForwardedTimeCase { "Write", 1s, true, 940ms },
                                         ForwardedTimeCase { "LateWrite", 50ms, true,
                                                             std::nullopt },
                                         ForwardedTimeCase { "Read", 1s, false, 940ms },
                                         ForwardedTimeCase { "LateRead", 50ms, false, 25ms }),
                         [](const auto &info) { return info.param.name; });

TEST(ConcurrencyWindow, ShrinksOncePerIntervalAndKeepsAMinimum)
{
    ConcurrencyWindow window;
    recordWindowRefusal(window, kNow);
    const double once = window.size;
    recordWindowRefusal(window, kNow + 1ms);
    EXPECT_EQ(window.size, once);
    for (int i = 0; i < 50; ++i)
        recordWindowRefusal(window, kNow + i * kMinWindowDecreaseInterval);
    EXPECT_TRUE(windowHasCapacity(window, 0));
}

} // namespace
} // namespace shallotlever
