#include "edge_worker.h"

#include <unistd.h>

#include <algorithm>
#include <deque>

#include <QHttpServerRequest>
#include <QSslSocket>
#include <QTcpServer>
#include <QTimer>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Interval at which connections are checked that wait for memory, or that others wait for.
constexpr std::chrono::milliseconds kLimitInterval { 50 };
/// Label values of the request metrics, in the order of the alternatives of EdgeRequest.
constexpr std::array kRequestNames {
    "statement", "begin",  "commit",  "rollback",          "open_route", "announce",
    "change",    "status", "explain", "explain_placement", "drain"
};
static_assert(kRequestNames.size() == std::variant_size_v<EdgeRequest>);

HttpResponse statusResponse(int status, const char *text)
{
    return { status,
             { { "Content-Type", "application/json" } },
             QByteArray("{\"status\":\"") + text + "\"}" };
}

/// Ensures that one request is answered exactly once. Sends the error `internal` if it is destroyed
/// without a response, so that the caller does not wait forever.
class PendingReply
{
public:
    using Send = std::function<void(EdgeResponse)>;

    explicit PendingReply(Send send)
        : m_send(std::move(send))
    {
    }
    ~PendingReply()
    {
        send(Error { ErrorKind::Internal, "the request was dropped", std::nullopt });
    }
    PendingReply(const PendingReply &) = delete;
    PendingReply &operator=(const PendingReply &) = delete;

    void send(EdgeResponse response)
    {
        if (!m_responded.exchange(true))
            m_send(std::move(response));
    }

private:
    Send m_send;
    std::atomic<bool> m_responded { false };
};

} // namespace

/// Passes connections to the HTTP server without listening itself. The two functions are overridden
/// because those of a QTcpServer that is not listening print a warning on each call.
class EdgeWorker::ConnectionServer : public QTcpServer
{
public:
    bool hasPendingConnections() const override { return !m_pending.empty(); }
    QTcpSocket *nextPendingConnection() override
    {
        if (m_pending.empty())
            return nullptr;
        QTcpSocket *socket = m_pending.front();
        m_pending.pop_front();
        return socket;
    }
    void enqueue(Connection *connection)
    {
        m_pending.push_back(connection);
        // The signal is private, so it can only be emitted by name.
        QMetaObject::invokeMethod(this, "pendingConnectionAvailable", Qt::DirectConnection);
    }

private:
    std::deque<QTcpSocket *> m_pending;
};

class EdgeWorker::HttpServer : public QAbstractHttpServer
{
public:
    explicit HttpServer(EdgeWorker &worker)
        : m_worker(worker)
    {
    }

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override
    {
        // Every socket of this server is a Connection, see ConnectionServer::enqueue.
        m_worker.dispatchRequest(request, *static_cast<Connection *>(socket));
        return true;
    }
    void missingHandler(const QHttpServerRequest & /*request*/, QTcpSocket * /*socket*/) override {
    }

private:
    EdgeWorker &m_worker;
};

EdgeWorker::EdgeWorker(EdgeSharedState &shared)
    : m_shared(shared)
    , m_context { shared.options.limits,
                  shared.draining,
                  shared.requestsInFlight,
                  [this](ErrorKind kind) { m_shared.metrics.refusal(kind).increment(); },
                  [this](std::uint64_t id) { onConnectionClosed(id); },
                  *shared.options.memory,
                  [this] { watchLimits(); } }
    , m_workerHandle(std::make_shared<EdgeWorkerHandle>())
{
    m_workerHandle->worker = this;
    for (std::size_t i = 0; i < kRequestNames.size(); ++i)
        m_latencyHistograms[i] = &shared.metrics.registry().histogram(
            "shallotlever_request_duration_seconds",
            "Time from the last byte of a request to its answer.",
            { { "request", kRequestNames[i] } });
}

EdgeWorker::~EdgeWorker() = default;

void EdgeWorker::start()
{
    m_httpServer = std::make_unique<HttpServer>(*this);
    m_connectionServer = new ConnectionServer;
    m_httpServer->bind(m_connectionServer); // Takes ownership.
    m_limitTimer = std::make_unique<QTimer>();
    connect(m_limitTimer.get(), &QTimer::timeout, this, [this] { applyLimits(); });
}

void EdgeWorker::watchLimits()
{
    if (m_limitTimer && !m_limitTimer->isActive() && m_shared.options.memory->isLimited())
        m_limitTimer->start(kLimitInterval);
}

void EdgeWorker::applyLimits()
{
    m_shared.options.memory->reclaim(monotonicNow());
    // A connection that is closed leaves the map.
    const auto connections = m_connections;
    for (const auto &[id, entry] : connections) {
        if (entry.connection != nullptr)
            entry.connection->applyLimits();
    }
    const bool watched =
        std::any_of(m_connections.begin(), m_connections.end(), [](const auto &item) {
            return item.second.connection != nullptr && item.second.connection->isReclaimable();
        });
    if (!watched)
        m_limitTimer->stop();
}

std::unique_ptr<QTcpSocket> EdgeWorker::makeSocket(qintptr descriptor)
{
    std::unique_ptr<QTcpSocket> socket;
    if (m_shared.tls) {
        auto tls = std::make_unique<QSslSocket>();
        tls->setSslConfiguration(m_shared.tls->currentConfiguration(monotonicNow()));
        socket = std::move(tls);
    } else {
        socket = std::make_unique<QTcpSocket>();
    }
    if (!socket->setSocketDescriptor(descriptor)) {
        ::close(static_cast<int>(descriptor));
        return nullptr;
    }
    return socket;
}

