#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

#include <QTcpSocket>
#include <QTimer>

#include "request_reader.h"

namespace shallotlever {

/// What a connection needs from its thread. Outlives the connection.
struct ConnectionContext
{
    EdgeLimits limits;
    /// Answers end their connections.
    std::atomic<bool> &draining;
    std::atomic<int> &requestsInFlight;
    /// Called for each error that the connection answers by itself.
    std::function<void(ErrorKind)> countRefusal;
    /// Called once, after which the connection deletes itself in the event loop.
    std::function<void(std::uint64_t id)> closed;
};

/// The socket that QtHttpServer reads from. It stands in front of the real socket (plain or TLS),
/// applies the limits, and shows the parser one complete, canonical request at a time, because
/// the parser of Qt 6.4.2 buffers bodies of any size and accepts some garbage as a request.
/// Answers are written to the real socket. Used on one thread only.
class Connection : public QTcpSocket
{
public:
    Connection(std::uint64_t id, std::unique_ptr<QTcpSocket> socket, ConnectionContext &context);
    ~Connection() override;

    std::uint64_t id() const { return m_id; }
    /// Begins to read. With `refusal`, answers it and closes instead.
    void start(std::optional<Error> refusal);

    /// Called by the request handler for the request that is being shown to the parser.
    const RequestHead &acceptRequest();
    /// Number of the current request, to tell a late answer from one that is still expected.
    std::uint64_t requestNumber() const { return m_requestNumber; }
    /// Answers request `number`; ignored if that request is no longer open.
    void sendResponse(std::uint64_t number, const HttpResponse &response);

    /// No request is open and none has begun for `quietFor`.
    bool isIdle(std::chrono::milliseconds minIdleTime) const;
    /// Sends what is buffered, then closes.
    void closeGracefully();
    void abort();

    qint64 bytesAvailable() const override;

protected:
    qint64 readData(char *data, qint64 maxSize) override;
    qint64 writeData(const char *data, qint64 size) override;

private:
    enum class Stage { Handshake, Reading, AwaitingResponse, Lingering, Closed };

    void process();
    void passToParser();
    void write(const HttpResponse &response, bool keepAlive);
    void refuse(const Error &error);
    void onBytesWritten();
    void shutdownWriting();
    void onTimeout();
    void close() override;
    void beginRequest();
    void endRequest();

    const std::uint64_t m_id;
    std::unique_ptr<QTcpSocket> m_socket;
    ConnectionContext &m_context;
    RequestReader m_reader;
    Stage m_stage = Stage::Handshake;
    QTimer m_timer;
    /// Bytes of the request that the parser has not read yet.
    QByteArray m_parserInput;
    RequestHead m_head;
    std::uint64_t m_requestNumber = 0;
    /// Whether the open request counts as in flight.
    bool m_inFlight = false;
    /// The parser has handed the request to the handler.
    bool m_accepted = false;
    bool m_processing = false;
    /// m_timer bounds the time to send the request that is being read.
    bool m_requestTimerActive = false;
    bool m_writeShutDown = false;
    std::optional<Error> m_refusal;
    TimePoint m_idleSince;
};

} // namespace shallotlever
