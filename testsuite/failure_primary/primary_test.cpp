#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <QJsonDocument>
#include <algorithm>
#include <iostream>

#include "cluster.h"
#include "event_loop.h"
#include "load.h"

namespace shallotlever::support {
namespace {

class Primary : public testing::Test
{
protected:
    static constexpr int kWritesBefore = 50;
    static constexpr int kWritesAfter = 50;
    /// Rounds of reads through every node; by chance alone, a replica in use is hit in them.
    static constexpr int kRoundsElsewhere = 20;

    static bool reaches(const Load &load, int writes)
    {
        return pollUntil([&] { return load.acknowledged() >= writes; });
    }
    bool primaryIsNot(const std::string &former)
    {
        return pollUntil([&] {
            const std::string primary = m_cluster.primary(0);
            return !primary.empty() && primary != former;
        });
    }
    /// Every acknowledged row exists and no row does that its caller was told had not run.
    void checkRows(const LoadCounts &counts)
    {
        HttpRequest request;
        HttpReply last;
        ASSERT_TRUE(pollUntil([&] {
            last = m_cluster.write(0, "INSERT OR REPLACE INTO t VALUES (1, 'end')");
            return last.ok();
        }));
        const std::vector<int> rows = rowsOf(m_cluster, 0, last.session);
        for (const int row : counts.acknowledged)
            EXPECT_TRUE(std::binary_search(rows.begin(), rows.end(), row)) << "lost " << row;
        for (const int row : counts.notRun)
            EXPECT_FALSE(std::binary_search(rows.begin(), rows.end(), row)) << "ran " << row;
    }
    /// Reads through every node are answered, and by other databases than this one.
    bool servedElsewhere(const std::string &id) const
    {
        for (int node = 0; node < m_cluster.size(); ++node) {
            const HttpReply reply = m_cluster.read(node, "SELECT 1");
            if (reply.ok() && reply.text("upstream") != id)
                continue;
            std::cout << "node " << node << ": " << reply.status << " " << reply.kind() << " from "
                      << reply.text("upstream") << "\n";
            return false;
        }
        return true;
    }
    void print(const char *what, const LoadCounts &counts) const
    {
        std::cout << what << ": write gap " << counts.writeGap.count() << " ms, "
                  << counts.acknowledged.size() << " acknowledged, " << counts.unknown.size()
                  << " unknown, " << counts.notRun.size() << " not run, " << counts.boards
                  << " reads";
        for (const auto &[kind, count] : counts.refusals)
            std::cout << ", " << kind << " " << count;
        std::cout << "\n";
        for (const QJsonObject &line : m_cluster.logged("primary_changed"))
            std::cout << QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString() << "\n";
    }
    static void checkReads(const LoadCounts &counts)
    {
        EXPECT_THAT(counts.failedReads, testing::IsEmpty());
        EXPECT_EQ(counts.missingOwnWrites, 0);
        EXPECT_EQ(counts.interrupted, 0);
    }
    /// Repeats the writes of unknown outcome with their keys; afterwards each exists exactly once.
    void resolveUnknown(const LoadCounts &counts)
    {
        for (const int row : counts.unknown) {
            HttpRequest request;
            request.idempotencyKey = "row-" + std::to_string(row);
            const HttpReply reply = m_cluster.write(
                1, "INSERT INTO t VALUES (" + std::to_string(row) + ", 'load')", request);
            EXPECT_TRUE(reply.ok()) << reply.kind();
        }
    }

