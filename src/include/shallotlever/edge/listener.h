#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "shallotlever/base/memory_budget.h"
#include "shallotlever/edge/messages.h"
#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/node_metrics.h"

namespace shallotlever {

/// Limits enforced before a request reaches the HTTP parser (design page, section 6).
struct EdgeLimits
{
    std::size_t maxHeaderBytes = 16U * 1024U;
    std::size_t maxBodyBytes = 1024U * 1024U;
    /// Maximum time between the first and the last byte of a request.
    std::chrono::milliseconds requestTimeout { 10000 };
    int maxConnections = 8192;
};

/// Certificate chain and private key in PEM format. Reloaded when the files change; established
/// connections keep the previous certificate.
struct EdgeTlsFiles
{
    std::filesystem::path certificate;
    std::filesystem::path key;
};

struct EdgeOptions
{
    /// Numeric IP address.
    std::string listenIp;
    /// 0 selects a free port.
    std::uint16_t port = 0;
    int threads = 2;
    EdgeLimits limits;
    std::optional<EdgeTlsFiles> tls;
    /// Charged for requests that are being received.
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>();
};

struct EdgeCallbacks
{
    /// Called on an edge thread; must not block.
    EdgeHandler handler;
    /// Readiness reported by /readyz. Called on an edge thread; must not block.
    std::function<bool()> ready;
};

/// HTTP listener for callers and operators. Owns its threads. Requires a QCoreApplication, whose
/// event loop need not run. All functions may be called from any thread except the listener's own
/// threads.
class EdgeListener
{
public:
    /// Binds the port and starts serving. `metrics` and `logger` must outlive the listener. Every
    /// error response is counted in NodeMetrics::refusal, whether the listener or the handler
    /// produced it.
    static absl::StatusOr<std::unique_ptr<EdgeListener>> create(const EdgeOptions &options,
                                                                EdgeCallbacks callbacks,
                                                                NodeMetrics &metrics,
                                                                const Logger &logger);
    /// Closes all connections. Outstanding responders may still be called afterwards; their
    /// responses are dropped.
    ~EdgeListener();
    EdgeListener(const EdgeListener &) = delete;
    EdgeListener &operator=(const EdgeListener &) = delete;

    std::uint16_t port() const;

    // Graceful shutdown: startDrain, wait for the drain notice period, stopAccepting, wait until
    // requestsInFlight() is 0, closeIdleConnections, wait until openConnections() is 0, destroy.

    /// From now on each response carries `Connection: close` and its connection is closed. New
    /// connections are still accepted.
    void startDrain();
    /// Accepts the connections in the listen backlog, then closes the listening socket. Implies
    /// startDrain. Requests on open connections are still answered.
    void stopAccepting();
    /// Closes connections that have been idle for at least `minIdleTime`.
    void closeIdleConnections(std::chrono::milliseconds minIdleTime);
    /// Requests whose first byte has been read and whose response has not been written completely.
    int requestsInFlight() const;
    int openConnections() const;

private:
    struct State;
    explicit EdgeListener(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace shallotlever
