#include "shallotlever/edge/codec.h"

#include <QJsonDocument>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace shallotlever {
namespace {

using testing::HasSubstr;
using testing::StartsWith;

QJsonObject json(const std::string &text)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

const std::string kHash(64, 'a');

struct BadRequest
{
    std::string method;
    std::string path;
    std::string body;
    /// Beginning of the message.
    std::string message;
};

class RefusedRequest : public testing::TestWithParam<BadRequest>
{
};

// Guards against a request that is understood differently from what the caller meant.
TEST_P(RefusedRequest, NamesTheField)
{
    const BadRequest &bad = GetParam();
    const auto parsed =
        parseRequest(QByteArray::fromStdString(bad.method), QByteArray::fromStdString(bad.path),
                     QByteArray::fromStdString(bad.body));
    ASSERT_TRUE(std::holds_alternative<Error>(parsed));
    const Error &error = std::get<Error>(parsed);
    EXPECT_THAT(error.message, StartsWith(bad.message));
    EXPECT_EQ(error.kind,
              bad.message == "there is no such path" ? ErrorKind::UnknownRoute
                                                     : ErrorKind::MalformedRequest);
}

constexpr auto kStatements = "/v1/services/s/statements";

BadRequest statement(const std::string &body, const std::string &message)
{
    return { "POST", kStatements, body, message };
}

BadRequest unknown(const std::string &path)
{
    return { "GET", path, "", "there is no such path" };
}

BadRequest change(const std::string &fields, const std::string &message)
{
    return { "POST", "/v1/operator/changes",
             R"({"change_id":"c","based_on":1,"change":{)" + fields + "}}", message };
}

INSTANTIATE_TEST_SUITE_P(
    Statements, RefusedRequest,
    testing::Values(
        statement("", "body: is not valid JSON"), statement("{", "body: is not valid JSON"),
        statement("\"\xff\"", "body: is not valid JSON"), statement("[]", "body: must be"),
        statement("{}", "sql: is required"), statement(R"({"sql":1,"mode":"read"})", "sql: must"),
        statement(R"({"sql":"","mode":"read"})", "sql: must not be empty"),
        statement(R"({"sql":"a\u0000b","mode":"read"})", "sql: must not contain U+0000"),
        statement(R"({"sql":"s"})", "mode: is required"),
        statement(R"({"sql":"s","mode":"READ"})", "mode: must be read or write"),
        statement(R"({"sql":"s","mode":"read","modes":1})", "modes: unknown field"),
        statement(R"({"sql":"s","mode":"read","params":{}})", "params: must be an array"),
        statement(R"({"sql":"s","mode":"read","params":[1,[]]})", "params[1]: must"),
        statement(R"({"sql":"s","mode":"read","params":["\u0000"]})", "params[0]: must"),
        statement(R"({"sql":"s","mode":"read","params":["\ud800"]})", "params[0]: must"),
        statement(R"({"sql":"s","mode":"read","params":[12345678901234567890]})", "params[0]"),
        statement(R"({"sql":"s","mode":"read","max_staleness_ms":-1})", "max_staleness_ms: must"),
        statement(R"({"sql":"s","mode":"read","max_staleness_ms":1.5})", "max_staleness_ms: must"),
        statement(R"({"sql":"s","mode":"read","max_staleness_ms":"1"})", "max_staleness_ms: must"),
        statement(R"({"sql":"s","mode":"read","max_staleness_ms":1e18})", "max_staleness_ms: must"),
        statement(R"({"sql":"s","mode":"read","transaction":""})", "transaction: must be an id"),
        statement(R"({"sql":"s","mode":"read","transaction":null})", "transaction: must"),
        BadRequest { "GET", kStatements, "", "method: must be POST" },
        BadRequest { "POST", "/v1/open/r", "{}", "method: must be GET" },
        BadRequest { "POST", "/v1/services/s/transactions", "{}", "mode: is required" },
        BadRequest { "POST", "/v1/services/s/transactions/t/commit", R"({"x":1})", "x: unknown" }));

INSTANTIATE_TEST_SUITE_P(Paths, RefusedRequest,
                         testing::Values(unknown("/"), unknown("/v1"), unknown("/v1/"),
                                         unknown("/v2/open/r"), unknown("/v1/open"),
                                         unknown("/v1/open/"), unknown("/v1/open/a/b"),
                                         unknown("/v1/open/%00"), unknown("/v1/open/%ff"),
                                         unknown("/v1/services//statements"),
                                         unknown("/v1/services/s/statements/"),
                                         unknown("/v1/services/s/transactions/t/abort"),
                                         unknown("/v1/operator/nothing")));

INSTANTIATE_TEST_SUITE_P(
    Operators, RefusedRequest,
    testing::Values(
        BadRequest { "POST", "/v1/operator/changes", "[7]", "body: must be a JSON object" },
        BadRequest { "POST", "/v1/operator/changes", "{}", "change_id: is required" },
        BadRequest { "POST", "/v1/operator/changes",
                     R"({"change_id":"c","based_on":-1,"change":{"op":"set_preset","id":"p"}})",
                     "based_on: must be" },
        BadRequest { "POST", "/v1/operator/drain", R"({"upstream":7})", "upstream: must" },
        change(R"("op":"drop_team")", "change.op: unknown operation"),
        change(R"("op":"remove_team","id":"t","x":1)", "change.x: unknown field"),
        change(R"("op":"put_team","team":"t")", "change.team: must be an object"),
        change(R"("op":"put_team","team":{"id":"t","rate_per_second":-1,"burst":1})",
               "change.team.rate_per_second: must be"),
        change(R"("op":"put_team","team":{"id":"t","rate_per_second":1,"burst":1,"services":[1]})",
               "change.team.services: must hold"),
        change(R"("op":"add_key","key":{"id":"k","role":"root","hash":")" + kHash + "\"}",
               "change.key.role: must be"),
        change(R"("op":"add_key","key":{"id":"k","role":"caller","hash":")" + kHash + "\"}",
               "change.key.team: is required"),
        change(R"("op":"add_key","key":{"id":"k","role":"operator","team":"t","hash":")" + kHash
                   + "\"}",
               "change.key.team: unknown field"),
        change(R"("op":"add_key","key":{"id":"k","role":"operator","hash":"zz)" + kHash + "\"}",
               "change.key.hash: must be"),
        change(R"("op":"put_preset","preset":{"id":"p","policy":{"open_route_reserve":1.1}})",
               "change.preset.policy.open_route_reserve: must be"),
        change(R"("op":"put_preset","preset":{"id":"p","policy":{"rate_wait":1}})",
               "change.preset.policy.rate_wait: unknown")));

