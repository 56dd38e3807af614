#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <QJsonArray>
#include <thread>

#include "cluster.h"
#include "event_loop.h"
#include "load.h"

namespace shallotlever::support {
namespace {

QJsonObject putTeam(const std::string &id, int rate = 10)
{
    return { { "op", "put_team" },
             { "team",
               QJsonObject { { "id", QString::fromStdString(id) },
                             { "rate_per_second", rate },
                             { "burst", rate } } } };
}

class Control : public testing::Test
{
protected:
    explicit Control(bool relays = false)
        : m_cluster({ .relays = relays })
    {
    }
    qint64 version(int node) const
    {
        return m_cluster.status(node)["configuration"].toObject()["version"].toInteger();
    }
    std::set<std::string> teams(int node) const
    {
        std::set<std::string> ids;
        for (const QJsonValue &team :
             m_cluster.status(node)["configuration"].toObject()["teams"].toArray())
            ids.insert(team.toObject()["id"].toString().toStdString());
        return ids;
    }
    /// Makes `count` changes through one node without waiting until they are in force.
    void makeChanges(int node, const std::string &prefix, int count)
    {
        qint64 base = version(node);
        for (int i = 0; i < count; ++i) {
            const std::string id = prefix + std::to_string(i);
            const HttpReply reply = m_cluster.sendChange(node, id, base, putTeam(id), false);
            ASSERT_TRUE(reply.ok()) << reply.kind();
            base = reply.body["version"].toInteger();
        }
    }
    int other(int node, int step = 1) const { return (node + step) % m_cluster.size(); }
    bool hasVoters(int asked, int count) const
    {
        return m_cluster.status(asked)["control"].toObject()["voters"].toArray().size() == count;
    }
    /// Identity under which the node votes; empty if it does not vote.
    QString identity(int asked, int node) const
    {
        const QJsonObject control = m_cluster.status(asked)["control"].toObject();
        return control["identities"].toObject()["n" + QString::number(node)].toString();
    }
    bool writes(int node) const
    {
        return pollUntil(
            [&] { return m_cluster.write(node, "INSERT OR REPLACE INTO t VALUES (1, 'x')").ok(); });
    }