void EdgeWorker::adoptSocket(qintptr descriptor, bool overLimit)
{
    const std::uint64_t id = m_nextId++;
    std::unique_ptr<QTcpSocket> socket = makeSocket(descriptor);
    m_connections[id] = Entry { nullptr, overLimit };
    if (!socket)
        return onConnectionClosed(id);
    auto *connection = new Connection(id, std::move(socket), m_context);
    m_connections[id].connection = connection;
    m_connectionServer->enqueue(connection);
    std::optional<Error> refusal;
    if (overLimit)
        refusal = Error { ErrorKind::TooManyConnections, "the node has too many connections",
                          std::nullopt };
    connection->start(std::move(refusal));
}

void EdgeWorker::onConnectionClosed(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    (found->second.overLimit ? m_shared.refusedConnections : m_shared.openConnections).fetch_sub(1);
    m_connections.erase(found);
}

void EdgeWorker::closeIdleConnections(std::chrono::milliseconds minIdleTime)
{
    std::vector<Connection *> idle;
    for (const auto &[id, entry] : m_connections) {
        if (entry.connection->isIdle(minIdleTime))
            idle.push_back(entry.connection);
    }
    for (Connection *connection : idle)
        connection->closeGracefully();
}

void EdgeWorker::shutdown()
{
    {
        const std::lock_guard lock(m_workerHandle->mutex);
        m_workerHandle->worker = nullptr;
    }
    const auto connections = m_connections;
    for (const auto &[id, entry] : connections)
        entry.connection->abort();
    m_limitTimer.reset();
    m_httpServer.reset();
}

bool EdgeWorker::handleMonitoringPath(Connection &connection, const RequestHead &head,
                                      QByteArrayView path)
{
    HttpResponse response;
    if (path == "/healthz")
        response = statusResponse(200, "ok");
    else if (path == "/metrics")
        response = metricsResponse();
    else if (path == "/readyz")
        response = m_shared.callbacks.ready() ? statusResponse(200, "ready")
                                              : statusResponse(503, "not_ready");
    else
        return false;
    if (head.method == "GET" || head.method == "HEAD")
        connection.sendResponse(connection.requestNumber(), response);
    else
        sendError(connection,
                  Error { ErrorKind::MalformedRequest, "method: must be GET for this path",
                          std::nullopt });
    return true;
}

HttpResponse EdgeWorker::metricsResponse()
{
    MetricsRegistry &registry = m_shared.metrics.registry();
    registry.gauge("shallotlever_client_connections", "Open connections of callers and operators.")
        .set(m_shared.openConnections.load());
    registry.gauge("shallotlever_requests_in_flight", "Requests read and not yet answered.")
        .set(m_shared.requestsInFlight.load());
    return { 200,
             { { "Content-Type", "text/plain; version=0.0.4; charset=utf-8" } },
             QByteArray::fromStdString(registry.prometheusText()) };
}

void EdgeWorker::sendError(Connection &connection, const Error &error)
{
    m_context.countRefusal(error.kind);
    connection.sendResponse(connection.requestNumber(), encodeError(error));
}

void EdgeWorker::dispatchRequest(const QHttpServerRequest &request, Connection &connection)
{
    const TimePoint now = monotonicNow();
    const RequestHead &head = connection.acceptRequest();
    // Uses the path as sent, because QUrl would decode and normalise it.
    const QByteArray path = head.target.split('?').first();
    if (handleMonitoringPath(connection, head, path))
        return;
    Parsed<CallerContext> context = parseCallerContext(request.headers(), now);
    if (const auto *error = std::get_if<Error>(&context))
        return sendError(connection, *error);
    Parsed<EdgeRequest> parsed = parseRequest(head.method, path, request.body());
    if (const auto *error = std::get_if<Error>(&parsed))
        return sendError(connection, *error);
    auto &edgeRequest = std::get<EdgeRequest>(parsed);
    EdgeResponder responder = makeResponder(connection, edgeRequest, now);
    m_shared.callbacks.handler(std::get<CallerContext>(std::move(context)), std::move(edgeRequest),
                               std::move(responder));
}

EdgeResponder EdgeWorker::makeResponder(const Connection &connection, const EdgeRequest &request,
                                        TimePoint receivedAt)
{
    const bool openRoute = std::holds_alternative<OpenRouteRequest>(request);
    LatencyHistogram *latencyHistogram = m_latencyHistograms[request.index()];
    auto reply = std::make_shared<PendingReply>(
        [workerHandle = m_workerHandle, id = connection.id(), number = connection.requestNumber(),
         openRoute, latencyHistogram, receivedAt](EdgeResponse response) {
            const std::lock_guard lock(workerHandle->mutex);
            EdgeWorker *worker = workerHandle->worker;
            if (worker == nullptr)
                return;
            latencyHistogram->observe(monotonicNow() - receivedAt);
            // Queued even when called on the edge thread: a response sent from within the handler
            // would otherwise start the next request while QtHttpServer still handles this one.
            QMetaObject::invokeMethod(
                worker,
                [worker, id, number, openRoute, response = std::move(response)] {
                    worker->deliverResponse(id, number, response, openRoute);
                },
                Qt::QueuedConnection);
        });
    return [reply](EdgeResponse response) { reply->send(std::move(response)); };
}

void EdgeWorker::deliverResponse(std::uint64_t connectionId, std::uint64_t requestNumber,
                                 const EdgeResponse &response, bool openRoute)
{
    if (const std::optional<ErrorKind> refusal = responseErrorKind(response))
        m_context.countRefusal(*refusal);
    const auto found = m_connections.find(connectionId);
    if (found != m_connections.end())
        found->second.connection->sendResponse(requestNumber, encodeResponse(response, openRoute));
}

} // namespace shallotlever
