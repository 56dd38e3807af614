#include "shallotlever/edge/http_endpoint.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "absl/strings/str_cat.h"
#include "http_response.h"
#include "request_reader.h"
#include "shallotlever/base/clock.h"
#include "shallotlever/wire/socket_end.h"

namespace shallotlever {

namespace {

constexpr std::size_t kMaxHeaderBytes = 16U * 1024U;
/// A complete configuration must fit into a single proposal of the control log.
constexpr std::size_t kMaxBodyBytes = 768U * 1024U;
constexpr int kAcceptBacklog = 128;
/// Connections at the same time; for a further one, one is closed whose request is not complete.
constexpr qsizetype kMaxConnections = 256;
/// Interval at which connections are checked that wait for memory, or that others wait for.
constexpr std::chrono::milliseconds kLimitInterval { 50 };
/// Bytes that are read ahead of a response.
constexpr qint64 kReadBufferBytes = 64LL * 1024;
/// Time for which input is discarded after the last response, until the client closes.
constexpr std::chrono::milliseconds kLingerTimeout { 2000 };

EdgeLimits endpointLimits()
{
    EdgeLimits limits;
    limits.maxHeaderBytes = kMaxHeaderBytes;
    limits.maxBodyBytes = kMaxBodyBytes;
    return limits;
}

EndpointRequest toEndpointRequest(const FramedRequest &request)
{
    EndpointRequest endpointRequest;
    endpointRequest.method = request.head.method.toStdString();
    endpointRequest.path = request.head.target.split('?').first().toStdString();
    endpointRequest.body = request.body.toStdString();
    return endpointRequest;
}

/// One client connection. Deletes itself when the connection is closed.
class EndpointConnection : public QObject
{
public:
    /// `watchLimits` is called when applyLimits() has to be called periodically.
    EndpointConnection(QTcpSocket *socket, const HttpEndpoint::Handler &handler,
                       MemoryBudget &memory, std::function<void()> watchLimits)
        : m_socket(socket)
        , m_handler(handler)
        , m_reader(endpointLimits())
        , m_account(memory)
        , m_watchLimits(std::move(watchLimits))
    {
        m_socket->setParent(this);
        m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        m_socket->setReadBufferSize(kReadBufferBytes);
        m_lingerTimer.setSingleShot(true);
        connect(m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
        connect(m_socket, &QTcpSocket::bytesWritten, this, [this] { shutDownWhenSent(); });
        connect(m_socket, &QTcpSocket::disconnected, this, [this] { deleteLater(); });
        connect(&m_lingerTimer, &QTimer::timeout, this, [this] { m_socket->abort(); });
        m_requestTimer.setSingleShot(true);
        connect(&m_requestTimer, &QTimer::timeout, this, [this] { m_socket->abort(); });
        m_requestTimer.start(endpointLimits().requestTimeout);
    }

    /// Closes the connection if others need its memory, or goes on reading if it waits for some.
    void applyLimits()
    {
        if (m_account.mustClose())
            m_socket->abort();
        else if (m_account.isWaiting())
            read();
    }
    bool isReclaimable() const { return m_account.isReclaimable(); }
    /// Whether it is owed nothing.
    bool isReceiving() const { return m_stage == Stage::Reading && m_socket->bytesToWrite() == 0; }

private:
    enum class Stage { Reading, AwaitingResponse, Closing };

    void read()
    {
        if (m_stage == Stage::Closing)
            m_socket->readAll();
        RequestReader::Status status = RequestReader::Status::NeedMore;
        while (m_stage == Stage::Reading) {
            status = m_reader.next();
            if (status != RequestReader::Status::NeedMore)
                break;
            const TimePoint now = monotonicNow();
            const auto available = static_cast<std::size_t>(m_socket->bytesAvailable());
            if (m_reader.hasPartialRequest() && !m_requestTimer.isActive())
                m_requestTimer.start(endpointLimits().requestTimeout);
            if (available == 0)
                return;
            if (!m_account.mayTake(available, now)) {
                m_watchLimits();
                return;
            }
            const QByteArray bytes = m_socket->readAll();
            if (!m_reader.hasPartialRequest())
                m_requestTimer.start(endpointLimits().requestTimeout);
            m_reader.append(bytes);
            m_account.setCharge(ChargeKind::HttpInput, m_reader.heldBytes(), now);
            if (m_account.isReclaimable())
                m_watchLimits();
        }
        if (status == RequestReader::Status::Complete)
            serve(m_reader.takeRequest());
        else if (status == RequestReader::Status::Failed)
            write(encodeError(m_reader.error()), false);
    }

    void serve(const FramedRequest &request)
    {
        m_stage = Stage::AwaitingResponse;
        m_requestTimer.stop();
        const TimePoint now = monotonicNow();
        m_account.setCharge(ChargeKind::HttpInput, m_reader.heldBytes(), now);
        m_account.noteProgress(now);
        const std::uint64_t number = ++m_requestNumber;
        const bool keepAlive = request.head.keepAlive;
        const QPointer<EndpointConnection> self(this);
        m_handler(toEndpointRequest(request),
                  [self, number, keepAlive](const EndpointResponse &reply) {
                      if (self)
                          self->respond(number, keepAlive, reply);
                  });
    }

    void respond(std::uint64_t number, bool keepAlive, const EndpointResponse &reply)
    {
        if (m_stage != Stage::AwaitingResponse || number != m_requestNumber)
            return;
        HttpResponse response;
        response.status = reply.status;
        response.headers.append(
            std::pair<QByteArray, QByteArray>("Content-Type", "application/json"));
        response.body = QByteArray::fromStdString(reply.body);
        write(response, keepAlive);
        if (keepAlive)
            QMetaObject::invokeMethod(
                this, [this] { read(); }, Qt::QueuedConnection);
    }

    void write(const HttpResponse &response, bool keepAlive)
    {
        m_stage = keepAlive ? Stage::Reading : Stage::Closing;
        m_requestTimer.stop();
        m_socket->write(serializeResponse(response, keepAlive, true));
        m_socket->flush();
        shutDownWhenSent();
    }

    void shutDownWhenSent()
    {
        if (m_stage != Stage::Closing || m_socket->bytesToWrite() > 0 || m_lingerTimer.isActive())
            return;
        m_lingerTimer.start(kLingerTimeout);
        shutDownSending(*m_socket);
        m_socket->readAll();
    }

    QTcpSocket *m_socket;
    const HttpEndpoint::Handler &m_handler;
    RequestReader m_reader;
    MemoryAccount m_account;
    std::function<void()> m_watchLimits;
    Stage m_stage = Stage::Reading;
    std::uint64_t m_requestNumber = 0;
    /// Runs from the end of the last response.
    QTimer m_lingerTimer;
    /// Runs while a request is being received, and until the first byte of the first one.
    QTimer m_requestTimer;
};

} // namespace

class HttpEndpoint::Impl
{
public:
    Impl(Handler handler, std::shared_ptr<MemoryBudget> memory)
        : m_handler(std::move(handler))
        , m_memory(std::move(memory))
    {
    }