    Cluster m_cluster;
};

/// Nodes that reach each other through relays.
class Partition : public Control
{
protected:
    Partition()
        : Control(true)
    {
    }
    bool refusesKeys(int node) const
    {
        return pollUntil([&] { return m_cluster.read(node, "SELECT 1").kind() == "config_stale"; });
    }
};

// Guards against two accepted changes at one version, a wrong winner, and a resend that gets
// another outcome after the controller was killed.
TEST_F(Control, RacingOperatorsHaveOneWinner)
{
    const qint64 base = version(0);
    constexpr int kOperators = 6;
    std::vector<HttpReply> replies(kOperators);
    std::vector<std::thread> operators;
    for (int i = 0; i < kOperators; ++i) {
        operators.emplace_back([&, i] {
            const std::string id = "race-" + std::to_string(i);
            replies[i] = m_cluster.sendChange(i % m_cluster.size(), id, base, putTeam(id));
        });
    }
    for (std::thread &thread : operators)
        thread.join();
    std::vector<std::string> winners;
    for (int i = 0; i < kOperators; ++i) {
        if (replies[i].ok())
            winners.push_back("race-" + std::to_string(i));
    }
    ASSERT_EQ(winners.size(), 1U);
    for (const HttpReply &reply : replies)
        EXPECT_TRUE(reply.ok() || reply.text("winner") == winners[0]);

    const int controller = m_cluster.awaitController();
    m_cluster.killNode(controller);
    const int next = m_cluster.awaitController({ controller });
    ASSERT_GE(next, 0);
    for (int i = 0; i < kOperators; ++i) {
        const std::string id = "race-" + std::to_string(i);
        HttpReply again;
        EXPECT_TRUE(pollUntil([&] {
            again = m_cluster.sendChange(next, id, base, putTeam(id), false);
            return again.kind() != "no_controller" && again.kind() != "outcome_unknown";
        }));
        EXPECT_EQ(again.text("outcome"), replies[i].text("outcome"));
        EXPECT_EQ(again.body["version"].toInteger(), replies[i].body["version"].toInteger());
        EXPECT_EQ(again.text("winner"), replies[i].text("winner"));
    }
    EXPECT_EQ(version(next), base + 1);
}

// Guards against a member that loses changes, or cannot load its log, after many changes.
TEST_F(Control, MemberKilledAfterHundredsOfChanges)
{
    const int member = other(m_cluster.awaitController());
    makeChanges(other(member), "before-", 600);
    m_cluster.killNode(member);
    makeChanges(other(member), "while-", 100);
    m_cluster.startNode(member);
    ASSERT_TRUE(writes(member));
    const int controller = m_cluster.awaitController();
    const std::set<std::string> expected = teams(controller);
    EXPECT_GE(expected.size(), 701U);
    // With the controller gone, a majority needs the member that was restarted.
    m_cluster.killNode(controller);
    const int next = m_cluster.awaitController({ controller });
    ASSERT_GE(next, 0);
    EXPECT_EQ(teams(next), expected);
    EXPECT_TRUE(writes(member));
}

// Guards against a control group that loses changes when a second member fails after the repair
// of the first.
TEST_F(Control, SecondMemberLostRightAfterARepair)
{
    makeChanges(0, "kept-", 50);
    const int controller = m_cluster.awaitController();
    const int lost = other(controller);
    const int second = other(controller, 2);
    const QString before = identity(controller, lost);
    m_cluster.killNode(lost);
    m_cluster.loseDisk(lost);
    m_cluster.startNode(lost);
    const std::set<std::string> expected = teams(controller);
    const auto repaired = [&] {
        const QString now = identity(controller, lost);
        return !now.isEmpty() && now != before && hasVoters(controller, 3);
    };
    ASSERT_TRUE(pollUntil(repaired));
    ASSERT_TRUE(writes(lost));
    m_cluster.killNode(second);
    m_cluster.loseDisk(second);
    EXPECT_TRUE(writes(lost));
    makeChanges(lost, "after-", 5);
    m_cluster.startNode(second);
    EXPECT_TRUE(writes(second));
    std::set<std::string> now = teams(controller);
    for (const std::string &team : expected)
        EXPECT_TRUE(now.contains(team)) << team;
}

// Guards against a node in a partition that serves callers on stale configuration, and against
// one that stops serving boards.
TEST_F(Partition, CutOffNodeRefusesKeysAndServesBoards)
{
    const int controller = m_cluster.awaitController();
    const int member = other(controller);
    m_cluster.network().isolate(member, true);
    ASSERT_TRUE(refusesKeys(member));
    EXPECT_EQ(m_cluster.write(member, "INSERT INTO t VALUES (2, 'x')").outcome(), "not_run");
    for (int i = 0; i < 20; ++i)
        EXPECT_TRUE(m_cluster.board(member).ok());
    EXPECT_TRUE(m_cluster.read(controller, "SELECT 1").ok());
    m_cluster.network().isolate(member, false);
    EXPECT_TRUE(writes(member));
    EXPECT_EQ(m_cluster.awaitController(), controller);
}

// Guards against a controller that goes on leading without a quorum, and against a cut-off member
// that deposes the next one when it returns.
TEST_F(Partition, CutOffControllerIsReplaced)
{
    const int former = m_cluster.awaitController();
    m_cluster.network().isolate(former, true);
    const int next = m_cluster.awaitController({ former });
    ASSERT_GE(next, 0);
    ASSERT_TRUE(refusesKeys(former));
    makeChanges(next, "partition-", 5);
    EXPECT_TRUE(writes(next));
    m_cluster.network().isolate(former, false);
    EXPECT_TRUE(writes(former));
    EXPECT_EQ(m_cluster.controller(former), next);
    EXPECT_TRUE(teams(former).contains("partition-4"));
}

// Guards against a controller that cannot hear the others but keeps them from electing another.
TEST_F(Partition, ControllerThatHearsNobodyIsReplaced)
{
    const int former = m_cluster.awaitController();
    for (const int step : { 1, 2 })
        m_cluster.network().setBlocked(other(former, step), former, true);
    const int next = m_cluster.awaitController({ former });
    ASSERT_GE(next, 0);
    EXPECT_TRUE(writes(next));
    for (const int step : { 1, 2 })
        m_cluster.network().setBlocked(other(former, step), former, false);
    EXPECT_TRUE(writes(former));
}

// Guards against a member that hears nobody, and disturbs the group with ever higher terms.
TEST_F(Partition, MemberThatHearsNobodyDisturbsNothing)
{
    const int controller = m_cluster.awaitController();
    const int deaf = other(controller);
    const qint64 term = m_cluster.status(controller)["control"].toObject()["term"].toInteger();
    for (const int node : { controller, other(deaf) == controller ? other(deaf, 2) : other(deaf) })
        m_cluster.network().setBlocked(node, deaf, true);
    ASSERT_TRUE(refusesKeys(deaf));
    makeChanges(controller, "deaf-", 20);
    for (const int node : { controller, other(deaf) == controller ? other(deaf, 2) : other(deaf) })
        m_cluster.network().setBlocked(node, deaf, false);
    EXPECT_TRUE(writes(deaf));
    EXPECT_EQ(m_cluster.awaitController(), controller);
    EXPECT_EQ(m_cluster.status(controller)["control"].toObject()["term"].toInteger(), term);
}

} // namespace
} // namespace shallotlever::support
