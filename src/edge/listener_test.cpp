#include "listener_fixture.h"

#include <sys/socket.h>

#include <QCoreApplication>
#include <QFile>
#include <QProcess>
#include <QSslCertificate>
#include <QSslConfiguration>
#include <QTemporaryDir>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "shallotlever/edge/qt_log.h"

namespace shallotlever {
namespace {

using testing::HasSubstr;
using testing::StartsWith;

constexpr auto kStatement = "/v1/services/s/statements";
const QByteArray kBody = R"({"sql":"select 1","mode":"read"})";

QByteArray post(const QByteArray &path, const QByteArray &body, const QByteArray &headers = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers
        + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

QByteArray get(const QByteArray &path, const QByteArray &headers = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

class Listener : public testing::Test, public ListenerFixture
{
protected:
    // Qt's sockets and threads need an application object.
    static void SetUpTestSuite()
    {
        static int argc = 1;
        static char name[] = "listener_test";
        static char *argv[] = { name, nullptr };
        if (QCoreApplication::instance() == nullptr)
            new QCoreApplication(argc, argv); // Lives as long as the process.
    }
};

struct InvalidInput
{
    std::string name;
    QByteArray bytes;
    int status;
    ErrorKind kind;
    /// Expected substring of the response.
    std::string text;
    bool closes = true;
};

class ListenerInvalidInput : public Listener, public testing::WithParamInterface<InvalidInput>
{
};

// Guards against invalid input that reaches the handler, crashes the node, is answered with the
// wrong error or leaves bytes in the buffer that would be parsed as another request.
TEST_P(ListenerInvalidInput, IsAnsweredWithTheExpectedError)
{
    const InvalidInput &input = GetParam();
    EdgeLimits limits;
    limits.maxHeaderBytes = 1024;
    limits.maxBodyBytes = 4096;
    limits.requestTimeout = 300ms;
    start(limits);
    RawClient sender = client();
    sender.send(input.bytes);
    const std::string response = sender.readResponse().toStdString();
    EXPECT_THAT(response, StartsWith("HTTP/1.1 " + std::to_string(input.status) + " "));
    EXPECT_THAT(response, HasSubstr("\"kind\":\"" + std::string(errorRow(input.kind).name) + "\""));
    EXPECT_THAT(response, HasSubstr(input.text));
    EXPECT_EQ(handler.count(), 0U);
    EXPECT_EQ(metrics.refusal(input.kind).value(), 1U);
    EXPECT_THAT(response, HasSubstr(input.closes ? "Connection: close" : "Connection: keep-alive"));
    if (!input.closes) {
        sender.send(get("/healthz"));
        EXPECT_THAT(sender.readResponse().toStdString(), HasSubstr("200 OK"));
        return;
    }
    EXPECT_TRUE(sender.isClosedByServer());
    EXPECT_TRUE(waitUntil([this] { return listener->openConnections() == 0; }));
    EXPECT_EQ(listener->requestsInFlight(), 0);
}

const auto kMalformed = ErrorKind::MalformedRequest;
const auto kTooLarge = ErrorKind::RequestTooLarge;

INSTANTIATE_TEST_SUITE_P(
    Requests, ListenerInvalidInput,
    testing::Values(
        InvalidInput { "UnknownPath", get("/nothing"), 404, ErrorKind::UnknownRoute, "", false },
        InvalidInput { "BadJson", post(kStatement, "{"), 400, kMalformed, "not valid JSON", false },
        InvalidInput { "WrongType", post(kStatement, R"({"sql":"s","mode":"read","params":3})"),
                       400, kMalformed, "params: must be an array", false },
        InvalidInput { "WrongMethod", get(kStatement), 400, kMalformed, "method: must be POST",
                       false },
        InvalidInput { "BadDeadline", post(kStatement, kBody, "Shallotlever-Deadline-Ms: x\r\n"),
                       400, kMalformed, "Shallotlever-Deadline-Ms", false },
        InvalidInput { "PostHealth", post("/healthz", ""), 400, kMalformed, "method", false },
        InvalidInput { "UnknownMethod", "BREW / HTTP/1.1\r\nHost: h\r\n\r\n", 404,
                       ErrorKind::UnknownRoute, "", false }),
    [](const auto &test) { return test.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Limits, ListenerInvalidInput,
    testing::Values(
        InvalidInput { "LargeHeader", get("/healthz", "X: " + QByteArray(1024, 'x') + "\r\n"), 413,
                       kTooLarge, "headers: more than 1024" },
        InvalidInput { "EndlessHeader", "GET / HTTP/1.1\r\nX: " + QByteArray(300000, 'x'), 413,
                       kTooLarge, "headers" },
        InvalidInput { "LargeBody", post(kStatement, QByteArray(3000000, 'x')), 413, kTooLarge,
                       "body: more than 4096" },
        InvalidInput { "LargeBodyNotSent",
                       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n", 413, kTooLarge,
                       "body" },
        InvalidInput { "LargeChunk",
                       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1001\r\n",
                       413, kTooLarge, "body" },
        InvalidInput { "ManyChunks",
                       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                           + QByteArray("800\r\n" + QByteArray(2048, 'x') + "\r\n").repeated(3),
                       413, kTooLarge, "body" },
        InvalidInput { "SlowHeader", "GET /hea", 408, ErrorKind::RequestTimeout, "not sent" },
        InvalidInput { "SlowBody", post(kStatement, kBody).chopped(1), 408,
                       ErrorKind::RequestTimeout, "not sent" }),
    [](const auto &test) { return test.param.name; });

InvalidInput framing(const std::string &name, const QByteArray &bytes, const std::string &text)
{
    // The second request must not be processed, because the end of the first is uncertain.
    return { name, bytes + get("/v1/open/r"), 400, kMalformed, text };
}

INSTANTIATE_TEST_SUITE_P(
    Framing, ListenerInvalidInput,
    testing::Values(
        framing("Garbage", "garbage\r\n\r\n", "request line"),
        framing("Version", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", "HTTP/1.1"),
        framing("AbsoluteTarget", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", "slash"),
        framing("BareLineFeed", "GET /healthz HTTP/1.1\nHost: h\n\n", "CR LF"),
        framing("NoColon", "GET / HTTP/1.1\r\nHost: h\r\nnonsense\r\n\r\n", "header"),
        framing("SpaceBeforeColon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", "header"),
        framing("FoldedHeader", "GET / HTTP/1.1\r\nHost: h\r\n x: y\r\n\r\n", "header"),
        framing("ControlCharacter", "GET / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n", "Host"),
        framing("NoHost", "GET / HTTP/1.1\r\n\r\n", "Host"),
        framing("TwoHosts", "GET / HTTP/1.1\r\nHost: h\r\nhost: i\r\n\r\n", "Host"),
        framing("TwoLengths",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n.",
                "Content-Length"),
        framing("LengthAndChunks",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n"
                "\r\n0\r\n\r\n",
                "Content-Length"),
        framing("NegativeLength", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
                "Content-Length"),
        framing("OtherEncoding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
                "Transfer-Encoding"),
        framing("BadChunkSize",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", "chunk"),
        framing("LongChunk",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
                "chunk")),
    [](const auto &test) { return test.param.name; });

// Guards against the listener rejecting a request without a key, which is up to the node because it
// knows the open routes, and against headers or a body that do not reach the handler.
TEST_F(Listener, PassesRequestsToHandler)
{
    start({});
    RawClient caller = client();
    caller.send(post(kStatement, kBody));
    const std::string response = caller.readResponse().toStdString();
    EXPECT_THAT(response, HasSubstr("Shallotlever-Session: token\r\n"));
    EXPECT_THAT(response, HasSubstr(R"({"session":"token"})"));
    EXPECT_EQ(handler.caller(0).bearerKey, "");
    EXPECT_EQ(std::get<StatementRequest>(handler.request(0)).sql, "select 1");
    caller.send(
        "POST /v1/services/s/transactions HTTP/1.1\r\nhost: h\r\nauthorization: bearer k\r\n"
        "shallotlever-session: t\r\nidempotency-key: i\r\nshallotlever-deadline-ms: 50\r\n"
        "transfer-encoding: chunked\r\nexpect: 100-continue\r\n\r\n");
    ASSERT_TRUE(caller.socket().waitForReadyRead(kTestTimeoutMs));
    EXPECT_EQ(caller.socket().readAll(), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("8;x=y\r\n{\"mode\":\r\n8\r\n\"write\"}\r\n0\r\nX: y\r\n\r\n");
    EXPECT_THAT(caller.readResponse().toStdString(), StartsWith("HTTP/1.1 200 "));
    EXPECT_EQ(std::get<BeginRequest>(handler.request(1)).mode, AccessMode::Write);
    EXPECT_EQ(handler.caller(1).bearerKey, "k");
    EXPECT_EQ(handler.caller(1).sessionToken, "t");
    EXPECT_EQ(handler.caller(1).idempotencyKey, "i");
    EXPECT_EQ(handler.caller(1).deadline, 50ms);
}

// Guards against pipelined requests that stall, are reordered or run concurrently.
TEST_F(Listener, AnswersPipelinedRequestsInOrder)
{
    start({});
    handler.holdResponses = true;
    RawClient caller = client();
    caller.send(get("/v1/open/a") + get("/healthz") + get("/v1/open/b"));
    for (const std::string route : { "a", "b" }) {
        ASSERT_TRUE(waitUntil([&] { return handler.count() == (route == "a" ? 1U : 2U); }));
        StatementResponse statementResponse;
        statementResponse.columns = { route };
        handler.takeResponders().at(0)(statementResponse);
        EXPECT_THAT(caller.readResponse().toStdString(), HasSubstr("[\"" + route + "\"]"));
        if (route == "a") {
            EXPECT_THAT(caller.readResponse().toStdString(), HasSubstr(R"({"status":"ok"})"));
        }
    }
}

// Guards against a crash, a leaked connection or a response sent to the wrong client when a client
// disconnects before its response is ready.
TEST_F(Listener, DropsResponsesToDisconnectedClients)
{
    start({});
    handler.holdResponses = true;
    {
        RawClient caller = client();
        caller.send(get("/v1/open/a"));
        ASSERT_TRUE(waitUntil([this] { return handler.count() == 1; }));
        caller.socket().abort();
    }
    EXPECT_TRUE(waitUntil([this] { return listener->openConnections() == 0; }));
    EXPECT_EQ(listener->requestsInFlight(), 0);
    RawClient next = client();
    next.send(get("/v1/open/b"));
    ASSERT_TRUE(waitUntil([this] { return handler.count() == 2; }));
    std::vector<EdgeResponder> responders = handler.takeResponders();
    responders[0](AckResponse { "first" });
    responders[1](AckResponse { "second" });
    EXPECT_THAT(next.readResponse().toStdString(), HasSubstr("second"));
    next.send(get("/v1/open/c"));
    ASSERT_TRUE(waitUntil([this] { return handler.count() == 3; }));
    listener.reset();
    handler.takeResponders().at(0)(AckResponse {});
}

// Guards against a caller that waits forever because its request was dropped, and against
// responses that are sent twice.
TEST_F(Listener, RespondsOnceToDroppedRequests)
{
    start({});
    handler.holdResponses = true;
    RawClient caller = client();
    caller.send(get("/v1/open/a"));
    ASSERT_TRUE(waitUntil([this] { return handler.count() == 1; }));
    handler.takeResponders().clear();
    EXPECT_THAT(caller.readResponse().toStdString(), HasSubstr(R"("kind":"internal")"));
    caller.send(get("/v1/open/b"));
    ASSERT_TRUE(waitUntil([this] { return handler.count() == 2; }));
    const std::vector<EdgeResponder> responders = handler.takeResponders();
    responders[0](AckResponse { "once" });
    responders[0](AckResponse { "twice" });
    EXPECT_THAT(caller.readResponse().toStdString(), HasSubstr("once"));
    caller.send(get("/healthz"));
    EXPECT_THAT(caller.readResponse().toStdString(), HasSubstr("ok"));
}

// Guards against running an incomplete request after the client has shut down its sending side, and
// against keeping its connection open.
TEST_F(Listener, ClosesHalfClosedConnections)
{
    start({});
    RawClient caller = client();
    caller.send(post(kStatement, kBody).chopped(1));
    ::shutdown(static_cast<int>(caller.socket().socketDescriptor()), SHUT_WR);
    EXPECT_TRUE(caller.isClosedByServer());
    EXPECT_TRUE(waitUntil([this] { return listener->openConnections() == 0; }));
    EXPECT_EQ(handler.count(), 0U);
    EXPECT_EQ(listener->requestsInFlight(), 0);
}

// Guards against an unlimited number of connections, and against closed connections that still
// count towards the limit.
TEST_F(Listener, RefusesConnectionsOverTheLimit)
{
    EdgeLimits limits;
    limits.maxConnections = 1;
    start(limits);
    {
        RawClient first = client();
        first.send(get("/healthz"));
        EXPECT_THAT(first.readResponse().toStdString(), StartsWith("HTTP/1.1 200 "));
        RawClient second = client();
        second.send(get("/healthz"));
        const std::string response = second.readResponse().toStdString();
        EXPECT_THAT(response, StartsWith("HTTP/1.1 503 "));
        EXPECT_THAT(response, HasSubstr(R"("kind":"too_many_connections")"));
        EXPECT_THAT(response, HasSubstr("Retry-After: 1\r\n"));
        EXPECT_TRUE(second.isClosedByServer());
        EXPECT_EQ(listener->openConnections(), 1);
    }
    ASSERT_TRUE(waitUntil([this] { return listener->openConnections() == 0; }));
    RawClient third = client();
    third.send(get("/healthz"));
    EXPECT_THAT(third.readResponse().toStdString(), StartsWith("HTTP/1.1 200 "));
}

// Guards against a reported readiness that differs from the node's, and against missing metrics.
TEST_F(Listener, ServesHealthReadinessAndMetrics)
{
    start({});
    RawClient prober = client();
    prober.send("HEAD /readyz HTTP/1.0\r\n\r\n");
    EXPECT_TRUE(prober.isClosedByServer());
    EXPECT_THAT(prober.readResponse().toStdString(),
                testing::MatchesRegex("HTTP/1.1 200 OK\r\n(.+\r\n)+\r\n"));
    ready = false;
    RawClient caller = client();
    caller.send(get("/readyz") + get("/metrics?x"));
    EXPECT_THAT(caller.readResponse().toStdString(), StartsWith("HTTP/1.1 503 "));
    const std::string text = caller.readResponse().toStdString();
    EXPECT_TRUE(text.find("refusals_total{kind=\"config_stale\"} 0\n") != std::string::npos);
    EXPECT_TRUE(text.find("shallotlever_requests_in_flight 1\n") != std::string::npos);
}

// Guards against a graceful shutdown that aborts requests or keeps idle connections open forever.
TEST_F(Listener, DrainsWithoutAbortingRequests)
{
    start({});
    handler.holdResponses = true;
    RawClient busy = client();
    busy.send(get("/v1/open/a"));
    RawClient idle = client();
    idle.send(get("/healthz"));
    EXPECT_THAT(idle.readResponse().toStdString(), HasSubstr("keep-alive"));
    RawClient later = client();
    ASSERT_TRUE(waitUntil([this] { return listener->openConnections() == 3; }));
    ASSERT_TRUE(waitUntil([this] { return handler.count() == 1; }));
    listener->stopAccepting();
    QTcpSocket refused;
    refused.connectToHost(QStringLiteral("127.0.0.1"), listener->port());
    EXPECT_FALSE(refused.waitForConnected(kTestTimeoutMs));
    later.send(get("/healthz"));
    EXPECT_THAT(later.readResponse().toStdString(), HasSubstr("Connection: close"));
    listener->closeIdleConnections(0ms);
    EXPECT_TRUE(idle.isClosedByServer());
    EXPECT_EQ(listener->requestsInFlight(), 1);
    handler.takeResponders().at(0)(AckResponse { "last" });
    const std::string response = busy.readResponse().toStdString();
    EXPECT_THAT(response, HasSubstr("last"));
    EXPECT_THAT(response, HasSubstr("Connection: close"));
    EXPECT_TRUE(waitUntil([this] { return listener->openConnections() == 0; }));
}

// Guards against Qt messages that are written to standard error in a format other than JSON.
TEST_F(Listener, LogsQtMessagesAsJson)
{
    testing::internal::CaptureStderr();
    installQtLog(logger);
    start({});
    qWarning("a \"quoted\" warning");
    qInstallMessageHandler(nullptr);
    EXPECT_THAT(testing::internal::GetCapturedStderr(),
                testing::MatchesRegex(R"(\{"ts":"[^"]+","level":"warning","event":"qt_message",)"
                                      R"("node":"test","category":"default",)"
                                      R"("message":"a \\"quoted\\" warning"\})"
                                      "\n"));
}

void makeCertificate(const QString &directory, const QString &name)
{
    ASSERT_EQ(
        QProcess::execute(QStringLiteral("openssl"),
                          { "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:P-256",
                            "-nodes", "-days", "2", "-subj", "/CN=" + name, "-keyout",
                            directory + "/key.pem", "-out", directory + "/cert.pem" }),
        0);
}

/// Opens a TLS connection, sends one request and returns the common name of the server certificate.
QString servedCommonName(std::uint16_t port)
{
    QSslSocket socket;
    socket.setPeerVerifyMode(QSslSocket::VerifyNone);
    socket.connectToHostEncrypted(QStringLiteral("127.0.0.1"), port);
    EXPECT_TRUE(socket.waitForEncrypted(kTestTimeoutMs)) << socket.errorString().toStdString();
    socket.write(get("/healthz"));
    QByteArray buffer;
    EXPECT_THAT(RawClient::readResponse(socket, buffer).toStdString(), StartsWith("HTTP/1.1 200 "));
    return socket.peerCertificate().subjectInfo(QSslCertificate::CommonName).value(0);
}

// Guards against renewed certificates that are only used after a restart, against a partially
// replaced certificate and key that break new connections, and against connections that stay open
// after a failed handshake.
TEST_F(Listener, ReloadsCertificates)
{
    const QTemporaryDir directory;
    const std::filesystem::path path = directory.path().toStdString();
    makeCertificate(directory.path(), "first");
    start({}, EdgeTlsFiles { path / "cert.pem", path / "key.pem" });
    EXPECT_EQ(servedCommonName(listener->port()), "first");
    RawClient withoutTls = client();
    withoutTls.send(get("/healthz"));
    EXPECT_TRUE(withoutTls.isClosedByServer());
    EXPECT_TRUE(waitUntil([this] { return listener->openConnections() == 0; }));
    const QTemporaryDir other;
    makeCertificate(other.path(), "second");
    const std::filesystem::path newer = other.path().toStdString();
    const auto replace = std::filesystem::copy_options::overwrite_existing;
    std::filesystem::copy_file(newer / "cert.pem", path / "cert.pem", replace);
    QThread::msleep(1100); // Longer than the interval of the file check.
    EXPECT_EQ(servedCommonName(listener->port()), "first");
    std::filesystem::copy_file(newer / "key.pem", path / "key.pem", replace);
    EXPECT_TRUE(waitUntil([this] { return servedCommonName(listener->port()) == "second"; }));
}

} // namespace
} // namespace shallotlever
