#include <gtest/gtest.h>

#include <QJsonArray>
#include <QJsonDocument>

#include "cluster.h"
#include "event_loop.h"

namespace shallotlever::support {
namespace {

/// One cluster serves all tests of this program; each test uses ids of its own.
class Requests : public testing::Test
{
protected:
    static void SetUpTestSuite() { s_cluster = std::make_unique<Cluster>(); }
    static void TearDownTestSuite() { s_cluster.reset(); }
    static Cluster &cluster() { return *s_cluster; }
    static HttpRequest session(const HttpReply &reply)
    {
        HttpRequest request;
        request.session = reply.session;
        return request;
    }
    /// Starts a write transaction and inserts a row in it; gives the answer of the start.
    static HttpReply begin(int node, int row)
    {
        HttpRequest request;
        request.body = { { "mode", "write" } };
        HttpReply started = cluster().transaction(node, "", request);
        EXPECT_TRUE(started.ok()) << started.kind();
        EXPECT_TRUE(insertIn(node, started, row, session(started)).ok());
        return started;
    }
    static HttpReply insertIn(int node, const HttpReply &started, int row, HttpRequest request)
    {
        return cluster().statement(node, insert(row), "write", std::move(request),
                                   { { "transaction", started.body["transaction"] } });
    }
    static HttpReply finish(int node, const HttpReply &started, const char *how)
    {
        return cluster().transaction(node, "/" + started.text("transaction") + how,
                                     session(started));
    }
    static std::string insert(int row)
    {
        return "INSERT INTO t VALUES (" + std::to_string(row) + ", 'x')";
    }
    static std::string count(int row, HttpRequest request = {})
    {
        return cluster()
            .read(1, "SELECT count(*) FROM t WHERE id = " + std::to_string(row), std::move(request))
            .cell();
    }

private:
    static inline std::unique_ptr<Cluster> s_cluster;
};

// Guards against a session that reads a replica without its own write after it roamed.
TEST_F(Requests, SessionReadsItsWritesOnEveryNode)
{
    cluster().group()["b"].command("replication-delay 200");
    cluster().group()["c"].command("replication-delay 200");
    HttpRequest next;
    for (int row = 100; row < 130; ++row) {
        const HttpReply written = cluster().write(row % 3, insert(row), next);
        ASSERT_TRUE(written.ok()) << written.kind();
        next = session(written);
        EXPECT_EQ(cluster()
                      .read((row + 1) % 3,
                            "SELECT count(*) FROM t WHERE id = " + std::to_string(row), next)
                      .cell(),
                  "1");
    }
    cluster().group()["b"].command("replication-delay 0");
    cluster().group()["c"].command("replication-delay 0");
}

// Guards against a repeat that runs twice, or a key that answers for another statement.
TEST_F(Requests, IdempotencyKeyHoldsOnAnotherNode)
{
    HttpRequest keyed;
    keyed.idempotencyKey = "seat-1";
    const std::string sql = "INSERT INTO t VALUES ((SELECT max(id) + 1 FROM t), 'idempotent')";
    ASSERT_TRUE(cluster().write(0, sql, keyed).ok());
    const HttpReply again = cluster().write(1, sql, keyed);
    EXPECT_TRUE(again.ok());
    EXPECT_TRUE(again.body["repeated"].toBool());
    EXPECT_EQ(
        cluster().read(2, "SELECT count(*) FROM t WHERE v = 'idempotent'", session(again)).cell(),
        "1");
    EXPECT_EQ(cluster().write(2, insert(200), keyed).kind(), "idempotency_mismatch");
}

TEST_F(Requests, WriteLabelledReadIsRefused)
{
    const HttpReply reply = cluster().read(0, insert(300));
    EXPECT_EQ(reply.kind(), "read_only_violation");
    EXPECT_EQ(reply.outcome(), "not_run");
    EXPECT_EQ(count(300), "0");
}

TEST_F(Requests, TransactionCommitsOrRollsBack)
{
    const HttpReply committed = begin(0, 400);
    const HttpReply done = finish(0, committed, "/commit");
    ASSERT_TRUE(done.ok()) << done.kind();
    EXPECT_EQ(count(400, session(done)), "1");
    EXPECT_TRUE(finish(0, begin(0, 401), "/rollback").ok());
    EXPECT_EQ(count(401, session(done)), "0");
}

// Guards against statements of one session or team that run in the transaction of another.
TEST_F(Requests, TransactionRefusesForeignSessionAndTeam)
{
    const HttpReply started = begin(0, 410);
    EXPECT_EQ(insertIn(0, started, 411, {}).kind(), "unknown_transaction");
    cluster().change(
        { { "op", "put_team" },
          { "team",
            QJsonObject { { "id", "other" }, { "rate_per_second", 1000 }, { "burst", 1000 } } } });
    HttpRequest foreign;
    foreign.key = cluster().addKey("caller", "other");
    EXPECT_EQ(insertIn(0, started, 412, foreign).kind(), "unknown_transaction");
    foreign.session = started.session;
    EXPECT_EQ(insertIn(0, started, 412, foreign).kind(), "invalid_session");
    const HttpReply done = finish(0, started, "/commit");
    ASSERT_TRUE(done.ok()) << done.kind();
    EXPECT_EQ(count(410, session(done)), "1");
    EXPECT_EQ(count(411, session(done)), "0");
    EXPECT_EQ(count(412, session(done)), "0");
}

// Guards against an abandoned transaction that keeps its locks and its connection.
TEST_F(Requests, IdleTransactionExpires)
{
    const HttpReply started = begin(0, 420);
    EXPECT_TRUE(pollUntil([&] {
        HttpRequest request;
        request.deadlineMs = 1000;
        return cluster().write(1, "INSERT OR REPLACE INTO t VALUES (421, 'x')", request).ok();
    }));
    EXPECT_EQ(finish(0, started, "/commit").kind(), "transaction_lost");
    EXPECT_EQ(count(420), "0");
}

TEST_F(Requests, OpenRouteNeedsNoKey)
{
    const HttpReply reply = cluster().board(2);
    EXPECT_TRUE(reply.ok());
    EXPECT_FALSE(reply.body["degraded"].toBool(true));
}

// Guards against a team that uses a service it has no permission for.
TEST_F(Requests, TeamWithoutPermissionIsRefused)
{
    cluster().change(
        { { "op", "put_service" }, { "service", QJsonObject { { "id", "royalties" } } } });
    cluster().change({ { "op", "put_team" },
                       { "team",
                         QJsonObject { { "id", "narrow" },
                                       { "rate_per_second", 1000 },
                                       { "burst", 1000 },
                                       { "services", QJsonArray { "royalties" } } } } });
    HttpRequest request;
    request.key = cluster().addKey("caller", "narrow");
    for (int node = 0; node < cluster().size(); ++node)
        EXPECT_EQ(cluster().read(node, "SELECT 1", request).kind(), "not_allowed");
}

// Guards against an upstream that joins a group without its credential.
TEST_F(Requests, AnnouncementNeedsTheCredentialOfItsService)
{
    const std::string foreign = cluster().addKey("upstream", "royalties");
    for (const std::string &key : { std::string(), foreign, cluster().callerKey() }) {
        HttpRequest request;
        request.path = "/v1/announcements";
        request.key = key;
        request.body = { { "service", kService },
                         { "group", kService },
                         { "upstream", "intruder" },
                         { "data_centre", "waw-a" },
                         { "host", "127.0.0.1" },
                         { "port", 9 },
                         { "slots", 1 },
                         { "connection_limit", 1 },
                         { "role", "replica" },
                         { "term", 1 },
                         { "position", 1 },
                         { "leaving", false } };
        const HttpReply reply = sendHttp(cluster().port(0), request);
        EXPECT_TRUE(reply.status == 401 || reply.status == 403) << reply.status;
    }
    const QByteArray status = QJsonDocument(cluster().status(0)).toJson();
    EXPECT_FALSE(status.contains("intruder"));
}

// Guards against a node on which a withdrawn key goes on working.
TEST_F(Requests, WithdrawnKeyStopsOnEveryNode)
{
    std::string id;
    HttpRequest request;
    request.key = cluster().addKey("caller", kTeam, &id);
    for (int node = 0; node < cluster().size(); ++node)
        EXPECT_TRUE(cluster().read(node, "SELECT 1", request).ok());
    const HttpReply reply =
        cluster().change({ { "op", "withdraw_key" }, { "id", QString::fromStdString(id) } });
    EXPECT_TRUE(reply.body["in_force"].toBool());
    for (int node = 0; node < cluster().size(); ++node)
        EXPECT_EQ(cluster().read(node, "SELECT 1", request).kind(), "invalid_key");
}

// Guards against nodes that follow different presets after a switch is reported as in force.
TEST_F(Requests, PresetSwitchIsInForceEverywhere)
{
    const auto use = [](const char *preset) {
        const HttpReply reply = cluster().change({ { "op", "set_preset" }, { "id", preset } });
        EXPECT_TRUE(reply.body["in_force"].toBool());
        EXPECT_EQ(cluster().status(0)["configuration"].toObject()["active_preset"].toString(),
                  preset);
    };
    use("maintenance");
    for (int node = 0; node < cluster().size(); ++node) {
        EXPECT_EQ(cluster().write(node, insert(500)).kind(), "not_allowed");
        EXPECT_TRUE(cluster().read(node, "SELECT 1").ok());
    }
    use("ordinary");
    for (int node = 0; node < cluster().size(); ++node)
        EXPECT_TRUE(cluster().write(node, insert(501 + node)).ok());
}

struct BadInput
{
    const char *name;
    HttpRequest request;
    int status;
    const char *kind;
};

class BadInputs : public Requests, public testing::WithParamInterface<BadInput>
{
};

// Guards against malformed input that is answered with another kind, or that harms the node.
TEST_P(BadInputs, IsRefused)
{
    HttpRequest request = GetParam().request;
    if (request.key.empty())
        request.key = cluster().callerKey();
    const HttpReply reply = sendHttp(cluster().port(0), request);
    EXPECT_EQ(reply.status, GetParam().status);
    EXPECT_EQ(reply.kind(), GetParam().kind);
    EXPECT_EQ(reply.outcome(), "not_run");
    EXPECT_TRUE(cluster().read(0, "SELECT 1").ok());
}

HttpRequest badRequest(const std::string &service, const std::string &body)
{
    HttpRequest request;
    request.path = "/v1/services/" + service + "/statements";
    request.rawBody = body;
    return request;
}

HttpRequest withKey(const std::string &key)
{
    HttpRequest request = badRequest(kService, R"({"sql":"SELECT 1","mode":"read"})");
    request.key = key;
    return request;
}

HttpRequest withSession(const std::string &session)
{
    HttpRequest request = badRequest(kService, R"({"sql":"SELECT 1","mode":"read"})");
    request.session = session;
    return request;
}

INSTANTIATE_TEST_SUITE_P(
    Inputs, BadInputs,
    testing::Values(
        BadInput { "UnknownService", badRequest("nowhere", R"({"sql":"SELECT 1","mode":"read"})"),
                   404, "unknown_service" },
        BadInput { "MalformedJson", badRequest(kService, R"({"sql":)"), 400, "malformed_request" },
        BadInput { "UnknownMode", badRequest(kService, R"({"sql":"SELECT 1","mode":"x"})"), 400,
                   "malformed_request" },
        BadInput { "ForgedSession", withSession("Zm9yZ2VkIHNlc3Npb24gdG9rZW4"), 400,
                   "invalid_session" },
        BadInput { "WrongKey", withKey("slk_0011223344556677_" + std::string(64, '0')), 401,
                   "invalid_key" }),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever::support
