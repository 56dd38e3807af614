#include <gtest/gtest.h>

#include "shallotlever/fleet/acknowledgement.h"
#include "shallotlever/fleet/session_read.h"

namespace shallotlever {
namespace {

const TimePoint kCommitted { 10s };

UpstreamStatus status(std::uint64_t term, std::uint64_t position)
{
    UpstreamStatus result;
    result.point = { .term = Term(term), .position = LogPosition(position) };
    return result;
}

struct AckCase
{
    const char *name;
    std::size_t members;
    /// Term, log position and query time of each member's status, starting with member "b".
    std::vector<std::tuple<std::uint64_t, std::uint64_t, Duration>> statuses;
    Duration lease = 20s;
    std::uint64_t viewTerm = 3;
    bool acknowledged;
};

class Acknowledged : public testing::TestWithParam<AckCase>
{
};

TEST_P(Acknowledged, NeedsMajorityAtTermAndPosition)
{
    const AckCase &c = GetParam();
    AckContext context { .term = Term(c.viewTerm),
                         .primary = UpstreamId("a"),
                         .votingSet = {},
                         .leaseUntil = TimePoint(c.lease) };
    for (std::size_t i = 0; i < c.members; ++i)
        context.votingSet.insert(UpstreamId(std::string(1, static_cast<char>('a' + i))));
    std::map<UpstreamId, TimedStatus> statuses;
    char member = 'b';
    for (const auto &[term, position, asked] : c.statuses)
        statuses[UpstreamId(std::string(1, member++))] = { status(term, position),
                                                           TimePoint(asked) };
    const HistoryPoint commit { .term = Term(3), .position = LogPosition(50) };
    EXPECT_EQ(isAcknowledged(commit, kCommitted, context, statuses, TimePoint(12s)),
              c.acknowledged);
}

INSTANTIATE_TEST_SUITE_P(
    Rules, Acknowledged,
    testing::Values(AckCase { "primary_alone", 3, {}, 20s, 3, false },
                    AckCase { "only_member", 1, {}, 20s, 3, true },
                    AckCase { "one_replica", 3, { { 3, 50, 11s } }, 20s, 3, true },
                    AckCase { "position_before", 3, { { 3, 49, 11s } }, 20s, 3, false },
                    AckCase { "higher_term_proves_nothing", 3, { { 4, 60, 11s } }, 20s, 3, false },
                    AckCase { "lower_term_longer_log", 3, { { 2, 90, 11s } }, 20s, 3, false },
                    AckCase { "asked_before_commit", 3, { { 3, 50, 9s } }, 20s, 3, false },
                    AckCase { "two_of_five", 5, { { 3, 50, 11s } }, 20s, 3, false },
                    AckCase { "not_a_member", 1, { { 3, 50, 11s }, { 3, 50, 11s } }, 20s, 3, true },
                    AckCase { "lease_ended", 3, { { 3, 50, 11s } }, 12s, 3, false },
                    AckCase { "view_of_next_term", 3, { { 3, 50, 11s } }, 20s, 4, false }),
    [](const auto &info) { return info.param.name; });

// One round of status queries must serve all pending writes, and no write may wait past its
// deadline.
TEST(AckTracker, OneStatusRoundServesAllWrites)
{
    AckTracker tracker;
    const AckContext context { .term = Term(1),
                               .primary = UpstreamId("a"),
                               .votingSet = { UpstreamId("a"), UpstreamId("b"), UpstreamId("c") },
                               .leaseUntil = TimePoint(60s) };
    for (std::uint64_t i = 1; i <= 3; ++i)
        awaitAck(tracker, i, { Term(1), LogPosition(i) }, kCommitted, TimePoint(15s));
    EXPECT_EQ(nextStatusRound(tracker, context, 100ms, kCommitted).size(), 2U);
    EXPECT_TRUE(nextStatusRound(tracker, context, 100ms, kCommitted + 50ms).empty());
    recordStatus(tracker, UpstreamId("b"), status(1, 2), kCommitted);
    EXPECT_EQ(decideAcks(tracker, context, TimePoint(11s)).size(), 2U);
    const auto late = decideAcks(tracker, context, TimePoint(15s));
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].write, 3U);
    EXPECT_EQ(late[0].outcome, AckOutcome::Unknown);
}

// The log of a former primary may be longer but contain writes that were never acknowledged.
TEST(SessionRead, ComparesPositionsWithinOneHistory)
{
    const HistoryPoint token { .term = Term(3), .position = LogPosition(50) };
    EXPECT_TRUE(holdsHistory(token, status(3, 50)));
    EXPECT_FALSE(holdsHistory(token, status(3, 49)));
    EXPECT_FALSE(holdsHistory(token, status(2, 90)));
    EXPECT_TRUE(holdsHistory(token, status(4, 50)));
    EXPECT_FALSE(holdsHistory(token, status(4, 49)));
}

} // namespace
} // namespace shallotlever
