#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>

#include "event_loop.h"
#include "standin.h"

namespace shallotlever::support {
namespace {

HistoryPoint point(std::uint64_t term, std::uint64_t position)
{
    return { Term(term), LogPosition(position) };
}

std::string sqlStateOf(const QueryReply &reply)
{
    const auto *error = std::get_if<QueryError>(&reply);
    return error != nullptr ? error->sqlState : "";
}

/// Table `t` is created at position 2; position 1 is the entry of the first promotion.
class Group : public testing::Test
{
protected:
    void SetUp() override { mustQuery(*connect("a"), "CREATE TABLE t (id INTEGER PRIMARY KEY)"); }
    std::unique_ptr<UpstreamConnection> connect(const std::string &id)
    {
        return openConnection(m_group[id].params());
    }
    void insert(const std::string &id, int value)
    {
        mustQuery(*connect(id), "INSERT INTO t VALUES ($1)", { { std::to_string(value) } });
    }
    std::vector<std::string> rows(const std::string &id)
    {
        std::vector<std::string> values;
        for (const auto &row : mustQuery(*connect(id), "SELECT id FROM t ORDER BY id").rows)
            values.push_back(*row[0]);
        return values;
    }
    bool allAt(HistoryPoint target)
    {
        return waitForPoint(m_group["a"], target) && waitForPoint(m_group["b"], target)
            && waitForPoint(m_group["c"], target);
    }

    StandinGroup m_group { { "a", "b", "c" } };
};

TEST_F(Group, ReplicasFollowAndRefuseWrites)
{
    insert("a", 1);
    ASSERT_TRUE(allAt(point(1, 3)));
    EXPECT_EQ(rows("b"), (std::vector<std::string> { "1" }));
    EXPECT_EQ(sqlStateOf(query(*connect("b"), "INSERT INTO t VALUES (2)")), "25006");
    EXPECT_EQ(statusOf(m_group["a"])->role, UpstreamRole::Primary);
    EXPECT_EQ(statusOf(m_group["b"])->role, UpstreamRole::Replica);
}

// Guards against a former primary that commits after the fence was answered.
TEST_F(Group, FenceMakesOpenTransactionsAndLaterWritesFail)
{
    const auto open = connect("a");
    mustQuery(*open, "BEGIN");
    mustQuery(*open, "INSERT INTO t VALUES (1)");
    EXPECT_EQ(fence(m_group["a"], 2)->fencedTerm, Term(2));
    EXPECT_EQ(sqlStateOf(query(*open, "COMMIT")), "57P04");
    EXPECT_EQ(sqlStateOf(query(*connect("a"), "INSERT INTO t VALUES (2)")), "57P04");
    EXPECT_TRUE(rows("a").empty());
}

/// Inserts rows on one connection until an insert is refused.
struct Writer
{
    std::unique_ptr<UpstreamConnection> connection;
    int nextValue = 0;
    int committed = 0;
    std::string refusal;

