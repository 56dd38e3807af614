#include "held_announcements.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const TimePoint kNow(100s);

Announcement announced(std::uint64_t lifetime, std::uint64_t sequence, bool leaving = false)
{
    Announcement a;
    a.upstream = UpstreamId("db");
    a.lifetime = Incarnation(lifetime);
    a.sequence = sequence;
    a.leaving = leaving;
    return a;
}

Announcement final(std::uint64_t lifetime)
{
    Announcement a = announced(lifetime, 0);
    a.gone = true;
    return a;
}

struct HeldCase
{
    const char *name;
    std::vector<Announcement> received;
    Announcement reported;
};

class Held : public testing::TestWithParam<HeldCase>
{
};

// Guards against an acknowledged end of a database that is not reported because a heartbeat was
// received in the same interval, and against a late heartbeat that takes the place of a later one.
TEST_P(Held, LatestAnnouncementIsReported)
{
    HeldAnnouncements held;
    for (const Announcement &announcement : GetParam().received)
        holdAnnouncement(held, announcement, kNow);
    const auto taken = takeAnnouncements(held, kNow + 1s);
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken.front().announcement, GetParam().reported);
    EXPECT_EQ(taken.front().age, Duration(1s));
    EXPECT_TRUE(takeAnnouncements(held, kNow + 1s).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Orders, Held,
    testing::Values(
        HeldCase { "Later", { announced(7, 1), announced(7, 2) }, announced(7, 2) },
        HeldCase { "Late", { announced(7, 2), announced(7, 1) }, announced(7, 2) },
        HeldCase { "NextProcess", { announced(7, 2), announced(8, 1) }, announced(8, 1) },
        HeldCase { "EarlierProcess", { announced(8, 1), announced(7, 2) }, announced(8, 1) },
        HeldCase { "EndOfLeaving", { announced(7, 2, true), final(7) }, final(7) },
        HeldCase { "EndWithoutLifetime", { announced(7, 2, true), final(0) }, final(7) },
        HeldCase { "EndWithoutLifetimeAlone", { final(0) }, final(0) },
        HeldCase {
            "EndWithoutLifetimeOfOneThatStays", { announced(7, 2), final(0) }, announced(7, 2) },
        HeldCase { "HeartbeatAfterEnd", { final(7), announced(7, 3) }, final(7) },
        HeldCase { "HeartbeatAfterEndWithoutLifetime", { final(0), announced(7, 3) }, final(0) },
        HeldCase { "NextProcessAfterEnd", { final(7), announced(8, 1) }, announced(8, 1) }),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
