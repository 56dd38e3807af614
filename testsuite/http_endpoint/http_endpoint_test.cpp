#include "shallotlever/edge/http_endpoint.h"

#include <algorithm>
#include <cerrno>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

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

/// A client that sends all of a request before it reads, through system calls: Qt takes the end of
/// the answer for the end of the connection.
class PlainClient
{
public:
    explicit PlainClient(std::uint16_t port)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        EXPECT_EQ(
            ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)),
            0);
    }
    ~PlainClient() { ::close(m_descriptor); }
    PlainClient(const PlainClient &) = delete;
    PlainClient &operator=(const PlainClient &) = delete;

    /// Whether everything was sent.
    bool send(std::string_view bytes)
    {
        support::spinUntil([&] {
            const ssize_t sent =
                ::send(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            m_broken = m_broken || (sent < 0 && errno != EAGAIN);
            bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
            return bytes.empty() || m_broken;
        });
        return bytes.empty();
    }

    /// What arrives until the connection ends, followed by "(reset)" if it is reset.
    std::string readToEnd()
    {
        ::shutdown(m_descriptor, SHUT_WR);
        std::string text;
        support::spinUntil([&] {
            char buffer[4096];
            const ssize_t size = ::recv(m_descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (size > 0)
                text.append(buffer, static_cast<std::size_t>(size));
            if (size < 0 && errno != EAGAIN)
                text += "(reset)";
            return size == 0 || (size < 0 && errno != EAGAIN);
        });
        return text;
    }

private:
    int m_descriptor;
    bool m_broken = false;
};

// Guards against a refusal that is sent more than once, or that is lost because the connection is
// reset while the caller still sends.
TEST_F(HttpEndpointTest, RefusalIsReceivedOnceAndInFull)
{
    PlainClient client(m_port);
    EXPECT_TRUE(client.send("PUT /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n"
                            + std::string(8'000'000, 'x')));
    const QByteArray answer = QByteArray::fromStdString(client.readToEnd());
    EXPECT_EQ(answer.count("HTTP/1.1 413"), 1);
    EXPECT_FALSE(answer.endsWith("(reset)"));
    EXPECT_TRUE(m_calls.empty());
}

// Guards against a caller that fills the node's memory with requests behind one that is not
// answered yet.
TEST_F(HttpEndpointTest, DoesNotReadAheadOfTheAnswer)
{
    const auto socket = connect();
    socket->write("GET /v1/x HTTP/1.1\r\nHost: x\r\n\r\n" + QByteArray(64'000'000, '\n'));
    ASSERT_TRUE(support::spinUntil([&] { return m_calls.size() == 1; }));
    constexpr std::size_t kOtherCalls = 200;
    const auto other = connect();
    for (std::size_t i = 1; i <= kOtherCalls; ++i) {
        other->write("GET /v1/y HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(support::spinUntil([&] { return m_calls.size() == 1 + i; }));
        m_responds[i]({ 200, "{}" });
    }
    EXPECT_GT(socket->bytesToWrite(), 0);
}

} // namespace
} // namespace shallotlever