    absl::Status start(const Endpoint &endpoint)
    {
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            while (QTcpSocket *socket = m_server.nextPendingConnection())
                add(socket);
        });
        QObject::connect(&m_limitTimer, &QTimer::timeout, &m_server, [this] { applyLimits(); });
        m_server.setListenBacklogSize(kAcceptBacklog);
        if (m_server.listen(QHostAddress(QString::fromStdString(endpoint.host)), endpoint.port))
            return absl::OkStatus();
        return absl::UnavailableError(absl::StrCat("cannot listen on ", endpoint.host, ":",
                                                   endpoint.port, ": ",
                                                   m_server.errorString().toStdString()));
    }

private:
    void add(QTcpSocket *socket)
    {
        if (connections().size() >= kMaxConnections && !makeRoom()) {
            delete socket;
            return;
        }
        (new EndpointConnection(socket, m_handler, *m_memory, [this] {
            watchLimits();
        }))->setParent(&m_connections);
    }

    void watchLimits()
    {
        if (!m_limitTimer.isActive() && m_memory->isLimited())
            m_limitTimer.start(kLimitInterval);
    }

    /// Closes the oldest connection whose request is not complete. Returns false if there is none.
    bool makeRoom()
    {
        const QObjectList open = connections();
        const auto oldest = std::find_if(open.begin(), open.end(), [](const QObject *object) {
            return static_cast<const EndpointConnection *>(object)->isReceiving();
        });
        if (oldest == open.end())
            return false;
        delete *oldest;
        return true;
    }

    void applyLimits()
    {
        m_memory->reclaim(monotonicNow());
        for (QObject *object : connections())
            static_cast<EndpointConnection *>(object)->applyLimits();
        const QObjectList open = connections();
        const bool watched = std::any_of(open.begin(), open.end(), [](const QObject *object) {
            return static_cast<const EndpointConnection *>(object)->isReclaimable();
        });
        if (!watched)
            m_limitTimer.stop();
    }

    /// Oldest first.
    QObjectList connections() const { return m_connections.children(); }

    Handler m_handler;
    std::shared_ptr<MemoryBudget> m_memory;
    QTcpServer m_server;
    QTimer m_limitTimer;
    /// Parent object that owns all connections.
    QObject m_connections;
};

HttpEndpoint::HttpEndpoint(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpEndpoint::~HttpEndpoint() = default;

absl::StatusOr<std::unique_ptr<HttpEndpoint>>
HttpEndpoint::create(const Endpoint &listen, Handler handler, std::shared_ptr<MemoryBudget> memory)
{
    auto impl = std::make_unique<Impl>(std::move(handler), std::move(memory));
    const absl::Status status = impl->start(listen);
    if (!status.ok())
        return status;
    return std::unique_ptr<HttpEndpoint>(new HttpEndpoint(std::move(impl)));
}

} // namespace shallotlever
