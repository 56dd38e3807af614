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

struct InvalidRequestCase
{
    std::string method;
    std::string path;
    std::string body;
    /// Expected prefix of the error message.
    std::string message;
};

class InvalidRequest : public testing::TestWithParam<InvalidRequestCase>
{
};

// Guards against lenient parsing that interprets a malformed request differently from what the
// caller meant.
TEST_P(InvalidRequest, ReportsTheField)
{
    const InvalidRequestCase &invalid = GetParam();
    const auto parsed = parseRequest(QByteArray::fromStdString(invalid.method),
                                     QByteArray::fromStdString(invalid.path),
                                     QByteArray::fromStdString(invalid.body));
    ASSERT_TRUE(std::holds_alternative<Error>(parsed));
    const Error &error = std::get<Error>(parsed);
    EXPECT_THAT(error.message, StartsWith(invalid.message));
    EXPECT_EQ(error.kind,
              invalid.message == "there is no such path" ? ErrorKind::UnknownRoute
                                                         : ErrorKind::MalformedRequest);
}

constexpr auto kStatements = "/v1/services/s/statements";

InvalidRequestCase statementCase(const std::string &body, const std::string &message)
{
    return { "POST", kStatements, body, message };
}

InvalidRequestCase unknownPathCase(const std::string &path)
{
    return { "GET", path, "", "there is no such path" };
}

InvalidRequestCase changeCase(const std::string &fields, const std::string &message)
{
    return { "POST", "/v1/operator/changes",
             R"({"change_id":"c","based_on":1,"change":{)" + fields + "}}", message };
}

INSTANTIATE_TEST_SUITE_P(
    Statements, InvalidRequest,
    testing::Values(
        statementCase("", "body: is not valid JSON"), statementCase("{", "body: is not valid JSON"),
        statementCase("\"\xff\"", "body: is not valid JSON"), statementCase("[]", "body: must be"),
        statementCase("{}", "sql: is required"),
        statementCase(R"({"sql":1,"mode":"read"})", "sql: must"),
        statementCase(R"({"sql":"","mode":"read"})", "sql: must not be empty"),
        statementCase(R"({"sql":"a\u0000b","mode":"read"})", "sql: must not contain U+0000"),
        statementCase(R"({"sql":"s"})", "mode: is required"),
        statementCase(R"({"sql":"s","mode":"READ"})", "mode: must be read or write"),
        statementCase(R"({"sql":"s","mode":"read","modes":1})", "modes: unknown field"),
        statementCase(R"({"sql":"s","mode":"read","params":{}})", "params: must be an array"),
        statementCase(R"({"sql":"s","mode":"read","params":[1,[]]})", "params[1]: must"),
        statementCase(R"({"sql":"s","mode":"read","params":["\u0000"]})", "params[0]: must"),
        statementCase(R"({"sql":"s","mode":"read","params":["\ud800"]})", "params[0]: must"),
        statementCase(R"({"sql":"s","mode":"read","params":[12345678901234567890]})", "params[0]"),
        statementCase(R"({"sql":"s","mode":"read","max_staleness_ms":-1})",
                      "max_staleness_ms: must"),
        statementCase(R"({"sql":"s","mode":"read","max_staleness_ms":1.5})",
                      "max_staleness_ms: must"),
        statementCase(R"({"sql":"s","mode":"read","max_staleness_ms":"1"})",
                      "max_staleness_ms: must"),
        statementCase(R"({"sql":"s","mode":"read","max_staleness_ms":1e18})",
                      "max_staleness_ms: must"),
        statementCase(R"({"sql":"s","mode":"read","transaction":""})",
                      "transaction: must be an id"),
        statementCase(R"({"sql":"s","mode":"read","transaction":null})", "transaction: must"),
        InvalidRequestCase { "GET", kStatements, "", "method: must be POST" },
        InvalidRequestCase { "POST", "/v1/open/r", "{}", "method: must be GET" },
        InvalidRequestCase { "POST", "/v1/services/s/transactions", "{}", "mode: is required" },
        InvalidRequestCase { "POST", "/v1/services/s/transactions/t/commit", R"({"x":1})",
                             "x: unknown" }));

