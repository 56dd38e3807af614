#include <sys/stat.h>

#include <QJsonDocument>
#include <QTcpServer>
#include <QTcpSocket>
#include <QThread>

#include <gmock/gmock.h>

#include "operator_fixture.h"
#include "shallotlever/edge/codec.h"
#include "shallotlever/session/keys.h"

namespace shallotlever {
namespace {

using testing::HasSubstr;
using testing::Not;
using Words = std::vector<std::string>;

constexpr const char *kStatus = R"({"configuration":{"version":41,"active_preset":"ordinary",
 "services":["s"],"teams":[],"keys":[],"routes":[],
 "presets":[{"id":"mine","policy":{"rate_wait_ms":77,"max_attempts":9}}]},
 "in_force":true,"control":{"leader":"n1","term":3,"commit_index":8,"voters":["n1"]},
 "nodes":[{"id":"n1","applied_version":41}],
 "groups":[{"service":"s","term":2,"primary":"db1","upstreams":[{"id":"db1","data_centre":"a",
 "host":"127.0.0.1","port":5,"state":"live","primary":true,"voting":true}]}]})";

ChangeResponse accepted()
{
    return { { ChangeOutcome::Accepted, ConfigVersion(42), {}, {} }, true, {} };
}

/// A node that answers status with kStatus and changes with `change`.
FakeNode::AnswerFunction answerWith(EdgeResponse change)
{
    return [change = std::move(change)](const EdgeRequest &request) -> EdgeResponse {
        if (std::holds_alternative<StatusRequest>(request))
            return JsonResponse { kStatus };
        return change;
    };
}

struct ChangeCase
{
    const char *name;
    Words arguments;
    const char *change;
};

class ChangeRequests : public testing::TestWithParam<ChangeCase>
{
};

// Guards against a command that sends another change than it says, or on another version.
TEST_P(ChangeRequests, AreBuiltFromTheArguments)
{
    FakeNode node(answerWith(accepted()));
    const RunResult result = ProgramRunner().run(node.url(), GetParam().arguments);
    ASSERT_EQ(result.status, kExitDone) << result.err;
    EXPECT_THAT(result.out, HasSubstr("accepted as version 42, in force everywhere"));
    const auto sent = std::get<ChangeRequest>(node.requests().back()).change;
    EXPECT_EQ(sent.basedOn, ConfigVersion(41));
    EXPECT_EQ(sent.id.value().size(), 32U);
    EXPECT_EQ(QJsonDocument(encodeChange(sent.change)).toJson(QJsonDocument::Compact).toStdString(),
              GetParam().change);
}

const ChangeCase kChangeCases[] = {
    { "ServicePut", { "service", "put", "s" }, R"({"op":"put_service","service":{"id":"s"}})" },
    { "ServiceRemove", { "service", "remove", "s" }, R"({"id":"s","op":"remove_service"})" },
    { "TeamPut",
      { "team", "put", "t", "--rate=2.5", "--burst=7", "--services=b,a" },
      R"({"op":"put_team","team":{"burst":7,"id":"t","rate_per_second":2.5,"services":["a","b"]}})" },
    { "TeamRemove", { "team", "remove", "t" }, R"({"id":"t","op":"remove_team"})" },
    { "KeyWithdraw", { "key", "withdraw", "k" }, R"({"id":"k","op":"withdraw_key"})" },
    { "RoutePut",
      { "route", "put", "r", "--service=s", "--sql=SELECT 1", "--max-staleness-ms=50" },
      R"({"op":"put_route","route":{"id":"r","max_staleness_ms":50,"service":"s","sql":"SELECT 1"}})" },
    { "RouteRemove", { "route", "remove", "r" }, R"({"id":"r","op":"remove_route"})" },
    { "PresetSet", { "preset", "set", "peak" }, R"({"id":"peak","op":"set_preset"})" },
    { "Evacuate", { "evacuate", "c" }, R"({"id":"c","op":"put_evacuation"})" },
    { "EvacuateEnd", { "evacuate", "c", "--end" }, R"({"id":"c","op":"remove_evacuation"})" },
    { "PresetPutKeepsOtherFields",
      { "preset", "put", "mine", "--writes-allowed=no" },
      R"({"op":"put_preset","preset":{"id":"mine","policy":{"catch_up_wait_ms":5,)"
      R"("default_deadline_ms":5000,"max_attempts":9,"open_route_reserve":0.2,)"
      R"("queue_limit_per_team":256,"rate_wait_ms":77,"retry_budget_ratio":0.1,)"
      R"("writes_allowed":false}}})" },
};

