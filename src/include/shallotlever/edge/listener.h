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
#include "shallotlever/edge/messages.h"
#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/node_metrics.h"

namespace shallotlever {

/// Limits applied before a request reaches the HTTP parser (design page, section 6).
struct EdgeLimits
{
    std::size_t maxHeaderBytes = 16U * 1024U;
    std::size_t maxBodyBytes = 1024U * 1024U;
    /// From the first byte of a request to its last.
    std::chrono::milliseconds requestTimeout { 10000 };
    int maxConnections = 8192;
};

/// Certificate chain and key in PEM. Read again when they change; new connections then use the new
/// files.
struct EdgeTlsFiles
{
    std::filesystem::path certificate;
    std::filesystem::path key;
};

struct EdgeOptions
{
    /// IP number.
    std::string listenIp;
    /// 0 chooses a free port.
    std::uint16_t port = 0;
    int threads = 2;
    EdgeLimits limits;
    std::optional<EdgeTlsFiles> tls;
};

struct EdgeCallbacks
{
    /// Called on an edge thread; must not block.
    EdgeHandler handler;
    /// Answers /readyz. Called on an edge thread; must not block.
    std::function<bool()> ready;
};

/// HTTP listener for callers and operators. Owns its threads. A QCoreApplication must exist, but
/// its event loop is not needed. All functions may be called from any thread except the
/// listener's own.
class EdgeListener
{
public:
    /// Binds and starts to serve. `metrics` and `logger` must outlive the listener. The listener
    /// counts every error answer in NodeMetrics::refusal, whoever made the error.
    static absl::StatusOr<std::unique_ptr<EdgeListener>> create(const EdgeOptions &options,
                                                                EdgeCallbacks callbacks,
                                                                NodeMetrics &metrics,
                                                                const Logger &logger);
    /// Closes all connections. Responders that are still held may be called afterwards; their
    /// answers are dropped.
    ~EdgeListener();
    EdgeListener(const EdgeListener &) = delete;
    EdgeListener &operator=(const EdgeListener &) = delete;

    std::uint16_t port() const;

    // Graceful stop: startDrain, wait for the drain notice, stopAccepting, wait until
    // requestsInFlight() is 0, closeIdleConnections, wait until openConnections() is 0, destroy.

    /// From now on each answer carries `Connection: close` and ends its connection. New
    /// connections are still accepted.
    void startDrain();
    /// Accepts what the kernel has queued and closes the listening socket. Implies startDrain.
    /// Requests on open connections are still answered.
    void stopAccepting();
    /// Closes connections on which no request has begun for at least `quietFor`.
    void closeIdleConnections(std::chrono::milliseconds minIdleTime);
    /// Requests of which the first byte was read and the answer's last byte was not yet written.
    int requestsInFlight() const;
    int openConnections() const;

private:
    struct State;
    explicit EdgeListener(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace shallotlever
