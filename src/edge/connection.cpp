#include "connection.h"

#include <algorithm>
#include <cstring>

#include <QSslSocket>

#include "http_response.h"
#include "shallotlever/base/clock.h"
#include "shallotlever/wire/socket_end.h"

namespace shallotlever {

namespace {

/// Maximum number of bytes read from the socket in one call.
constexpr qint64 kReadChunkBytes = 16LL * 1024;
/// Maximum number of bytes that Qt may buffer before the limits are checked.
constexpr qint64 kSocketBufferBytes = 64LL * 1024;
/// Reading of further pipelined requests is suspended while this many response bytes are unsent.
constexpr qint64 kMaxUnsentBytes = 256LL * 1024;
/// A client that receives no byte of a pending response for this long is disconnected.
constexpr std::chrono::milliseconds kWriteTimeout { 30000 };
/// Time for which input is read and discarded before the socket is closed. Closing a socket with
/// unread input resets the connection, and the client may lose the response.
constexpr std::chrono::milliseconds kLingerTimeout { 2000 };

/// Headers that are not passed to the parser, because they apply to the connection and not to the
/// request. The parser receives the decoded body and must not start a protocol upgrade.
constexpr const char *kConnectionHeaders[] = {
    "Connection", "Content-Length",    "Expect", "Keep-Alive", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"
};

bool isConnectionHeader(const QByteArray &name)
{
    return std::any_of(
        std::begin(kConnectionHeaders), std::end(kConnectionHeaders),
        [&name](const char *h) { return name.compare(h, Qt::CaseInsensitive) == 0; });
}

QByteArray canonicalRequest(const FramedRequest &request)
{
    QByteArray text = request.head.method + ' ' + request.head.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.head.headers) {
        if (!isConnectionHeader(name))
            text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + QByteArray::number(request.body.size()) + "\r\n\r\n";
    return text + request.body;
}

} // namespace

Connection::Connection(std::uint64_t id, std::unique_ptr<QTcpSocket> socket,
                       ConnectionContext &context)
    : m_id(id)
    , m_socket(std::move(socket))
    , m_context(context)
    , m_reader(context.limits)
    , m_account(context.memory)
    , m_idleSince(monotonicNow())
{
    setOpenMode(QIODevice::ReadWrite);
    setSocketState(QAbstractSocket::ConnectedState);
    setPeerAddress(m_socket->peerAddress());
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_socket->setReadBufferSize(kSocketBufferBytes);
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { onTimeout(); });
    connect(m_socket.get(), &QTcpSocket::readyRead, this, [this] { process(); });
    connect(m_socket.get(), &QTcpSocket::bytesWritten, this, [this] { onBytesWritten(); });
    connect(m_socket.get(), &QTcpSocket::disconnected, this, [this] { close(); });
}

Connection::~Connection()
{
    m_socket->disconnect(this);
    // Prevents the base class from closing a socket: it never had a descriptor of its own.
    setSocketState(QAbstractSocket::UnconnectedState);
}

void Connection::start(std::optional<Error> refusal)
{
    m_refusal = std::move(refusal);
    if (m_socket->state() != QAbstractSocket::ConnectedState)
        return close();
    auto *tls = qobject_cast<QSslSocket *>(m_socket.get());
    if (tls == nullptr) {
        m_stage = Stage::Reading;
        return process();
    }
    connect(tls, &QSslSocket::encrypted, this, [this] {
        m_timer.stop();
        m_stage = Stage::Reading;
        process();
    });
    m_timer.start(m_context.limits.requestTimeout);
    tls->startServerEncryption();
}

void Connection::process()
{
    if (m_stage == Stage::Lingering)
        m_socket->readAll();
    if (m_processing)
        return;
    m_processing = true;
    if (m_stage == Stage::Reading && m_refusal)
        refuse(*m_refusal);
    while (m_stage == Stage::Reading && m_socket->bytesToWrite() < kMaxUnsentBytes) {
        const RequestReader::Status status = m_reader.next();
        if (status == RequestReader::Status::Complete) {
            passToParser();
        } else if (status == RequestReader::Status::Failed) {
            refuse(m_reader.error());
        } else {
            if (m_reader.takeExpectContinue())
                m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
            const qint64 next = std::min<qint64>(kReadChunkBytes, m_socket->bytesAvailable());
            if (next <= 0 || !m_account.mayTake(static_cast<std::size_t>(next), monotonicNow()))
                break;
            const QByteArray bytes = m_socket->read(kReadChunkBytes);
            if (bytes.isEmpty())
                break;
            m_reader.append(bytes);
        }
        if (m_stage == Stage::Reading && m_reader.hasPartialRequest())
            beginRequest();
    }
    m_processing = false;
    m_account.setCharge(ChargeKind::HttpInput, m_reader.heldBytes(), monotonicNow());
    if (m_account.isReclaimable())
        m_context.watchLimits();
}