INSTANTIATE_TEST_SUITE_P(Table, ChangeRequests, testing::ValuesIn(kChangeCases),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a resend under a new id, which could apply the change twice.
TEST(Changes, ResendTakesIdAndVersionFromTheArguments)
{
    FakeNode node(answerWith(accepted()));
    ProgramRunner().run(node.url(),
                        { "service", "put", "s", "--change-id=c1", "--based-on=5", "--wait" });
    ASSERT_EQ(node.requests().size(), 1U);
    const auto request = std::get<ChangeRequest>(node.requests().back());
    EXPECT_EQ(request.change.id, ChangeId("c1"));
    EXPECT_EQ(request.change.basedOn, ConfigVersion(5));
    EXPECT_TRUE(request.wait);
    EXPECT_EQ(node.callers().back().bearerKey, "an-operator-key");
}

// Guards against a conflict that is retried on the new version behind the operator's back.
TEST(Changes, ConflictIsReportedWithTheWinnerAndNotRepeated)
{
    FakeNode node(answerWith(ChangeResponse {
        { ChangeOutcome::Conflict, ConfigVersion(43), ChangeId("other"), "another change" },
        false,
        {} }));
    const RunResult result = ProgramRunner().run(node.url(), { "service", "put", "s" });
    EXPECT_EQ(result.status, kExitRefused);
    EXPECT_THAT(result.err, HasSubstr("config_conflict (not_run): another change"));
    EXPECT_THAT(result.err, HasSubstr("accepted instead: other"));
    EXPECT_EQ(node.requests().size(), 2U);
}

// Guards against a wait that ends without success and is taken for one.
TEST(Changes, OutstandingNodesArePrinted)
{
    ChangeResponse answer = accepted();
    answer.inForce = false;
    answer.outstanding = { NodeId("n2"), NodeId("n3") };
    FakeNode node(answerWith(answer));
    const RunResult result = ProgramRunner().run(node.url(), { "service", "put", "s", "--wait" });
    EXPECT_EQ(result.status, kExitNotInForce);
    EXPECT_THAT(result.out, HasSubstr("outstanding: n2 n3"));
}

// Guards against a change that is lost, or sent under another id, after an unknown outcome.
TEST(Changes, UnknownOutcomeIsSentAgainWithTheSameId)
{
    int changes = 0;
    FakeNode node([&changes](const EdgeRequest &request) -> EdgeResponse {
        if (std::holds_alternative<StatusRequest>(request))
            return JsonResponse { kStatus };
        if (++changes == 1)
            return Error { ErrorKind::OutcomeUnknown, "the controller changed", std::nullopt };
        return accepted();
    });
    const RunResult result = ProgramRunner().run(node.url(), { "service", "put", "s" });
    EXPECT_EQ(result.status, kExitDone) << result.err;
    const auto requests = node.requests();
    ASSERT_EQ(requests.size(), 3U);
    EXPECT_EQ(std::get<ChangeRequest>(requests[1]).change.id,
              std::get<ChangeRequest>(requests[2]).change.id);
}

// Guards against a refusal of the last attempt that hides an earlier one which may have run: the
// operator would not look for the change, and the secret of a working key would be deleted.
TEST(Changes, RefusalAfterAnUnknownOutcomeLeavesItOpen)
{
    int changes = 0;
    FakeNode node([&changes](const EdgeRequest &request) -> EdgeResponse {
        if (std::holds_alternative<StatusRequest>(request))
            return JsonResponse { kStatus };
        const bool first = ++changes == 1;
        return Error { first ? ErrorKind::OutcomeUnknown : ErrorKind::NoController, "",
                       std::chrono::milliseconds(1) };
    });
    const ProgramRunner runner;
    const RunResult put = runner.run(node.url(), { "service", "put", "s" });
    EXPECT_EQ(put.status, kExitRefused);
    EXPECT_THAT(put.err, HasSubstr("no_controller (unknown)"));
    EXPECT_THAT(put.err, HasSubstr("send it again with --change-id"));
    changes = 0;
    runner.run(node.url(), { "key", "create", "--role=operator", "--out=" + runner.path("k") });
    EXPECT_TRUE(std::ifstream(runner.path("k")).good());
}

// Guards against a secret that leaves the machine, or a file that others may read.
TEST(Keys, OnlyTheHashIsSentAndTheFileIsPrivate)
{
    FakeNode node(answerWith(accepted()));
    const ProgramRunner runner;
    const RunResult result = runner.run(
        node.url(), { "key", "create", "--role=caller", "--team=t", "--out=" + runner.path("k") });
    ASSERT_EQ(result.status, kExitDone) << result.err;
    std::string secret;
    std::ifstream(runner.path("k")) >> secret;
    const auto parsed = parseKey(secret);
    ASSERT_TRUE(parsed);
    const auto change = std::get<ChangeRequest>(node.requests().back()).change.change;
    const KeyConfig &key = std::get<AddKey>(change).key;
    EXPECT_EQ(key.id, parsed->id);
    EXPECT_EQ(key.team, TeamId("t"));
    EXPECT_TRUE(secretMatches(parsed->secret, key.hash));
    EXPECT_THAT(result.out + result.err, Not(HasSubstr(parsed->secret)));
    struct stat info
    {
    };
    ASSERT_EQ(::stat(runner.path("k").c_str(), &info), 0);
    EXPECT_EQ(info.st_mode & 0777U, 0600U);
}

// Guards against a key file that survives a refused key, and against an overwritten secret.
TEST(Keys, FileIsRemovedAfterARefusalAndNeverOverwritten)
{
    FakeNode refusing(answerWith(Error { ErrorKind::InvalidChange, "unknown team", std::nullopt }));
    const ProgramRunner runner;
    const Words create { "key", "create", "--role=caller", "--team=t",
                         "--out=" + runner.path("k") };
    EXPECT_EQ(runner.run(refusing.url(), create).status, kExitRefused);
    EXPECT_FALSE(std::ifstream(runner.path("k")).good());
    std::ofstream(runner.path("k")) << "precious";
    FakeNode node(answerWith(accepted()));
    EXPECT_EQ(runner.run(node.url(), create).status, kExitRefused);
    std::string kept;
    std::ifstream(runner.path("k")) >> kept;
    EXPECT_EQ(kept, "precious");
}

// Guards against an operator who is left without an answer because one node is down.
TEST(Nodes, NextOneIsTriedIfOneCannotBeReached)
{
    FakeNode node(answerWith(accepted()));
    const RunResult result = ProgramRunner().run("http://127.0.0.1:1," + node.url(), { "status" });
    ASSERT_EQ(result.status, kExitDone) << result.err;
    EXPECT_THAT(result.out, HasSubstr("version 41, preset ordinary, in force everywhere: yes"));
    EXPECT_THAT(result.out,
                HasSubstr("s        db1       a            127.0.0.1:5  live   primary"));
}

/// Accepts connections, reads the request and closes without an answer.
class SilentNode : public QThread
{
public:
    SilentNode()
    {
        m_server.listen(QHostAddress::LocalHost);
        m_server.moveToThread(this);
        start();
    }
    ~SilentNode() override
    {
        m_stop = true;
        wait();
    }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_server.serverPort()); }
    int connections() const { return m_connections; }

