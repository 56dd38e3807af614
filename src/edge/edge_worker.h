#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>

#include <QAbstractHttpServer>
#include <QObject>

#include "connection.h"
#include "shallotlever/edge/listener.h"
#include "tls_files.h"

namespace shallotlever {

/// State shared by the threads of one listener.
struct EdgeSharedState
{
    EdgeOptions options;
    EdgeCallbacks callbacks;
    NodeMetrics &metrics;
    const Logger &logger;
    std::unique_ptr<TlsFiles> tls;
    std::atomic<bool> draining { false };
    std::atomic<int> requestsInFlight { 0 };
    /// Connections that count towards EdgeLimits::maxConnections.
    std::atomic<int> openConnections { 0 };
    /// Connections over the limit that are being sent an error response.
    std::atomic<int> refusedConnections { 0 };
};

class EdgeWorker;

/// Handle through which responders on other threads reach a worker. Outlives the worker.
struct EdgeWorkerHandle
{
    std::mutex mutex;
    /// Null once the worker has shut down.
    EdgeWorker *worker = nullptr;
};

/// The HTTP server and connections of one edge thread. All functions except the constructor must be
/// called on that thread.
class EdgeWorker : public QObject
{
public:
    explicit EdgeWorker(EdgeSharedState &shared);
    ~EdgeWorker() override;

    /// Creates the HTTP server. Must be called before adoptSocket().
    void start();
    /// Takes ownership of an accepted socket. If `overLimit` is set, sends an error response and
    /// closes the connection.
    void adoptSocket(qintptr descriptor, bool overLimit);
    void closeIdleConnections(std::chrono::milliseconds minIdleTime);
    /// Closes all connections. Responses that arrive later are dropped.
    void shutdown();

    /// Handles the request that `connection` has passed to the parser.
    void dispatchRequest(const QHttpServerRequest &request, Connection &connection);
    /// Sends a response, unless the connection has been closed.
    void deliverResponse(std::uint64_t connectionId, std::uint64_t requestNumber,
                         const EdgeResponse &response, bool openRoute);

private:
    class ConnectionServer;
    class HttpServer;

    std::unique_ptr<QTcpSocket> makeSocket(qintptr descriptor);
    void onConnectionClosed(std::uint64_t id);
    void watchLimits();
    void applyLimits();
    /// Handles /healthz, /readyz and /metrics. Returns false for any other path.
    bool handleMonitoringPath(Connection &connection, const RequestHead &head, QByteArrayView path);
    HttpResponse metricsResponse();
    void sendError(Connection &connection, const Error &error);
    EdgeResponder makeResponder(const Connection &connection, const EdgeRequest &request,
                                TimePoint receivedAt);

    struct Entry
    {
        Connection *connection = nullptr;
        bool overLimit = false;
    };

    EdgeSharedState &m_shared;
    ConnectionContext m_context;
    std::shared_ptr<EdgeWorkerHandle> m_workerHandle;
    std::unique_ptr<HttpServer> m_httpServer;
    ConnectionServer *m_connectionServer = nullptr;
    std::unique_ptr<QTimer> m_limitTimer;
    std::unordered_map<std::uint64_t, Entry> m_connections;
    std::uint64_t m_nextId = 1;
    /// Indexed by the alternative of EdgeRequest.
    std::array<LatencyHistogram *, std::variant_size_v<EdgeRequest>> m_latencyHistograms {};
};

} // namespace shallotlever
