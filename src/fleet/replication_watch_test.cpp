#include "shallotlever/fleet/replication_watch.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const UpstreamId kPrimary { "a" };
const UpstreamId kFirst { "b" };
const UpstreamId kSecond { "c" };
constexpr TimePoint kStart { 100s };

struct StallCase
{
    const char *name;
    /// Log positions per second by which the primary and its replicas advance.
    std::uint64_t primaryRate;
    std::uint64_t firstRate;
    std::uint64_t secondRate;
    /// Whether the second replica answers status queries after the first one.
    bool secondAnswers;
    bool stalled;
};

class ReplicationStall : public testing::TestWithParam<StallCase>
{
};

// Guards against a primary that is cut off from its replicas and never replaced, and against
// failover because of replicas that are only slow, or without a majority that could take over.
TEST_P(ReplicationStall, DetectedOnlyWithoutProgress)
{
    const StallCase &stallCase = GetParam();
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
        statuses[kPrimary] = status(stallCase.primaryRate);
        statuses[kFirst] = status(stallCase.firstRate);
        if (stallCase.secondAnswers || second == 0)
            statuses[kSecond] = status(stallCase.secondRate);
        stalled |= replicationStalled(watch, group, statuses, now);
    }
    EXPECT_EQ(stalled, stallCase.stalled);
}

INSTANTIATE_TEST_SUITE_P(Cases, ReplicationStall,
                         testing::Values(StallCase { "Healthy", 9, 9, 9, true, false },
                                         StallCase { "Idle", 0, 0, 0, true, false },
                                         StallCase { "OneReplicaCut", 9, 9, 0, true, false },
                                         StallCase { "BothReplicasCut", 9, 0, 0, true, true },
                                         StallCase { "SlowReplicas", 9, 1, 1, true, false },
                                         StallCase { "NoOtherMajority", 9, 0, 0, false, false }),
                         [](const auto &stallCase) { return stallCase.param.name; });

} // namespace
} // namespace shallotlever