    void insert()
    {
        const std::vector<SqlValue> params { std::to_string(nextValue++) };
        connection->execute("INSERT INTO t VALUES ($1)", params, 20s, [this](const auto &reply) {
            refusal = sqlStateOf(reply);
            if (!refusal.empty())
                return;
            ++committed;
            insert();
        });
    }
};

// Guards against a commit that slips past the fence while writers are busy.
TEST_F(Group, NoCommitFollowsTheAnswerToTheFence)
{
    constexpr int kWriters = 4;
    std::array<Writer, kWriters> writers;
    for (int i = 0; i < kWriters; ++i) {
        writers[i].connection = connect("a");
        writers[i].nextValue = i * 1000000;
        writers[i].insert();
    }
    ASSERT_TRUE(spinUntil([&] { return writers[0].committed > 20; }));
    const auto fenced = fence(m_group["a"], 2);
    ASSERT_TRUE(fenced.ok());
    for (Writer &writer : writers) {
        EXPECT_TRUE(spinUntil([&] { return !writer.refusal.empty(); }));
        EXPECT_THAT(writer.refusal, testing::AnyOf("57P04", "40001"));
    }
    EXPECT_EQ(*statusOf(m_group["a"]), *fenced);
    std::uint64_t committed = 0;
    for (const Writer &writer : writers)
        committed += static_cast<std::uint64_t>(writer.committed);
    EXPECT_EQ(fenced->point, point(1, 2 + committed));
}

// Guards against a fence that a restart forgets.
TEST_F(Group, FenceSurvivesAKill)
{
    ASSERT_TRUE(fence(m_group["a"], 5).ok());
    m_group["a"].kill();
    m_group.restart("a");
    EXPECT_EQ(statusOf(m_group["a"])->fencedTerm, Term(5));
    EXPECT_EQ(sqlStateOf(query(*connect("a"), "INSERT INTO t VALUES (2)")), "57P04");
    EXPECT_EQ(fence(m_group["a"], 3)->fencedTerm, Term(5));
}

TEST_F(Group, PromotionBelowTheFenceIsRefused)
{
    ASSERT_TRUE(allAt(point(1, 2)));
    ASSERT_TRUE(fence(m_group["b"], 5).ok());
    EXPECT_EQ(promote(m_group["b"], 4).status().code(), absl::StatusCode::kFailedPrecondition);
    const auto promoted = promote(m_group["b"], 5);
    ASSERT_TRUE(promoted.ok());
    EXPECT_EQ(promoted->point, point(5, 3));
    // A repeat after a lost answer gets the same result.
    EXPECT_EQ(*promote(m_group["b"], 5), *promoted);
}

// Guards against a stream of a fenced term: it could bring entries that no majority will keep.
TEST_F(Group, FencedReplicaRefusesAStreamOfALowerTerm)
{
    ASSERT_TRUE(allAt(point(1, 2)));
    ASSERT_TRUE(fence(m_group["b"], 2).ok());
    insert("a", 1);
    ASSERT_TRUE(waitForPoint(m_group["c"], point(1, 3)));
    EXPECT_EQ(statusOf(m_group["b"])->point, point(1, 2));
}

// Guards against the loss of acknowledged writes, and against unacknowledged ones that come back.
TEST_F(Group, MostAdvancedIsPromotedAndDivergentSuffixIsDiscarded)
{
    ASSERT_TRUE(allAt(point(1, 2)));
    m_group["c"].command("cut a,b out");
    insert("a", 1);
    ASSERT_TRUE(waitForPoint(m_group["b"], point(1, 3)));
    m_group["b"].command("cut a out");
    insert("a", 100);
    m_group["a"].kill();
    ASSERT_TRUE(fence(m_group["b"], 2).ok());
    ASSERT_TRUE(fence(m_group["c"], 2).ok());
    EXPECT_EQ(statusOf(m_group["b"])->point, point(1, 3));
    EXPECT_EQ(statusOf(m_group["c"])->point, point(1, 2));
    EXPECT_EQ(promote(m_group["b"], 2)->point, point(2, 4));
    m_group["c"].command("heal a,b");
    insert("b", 2);
    m_group.restart("a");
    ASSERT_TRUE(allAt(point(2, 5)));
    EXPECT_EQ(statusOf(m_group["a"])->role, UpstreamRole::Replica);
    for (const char *id : { "a", "b", "c" })
        EXPECT_EQ(rows(id), (std::vector<std::string> { "1", "2" })) << id;
}

// Guards against a lagging replica that reports the new term before it holds the entry of the
// promotion: it would be preferred to a database that holds more acknowledged writes.
TEST_F(Group, LaggingReplicaKeepsTheOldTermUntilItReachesThePromotion)
{
    ASSERT_TRUE(allAt(point(1, 2)));
    m_group["c"].command("cut a,b out");
    insert("a", 1);
    insert("a", 2);
    ASSERT_TRUE(waitForPoint(m_group["b"], point(1, 4)));
    ASSERT_TRUE(promote(m_group["b"], 2).ok());
    m_group["c"].command("replication-delay 3600000");
    m_group["c"].command("heal a,b");
    EXPECT_EQ(statusOf(m_group["c"])->point, point(1, 2));
    m_group["c"].command("replication-delay 0");
    EXPECT_TRUE(allAt(point(2, 5)));
}

// Guards against a running former primary that stays primary after a higher term exists.
TEST_F(Group, RunningFormerPrimaryBecomesAReplica)
{
    ASSERT_TRUE(allAt(point(1, 2)));
    ASSERT_TRUE(promote(m_group["b"], 2).ok());
    EXPECT_TRUE(allAt(point(2, 3)));
    EXPECT_EQ(statusOf(m_group["a"])->role, UpstreamRole::Replica);
}

// Guards against the loss of committed writes, or a position that moves back, at a kill.
TEST_F(Group, CommittedPositionSurvivesAKill)
{
    for (int value = 1; value <= 20; ++value)
        insert("a", value);
    const auto before = statusOf(m_group["a"]);
    m_group["a"].kill();
    m_group.restart("a");
    EXPECT_EQ(*statusOf(m_group["a"]), *before);
    EXPECT_EQ(rows("a").size(), 20U);
    insert("a", 21);
    EXPECT_TRUE(allAt(point(1, 23)));
}

// Guards against status calls that wait behind statements or connection limits.
TEST_F(Group, StatusAnswersWhileAWriterHoldsTheLock)
{
    const auto open = connect("a");
    mustQuery(*open, "BEGIN");
    mustQuery(*open, "INSERT INTO t VALUES (1)");
    EXPECT_EQ(statusOf(m_group["a"])->point, point(1, 2));
    EXPECT_TRUE(wasCommitted(mustQuery(*open, "COMMIT")));
    EXPECT_EQ(statusOf(m_group["a"])->point, point(1, 3));
}

TEST_F(Group, ControlCallsTimeOutAndRecover)
{
    const UpstreamControl control = m_group["a"].control();
    using Answer = absl::StatusOr<UpstreamStatus>;
    const auto status = [&control](Duration timeout) {
        return await<Answer>([&](auto callback) { control.status(timeout, callback); });
    };
    ASSERT_TRUE(status(20s).ok());
    m_group["a"].command("cut-clients");
    EXPECT_EQ(status(100ms).status().code(), absl::StatusCode::kDeadlineExceeded);
    m_group["a"].command("heal-clients");
    EXPECT_TRUE(status(20s).ok());
    m_group["a"].kill();
    EXPECT_EQ(status(20s).status().code(), absl::StatusCode::kUnavailable);
}

} // namespace
} // namespace shallotlever::support