class AcceptedChange : public testing::TestWithParam<std::string>
{
};

// Guards against a field that is lost or renamed between the command line tool and the node.
TEST_P(AcceptedChange, SurvivesParsingAndEncoding)
{
    const QJsonObject object = json(GetParam());
    const auto parsed = parseChange(object);
    ASSERT_TRUE(std::holds_alternative<Change>(parsed)) << std::get<Error>(parsed).message;
    EXPECT_EQ(encodeChange(std::get<Change>(parsed)), object);
}

INSTANTIATE_TEST_SUITE_P(
    All, AcceptedChange,
    testing::Values(
        R"({"op":"put_service","service":{"id":"s"}})", R"({"op":"remove_service","id":"s"})",
        R"({"op":"put_team","team":{"id":"t","rate_per_second":2.5,"burst":5,"services":["s"]}})",
        R"({"op":"remove_team","id":"t"})",
        R"({"op":"add_key","key":{"id":"k","role":"caller","team":"t","hash":")" + kHash + "\"}}",
        R"({"op":"add_key","key":{"id":"k","role":"upstream","service":"s","hash":")" + kHash
            + "\"}}",
        R"({"op":"withdraw_key","id":"k"})",
        R"({"op":"put_route","route":{"id":"r","service":"s","sql":"q","max_staleness_ms":9}})",
        R"({"op":"remove_route","id":"r"})",
        R"({"op":"put_preset","preset":{"id":"p","policy":{"queue_limit_per_team":1,)"
        R"("rate_wait_ms":2,"catch_up_wait_ms":3,"retry_budget_ratio":0.5,"max_attempts":4,)"
        R"("default_deadline_ms":5,"open_route_reserve":0.25,"writes_allowed":false}}})",
        R"({"op":"set_preset","id":"p"})"));

// Guards against parameters that reach the database in another text format than PostgreSQL's.
TEST(Codec, WritesParametersAsPostgresText)
{
    const auto parsed = parseRequest(
        "POST", "/v1/services/a%2Fb/statements",
        R"({"sql":"s","mode":"write","params":[null,true,-7,0.1,9223372036854775807,"ż"],)"
        R"("transaction":"t","max_staleness_ms":0})");
    ASSERT_TRUE(std::holds_alternative<EdgeRequest>(parsed));
    const auto &request = std::get<StatementRequest>(std::get<EdgeRequest>(parsed));
    EXPECT_EQ(request.service, ServiceId("a/b"));
    EXPECT_EQ(request.mode, AccessMode::Write);
    EXPECT_EQ(request.maxStaleness, 0ms);
    EXPECT_THAT(
        request.params,
        testing::ElementsAre(std::nullopt, "true", "-7", "0.1", "9223372036854775807", "ż"));
}

