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
    l.connections = 4;
    l.roundTrip = roundTrip;
    l.serviceTime = 15ms;
    l.serviceTimeAt = kNow;
    return l;
}

/// A primary and a replica nearby, and a replica in another region.
std::vector<UpstreamLoad> group()
{
    return { load("primary", 1ms, true), load("near", 1ms), load("far", 24ms) };
}

struct PlacementCase
{
    const char *name;
    void (*change)(std::vector<UpstreamLoad> &loads);
    bool replicas;
    std::set<UpstreamId> excluded;
    std::optional<UpstreamId> expected;
};

class PlaceRead : public testing::TestWithParam<PlacementCase>
{
};

// Guards against reads that wait at a busy, distant or unsuitable database while another is better.
TEST_P(PlaceRead, ChoosesTheShortestExpectedAnswer)
{
    std::vector<UpstreamLoad> loads = group();
    GetParam().change(loads);
    EXPECT_EQ(placeRead(loads, GetParam().replicas, GetParam().excluded, kNow),
              GetParam().expected);
}

const UpstreamId kPrimary("primary");
const UpstreamId kNear("near");
const UpstreamId kFar("far");

INSTANTIATE_TEST_SUITE_P(
    Loads, PlaceRead,
    testing::Values(
        PlacementCase { "NearReplicaRatherThanPrimary", [](auto &) {}, true, {}, kNear },
        PlacementCase { "PrimaryIfReplicasAreTooOld", [](auto &) {}, false, {}, kPrimary },
        PlacementCase { "NoneIfThePrimaryIsNeededAndUnreachable",
                        [](auto &l) { l[0].reachable = false; },
                        false,
                        {},
                        std::nullopt },
        PlacementCase { "PrimaryIfTheNearReplicaIsBusy",
                        [](auto &l) { l[1].outstanding = 6; },
                        true,
                        {},
                        kPrimary },
        PlacementCase { "FarIfTheNearOnesAreBusy",
                        [](auto &l) { l[0].outstanding = l[1].outstanding = 8; },
                        true,
                        {},
                        kFar },
        PlacementCase { "OpenConnectionRatherThanANewOne",
                        [](auto &l) { l[1].needsConnection = true; },
                        true,
                        {},
                        kPrimary },
        PlacementCase { "NotWhereSlotsWereRefused",
                        [](auto &l) { l[1].avoidUntil = kNow + 1ms; },
                        true,
                        {},
                        kPrimary },
        PlacementCase { "AvoidedIfNoOtherCanServe",
                        [](auto &l) {
                            l[1].avoidUntil = kNow + 1ms;
                            l[0].reachable = l[2].reachable = false;
                        },
                        true,
                        {},
                        kNear },
        PlacementCase { "NotAtALeavingDatabase",
                        [](auto &l) { l[1].state = UpstreamState::Leaving; },
                        true,
                        {},
                        kPrimary },
        PlacementCase { "NotWithoutAShareOfConnections",
                        [](auto &l) { l[1].connections = 0; },
                        true,
                        {},
                        kPrimary },
        PlacementCase { "NotWhereTheReadHasFailed", [](auto &) {}, true, { kNear }, kPrimary }),
    [](const auto &info) { return info.param.name; });

// Guards against a queue that never drains: with 7 nodes before a database of 2 slots and a queue
// of 16, refused statements that come back at once keep it full. The refusals have to bring the
// nodes' windows down to what the database takes, and answers up again.
TEST(SendWindow, NodesTogetherFindTheRoomOfADatabase)
{
    constexpr std::size_t kNodes = 7;
    constexpr std::uint32_t kRoom = 18;
    std::array<SendWindow, kNodes> windows;
    std::uint32_t refusedLate = 0;
    std::uint32_t sentLate = 0;
    TimePoint now = kNow;
    for (int round = 0; round < 400; ++round, now += 60ms) {
        std::uint32_t taken = 0;
        for (std::size_t i = 0; i < kNodes; ++i) {
            // Rounds begin at another node each time.
            SendWindow &window = windows[(i + static_cast<std::size_t>(round)) % kNodes];
            for (std::uint32_t running = 0; running < 8 && windowOpen(window, running); ++running) {
                const bool refused = ++taken > kRoom;
                refused ? noteWindowRefusal(window, now) : noteWindowAnswer(window);
                sentLate += round >= 200 ? 1 : 0;
                refusedLate += refused && round >= 200 ? 1 : 0;
            }
        }
    }
    EXPECT_LT(refusedLate * 3, sentLate);
    EXPECT_GE(sentLate, 200 * kRoom * 9 / 10);
}

TEST(SendWindow, ShrinksOncePerIntervalAndNeverCloses)
{
    SendWindow window;
    noteWindowRefusal(window, kNow);
    const double once = window.size;
    noteWindowRefusal(window, kNow + 1ms);
    EXPECT_EQ(window.size, once);
    for (int i = 0; i < 50; ++i)
        noteWindowRefusal(window, kNow + i * kWindowShrinkInterval);
    EXPECT_TRUE(windowOpen(window, 0));
}

} // namespace
} // namespace shallotlever