protected:
    void run() override
    {
        while (!m_stop) {
            if (!m_server.waitForNewConnection(20))
                continue;
            const std::unique_ptr<QTcpSocket> socket(m_server.nextPendingConnection());
            socket->waitForReadyRead(1000);
            ++m_connections;
        }
    }

private:
    QTcpServer m_server;
    std::atomic<bool> m_stop { false };
    std::atomic<int> m_connections { 0 };
};

struct LostCase
{
    const char *name;
    Words extra;
    std::string mode;
    int status;
};

class LostAnswers : public testing::TestWithParam<LostCase>
{
};

// Guards against a write that runs twice because its first answer was lost.
TEST_P(LostAnswers, OnlyRepeatableStatementsAreSentAgain)
{
    SilentNode silent;
    FakeNode node([](const EdgeRequest &) -> EdgeResponse { return StatementResponse {}; });
    Words arguments { "statement", "--service=s", "--sql=x", "--mode=" + GetParam().mode };
    arguments.insert(arguments.end(), GetParam().extra.begin(), GetParam().extra.end());
    const RunResult result = ProgramRunner().run(silent.url() + "," + node.url(), arguments);
    EXPECT_EQ(result.status, GetParam().status) << result.err;
    EXPECT_EQ(silent.connections(), 1);
    EXPECT_EQ(node.requests().size(), GetParam().status == kExitDone ? 1U : 0U);
}