    Cluster m_cluster;
};

// Guards against lost acknowledged writes, blank boards and sessions that miss their own writes
// when the primary is killed.
TEST_F(Primary, KilledUnderWrites)
{
    Load load(m_cluster, { .nodes = { 0, 1, 2 }, .readBack = true });
    ASSERT_TRUE(reaches(load, kWritesBefore));
    m_cluster.group()["a"].kill();
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    const LoadCounts counts = load.stop();
    print("primary killed", counts);
    checkReads(counts);
    checkRows(counts);
}

// Guards against a keyed write that runs twice, or stays unresolved, across a change of primary.
TEST_F(Primary, KilledUnderIdempotentWrites)
{
    Load load(m_cluster, { .nodes = { 0, 1, 2 }, .idempotent = true, .deadlineMs = 1000 });
    ASSERT_TRUE(reaches(load, kWritesBefore));
    m_cluster.group()["a"].kill();
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    const LoadCounts counts = load.stop();
    print("primary killed, idempotent writes", counts);
    EXPECT_THAT(counts.failedReads, testing::IsEmpty());
    checkRows(counts);
    resolveUnknown(counts);
}

// Guards against a write that is told as not run after a lost answer to its commit, because the
// deadline ended the repeat.
TEST_F(Primary, RepeatedWriteOfUnknownOutcomeIsNotToldAsNotRun)
{
    HttpRequest request;
    request.idempotencyKey = "first";
    ASSERT_TRUE(m_cluster.write(0, "INSERT INTO t VALUES (10, 'x')", request).ok());
    // The first attempt takes three such statements; the deadline falls into the repeat.
    m_cluster.group()["a"].command("statement-time 600");
    m_cluster.group()["a"].command("drop-before-answer COMMIT");
    request.idempotencyKey = "second";
    request.deadlineMs = 2100;
    const HttpReply reply = m_cluster.write(0, "INSERT INTO t VALUES (11, 'x')", request);
    m_cluster.group()["a"].command("statement-time 0");
    std::cout << "repeated write: " << reply.status << " " << reply.kind() << "\n";
    request.deadlineMs = 0;
    const HttpReply again = m_cluster.write(0, "INSERT INTO t VALUES (11, 'x')", request);
    EXPECT_TRUE(again.ok()) << again.kind();
    EXPECT_FALSE(reply.outcome() == "not_run" && again.body["repeated"].toBool());
}

// Guards against a read that is told as not run after a lost answer, because the repeat found no
// database.
TEST_F(Primary, RepeatedReadOfUnknownOutcomeIsNotToldAsNotRun)
{
    // Each request earns a part of a retry.
    constexpr int kReadsThatEarnRetries = 100;
    for (const char *replica : { "b", "c" })
        m_cluster.group()[replica].kill();
    ASSERT_TRUE(pollUntil([&] { return m_cluster.read(0, "SELECT 1").text("upstream") == "a"; }));
    for (int i = 0; i < kReadsThatEarnRetries; ++i)
        ASSERT_TRUE(m_cluster.read(0, "SELECT 1").ok());
    m_cluster.group()["a"].command("refuse on");
    HttpReply reply;
    // Each round loses a connection; the last one leaves none for the repeat.
    ASSERT_TRUE(pollUntil([&] {
        m_cluster.group()["a"].command("drop-before-answer SELECT");
        reply = m_cluster.read(0, "SELECT 2");
        return !reply.ok();
    }));
    EXPECT_EQ(reply.kind(), "outcome_unknown");
}

// Guards against a former primary that acknowledges writes or keeps its own after a freeze.
TEST_F(Primary, FrozenAndThawed)
{
    Load load(m_cluster, { .nodes = { 0, 1, 2 }, .readBack = true });
    ASSERT_TRUE(reaches(load, kWritesBefore));
    m_cluster.group()["a"].command("freeze");
    EXPECT_TRUE(primaryIsNot("a"));
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    m_cluster.group()["a"].command("unfreeze");
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    const LoadCounts counts = load.stop();
    print("primary frozen", counts);
    checkReads(counts);
    checkRows(counts);
    const auto current = statusOf(m_cluster.group()[m_cluster.primary(0)]);
    ASSERT_TRUE(current.ok());
    EXPECT_TRUE(waitForPoint(m_cluster.group()["a"], current->point));
}

// Guards against acknowledgements by a primary that reaches the nodes but none of its replicas, and
// against a group that takes no writes until such a cut ends.
TEST_F(Primary, CutFromItsReplicasIsReplaced)
{
    Load load(m_cluster, { .nodes = { 0, 1, 2 }, .deadlineMs = 500, .readBack = true });
    ASSERT_TRUE(reaches(load, kWritesBefore));
    m_cluster.group()["a"].command("cut b,c both");
    m_cluster.group()["b"].command("cut a both");
    m_cluster.group()["c"].command("cut a both");
    const auto reachesUnknown = [&](int writes) {
        return pollUntil([&] { return load.unknown() >= writes; });
    };
    // Writes that were under way when the links were cut may still be acknowledged.
    ASSERT_TRUE(reachesUnknown(load.unknown() + 4));
    const int acknowledged = load.acknowledged();
    // Counted before the primary is asked for: if that is still "a", it acknowledged them.
    EXPECT_TRUE(pollUntil([&] {
        const int now = load.acknowledged();
        if (m_cluster.primary(0) != "a")
            return true;
        EXPECT_EQ(now, acknowledged);
        return false;
    }));
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    for (const char *id : { "a", "b", "c" })
        m_cluster.group()[id].command("heal a,b,c both");
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    const LoadCounts counts = load.stop();
    print("primary cut from its replicas", counts);
    checkReads(counts);
    checkRows(counts);
}

// Guards against lost writes when the second primary fails before the first has returned.
TEST_F(Primary, SecondFailsRightAfterTheFirst)
{
    Load load(m_cluster, { .nodes = { 0, 1, 2 }, .readBack = true });
    ASSERT_TRUE(reaches(load, kWritesBefore));
    m_cluster.group()["a"].kill();
    EXPECT_TRUE(primaryIsNot("a"));
    const std::string second = m_cluster.primary(0);
    m_cluster.group().restart("a");
    m_cluster.group()[second].kill();
    EXPECT_TRUE(primaryIsNot(second));
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    const LoadCounts counts = load.stop();
    print("second primary killed", counts);
    checkReads(counts);
    checkRows(counts);
}

// Guards against a change of primary that is lost with the controller that started it.
TEST_F(Primary, ControllerKilledDuringTheChange)
{
    const int controller = m_cluster.awaitController();
    Load load(m_cluster, { .nodes = { 0, 1, 2 }, .readBack = true });
    ASSERT_TRUE(reaches(load, kWritesBefore));
    load.avoid(controller);
    m_cluster.group()["a"].kill();
    const int other = (controller + 1) % m_cluster.size();
    EXPECT_TRUE(pollUntil([&] {
        return !m_cluster.logged("upstream_state").empty() && m_cluster.primary(other) != "a";
    }));
    m_cluster.killNode(controller);
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    const LoadCounts counts = load.stop();
    m_cluster.startNode(controller);
    print("controller killed during the change", counts);
    EXPECT_EQ(counts.missingOwnWrites, 0);
    checkRows(counts);
}

// Guards against new work on an upstream that has announced that it is leaving.
TEST_F(Primary, LeavingUpstreamGetsNoNewWork)
{
    Load load(m_cluster, { .nodes = { 0, 1, 2 }, .readBack = true });
    ASSERT_TRUE(reaches(load, kWritesBefore));
    m_cluster.group()["b"].command("leaving on");
    EXPECT_TRUE(pollUntil([&] { return m_cluster.upstreamState(0, "b") == "leaving"; }));
    const auto allServedElsewhere = [&] {
        int rounds = 0;
        while (rounds < kRoundsElsewhere && servedElsewhere("b"))
            ++rounds;
        return rounds == kRoundsElsewhere;
    };
    EXPECT_TRUE(pollUntil(allServedElsewhere));
    // What stopped must not start again while the announcements of leaving are renewed.
    EXPECT_TRUE(allServedElsewhere());
    m_cluster.group()["a"].command("leaving on");
    EXPECT_TRUE(primaryIsNot("a"));
    EXPECT_TRUE(reaches(load, load.acknowledged() + kWritesAfter));
    const LoadCounts counts = load.stop();
    print("primary leaving", counts);
    checkReads(counts);
    checkRows(counts);
}

} // namespace
} // namespace shallotlever::support