INSTANTIATE_TEST_SUITE_P(Paths, InvalidRequest,
                         testing::Values(unknownPathCase("/"), unknownPathCase("/v1"),
                                         unknownPathCase("/v1/"), unknownPathCase("/v2/open/r"),
                                         unknownPathCase("/v1/open"), unknownPathCase("/v1/open/"),
                                         unknownPathCase("/v1/open/a/b"),
                                         unknownPathCase("/v1/open/%00"),
                                         unknownPathCase("/v1/open/%ff"),
                                         unknownPathCase("/v1/services//statements"),
                                         unknownPathCase("/v1/services/s/statements/"),
                                         unknownPathCase("/v1/services/s/transactions/t/abort"),
                                         unknownPathCase("/v1/operator/nothing")));

INSTANTIATE_TEST_SUITE_P(
    Operators, InvalidRequest,
    testing::Values(
        InvalidRequestCase { "POST", "/v1/operator/changes", "[7]", "body: must be a JSON object" },
        InvalidRequestCase { "POST", "/v1/operator/changes", "{}", "change_id: is required" },
        InvalidRequestCase {
            "POST", "/v1/operator/changes",
            R"({"change_id":"c","based_on":-1,"change":{"op":"set_preset","id":"p"}})",
            "based_on: must be" },
        InvalidRequestCase { "POST", "/v1/operator/drain", R"({"upstream":7})", "upstream: must" },
        InvalidRequestCase { "POST", "/v1/operator/placement", "{}", "team: is required" },
        InvalidRequestCase { "POST", "/v1/operator/placement",
                             R"({"team":"t","database":"d","mode":"read","term":1})",
                             "position: is required" },
        changeCase(R"("op":"drop_team")", "change.op: unknown operation"),
        changeCase(R"("op":"remove_team","id":"t","x":1)", "change.x: unknown field"),
        changeCase(R"("op":"put_team","team":"t")", "change.team: must be an object"),
        changeCase(R"("op":"put_team","team":{"id":"t","rate_per_second":-1,"burst":1})",
                   "change.team.rate_per_second: must be"),
        changeCase(
            R"("op":"put_team","team":{"id":"t","rate_per_second":1,"burst":1,"services":[1]})",
            "change.team.services: must hold"),
        changeCase(R"("op":"add_key","key":{"id":"k","role":"root","hash":")" + kHash + "\"}",
                   "change.key.role: must be"),
        changeCase(R"("op":"add_key","key":{"id":"k","role":"caller","hash":")" + kHash + "\"}",
                   "change.key.team: is required"),
        changeCase(R"("op":"add_key","key":{"id":"k","role":"operator","team":"t","hash":")" + kHash
                       + "\"}",
                   "change.key.team: unknown field"),
        changeCase(R"("op":"add_key","key":{"id":"k","role":"operator","hash":"zz)" + kHash + "\"}",
                   "change.key.hash: must be"),
        changeCase(R"("op":"put_preset","preset":{"id":"p","policy":{"open_route_reserve":1.1}})",
                   "change.preset.policy.open_route_reserve: must be"),
        changeCase(R"("op":"put_preset","preset":{"id":"p","policy":{"rate_wait":1}})",
                   "change.preset.policy.rate_wait: unknown")));

class ValidChange : public testing::TestWithParam<std::string>
{
};

// Guards against a field of a change that is dropped or renamed between the command line tool and
// the node.
TEST_P(ValidChange, RoundTrips)
{
    const QJsonObject object = json(GetParam());
    const auto parsed = parseChange(object);
    ASSERT_TRUE(std::holds_alternative<Change>(parsed)) << std::get<Error>(parsed).message;
    EXPECT_EQ(encodeChange(std::get<Change>(parsed)), object);
}

INSTANTIATE_TEST_SUITE_P(
    All, ValidChange,
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
        R"({"op":"set_preset","id":"p"})", R"({"op":"put_evacuation","id":"c"})",
        R"({"op":"remove_evacuation","id":"c"})"));

// Guards against parameters that are sent to the database in a format other than PostgreSQL text.
TEST(Codec, ConvertsParametersToPostgresText)
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

// Guards against fields that are lost in encoded announcements, and against accepting a group that
// differs from the service.
TEST(Codec, RoundTripsAnnouncements)
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

struct InvalidHeaderCase
{
    HttpHeaders headers;
    std::string message;
};

class InvalidHeader : public testing::TestWithParam<InvalidHeaderCase>
{
};

