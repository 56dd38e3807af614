#include <gtest/gtest.h>

#include "cluster.h"
#include "event_loop.h"
#include "load.h"

namespace shallotlever::support {
namespace {

class NodeFailure : public testing::Test
{
protected:
    HttpReply begin(int node, int row)
    {
        HttpRequest request;
        request.body = { { "mode", "write" } };
        HttpReply started = m_cluster.transaction(node, "", request);
        EXPECT_TRUE(started.ok()) << started.kind();
        request = {};
        request.session = started.session;
        const std::string sql = "INSERT INTO t VALUES (" + std::to_string(row) + ", 'x')";
        EXPECT_TRUE(m_cluster
                        .statement(node, sql, "write", request,
                                   { { "transaction", started.body["transaction"] } })
                        .ok());
        return started;
    }
    HttpReply commit(int node, const HttpReply &started)
    {
        HttpRequest request;
        request.session = started.session;
        return m_cluster.transaction(node, "/" + started.text("transaction") + "/commit", request);
    }
    std::string count(int node, int row, const std::string &session)
    {
        HttpRequest request;
        request.session = session;
        return m_cluster
            .read(node, "SELECT count(*) FROM t WHERE id = " + std::to_string(row), request)
            .cell();
    }

    Cluster m_cluster;
};

// Guards against a transaction that stays open, or is committed, after its node was killed.
TEST_F(NodeFailure, KilledInATransactionRollsItBack)
{
    const HttpReply started = begin(0, 10);
    m_cluster.killNode(0);
    HttpReply written;
    EXPECT_TRUE(pollUntil([&] {
        written = m_cluster.write(1, "INSERT OR REPLACE INTO t VALUES (11, 'x')");
        return written.ok();
    }));
    HttpReply end;
    EXPECT_TRUE(pollUntil([&] {
        end = commit(1, started);
        return end.kind() != "outcome_unknown" && end.kind() != "config_stale";
    }));
    EXPECT_EQ(end.kind(), "transaction_lost");
    EXPECT_EQ(count(1, 10, written.session), "0");
    EXPECT_EQ(commit(2, started).kind(), "transaction_lost");
    m_cluster.startNode(0);
    EXPECT_TRUE(pollUntil([&] { return m_cluster.read(0, "SELECT 1").ok(); }));
}

// Guards against a commit that is told as lost after its answer, but not its effect, was lost.
TEST_F(NodeFailure, CommittedTransactionIsConfirmedElsewhere)
{
    const HttpReply started = begin(0, 20);
    const HttpReply committed = commit(0, started);
    ASSERT_TRUE(committed.ok()) << committed.kind();
    m_cluster.killNode(0);
    HttpReply end;
    EXPECT_TRUE(pollUntil([&] {
        end = commit(1, started);
        return end.ok();
    }));
    HttpRequest own;
    own.session = end.session;
    HttpReply found;
    // Node 2 may have no lease or share yet if the killed node was the controller.
    EXPECT_TRUE(pollUntil([&] {
        found = m_cluster.read(2, "SELECT count(*) FROM t WHERE id = 20", own);
        return found.ok();
    }));
    EXPECT_EQ(found.cell(), "1");
}

// Guards against a freeze of one node that stops the others, or a stale node that serves after it.
TEST_F(NodeFailure, FrozenControllerIsReplaced)
{
    const int controller = m_cluster.awaitController();
    Load load(m_cluster, { .nodes = { (controller + 1) % 3, (controller + 2) % 3 } });
    m_cluster.node(controller).freeze();
    const int next = m_cluster.awaitController({ controller });
    EXPECT_GE(next, 0);
    const int before = load.acknowledged();
    EXPECT_TRUE(pollUntil([&] { return load.acknowledged() > before + 50; }));
    m_cluster.change({ { "op", "set_preset" }, { "id", "maintenance" } }, next);
    m_cluster.node(controller).thaw();
    EXPECT_NE(m_cluster.write(controller, "INSERT INTO t VALUES (30, 'x')").status, 200);
    const LoadCounts counts = load.stop();
    EXPECT_TRUE(counts.failedReads.empty());
    EXPECT_TRUE(pollUntil([&] { return m_cluster.read(controller, "SELECT 1").ok(); }));
    EXPECT_EQ(m_cluster.write(controller, "INSERT INTO t VALUES (31, 'x')").kind(), "not_allowed");
}

} // namespace
} // namespace shallotlever::support
