#include "shallotlever/fleet/replication_watch.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const UpstreamId kPrimary { "a" };
const UpstreamId kFirst { "b" };
const UpstreamId kSecond { "c" };
constexpr TimePoint kStart { 100s };

struct StallRow
{
    const char *name;
    /// Positions per second of the primary and its replicas.
    std::uint64_t primaryRate;
    std::uint64_t firstRate;
    std::uint64_t secondRate;
    /// Whether the second replica answers at all.
    bool secondAnswers;
    bool stalled;
};

class ReplicationStall : public testing::TestWithParam<StallRow>
{
};

// Guards against a primary that is cut from its replicas and stays in office forever, and against
// changes of primary because of replicas that are only slow, or that would leave no majority.
TEST_P(ReplicationStall, IsNoticedOnlyWithoutProgress)
{
    const StallRow &row = GetParam();
    GroupState group;
    group.votingSet = { kPrimary, kFirst, kSecond };
    group.term = Term(2);
    group.primary = kPrimary;
    ReplicationWatch watch;
    bool stalled = false;
    std::map<UpstreamId, MemberStatus> statuses;
    for (std::uint64_t second = 0; second < 10; ++second) {
        const TimePoint now = kStart + std::chrono::seconds(second);
        const auto status = [&](std::uint64_t rate) {
            UpstreamStatus answer;
            answer.point = { Term(2), LogPosition(10 + rate * second) };
            return MemberStatus { answer, now };
        };
        statuses[kPrimary] = status(row.primaryRate);
        statuses[kFirst] = status(row.firstRate);
        if (row.secondAnswers || second == 0)
            statuses[kSecond] = status(row.secondRate);
        stalled |= replicationStalled(watch, group, statuses, now);
    }
    EXPECT_EQ(stalled, row.stalled);
}

INSTANTIATE_TEST_SUITE_P(Rows, ReplicationStall,
                         testing::Values(StallRow { "Healthy", 9, 9, 9, true, false },
                                         StallRow { "Idle", 0, 0, 0, true, false },
                                         StallRow { "OneReplicaCut", 9, 9, 0, true, false },
                                         StallRow { "BothReplicasCut", 9, 0, 0, true, true },
                                         StallRow { "SlowReplicas", 9, 1, 1, true, false },
                                         StallRow { "NoOtherMajority", 9, 0, 0, false, false }),
                         [](const auto &row) { return row.param.name; });

} // namespace
} // namespace shallotlever