// Guards against ignoring a deadline, key or token because its header is malformed.
TEST_P(InvalidHeader, ReportsTheHeader)
{
    const auto parsed = parseCallerContext(GetParam().headers, TimePoint());
    ASSERT_TRUE(std::holds_alternative<Error>(parsed));
    EXPECT_THAT(std::get<Error>(parsed).message, StartsWith(GetParam().message));
}

INSTANTIATE_TEST_SUITE_P(
    All, InvalidHeader,
    testing::Values(
        InvalidHeaderCase { { { "authorization", "Basic x" } }, "Authorization: must be" },
        InvalidHeaderCase { { { "Authorization", "Bearer a" }, { "authorization", "Bearer b" } },
                            "Authorization: must occur" },
        InvalidHeaderCase { { { "Idempotency-Key", "" } }, "Idempotency-Key: must" },
        InvalidHeaderCase { { { "Shallotlever-Deadline-Ms", "0" } }, "Shallotlever-Deadline-Ms" },
        InvalidHeaderCase { { { "Shallotlever-Deadline-Ms", "-5" } }, "Shallotlever-Deadline-" },
        InvalidHeaderCase { { { "Shallotlever-Deadline-Ms", "1s" } }, "Shallotlever-Deadline-" }));

class ErrorResponse : public testing::TestWithParam<ErrorRow>
{
};

// Guards against error responses that differ from errorTable().
TEST_P(ErrorResponse, MatchesErrorTable)
{
    const ErrorRow row = GetParam();
    const HttpResponse response = encodeResponse(Error { row.kind, "why", std::nullopt }, false);
    EXPECT_EQ(response.status, row.httpStatus);
    const QJsonObject error = QJsonDocument::fromJson(response.body)["error"].toObject();
    EXPECT_EQ(error["kind"].toString().toStdString(), row.name);
    EXPECT_EQ(error["outcome"].toString().toStdString(), outcomeName(row.outcome));
    EXPECT_EQ(error["message"].toString(), "why");
    EXPECT_EQ(error["retry_after_ms"].toInteger(), row.retryAfter.count());
    EXPECT_EQ(response.headers.contains({ "Retry-After", "1" }), row.retryAfter.count() > 0);
    EXPECT_EQ(responseErrorKind(Error { row.kind, "", std::nullopt }), row.kind);
}

INSTANTIATE_TEST_SUITE_P(All, ErrorResponse,
                         testing::ValuesIn(errorTable().begin(), errorTable().end()));

// Guards against a missing session token, and against the field `degraded` in responses to requests
// that are not open routes.
TEST(Codec, EncodesStatementResponses)
{
    StatementResponse statementResponse;
    statementResponse.columns = { "a", "b" };
    statementResponse.rows = { { "1", std::nullopt } };
    statementResponse.sessionToken = "token";
    const HttpResponse response = encodeResponse(statementResponse, false);
    EXPECT_TRUE(response.headers.contains({ "Shallotlever-Session", "token" }));
    EXPECT_EQ(response.body.toStdString(),
              R"({"affected_rows":0,"columns":["a","b"],"replica":false,"rows":[["1",null]],)"
              R"("session":"token","staleness_ms":0,"upstream":""})");
    EXPECT_THAT(encodeResponse(statementResponse, true).body.toStdString(),
                HasSubstr(R"("degraded":false)"));
}

// Guards against a rejected change that is reported as accepted.
TEST(Codec, EncodesChangeResponses)
{
    const ChangeResult conflict { ChangeOutcome::Conflict, ConfigVersion(4), ChangeId("w"),
                                  "late" };
    const HttpResponse response = encodeResponse(ChangeResponse { conflict, false, {} }, false);
    EXPECT_EQ(response.status, 409);
    EXPECT_THAT(response.body.toStdString(), HasSubstr(R"("winner":"w")"));
    EXPECT_THAT(response.body.toStdString(), HasSubstr(R"("kind":"config_conflict")"));
    const ChangeResult accepted { ChangeOutcome::Accepted, ConfigVersion(5), {}, "" };
    EXPECT_EQ(encodeResponse(ChangeResponse { accepted, true, { NodeId("n") } }, false)
                  .body.toStdString(),
              R"({"in_force":true,"outcome":"accepted","outstanding":["n"],"version":5})");
}

} // namespace
} // namespace shallotlever
