#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

#include <QTcpSocket>
#include <QTimer>

#include "request_reader.h"

namespace shallotlever {

/// State and callbacks of the thread that owns a connection. Must outlive the connection.
struct ConnectionContext
{
    EdgeLimits limits;
    /// If set, each connection is closed after its next response.
    std::atomic<bool> &draining;
    std::atomic<int> &requestsInFlight;
    /// Called for each error response that the connection generates itself.
    std::function<void(ErrorKind)> countRefusal;
    /// Called once when the connection closes. The connection then deletes itself from the event
    /// loop.
    std::function<void(std::uint64_t id)> closed;
    MemoryBudget &memory;
    /// A connection has to be told of limits, see Connection::applyLimits().
    std::function<void()> watchLimits;
};

/// Socket that QtHttpServer reads from. Wraps the network socket (plain or TLS), enforces the
/// limits, and passes one complete request at a time to the parser in canonical form, because the
/// parser of Qt 6.4.2 buffers bodies of any size and accepts some malformed requests. Responses are
/// written directly to the network socket. Must be used on a single thread.
class Connection : public QTcpSocket
{
public:
    Connection(std::uint64_t id, std::unique_ptr<QTcpSocket> socket, ConnectionContext &context);
    ~Connection() override;

    std::uint64_t id() const { return m_id; }
    /// Starts reading requests. If `refusal` is set, sends that error and closes instead.
    void start(std::optional<Error> refusal);

    /// Called by the request handler to confirm that the parser has accepted the current request.
    /// Returns the head of the request.
    const RequestHead &acceptRequest();
    /// Sequence number of the current request; identifies responses that arrive too late.
    std::uint64_t requestNumber() const { return m_requestNumber; }
    /// Sends the response to request `number`; ignored if that request is no longer pending.
    void sendResponse(std::uint64_t number, const HttpResponse &response);

    /// Returns whether no request is pending or partially received and the connection has been idle
    /// for at least `minIdleTime`.
    bool isIdle(std::chrono::milliseconds minIdleTime) const;
    /// Flushes buffered output, then closes.
    void closeGracefully();
    void abort();
    /// Closes the connection if others need its memory, or goes on reading if it waits for some.
    void applyLimits();
    bool isReclaimable() const { return m_account.isReclaimable(); }

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
    MemoryAccount m_account;
    Stage m_stage = Stage::Handshake;
    QTimer m_timer;
    /// Bytes of the current request that the parser has not read yet.
    QByteArray m_parserInput;
    RequestHead m_head;
    std::uint64_t m_requestNumber = 0;
    /// The current request is counted in requestsInFlight.
    bool m_inFlight = false;
    /// The parser has passed the current request to the handler.
    bool m_accepted = false;
    bool m_processing = false;
    /// m_timer limits the time in which the client must send the current request.
    bool m_requestTimerActive = false;
    bool m_writeShutDown = false;
    std::optional<Error> m_refusal;
    TimePoint m_idleSince;
};

} // namespace shallotlever
