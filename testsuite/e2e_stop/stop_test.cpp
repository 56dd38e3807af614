#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cluster.h"
#include "event_loop.h"
#include "load.h"

namespace shallotlever::support {
namespace {

bool isReady(const Cluster &cluster, int node)
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/readyz";
    return sendHttp(cluster.port(node), request).ok();
}

/// Writes after which every node that takes traffic has had a share for it. A new controller grants
/// no share for 2 s, so traffic that is new at a node during a change of controller is not served.
constexpr int kSteadyWrites = 200;

// Guards against requests that a planned stop cuts, refuses or leaves unanswered.
TEST(Stop, EachNodeInTurnCutsNoRequest)
{
    Cluster cluster({ .nodeOptions = { "--drain-notice-ms=1000" } });
    Load load(cluster, { .nodes = { 0, 1, 2 }, .deadlineMs = 10000, .readBack = true });
    const auto becomesSteady = [&load] {
        const int before = load.acknowledged();
        return pollUntil([&] { return load.acknowledged() > before + kSteadyWrites; });
    };
    EXPECT_TRUE(becomesSteady());
    for (int node = 0; node < cluster.size(); ++node) {
        cluster.node(node).stop();
        // The balancer stops sending to a node that is no longer ready.
        EXPECT_TRUE(pollUntil([&] { return !isReady(cluster, node); }));
        load.avoid(node);
        EXPECT_EQ(cluster.node(node).terminated(), 0);
        cluster.startNode(node);
        EXPECT_TRUE(pollUntil([&] { return isReady(cluster, node); }));
        load.use(node);
        EXPECT_TRUE(becomesSteady());
    }
    const LoadCounts counts = load.stop();
    EXPECT_EQ(counts.interrupted, 0);
    EXPECT_THAT(counts.refusals, testing::IsEmpty());
    EXPECT_THAT(counts.failedReads, testing::IsEmpty());
    EXPECT_EQ(counts.missingOwnWrites, 0);
}

} // namespace
} // namespace shallotlever::support
