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

// Guards against requests that a planned stop cuts, refuses or leaves unanswered.
TEST(Stop, EachNodeInTurnCutsNoRequest)
{
    Cluster cluster({ .nodeOptions = { "--drain-notice-ms=1000" } });
    Load load(cluster, { .nodes = { 0, 1, 2 }, .deadlineMs = 10000, .readBack = true });
    for (int node = 0; node < cluster.size(); ++node) {
        cluster.node(node).stop();
        // The balancer stops sending to a node that is no longer ready.
        EXPECT_TRUE(pollUntil([&] { return !isReady(cluster, node); }));
        load.avoid(node);
        EXPECT_EQ(cluster.node(node).terminated(), 0);
        cluster.startNode(node);
        EXPECT_TRUE(pollUntil([&] { return isReady(cluster, node); }));
        load.use(node);
        const int before = load.acknowledged();
        EXPECT_TRUE(pollUntil([&] { return load.acknowledged() > before + 30; }));
    }
    const LoadCounts counts = load.stop();
    EXPECT_EQ(counts.interrupted, 0);
    EXPECT_THAT(counts.refusals, testing::IsEmpty());
    EXPECT_THAT(counts.failedReads, testing::IsEmpty());
    EXPECT_EQ(counts.missingOwnWrites, 0);
}

} // namespace
} // namespace shallotlever::support
