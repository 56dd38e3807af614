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
    /// Connections that may exist at once, those being opened and reset included.
    std::uint32_t connections = 1;
    /// Idle connections that the pool opens in advance, within the limit above.
    std::uint32_t keptReady = 1;
    friend bool operator==(const PoolLimits &, const PoolLimits &) = default;
};

struct PoolOptions
{
    PoolLimits limits;
    /// Pause after the first failed connect; doubles up to the maximum. The pause drawn is uniform
    /// between half of the current value and the whole of it.
    Duration backoffMin = 50ms;
    Duration backoffMax = 2s;
    Duration resetTimeout = 1s;
};

struct PoolCounts
{
    /// Established: idle + busy.
    std::uint32_t open = 0;
    /// Handed out or being reset.
    std::uint32_t busy = 0;
    std::uint32_t idle = 0;
    std::uint32_t connecting = 0;
    /// Calls of acquire() without an answer.
    std::uint32_t waiting = 0;
    /// Failed connects since the last success.
    std::uint32_t consecutiveFailures = 0;
    /// Failed connects in total.
    std::uint64_t connectFailures = 0;
    friend bool operator==(const PoolCounts &, const PoolCounts &) = default;
};

/// What a connection needs before the next session gets it.
enum class SessionReset : std::uint8_t {
    /// Only single read statements ran.
    None,
    /// A transaction or a write ran: DISCARD ALL.
    DiscardAll,
    Close,
};

class PoolCore;

/// A connection on loan from a pool. Destroyed without release(), it is closed. Safe to outlive the
/// pool.
class PooledConnection
{
public:
    PooledConnection(std::weak_ptr<PoolCore> pool, std::unique_ptr<UpstreamConnection> connection);
    ~PooledConnection();
    PooledConnection(PooledConnection &&) noexcept = default;
    PooledConnection &operator=(PooledConnection &&other) noexcept;

    UpstreamConnection *operator->() const { return m_connection.get(); }

    /// Gives the connection back. One that is closed, busy, or still inside a transaction is closed
    /// whatever `reset` says.
    void release(SessionReset reset);

private:
    std::weak_ptr<PoolCore> m_pool;
    std::unique_ptr<UpstreamConnection> m_connection;
};

/// Connections to one upstream, owned by one executor thread and its event loop.
class ConnectionPool
{
public:
    /// UNAVAILABLE (no connection exists and connecting failed; repeat elsewhere),
    /// DEADLINE_EXCEEDED, or CANCELLED (the pool was shut down). The statement was not sent.
    using AcquireCallback = std::function<void(absl::StatusOr<PooledConnection>)>;

    static absl::StatusOr<std::unique_ptr<ConnectionPool>>
    create(ConnectionParams params, PoolOptions options, Random random);
    /// Answers each waiting acquire() with CANCELLED from the event loop and closes idle
    /// connections.
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// `callback` is called exactly once, from the event loop, in order of arrival while
    /// connections are scarce.
    void acquire(TimePoint deadline, AcquireCallback callback);
    /// A lower limit closes idle connections at once and busy ones when they are released.
    void setLimits(PoolLimits limits);
    PoolCounts counts() const;

private:
    explicit ConnectionPool(std::shared_ptr<PoolCore> core);

    std::shared_ptr<PoolCore> m_core;
};

} // namespace shallotlever
