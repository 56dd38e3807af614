#include "shallotlever/upstream/pool.h"

#include <gtest/gtest.h>

#include "event_loop.h"
#include "shallotlever/base/clock.h"
#include "standin.h"

namespace shallotlever::support {
namespace {

constexpr std::uint64_t kSeed = 7;
using Acquired = absl::StatusOr<PooledConnection>;

std::unique_ptr<ConnectionPool> makePool(const StandinDb &database, PoolOptions options)
{
    ensureApplication();
    auto pool = ConnectionPool::create(database.params(), options, Random(kSeed));
    return *std::move(pool);
}

Acquired acquire(ConnectionPool &pool, Duration timeout = 20s)
{
    return await<Acquired>(
        [&](auto callback) { pool.acquire(monotonicNow() + timeout, callback); });
}

QueryResult run(PooledConnection &connection, std::string_view sql)
{
    return mustQuery(*connection.operator->(), sql);
}

/// Answers `requests` acquires, each with one statement, and counts the statements answered.
struct Load
{
    int answered = 0;
    int failed = 0;

    void start(ConnectionPool &pool, int requests)
    {
        for (int i = 0; i < requests; ++i)
            pool.acquire(monotonicNow() + 20s, [this](Acquired acquired) { use(acquired); });
    }
    void use(Acquired &acquired)
    {
        if (!acquired.ok()) {
            ++failed;
            return;
        }
        const auto connection = std::make_shared<PooledConnection>(*std::move(acquired));
        (*connection)->execute("SELECT 1", {}, 20s, [this, connection](const QueryReply &reply) {
            ++(std::holds_alternative<QueryResult>(reply) ? answered : failed);
            connection->release(SessionReset::DiscardAll);
        });
    }
};

// Guards against more connections than the share granted, resets included.
TEST(Pool, LimitIsNeverPassed)
{
    StandinDb database("a",
                       { "--initial-primary", "--connect-delay-ms=5", "--statement-time-ms=1" });
    const auto pool = makePool(database, { .limits = { 3, 1 } });
    Load load;
    load.start(*pool, 60);
    EXPECT_TRUE(spinUntil([&] { return load.answered + load.failed == 60; }));
    EXPECT_EQ(load.answered, 60);
    EXPECT_EQ(database.stats()["max_connections"].toInt(), 3);
    EXPECT_EQ(database.stats()["total_connections"].toInt(), 3);
}

// Guards against requests lost because the database allows fewer connections than the share.
TEST(Pool, SmallerLimitOfTheDatabaseIsRespected)
{
    StandinDb database("a", { "--initial-primary", "--connection-limit=2" });
    const auto pool = makePool(database, { .limits = { 6, 0 } });
    auto first = acquire(*pool);
    ASSERT_TRUE(first.ok());
    Load load;
    load.start(*pool, 20);
    EXPECT_TRUE(spinUntil([&] { return pool->counts().connectFailures > 0; }));
    first->release(SessionReset::None);
    EXPECT_TRUE(spinUntil([&] { return load.answered + load.failed == 20; }));
    EXPECT_EQ(load.answered, 20);
}

TEST(Pool, ConnectionsAreReadyInAdvance)
{
    StandinDb database("a", { "--initial-primary" });
    const auto pool = makePool(database, { .limits = { 5, 2 } });
    EXPECT_TRUE(spinUntil([&] { return pool->counts().idle == 2; }));
    const auto lent = acquire(*pool);
    EXPECT_EQ(pool->counts().busy, 1U);
    EXPECT_TRUE(spinUntil([&] { return pool->counts().idle == 2; }));
    EXPECT_EQ(pool->counts().open, 3U);
}

// Guards against a session that sees what an earlier one left behind.
TEST(Pool, StateIsResetBetweenSessions)
{
    StandinDb database("a", { "--initial-primary" });
    const auto pool = makePool(database, { .limits = { 1, 1 } });
    auto first = acquire(*pool);
    run(*first, "SET role = 'instructor'");
    EXPECT_EQ(*run(*first, "SHOW role").rows[0][0], "instructor");
    first->release(SessionReset::DiscardAll);
    auto second = acquire(*pool);
    EXPECT_EQ(*run(*second, "SHOW role").rows[0][0], "");
    EXPECT_EQ(database.stats()["total_connections"].toInt(), 1);
}

// Guards against a statement of one session that lands in the transaction of another.
TEST(Pool, OpenTransactionIsNeverPooled)
{
    StandinDb database("a", { "--initial-primary" });
    const auto pool = makePool(database, { .limits = { 1, 1 } });
    auto first = acquire(*pool);
    run(*first, "BEGIN");
    run(*first, "CREATE TABLE left_open (id INTEGER)");
    first->release(SessionReset::None);
    auto second = acquire(*pool);
    EXPECT_EQ((*second)->transactionStatus(), TransactionStatus::Idle);
    EXPECT_TRUE(run(*second, "SELECT 1 FROM sqlite_master WHERE name = 'left_open'").rows.empty());
    EXPECT_EQ(database.stats()["total_connections"].toInt(), 2);
}

// Guards against a late answer given to the next request.
TEST(Pool, AbandonedRequestNeverMeetsTheNextOne)
{
    StandinDb database("a", { "--initial-primary" });
    const auto pool = makePool(database, { .limits = { 1, 1 } });
    auto first = acquire(*pool);
    database.command("freeze");
    const QueryReply late = query(*first->operator->(), "SELECT 'late'", {}, 100ms);
    EXPECT_EQ(std::get<QueryError>(late).kind, QueryErrorKind::Abandoned);
    first->release(SessionReset::None);
    database.command("unfreeze");
    auto second = acquire(*pool);
    EXPECT_EQ(*run(*second, "SELECT 'next'").rows[0][0], "next");
}

TEST(Pool, UnreachableDatabaseFailsWaitersAndIsTriedAgain)
{
    StandinDb database("a", { "--initial-primary" });
    database.command("refuse on");
    const auto pool = makePool(database, { .limits = { 2, 1 }, .backoffMax = 100ms });
    EXPECT_EQ(acquire(*pool).status().code(), absl::StatusCode::kUnavailable);
    EXPECT_TRUE(spinUntil([&] { return pool->counts().consecutiveFailures >= 3; }));
    database.command("refuse off");
    EXPECT_TRUE(spinUntil([&] { return pool->counts().idle == 1; }));
    EXPECT_EQ(pool->counts().consecutiveFailures, 0U);
    EXPECT_TRUE(acquire(*pool).ok());
}

TEST(Pool, WaiterIsAnsweredAtItsDeadline)
{
    StandinDb database("a", { "--initial-primary" });
    const auto pool = makePool(database, { .limits = { 1, 1 } });
    const auto lent = acquire(*pool);
    EXPECT_EQ(acquire(*pool, 50ms).status().code(), absl::StatusCode::kDeadlineExceeded);
    EXPECT_EQ(pool->counts().waiting, 0U);
}

TEST(Pool, LowerLimitClosesConnections)
{
    StandinDb database("a", { "--initial-primary" });
    const auto pool = makePool(database, { .limits = { 4, 4 } });
    EXPECT_TRUE(spinUntil([&] { return pool->counts().idle == 4; }));
    auto lent = acquire(*pool);
    pool->setLimits({ 1, 1 });
    EXPECT_EQ(pool->counts().open, 1U);
    pool->setLimits({ 0, 0 });
    lent->release(SessionReset::None);
    EXPECT_EQ(pool->counts().open, 0U);
    EXPECT_TRUE(spinUntil([&] { return database.stats()["connections"].toInt() == 0; }));
}

// Guards against callers left without an answer, and a loan that touches a pool that is gone.
TEST(Pool, ShutdownAnswersWaitersAndOutlivesLoans)
{
    StandinDb database("a", { "--initial-primary" });
    auto pool = makePool(database, { .limits = { 1, 1 } });
    auto lent = acquire(*pool);
    const Acquired waiter = await<Acquired>([&](auto callback) {
        pool->acquire(monotonicNow() + 20s, callback);
        pool.reset();
    });
    EXPECT_EQ(waiter.status().code(), absl::StatusCode::kCancelled);
    EXPECT_EQ(run(*lent, "SELECT 1").rows.size(), 1U);
    lent->release(SessionReset::None);
}

// Guards against idle connections that are handed out after the database has closed them.
TEST(Pool, ConnectionsClosedByTheDatabaseAreDropped)
{
    StandinDb database("a", { "--initial-primary" });
    const auto pool = makePool(database, { .limits = { 2, 2 } });
    EXPECT_TRUE(spinUntil([&] { return pool->counts().idle == 2; }));
    database.kill();
    EXPECT_TRUE(spinUntil([&] { return pool->counts().open == 0; }));
    EXPECT_EQ(acquire(*pool).status().code(), absl::StatusCode::kUnavailable);
}

} // namespace
} // namespace shallotlever::support
