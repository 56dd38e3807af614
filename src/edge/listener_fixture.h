#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <QSslSocket>
#include <QTcpSocket>
#include <QThread>

#include <gtest/gtest.h>

#include "shallotlever/edge/listener.h"

namespace shallotlever {

/// Maximum time that a test waits for a condition or socket event.
constexpr int kTestTimeoutMs = 20000;

template <typename Condition>
bool waitUntil(Condition condition)
{
    for (int waited = 0; waited < kTestTimeoutMs && !condition(); waited += 5)
        QThread::msleep(5);
    return condition();
}

/// Records requests. Responds immediately, or stores the responders if `holdResponses` is set.
class FakeHandler
{
public:
    void operator()(CallerContext caller, EdgeRequest request, EdgeResponder responder)
    {
        const std::lock_guard lock(m_mutex);
        m_callers.push_back(std::move(caller));
        m_requests.push_back(std::move(request));
        if (holdResponses)
            m_responders.push_back(std::move(responder));
        else
            responder(AckResponse { "token" });
    }
    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.size();
    }
    CallerContext caller(std::size_t index)
    {
        const std::lock_guard lock(m_mutex);
        return m_callers.at(index);
    }
    EdgeRequest request(std::size_t index)
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.at(index);
    }
    std::vector<EdgeResponder> takeResponders()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_responders, {});
    }

    std::atomic<bool> holdResponses { false };

private:
    std::mutex m_mutex;
    std::vector<CallerContext> m_callers;
    std::vector<EdgeRequest> m_requests;
    std::vector<EdgeResponder> m_responders;
};

/// TCP client that sends raw bytes.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port) { connectTo(m_socket, port); }
    static void connectTo(QTcpSocket &socket, std::uint16_t port)
    {
        socket.connectToHost(QStringLiteral("127.0.0.1"), port);
        EXPECT_TRUE(socket.waitForConnected(kTestTimeoutMs));
    }
    void send(const QByteArray &bytes)
    {
        m_socket.write(bytes);
        while (m_socket.bytesToWrite() > 0 && m_socket.waitForBytesWritten(kTestTimeoutMs)) { }
    }
    QByteArray readResponse() { return readResponse(m_socket, m_buffer); }
    /// Reads one response, delimited by its Content-Length. Returns the bytes received so far if
    /// the connection is closed earlier or the test timeout expires.
    static QByteArray readResponse(QTcpSocket &socket, QByteArray &buffer)
    {
        for (;;) {
            const qsizetype head = buffer.indexOf("\r\n\r\n");
            const QByteArray field = "Content-Length: ";
            const qsizetype at = buffer.indexOf(field);
            if (head >= 0 && at >= 0 && at < head) {
                const qsizetype from = at + field.size();
                const qsizetype size =
                    head + 4 + buffer.mid(from, buffer.indexOf('\r', from) - from).toLongLong();
                if (buffer.size() >= size) {
                    const QByteArray response = buffer.left(size);
                    buffer.remove(0, size);
                    return response;
                }
            }
            if (!socket.bytesAvailable() && !socket.waitForReadyRead(kTestTimeoutMs))
                return std::exchange(buffer, {});
            buffer += socket.readAll();
        }
    }
    bool isClosedByServer()
    {
        return m_socket.state() == QAbstractSocket::UnconnectedState
            || m_socket.waitForDisconnected(kTestTimeoutMs);
    }
    QTcpSocket &socket() { return m_socket; }

private:
    QTcpSocket m_socket;
    QByteArray m_buffer;
};

class ListenerFixture
{
public:
    void start(EdgeLimits limits, std::optional<EdgeTlsFiles> tls = std::nullopt)
    {
        auto created = EdgeListener::create(
            EdgeOptions { "127.0.0.1", 0, 2, limits, std::move(tls) },
            EdgeCallbacks {
                [this](CallerContext caller, EdgeRequest request, EdgeResponder response) {
                    handler(std::move(caller), std::move(request), std::move(response));
                },
                [this] { return ready.load(); } },
            metrics, logger);
        ASSERT_TRUE(created.ok()) << created.status();
        listener = *std::move(created);
    }
    RawClient client() const { return RawClient(listener->port()); }

    FakeHandler handler;
    std::atomic<bool> ready { true };
    MetricsRegistry registry;
    NodeMetrics metrics { registry };
    Logger logger { NodeId("test") };
    std::unique_ptr<EdgeListener> listener;
};

} // namespace shallotlever
