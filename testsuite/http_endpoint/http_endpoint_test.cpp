#include "shallotlever/edge/http_endpoint.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <gtest/gtest.h>

#include "event_loop.h"

namespace shallotlever {
namespace {

std::uint16_t freePort()
{
    QTcpServer server;
    server.listen(QHostAddress::LocalHost);
    return server.serverPort();
}

/// An endpoint that keeps its calls for the test to answer.
class HttpEndpointTest : public testing::Test
{
protected:
    HttpEndpointTest()
    {
        support::ensureApplication();
        m_port = freePort();
        m_endpoint = *HttpEndpoint::create(
            { "127.0.0.1", m_port },
            [this](const EndpointRequest &call, const HttpEndpoint::Respond &respond) {
                m_calls.push_back(call);
                m_responds.push_back(respond);
            });
    }

    std::unique_ptr<QTcpSocket> connect() const
    {
        auto socket = std::make_unique<QTcpSocket>();
        socket->connectToHost(QHostAddress::LocalHost, m_port);
        support::spinUntil([&] { return socket->state() == QAbstractSocket::ConnectedState; });
        return socket;
    }

    std::uint16_t m_port = 0;
    std::vector<EndpointRequest> m_calls;
    std::vector<HttpEndpoint::Respond> m_responds;
    std::unique_ptr<HttpEndpoint> m_endpoint;
};

// Guards against calls without a query that lose their path.
TEST_F(HttpEndpointTest, PassesMethodPathAndBody)
{
    const auto socket = connect();
    socket->write("PUT /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
                  "GET /v1/y?z=1 HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(support::spinUntil([&] { return m_calls.size() == 1; }));
    m_responds[0]({ 200, "{}" });
    ASSERT_TRUE(support::spinUntil([&] { return m_calls.size() == 2; }));
    EXPECT_EQ(m_calls[0].method, "PUT");
    EXPECT_EQ(m_calls[0].path, "/v1/x");
    EXPECT_EQ(m_calls[0].body, "hi");
    EXPECT_EQ(m_calls[1].path, "/v1/y");
    m_responds[1]({ 503, "{}" });
    ASSERT_TRUE(support::spinUntil([&] { return socket->bytesAvailable() > 200; }));
    const QByteArray text = socket->readAll();
    EXPECT_TRUE(text.contains("HTTP/1.1 200"));
    EXPECT_TRUE(text.contains("HTTP/1.1 503"));
}

// Guards against a crash when the answer comes after the caller has given up: a controller that
// was suspended answers all calls that it kept.
TEST_F(HttpEndpointTest, LateAnswersAreDropped)
{
    auto socket = connect();
    socket->write("GET /v1/x HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(support::spinUntil([&] { return m_calls.size() == 1; }));
    socket->abort();
    socket.reset();
    const auto next = connect();
    next->write("GET /v1/y HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(support::spinUntil([&] { return m_calls.size() == 2; }));
    m_responds[0]({ 200, "{}" });
    m_responds[1]({ 200, "{}" });
    EXPECT_TRUE(support::spinUntil([&] { return next->bytesAvailable() > 0; }));
}

// Guards against an operator's whole configuration that is cut off at the size of one read.
TEST_F(HttpEndpointTest, ReadsLargeBodies)
{
    const auto socket = connect();
    const QByteArray body(200'000, 'x');
    socket->write("PUT /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: "
                  + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    ASSERT_TRUE(support::spinUntil([&] { return m_calls.size() == 1; }));
    EXPECT_EQ(m_calls[0].body.size(), 200'000U);
}

} // namespace
} // namespace shallotlever