// Guards against announcements that lose a field, and against a group other than the service.
TEST(Codec, ReadsItsOwnAnnouncements)
{
    const Announcement announcement { UpstreamId("u"),
                                      ServiceId("s"),
                                      DataCentreId("d"),
                                      { "10.0.0.1", 5432 },
                                      5,
                                      10,
                                      UpstreamRole::Primary,
                                      { Term(3), LogPosition(9) },
                                      true };
    QJsonObject object = encodeAnnouncement(announcement);
    EXPECT_EQ(std::get<AnnounceRequest>(parseAnnounceRequest(object)).announcement, announcement);
    object["group"] = "other";
    EXPECT_THAT(std::get<Error>(parseAnnounceRequest(object)).message, StartsWith("group: must"));
}

struct HeaderCase
{
    HttpHeaders headers;
    std::string message;
};

class RefusedHeader : public testing::TestWithParam<HeaderCase>
{
};

// Guards against a deadline, key or token that is ignored because it was written wrongly.
TEST_P(RefusedHeader, NamesTheHeader)
{
    const auto parsed = parseCallerContext(GetParam().headers, TimePoint());
    ASSERT_TRUE(std::holds_alternative<Error>(parsed));
    EXPECT_THAT(std::get<Error>(parsed).message, StartsWith(GetParam().message));
}

INSTANTIATE_TEST_SUITE_P(
    All, RefusedHeader,
    testing::Values(
        HeaderCase { { { "authorization", "Basic x" } }, "Authorization: must be" },
        HeaderCase { { { "Authorization", "Bearer a" }, { "authorization", "Bearer b" } },
                     "Authorization: must occur" },
        HeaderCase { { { "Idempotency-Key", "" } }, "Idempotency-Key: must" },
        HeaderCase { { { "Shallotlever-Deadline-Ms", "0" } }, "Shallotlever-Deadline-Ms" },
        HeaderCase { { { "Shallotlever-Deadline-Ms", "-5" } }, "Shallotlever-Deadline-" },
        HeaderCase { { { "Shallotlever-Deadline-Ms", "1s" } }, "Shallotlever-Deadline-" }));

class ErrorAnswer : public testing::TestWithParam<ErrorRow>
{
};

// Guards against an error answer that differs from the table.
TEST_P(ErrorAnswer, FollowsTheTable)
{
    const ErrorRow row = GetParam();
    const HttpAnswer answer = encodeAnswer(Error { row.kind, "why", std::nullopt }, false);
    EXPECT_EQ(answer.status, row.httpStatus);
    const QJsonObject error = QJsonDocument::fromJson(answer.body)["error"].toObject();
    EXPECT_EQ(error["kind"].toString().toStdString(), row.name);
    EXPECT_EQ(error["outcome"].toString().toStdString(), outcomeName(row.outcome));
    EXPECT_EQ(error["message"].toString(), "why");
    EXPECT_EQ(error["retry_after_ms"].toInteger(), row.retryAfter.count());
    EXPECT_EQ(answer.headers.contains({ "Retry-After", "1" }), row.retryAfter.count() > 0);
    EXPECT_EQ(refusalOf(Error { row.kind, "", std::nullopt }), row.kind);
}

INSTANTIATE_TEST_SUITE_P(All, ErrorAnswer,
                         testing::ValuesIn(errorTable().begin(), errorTable().end()));

// Guards against a missing token, and against `degraded` where no route defines it.
TEST(Codec, WritesStatementAnswers)
{
    StatementResponse statementAnswer;
    statementAnswer.columns = { "a", "b" };
    statementAnswer.rows = { { "1", std::nullopt } };
    statementAnswer.sessionToken = "token";
    const HttpAnswer answer = encodeAnswer(statementAnswer, false);
    EXPECT_TRUE(answer.headers.contains({ "Shallotlever-Session", "token" }));
    EXPECT_EQ(answer.body.toStdString(),
              R"({"affected_rows":0,"columns":["a","b"],"replica":false,"rows":[["1",null]],)"
              R"("session":"token","staleness_ms":0,"upstream":""})");
    EXPECT_THAT(encodeAnswer(statementAnswer, true).body.toStdString(),
                HasSubstr(R"("degraded":false)"));
}

// Guards against a rejected change that looks like an accepted one.
TEST(Codec, WritesChangeAnswers)
{
    const ChangeResult conflict { ChangeOutcome::Conflict, ConfigVersion(4), ChangeId("w"),
                                  "late" };
    const HttpAnswer answer = encodeAnswer(ChangeResponse { conflict, false, {} }, false);
    EXPECT_EQ(answer.status, 409);
    EXPECT_THAT(answer.body.toStdString(), HasSubstr(R"("winner":"w")"));
    EXPECT_THAT(answer.body.toStdString(), HasSubstr(R"("kind":"config_conflict")"));
    const ChangeResult accepted { ChangeOutcome::Accepted, ConfigVersion(5), {}, "" };
    EXPECT_EQ(
        encodeAnswer(ChangeResponse { accepted, true, { NodeId("n") } }, false).body.toStdString(),
        R"({"in_force":true,"outcome":"accepted","outstanding":["n"],"version":5})");
}

} // namespace
} // namespace shallotlever