void Connection::applyLimits()
{
    if (m_account.mustClose())
        abort();
    else if (m_account.isWaiting())
        process();
}

void Connection::beginRequest()
{
    if (!m_inFlight) {
        m_inFlight = true;
        m_context.requestsInFlight.fetch_add(1);
    }
    if (!m_requestTimerActive) {
        m_requestTimerActive = true;
        m_timer.start(m_context.limits.requestTimeout);
    }
}

void Connection::endRequest()
{
    if (m_inFlight)
        m_context.requestsInFlight.fetch_sub(1);
    m_inFlight = false;
    m_idleSince = monotonicNow();
}

void Connection::passToParser()
{
    FramedRequest request = m_reader.takeRequest();
    m_account.noteProgress(monotonicNow());
    m_parserInput = canonicalRequest(request);
    m_head = std::move(request.head);
    ++m_requestNumber;
    beginRequest();
    m_requestTimerActive = false;
    m_timer.stop();
    m_accepted = false;
    m_stage = Stage::AwaitingResponse;
    Q_EMIT readyRead();
    m_parserInput.clear();
    if (!m_accepted && m_stage == Stage::AwaitingResponse)
        refuse(Error { ErrorKind::MalformedRequest, "the request cannot be parsed", std::nullopt });
}

const RequestHead &Connection::acceptRequest()
{
    m_accepted = true;
    return m_head;
}

void Connection::sendResponse(std::uint64_t number, const HttpResponse &response)
{
    if (m_stage != Stage::AwaitingResponse || number != m_requestNumber)
        return;
    write(response, m_head.keepAlive && !m_context.draining.load());
    process();
}

void Connection::refuse(const Error &error)
{
    m_context.countRefusal(error.kind);
    write(encodeError(error), false);
}

void Connection::write(const HttpResponse &response, bool keepAlive)
{
    m_socket->write(serializeResponse(response, keepAlive, m_head.method != "HEAD"));
    m_head = {};
    m_requestTimerActive = false;
    m_timer.start(kWriteTimeout);
    m_stage = keepAlive ? Stage::Reading : Stage::Lingering;
    m_socket->flush();
    onBytesWritten();
}

void Connection::onBytesWritten()
{
    if (m_stage == Stage::Closed || m_stage == Stage::Handshake)
        return;
    if (m_socket->bytesToWrite() > 0) {
        if (!m_requestTimerActive && m_stage != Stage::AwaitingResponse)
            m_timer.start(kWriteTimeout);
    } else if (m_stage == Stage::Lingering) {
        endRequest();
        shutdownWriting();
    } else if (m_stage == Stage::Reading && !m_requestTimerActive) {
        m_timer.stop();
        endRequest();
    }
    if (m_stage == Stage::Reading)
        process();
}

void Connection::shutdownWriting()
{
    if (m_writeShutDown)
        return;
    m_writeShutDown = true;
    m_timer.start(kLingerTimeout);
    shutDownSending(*m_socket);
    m_socket->readAll();
}

bool Connection::isIdle(std::chrono::milliseconds minIdleTime) const
{
    if (m_stage != Stage::Reading || m_inFlight || hasUnreadInput(*m_socket))
        return false;
    return monotonicNow() - m_idleSince >= minIdleTime;
}

void Connection::closeGracefully()
{
    m_stage = Stage::Lingering;
    onBytesWritten();
}

void Connection::abort()
{
    m_socket->abort();
    close();
}

void Connection::onTimeout()
{
    if (m_stage == Stage::Reading && m_requestTimerActive)
        refuse(Error { ErrorKind::RequestTimeout, "the request was not sent completely in time",
                       std::nullopt });
    else
        abort();
}

void Connection::close()
{
    if (m_stage == Stage::Closed)
        return;
    m_stage = Stage::Closed;
    m_timer.stop();
    endRequest();
    setSocketState(QAbstractSocket::UnconnectedState);
    m_context.closed(m_id);
    Q_EMIT disconnected();
    deleteLater();
}

qint64 Connection::bytesAvailable() const
{
    return QIODevice::bytesAvailable() + m_parserInput.size();
}

qint64 Connection::readData(char *data, qint64 maxSize)
{
    const qint64 count = std::min<qint64>(maxSize, m_parserInput.size());
    std::memcpy(data, m_parserInput.constData(), static_cast<std::size_t>(count));
    m_parserInput.remove(0, count);
    return count;
}

/// Rejects writes by QtHttpServer, because all responses are sent through sendResponse().
qint64 Connection::writeData(const char * /*data*/, qint64 /*size*/)
{
    return -1;
}

} // namespace shallotlever
