#include <gtest/gtest.h>

#include <QJsonArray>

#include "cluster.h"
#include "event_loop.h"

namespace shallotlever::support {
namespace {

/// All databases are in one data centre.
class Evacuation : public testing::Test
{
protected:
    void order(const char *operation, int node)
    {
        m_cluster.change({ { "op", operation }, { "id", "waw-a" } }, node);
    }
    QJsonArray evacuated() const
    {
        return m_cluster.status(0)["configuration"].toObject()["evacuated_data_centres"].toArray();
    }
    bool hasState(const char *state) const
    {
        return spinUntil([&] { return m_cluster.upstreamState(0, "a") == state; });
    }
    HttpReply write(int id) const
    {
        return m_cluster.write(0, "INSERT INTO t VALUES (" + std::to_string(id) + ", 'x')");
    }

    Cluster m_cluster;
};

// Guards against an order that is acknowledged and lost, and against databases that stay without
// work after its end.
TEST_F(Evacuation, HoldsUntilItsEndAlsoAfterARestartOfAllNodes)
{
    EXPECT_TRUE(write(1).ok());
    order("put_evacuation", 0);
    order("put_evacuation", 1);
    EXPECT_TRUE(hasState("leaving"));
    EXPECT_EQ(write(2).outcome(), "not_run");
    for (int node = 0; node < m_cluster.size(); ++node)
        m_cluster.killNode(node);
    for (int node = 0; node < m_cluster.size(); ++node)
        m_cluster.startNode(node);
    ASSERT_GE(m_cluster.awaitController(), 0);
    EXPECT_TRUE(spinUntil([this] { return evacuated() == QJsonArray({ "waw-a" }); }));
    EXPECT_TRUE(hasState("leaving"));
    order("remove_evacuation", 2);
    EXPECT_EQ(evacuated(), QJsonArray());
    EXPECT_TRUE(hasState("live"));
    EXPECT_TRUE(spinUntil([this] { return write(3).ok(); }));
}

} // namespace
} // namespace shallotlever::support