const LostCase kLostCases[] = {
    { "Write", {}, "write", kExitRefused },
    { "KeyedWrite", { "--idempotency-key=k" }, "write", kExitDone },
    { "Read", {}, "read", kExitDone },
};

INSTANTIATE_TEST_SUITE_P(Table, LostAnswers, testing::ValuesIn(kLostCases),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against `not_run` for a write whose lost first attempt may have run.
TEST(Statements, RefusalAfterALostAnswerLeavesTheOutcomeOpen)
{
    SilentNode silent;
    FakeNode node([](const EdgeRequest &) -> EdgeResponse {
        return Error { ErrorKind::RateLimited, "", std::nullopt };
    });
    const RunResult result = ProgramRunner().run(
        silent.url() + "," + node.url(),
        { "statement", "--service=s", "--sql=x", "--mode=write", "--idempotency-key=k" });
    EXPECT_THAT(result.err, HasSubstr("rate_limited (unknown)"));
}

// Guards against a session that does not roam, and against parameters that change on the way.
TEST(Statements, SendSessionAndParameters)
{
    FakeNode node([](const EdgeRequest &) -> EdgeResponse {
        StatementResponse answer;
        answer.columns = { "a", "b" };
        answer.rows = { { "1", std::nullopt } };
        answer.sessionToken = "token-2";
        return answer;
    });
    const ProgramRunner runner;
    const Words arguments { "statement",       "--service=s",
                            "--mode=write",    "--sql=INSERT",
                            "--param=x",       "--param=\\N",
                            "--deadline-ms=9", "--session-file=" + runner.path("session") };
    const RunResult first = runner.run(node.url(), arguments);
    ASSERT_EQ(first.status, kExitDone) << first.err;
    EXPECT_THAT(first.out, HasSubstr("a\tb\n1\t\\N\n"));
    runner.run(node.url(), arguments);
    EXPECT_EQ(node.callers().front().sessionToken, "");
    EXPECT_EQ(node.callers().back().sessionToken, "token-2");
    EXPECT_EQ(node.callers().back().deadline, std::chrono::milliseconds(9));
    const auto request = std::get<StatementRequest>(node.requests().back());
    EXPECT_EQ(request.mode, AccessMode::Write);
    EXPECT_EQ(request.params, (std::vector<SqlParam> { "x", std::nullopt }));
}

// Guards against a value that is read as several, as another row or as NULL.
TEST(Statements, ValuesAreEscapedInTheOutput)
{
    FakeNode node([](const EdgeRequest &) -> EdgeResponse {
        StatementResponse answer;
        answer.columns = { "a\tb", "c" };
        answer.rows = { { "x\ty\nz\r", "\\N" }, { "\\", std::nullopt } };
        return answer;
    });
    const RunResult result = ProgramRunner().run(
        node.url(), { "statement", "--service=s", "--mode=read", "--sql=SELECT" });
    ASSERT_EQ(result.status, kExitDone) << result.err;
    EXPECT_THAT(result.out,
                testing::StartsWith("a\\tb\tc\n"
                                    "x\\ty\\nz\\r\t\\\\N\n"
                                    "\\\\\t\\N\n"));
}

// Guards against explain that drops the newest decisions instead of the oldest.
TEST(Explain, ShowsTheLastDecisions)
{
    FakeNode node([](const EdgeRequest &) -> EdgeResponse {
        return JsonResponse { R"({"decisions":[{"index":1,"wall_time_ms":0,"text":"first"},)"
                              R"({"index":2,"wall_time_ms":1000,"text":"second"}]})" };
    });
    const RunResult result = ProgramRunner().run(node.url(), { "explain", "--last=1" });
    EXPECT_EQ(result.status, kExitDone) << result.err;
    EXPECT_THAT(result.out, HasSubstr("2      1970-01-01T00:00:01.000Z  second"));
    EXPECT_THAT(result.out, Not(HasSubstr("first")));
}

// Guards against a question that differs from the arguments, and an answer that hides a reason.
TEST(ExplainRequest, ShowsTheCandidates)
{
    FakeNode node([](const EdgeRequest &) -> EdgeResponse {
        return JsonResponse { R"({"node":"n1","admitted":true,"token_wait_ms":0,"chosen":"db2",)"
                              R"("candidates":[{"upstream":"db1","left_out":"not_live"},)"
                              R"({"upstream":"db2","left_out":"no","share":0.75}]})" };
    });
    const Words words { "explain-request", "--team=t", "--database=d", "--mode=write" };
    Words withPosition = words;
    withPosition.emplace_back("--position=3:40");
    const RunResult result = ProgramRunner().run(node.url(), withPosition);
    ASSERT_EQ(result.status, kExitDone) << result.err;
    EXPECT_THAT(result.out, HasSubstr("next one to db2"));
    EXPECT_THAT(result.out, HasSubstr("not_live"));
    const auto request = std::get<ExplainPlacementRequest>(node.requests().at(0));
    EXPECT_EQ(request.team, TeamId("t"));
    EXPECT_EQ(request.mode, AccessMode::Write);
    EXPECT_EQ(request.position, (HistoryPoint { Term(3), LogPosition(40) }));
    withPosition.back() = "--position=3";
    EXPECT_EQ(ProgramRunner().run(node.url(), withPosition).status, kExitUsage);
}

// Guards against a drain that goes to the wrong target.
TEST(Drain, NamesTheUpstream)
{
    FakeNode node([](const EdgeRequest &) -> EdgeResponse { return AckResponse {}; });
    EXPECT_EQ(ProgramRunner().run(node.url(), { "drain", "--upstream=db1" }).status, kExitDone);
    EXPECT_EQ(ProgramRunner().run(node.url(), { "drain" }).status, kExitDone);
    EXPECT_EQ(std::get<DrainRequest>(node.requests()[0]).upstream, UpstreamId("db1"));
    EXPECT_EQ(std::get<DrainRequest>(node.requests()[1]).upstream, std::nullopt);
    EXPECT_EQ(ProgramRunner().run(node.url(), { "drain", "--upstream=db1", "--cancel" }).status,
              kExitDone);
    EXPECT_TRUE(std::get<DrainRequest>(node.requests()[2]).cancel);
}

} // namespace
} // namespace shallotlever
