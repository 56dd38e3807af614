#include "shallotlever/upstream/connection.h"

#include <gtest/gtest.h>

#include <cstdlib>

#include "event_loop.h"
#include "standin.h"

namespace shallotlever::support {
namespace {

constexpr Duration kShortTimeout = 200ms;

QueryError errorOf(const QueryReply &reply)
{
    const auto *error = std::get_if<QueryError>(&reply);
    return error != nullptr ? *error : QueryError { QueryErrorKind::NotSent, "none", "no error" };
}

class Connection : public testing::Test
{
protected:
    void SetUp() override
    {
        m_connection = openConnection(m_database.params());
        mustQuery(*m_connection, "CREATE TABLE seats (id INTEGER PRIMARY KEY, name TEXT NOT NULL)");
    }
    std::string countSeats()
    {
        const auto fresh = openConnection(m_database.params());
        return *mustQuery(*fresh, "SELECT COUNT(*) FROM seats").rows[0][0];
    }

    StandinDb m_database { "a", { "--initial-primary" } };
    std::unique_ptr<UpstreamConnection> m_connection;
};

// Guards against NULL and empty text being mixed up, and against bytes lost in parameters.
TEST_F(Connection, ValuesAndCountsArriveUnchanged)
{
    const QueryResult insert =
        mustQuery(*m_connection, "INSERT INTO seats VALUES ($1, $2), ($3, $4)",
                  { { "1" }, { "Łyżka 'x'; --" }, { "2" }, { "" } });
    EXPECT_EQ(insert.affectedRows, 2U);
    EXPECT_TRUE(insert.columns.empty());
    const QueryResult read = mustQuery(
        *m_connection, "SELECT id, name, $1 AS missing FROM seats ORDER BY id", { std::nullopt });
    EXPECT_EQ(read.columns, (std::vector<std::string> { "id", "name", "missing" }));
    EXPECT_EQ(read.rows,
              (std::vector<std::vector<SqlValue>> { { { "1" }, { "Łyżka 'x'; --" }, std::nullopt },
                                                    { { "2" }, { "" }, std::nullopt } }));
    EXPECT_EQ(read.affectedRows, 0U);
    const QueryResult returning =
        mustQuery(*m_connection, "DELETE FROM seats WHERE id = $1 RETURNING name", { { "2" } });
    EXPECT_EQ(returning.affectedRows, 1U);
    EXPECT_EQ(returning.rows.size(), 1U);
}

struct RefusedStatement
{
    const char *sql;
    std::vector<SqlValue> params;
    const char *sqlState;
};

class Refused : public Connection, public testing::WithParamInterface<RefusedStatement>
{
};

// Guards against a plain SQL error that is reported as unknown or that closes the connection.
TEST_P(Refused, GivesTheSqlStateAndKeepsTheConnection)
{
    mustQuery(*m_connection, "INSERT INTO seats VALUES (1, 'taken')");
    const QueryError error = errorOf(query(*m_connection, GetParam().sql, GetParam().params));
    EXPECT_EQ(error.kind, QueryErrorKind::Refused);
    EXPECT_EQ(error.sqlState, GetParam().sqlState);
    EXPECT_FALSE(error.message.empty());
    EXPECT_EQ(mustQuery(*m_connection, "SELECT name FROM seats").rows.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    All, Refused,
    testing::Values(RefusedStatement { "SELEC 1", {}, "42601" },
                    RefusedStatement { "SELECT 1; SELECT 2", {}, "42601" },
                    RefusedStatement { "SELECT * FROM nowhere", {}, "42P01" },
                    RefusedStatement { "SELECT missing FROM seats", {}, "42703" },
                    RefusedStatement { "INSERT INTO seats VALUES ($1, 'x')", { { "1" } }, "23505" },
                    RefusedStatement {
                        "INSERT INTO seats VALUES (2, $1)", { std::nullopt }, "23502" },
                    RefusedStatement { "SELECT $2", { { "1" } }, "08P01" },
                    RefusedStatement { "SELECT shallotlever_fence($1)", { { "x" } }, "22P02" }));

// Guards against a write that is labelled as a read.
TEST_F(Connection, ReadOnlyTransactionRefusesAWrite)
{
    mustQuery(*m_connection, "BEGIN READ ONLY");
    EXPECT_EQ(errorOf(query(*m_connection, "INSERT INTO seats VALUES (1, 'x')")).sqlState, "25006");
    EXPECT_EQ(m_connection->transactionStatus(), TransactionStatus::Failed);
    EXPECT_EQ(errorOf(query(*m_connection, "SELECT 1")).sqlState, "25P02");
    // COMMIT of a failed transaction succeeds, but it commits nothing.
    EXPECT_FALSE(wasCommitted(mustQuery(*m_connection, "COMMIT")));
    EXPECT_EQ(m_connection->transactionStatus(), TransactionStatus::Idle);
}

// Guards against a read transaction that sees commits made after its first read.
QueryReply readOnly(UpstreamConnection &connection, std::string_view sql,
                    const std::vector<SqlValue> &params = {}, Duration timeout = 20s)
{
    return await<QueryReply>([&](const QueryCallback &callback) {
        connection.executeReadOnly(sql, params, timeout, callback);
    });
}

// Guards against answers of BEGIN or ROLLBACK being taken for the statement's, and against a
// connection that is left inside the transaction.
TEST_F(Connection, ReadOnlyPipelineAnswersTheStatementAndRollsBack)
{
    for (int round = 0; round < 3; ++round) {
        const QueryReply reply = readOnly(*m_connection, "SELECT $1 AS v", { { "x" } });
        ASSERT_TRUE(std::holds_alternative<QueryResult>(reply)) << errorOf(reply).message;
        EXPECT_EQ(std::get<QueryResult>(reply).rows[0][0], "x");
        EXPECT_EQ(m_connection->transactionStatus(), TransactionStatus::Idle);
    }
    mustQuery(*m_connection, "INSERT INTO seats VALUES (1, 'after')");
    EXPECT_EQ(countSeats(), "1");
}

// Guards against a mislabelled write that takes effect, and against a failed pipeline that leaves
// the connection unusable.
TEST_F(Connection, ReadOnlyPipelineRefusesAWriteAndStaysUsable)
{
    EXPECT_EQ(errorOf(readOnly(*m_connection, "INSERT INTO seats VALUES (1, 'a')")).sqlState,
              "25006");
    EXPECT_EQ(m_connection->transactionStatus(), TransactionStatus::Failed);
    mustQuery(*m_connection, "ROLLBACK");
    EXPECT_EQ(errorOf(readOnly(*m_connection, "SELECT nonsense FROM")).sqlState, "42601");
    mustQuery(*m_connection, "ROLLBACK");
    EXPECT_TRUE(std::holds_alternative<QueryResult>(readOnly(*m_connection, "SELECT 1")));
    EXPECT_EQ(countSeats(), "0");
}

TEST_F(Connection, ReadOnlyTransactionKeepsItsSnapshot)
{
    mustQuery(*m_connection, "BEGIN READ ONLY");
    EXPECT_EQ(*mustQuery(*m_connection, "SELECT COUNT(*) FROM seats").rows[0][0], "0");
    mustQuery(*openConnection(m_database.params()), "INSERT INTO seats VALUES (1, 'x')");
    EXPECT_EQ(*mustQuery(*m_connection, "SELECT COUNT(*) FROM seats").rows[0][0], "0");
    mustQuery(*m_connection, "COMMIT");
    EXPECT_EQ(countSeats(), "1");
}

// Guards against a writer that waits forever for another one.
TEST_F(Connection, WriterThatWaitsTooLongGetsASerializationFailure)
{
    mustQuery(*m_connection, "BEGIN");
    mustQuery(*m_connection, "INSERT INTO seats VALUES (1, 'x')");
    const auto second = openConnection(m_database.params());
    EXPECT_EQ(errorOf(query(*second, "INSERT INTO seats VALUES (2, 'y')")).sqlState, "40001");
    EXPECT_TRUE(wasCommitted(mustQuery(*m_connection, "COMMIT")));
    EXPECT_EQ(mustQuery(*second, "INSERT INTO seats VALUES (2, 'y')").affectedRows, 1U);
}

// Guards against a lost answer that is reported as not run, which would let it be repeated.
TEST_F(Connection, DropBeforeAnswerLeavesTheFateUnknown)
{
    m_database.command("drop-before-answer INSERT");
    const QueryError error = errorOf(query(*m_connection, "INSERT INTO seats VALUES (1, 'x')"));
    EXPECT_EQ(error.kind, QueryErrorKind::LostAfterSend);
    EXPECT_TRUE(m_connection->isClosed());
    EXPECT_EQ(countSeats(), "1");
}

TEST_F(Connection, DropAtCommitLeavesTheFateUnknown)
{
    m_database.command("drop-before-answer COMMIT");
    mustQuery(*m_connection, "BEGIN");
    mustQuery(*m_connection, "INSERT INTO seats VALUES (1, 'x')");
    EXPECT_EQ(errorOf(query(*m_connection, "COMMIT")).kind, QueryErrorKind::LostAfterSend);
    EXPECT_EQ(countSeats(), "1");
}

class DropAfter : public Connection, public testing::WithParamInterface<int>
{
};

// Guards against a truncated answer that is handed out as a short one.
TEST_P(DropAfter, PartOfAnAnswerIsAnError)
{
    for (int id = 0; id < 20; ++id)
        mustQuery(*m_connection, "INSERT INTO seats VALUES ($1, 'x')", { { std::to_string(id) } });
    m_database.command("drop-after " + std::to_string(GetParam()));
    const QueryError error = errorOf(query(*m_connection, "SELECT * FROM seats"));
    EXPECT_EQ(error.kind, QueryErrorKind::LostAfterSend) << error.message;
    EXPECT_TRUE(m_connection->isClosed());
}

// The whole answer has 426 bytes or more: two columns described, and 20 rows of 17 bytes or more.
// Guards against a cut pipeline that is reported as a whole answer.
TEST_P(DropAfter, PartOfAPipelineIsAnError)
{
    m_database.command("drop-after " + std::to_string(GetParam()));
    const QueryReply reply = readOnly(*m_connection, "SELECT hex(zeroblob(500)) AS long");
    EXPECT_EQ(errorOf(reply).kind, QueryErrorKind::LostAfterSend);
    EXPECT_TRUE(m_connection->isClosed());
}

INSTANTIATE_TEST_SUITE_P(Bytes, DropAfter, testing::Values(0, 1, 5, 10, 64, 100, 200, 300, 400));

// Guards against a request that waits forever, and against its late answer meeting the next one.
TEST_F(Connection, FrozenDatabaseTimesOutAndClosesTheConnection)
{
    m_database.command("freeze");
    const QueryReply reply = query(*m_connection, "SELECT 'late'", {}, kShortTimeout);
    EXPECT_EQ(errorOf(reply).kind, QueryErrorKind::Abandoned);
    EXPECT_TRUE(m_connection->isClosed());
    m_database.command("unfreeze");
    EXPECT_EQ(errorOf(query(*m_connection, "SELECT 'next'")).kind, QueryErrorKind::NotSent);
    EXPECT_EQ(*mustQuery(*openConnection(m_database.params()), "SELECT 'next'").rows[0][0], "next");
}

TEST_F(Connection, AbandonedStatementClosesTheConnection)
{
    m_database.command("freeze");
    const QueryReply reply = await<QueryReply>([this](auto callback) {
        m_connection->execute("SELECT 1", {}, 20s, callback);
        m_connection->abandon();
    });
    EXPECT_EQ(errorOf(reply).kind, QueryErrorKind::Abandoned);
    EXPECT_TRUE(m_connection->isClosed());
}

// Guards against a statement counted as possibly run although the connection was closed before.
TEST_F(Connection, StatementOnAConnectionClosedByTheDatabaseIsNotSent)
{
    m_database.kill();
    EXPECT_EQ(errorOf(query(*m_connection, "SELECT 1")).kind, QueryErrorKind::NotSent);
    EXPECT_TRUE(m_connection->isClosed());
}

TEST_F(Connection, SecondStatementAndZeroBytesAreNotSent)
{
    EXPECT_EQ(errorOf(query(*m_connection, std::string_view("SELECT 1\0", 9))).kind,
              QueryErrorKind::NotSent);
    m_connection->execute("SELECT 1", {}, 20s, [](const QueryReply &) {});
    EXPECT_EQ(errorOf(query(*m_connection, "SELECT 2")).kind, QueryErrorKind::NotSent);
}

// Guards against a use after free: a callback commonly gives its connection up.
TEST_F(Connection, CallbackMayDestroyTheConnection)
{
    bool called = false;
    m_connection->execute("SELECT 1", {}, 20s, [&](const QueryReply &) {
        m_connection.reset();
        called = true;
    });
    EXPECT_TRUE(spinUntil([&called] { return called; }));
}

TEST_F(Connection, FailedConnectsAreToldApart)
{
    ConnectionParams params = m_database.params();
    m_database.command("refuse on");
    EXPECT_EQ(openStatus(params).code(), absl::StatusCode::kUnavailable);
    m_database.command("refuse off");
    m_database.command("freeze");
    params.connectTimeout = kShortTimeout;
    EXPECT_EQ(openStatus(params).code(), absl::StatusCode::kDeadlineExceeded);
    m_database.kill();
    EXPECT_EQ(openStatus(m_database.params()).code(), absl::StatusCode::kUnavailable);
}

TEST(ConnectionLimit, IsReportedAsExhausted)
{
    StandinDb database("a", { "--initial-primary", "--connection-limit=1" });
    const auto first = openConnection(database.params());
    EXPECT_EQ(openStatus(database.params()).code(), absl::StatusCode::kResourceExhausted);
    EXPECT_TRUE(statusOf(database).ok());
}

class LibpqVariable : public testing::TestWithParam<const char *>
{
};

// Guards against a password or options that libpq would take from the environment.
TEST_P(LibpqVariable, RefusesToOpenUntilCleared)
{
    setenv(GetParam(), "x", 1);
    ConnectionParams params { { "127.0.0.1", 1 }, "caller", "service" };
    EXPECT_EQ(openStatus(params).code(), absl::StatusCode::kFailedPrecondition);
    clearLibpqEnvironment();
    EXPECT_NE(openStatus(params).code(), absl::StatusCode::kFailedPrecondition);
}

INSTANTIATE_TEST_SUITE_P(All, LibpqVariable,
                         testing::Values("PGPASSWORD", "PGSERVICE", "PGOPTIONS", "PGTZ"));

} // namespace
} // namespace shallotlever::support
