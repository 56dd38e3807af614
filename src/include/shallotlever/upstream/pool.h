#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include "shallotlever/base/random.h"
#include "shallotlever/base/time.h"
#include "shallotlever/upstream/connection.h"

namespace shallotlever {

struct PoolLimits
{
    /// Maximum number of connections, including those being opened or reset.
    std::uint32_t maxSize = 1;
    /// Number of idle connections that the pool opens in advance, within maxSize.
    std::uint32_t minIdle = 1;
    friend bool operator==(const PoolLimits &, const PoolLimits &) = default;
};

struct PoolOptions
{
    PoolLimits limits;
    /// Backoff after the first failed connect. Doubles with each failure up to backoffMax; the
    /// actual delay is drawn uniformly between half of the current value and the full value.
    Duration backoffMin = 50ms;
    Duration backoffMax = 2s;
    /// Timeout of DISCARD ALL.
    Duration resetTimeout = 1s;
};

struct PoolCounts
{
    /// Established connections: idle + busy.
    std::uint32_t open = 0;
    /// Connections handed out or being reset.
    std::uint32_t busy = 0;
    std::uint32_t idle = 0;
    std::uint32_t connecting = 0;
    /// Pending calls of acquire().
    std::uint32_t waiting = 0;
    /// Failed connects since the last successful one.
    std::uint32_t consecutiveFailures = 0;
    /// Failed connects in total.
    std::uint64_t connectFailures = 0;
    friend bool operator==(const PoolCounts &, const PoolCounts &) = default;
};

/// How the session state of a connection is cleared before the connection is reused.
enum class SessionReset : std::uint8_t {
    /// No reset: only single read statements ran.
    None,
    /// DISCARD ALL: a transaction or a write ran.
    DiscardAll,
    /// The connection is closed instead of reused.
    Close,
};

class PoolCore;

/// A connection checked out of a pool. It is closed if this object is destroyed without a call of
/// release(). May outlive the pool.
class PooledConnection
{
public:
    PooledConnection(std::weak_ptr<PoolCore> pool, std::unique_ptr<UpstreamConnection> connection);
    ~PooledConnection();
    PooledConnection(PooledConnection &&) noexcept = default;
    PooledConnection &operator=(PooledConnection &&other) noexcept;

    UpstreamConnection *operator->() const { return m_connection.get(); }

    /// Returns the connection to the pool. A connection that is closed, busy or still inside a
    /// transaction is discarded regardless of `reset`.
    void release(SessionReset reset);

private:
    std::weak_ptr<PoolCore> m_pool;
    std::unique_ptr<UpstreamConnection> m_connection;
};

/// Pool of connections to one upstream. Used by one executor thread and its event loop only.
class ConnectionPool
{
public:
    /// Receives a connection or an error: UNAVAILABLE (no connection exists and connecting failed;
    /// retry on another upstream), DEADLINE_EXCEEDED, or CANCELLED (the pool was shut down). After
    /// an error the caller's statement was not sent.
    using AcquireCallback = std::function<void(absl::StatusOr<PooledConnection>)>;

    static absl::StatusOr<std::unique_ptr<ConnectionPool>>
    create(ConnectionParams params, PoolOptions options, Random random);
    /// Completes each pending acquire() with CANCELLED from the event loop and closes idle
    /// connections.
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// `callback` is called exactly once, from the event loop. Waiting calls get connections in
    /// order of arrival.
    void acquire(TimePoint deadline, AcquireCallback callback);
    /// If maxSize is lowered, excess idle connections are closed at once and busy ones when they
    /// are released.
    void setLimits(PoolLimits limits);
    PoolCounts counts() const;

private:
    explicit ConnectionPool(std::shared_ptr<PoolCore> core);

    std::shared_ptr<PoolCore> m_core;
};

} // namespace shallotlever
