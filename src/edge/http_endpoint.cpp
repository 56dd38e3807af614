#include "shallotlever/edge/http_endpoint.h"

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
#include "shallotlever/wire/socket_end.h"

namespace shallotlever {

namespace {

constexpr std::size_t kMaxHeaderBytes = 16U * 1024U;
/// A complete configuration must fit into a single proposal of the control log.
constexpr std::size_t kMaxBodyBytes = 768U * 1024U;
constexpr int kAcceptBacklog = 128;
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
    EndpointConnection(QTcpSocket *socket, const HttpEndpoint::Handler &handler)
        : m_socket(socket)
        , m_handler(handler)
        , m_reader(endpointLimits())
    {
        m_socket->setParent(this);
        m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        m_socket->setReadBufferSize(kReadBufferBytes);
        m_lingerTimer.setSingleShot(true);
        connect(m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
        connect(m_socket, &QTcpSocket::bytesWritten, this, [this] { shutDownWhenSent(); });
        connect(m_socket, &QTcpSocket::disconnected, this, [this] { deleteLater(); });
        connect(&m_lingerTimer, &QTimer::timeout, this, [this] { m_socket->abort(); });
    }

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
            const QByteArray bytes = m_socket->readAll();
            if (bytes.isEmpty())
                return;
            m_reader.append(bytes);
        }
        if (status == RequestReader::Status::Complete)
            serve(m_reader.takeRequest());
        else if (status == RequestReader::Status::Failed)
            write(encodeError(m_reader.error()), false);
    }

    void serve(const FramedRequest &request)
    {
        m_stage = Stage::AwaitingResponse;
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
    Stage m_stage = Stage::Reading;
    std::uint64_t m_requestNumber = 0;
    /// Runs from the end of the last response.
    QTimer m_lingerTimer;
};

} // namespace

class HttpEndpoint::Impl
{
public:
    explicit Impl(Handler handler)
        : m_handler(std::move(handler))
    {
    }

    absl::Status start(const Endpoint &endpoint)
    {
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            while (QTcpSocket *socket = m_server.nextPendingConnection())
                (new EndpointConnection(socket, m_handler))->setParent(&m_connections);
        });
        m_server.setListenBacklogSize(kAcceptBacklog);
        if (m_server.listen(QHostAddress(QString::fromStdString(endpoint.host)), endpoint.port))
            return absl::OkStatus();
        return absl::UnavailableError(absl::StrCat("cannot listen on ", endpoint.host, ":",
                                                   endpoint.port, ": ",
                                                   m_server.errorString().toStdString()));
    }

private:
    Handler m_handler;
    QTcpServer m_server;
    /// Parent object that owns all connections.
    QObject m_connections;
};

HttpEndpoint::HttpEndpoint(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpEndpoint::~HttpEndpoint() = default;

absl::StatusOr<std::unique_ptr<HttpEndpoint>> HttpEndpoint::create(const Endpoint &listen,
                                                                   Handler handler)
{
    auto impl = std::make_unique<Impl>(std::move(handler));
    const absl::Status status = impl->start(listen);
    if (!status.ok())
        return status;
    return std::unique_ptr<HttpEndpoint>(new HttpEndpoint(std::move(impl)));
}

} // namespace shallotlever
